package usage

import (
	"fmt"

	"github.com/springweir/springweir/failure"
)

// SumMissingError reports a sum that was in the store and no longer is: the store was restored from
// a backup.
type SumMissingError struct{ Window Window }

// Error implements error.
func (e *SumMissingError) Error() string {
	return fmt.Sprintf("the sum of window %d is no longer in the store", e.Window)
}

// Reason implements failure.Coded.
func (e *SumMissingError) Reason() failure.Reason { return failure.TableEpochOver }

// NoCountsError reports a stored sum without counts.
type NoCountsError struct{}

// Error implements error.
func (e *NoCountsError) Error() string { return "no counts" }

// Reason implements failure.Coded.
func (e *NoCountsError) Reason() failure.Reason { return failure.Internal }
