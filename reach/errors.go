package reach

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/springweir/springweir/failure"
)

// Error reports that the endpoint was not reached, or did not respond through another VM.
type Error struct {
	// VM is the name of the other VM, if there is one, and Code the reason.
	VM      string
	Code    failure.Reason
	Message string
}

// Error implements error.
func (e *Error) Error() string {
	if e.VM == "" {
		return e.Message
	}
	return fmt.Sprintf("through VM %s: %s", e.VM, e.Message)
}

// Unwrap returns io.EOF if the endpoint has closed the connection.
func (e *Error) Unwrap() error {
	if e.Code == failure.EndpointClosed {
		return io.EOF
	}
	return nil
}

// Reason implements failure.Coded.
func (e *Error) Reason() failure.Reason { return e.Code }

// LostVMError reports that a response broke off because the VM that passed it on was lost.
type LostVMError struct {
	VM    string
	Cause error
}

// Error implements error.
func (e *LostVMError) Error() string { return fmt.Sprintf("VM %s was lost: %v", e.VM, e.Cause) }

// Unwrap returns the cause.
func (e *LostVMError) Unwrap() error { return e.Cause }

// Reason implements failure.Coded.
func (e *LostVMError) Reason() failure.Reason { return failure.AnswerTruncated }

// LostPeer implements failure.PeerLostError.
func (e *LostVMError) LostPeer() string { return e.VM }

// countHop counts the requests that were sent through another VM.
func countHop(v verdict) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_reach_hops_total{outcome=%q}`, v)).Inc()
}

// ErrUnreached reports that an endpoint, which may be up, is not reached by this VM, nor by others if
// they were asked.
var ErrUnreached = &Error{Code: failure.EndpointUnreachable, Message: "the endpoint is not reached"}
