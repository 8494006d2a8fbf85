package peer

import (
	"fmt"

	"github.com/springweir/springweir/failure"
)

// CallError is a failed call to an entry. It is unknown whether the entry handled the call;
// all calls of the protocol are idempotent.
type CallError struct {
	// VM is the name of the called VM, if known, and Address the address that was called.
	VM, Address string
	Cause       error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("call to %s at %s: %v", e.VM, e.Address, e.Cause)
}

// Reason implements failure.Coded.
func (e *CallError) Reason() failure.Reason { return failure.PeerUnreachable }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }
