package feedshare

import (
	"fmt"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/table"
)

// NotReaderError is a question to a VM that does not follow the store for the table
// itself, or that the store has not answered lately.
type NotReaderError struct{ Table string }

// Error implements error.
func (e *NotReaderError) Error() string {
	return fmt.Sprintf("table %s is not read from the store here, or the store does not answer", e.Table)
}

// Reason implements failure.Coded.
func (e *NotReaderError) Reason() failure.Reason { return failure.FeedNotReader }

// BehindError is an answer of a VM that knows less than the one that asks.
type BehindError struct{ Version, Local table.Version }

// Error implements error.
func (e *BehindError) Error() string {
	return fmt.Sprintf("the VM asked knows version %d, older than %d", e.Version, e.Local)
}

// Reason implements failure.Coded.
func (e *BehindError) Reason() failure.Reason { return failure.FeedBehind }

// UnreachableError is a VM that could not be reached or did not answer in time.
type UnreachableError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no answer from VM at %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Reason implements failure.Coded.
func (e *UnreachableError) Reason() failure.Reason { return failure.FeedSilent }

// CooldownError is a question not put to the store, which gave no answer a moment ago.
type CooldownError struct {
	Table string
	Cause error
}

// Error implements error.
func (e *CooldownError) Error() string {
	return fmt.Sprintf("the store was away a moment ago, it is not asked for table %s yet: %v", e.Table, e.Cause)
}

// Unwrap returns the cause.
func (e *CooldownError) Unwrap() error { return e.Cause }

// Reason implements failure.Coded.
func (e *CooldownError) Reason() failure.Reason { return failure.TableUnavailable }
