package engine

import (
	"fmt"

	"github.com/springweir/springweir/failure"
)

// StaleFenceError reports an order refused because the engine has received a
// higher fencing token.
type StaleFenceError struct{ Sent, Highest uint64 }

// Error implements error.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("fence %d is stale: engine has seen %d", e.Sent, e.Highest)
}

// Reason implements failure.Coded.
func (e *StaleFenceError) Reason() failure.Reason { return failure.StaleFence }

// IncarnationError reports an order refused because it targets another
// incarnation of the engine.
type IncarnationError struct{ Want, Have string }

// Error implements error.
func (e *IncarnationError) Error() string {
	return fmt.Sprintf("order is for incarnation %s, engine is %s", e.Want, e.Have)
}

// Reason implements failure.Coded.
func (e *IncarnationError) Reason() failure.Reason { return failure.WrongIncarnation }

// BusyError reports an order refused because another order, Running, is in
// progress.
type BusyError struct{ Running string }

// Error implements error.
func (e *BusyError) Error() string { return fmt.Sprintf("order %s is running", e.Running) }

// Reason implements failure.Coded.
func (e *BusyError) Reason() failure.Reason { return failure.EngineBusy }

// UnreachableError reports a failed call to an engine. Sent reports whether any
// byte of the call may have left this process.
type UnreachableError struct {
	Sent  bool
	Cause error
}

// Error implements error.
func (e *UnreachableError) Error() string { return fmt.Sprintf("engine unreachable: %v", e.Cause) }

// Reason implements failure.Coded.
func (e *UnreachableError) Reason() failure.Reason { return failure.EndpointUnreachable }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }
