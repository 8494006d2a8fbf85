package quota

import (
	"fmt"

	"github.com/springweir/springweir/failure"
)

// NoLimitError reports that a VM knows no limit of an organisation.
type NoLimitError struct{ Organisation string }

// Error implements error.
func (e *NoLimitError) Error() string {
	return fmt.Sprintf("no limit of organisation %s is configured", e.Organisation)
}

// Reason implements failure.Coded.
func (e *NoLimitError) Reason() failure.Reason { return failure.NoConfig }

// UnreachableError reports a granter that did not respond in time.
type UnreachableError struct {
	VM    string
	Cause error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("VM %s did not grant or refuse: %v", e.VM, e.Cause)
}

// Reason implements failure.Coded.
func (e *UnreachableError) Reason() failure.Reason { return failure.PeerUnreachable }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }
