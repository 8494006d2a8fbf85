package table

import (
	"context"
	"fmt"
	"time"

	"github.com/springweir/springweir/failure"
)

// Change is the state of a row after a change.
type Change struct {
	Row Row
	// Deleted is set when the row was deleted; Value is then nil.
	Deleted bool
	// NotBefore is the earliest time, by this VM's clock, at which the change can have been made;
	// zero if the source can't determine it.
	NotBefore time.Time
}

// Feed reads a whole table and follows its changes. Implementations are safe for concurrent use.
type Feed interface {
	// List returns all rows of a table in one consistent snapshot, and the version from which to
	// follow it.
	List(ctx context.Context, table string) ([]Row, Version, error)
	// Changes returns the rows that changed after a version, in order, and the version to
	// continue from. It waits up to wait for a change; no rows and no error mean that there was
	// none. *HistoryGoneError means that the history doesn't reach back to the version: list
	// again.
	Changes(ctx context.Context, table string, after Version, wait time.Duration) ([]Change, Version, error)
}

// HistoryGoneError reports that the changes after a version are no longer kept.
type HistoryGoneError struct {
	Table string
	After Version
}

// Error implements error.
func (e *HistoryGoneError) Error() string {
	return fmt.Sprintf("table %s: the changes after version %s are no longer kept", e.Table, e.After)
}

// Reason implements failure.Coded.
func (e *HistoryGoneError) Reason() failure.Reason { return failure.TableHistoryGone }
