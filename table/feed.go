package table

import (
	"context"
	"fmt"
	"time"

	"github.com/springweir/springweir/failure"
)

// Change is a row as it stands after a change.
type Change struct {
	Row Row
	// Deleted is set when the row is no longer there; Value is then nil.
	Deleted bool
	// NotBefore is the earliest time, by this VM's clock, at which the change can have been
	// made as far as its source can tell; zero if it cannot.
	NotBefore time.Time
}

// Feed reads a table as a whole and follows its changes. Implementations are
// safe for concurrent use.
type Feed interface {
	// List returns all rows of a table as of a single moment, and the version to
	// follow it from.
	List(ctx context.Context, table string) ([]Row, Version, error)
	// Changes returns the rows that changed after a version, in order, and the
	// version to continue from. It waits up to wait for a change; no rows and no
	// error means that there was none. *HistoryGoneError means that the changes
	// are no longer kept: list anew.
	Changes(ctx context.Context, table string, after Version, wait time.Duration) ([]Change, Version, error)
}

// HistoryGoneError is a question for changes that are no longer kept.
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
