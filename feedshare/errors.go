package feedshare

import (
	"fmt"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/table"
)

// NotReaderError is returned by a VM that doesn't read the table from the store itself, or to
// which the store hasn't responded recently.
type NotReaderError struct{ Table string }

// Error implements error.
func (e *NotReaderError) Error() string {
	return fmt.Sprintf("table %s is not read from the store here, or the store does not answer", e.Table)
}

// Reason implements failure.Coded.
func (e *NotReaderError) Reason() failure.Reason { return failure.FeedNotReader }

// NotReadYetError is returned by a VM that has just started and is still reading the table.
type NotReadYetError struct{ Table string }

// Error implements error.
func (e *NotReadYetError) Error() string {
	return fmt.Sprintf("table %s is still being read", e.Table)
}

// Reason implements failure.Coded.
func (e *NotReadYetError) Reason() failure.Reason { return failure.FeedNotReader }

// BehindError reports that the peer's Version of the table is older than the Local one.
type BehindError struct{ Version, Local table.Version }

// Error implements error.
func (e *BehindError) Error() string {
	return fmt.Sprintf("the VM asked knows version %d, older than %d", e.Version, e.Local)
}

// Reason implements failure.Coded.
func (e *BehindError) Reason() failure.Reason { return failure.FeedBehind }

// UnreachableError reports a VM that couldn't be reached or didn't respond in time.
type UnreachableError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no response from VM at %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Reason implements failure.Coded.
func (e *UnreachableError) Reason() failure.Reason { return failure.FeedSilent }

// CooldownError reports that the store was not queried because it failed recently and the backoff
// has not ended. Cause is the store's last error.
type CooldownError struct {
	Table string
	Cause error
}

// Error implements error.
func (e *CooldownError) Error() string {
	return fmt.Sprintf("store is in backoff after a failure, table %s is not read: %v", e.Table, e.Cause)
}

// Unwrap returns the cause.
func (e *CooldownError) Unwrap() error { return e.Cause }

// Reason implements failure.Coded.
func (e *CooldownError) Reason() failure.Reason { return failure.TableUnavailable }
