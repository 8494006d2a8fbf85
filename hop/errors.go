package hop

import (
	"errors"
	"fmt"
	"strconv"

	"golang.org/x/sys/unix"

	"github.com/springweir/springweir/failure"
)

// Error is a failure reported by the VM that was asked to pass a request on.
type Error struct {
	// VM is the name of that VM.
	VM string
	// Code is the reason that it gave, and Outcome whether the request is known to have run.
	Code    failure.Reason
	Outcome failure.Outcome
	// Down is set if the endpoint refused the VM's connection, and Busy if the VM passes on too many
	// requests already. Neither ran.
	Down, Busy bool
	// Impaired is set if the VM does not reach several endpoints.
	Impaired bool
	// Cause is the decoded failure.
	Cause error
}

func newError(vm string, f *failure.Request) *Error {
	ran := f.Ran != failure.NotRun
	return &Error{
		VM: vm, Code: f.Code, Outcome: f.Ran, Cause: f,
		Down: !ran && f.Code == failure.EndpointDown,
		Busy: !ran && f.Code == failure.VMBusy,
	}
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("VM %s did not pass the request on: %v", e.VM, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// NotRun reports whether the request provably did not run.
func (e *Error) NotRun() bool { return e.Outcome == failure.NotRun }

// Reason implements failure.Coded.
func (e *Error) Reason() failure.Reason {
	if e.NotRun() {
		return failure.EndpointUnreachable
	}
	return failure.EndpointBroke
}

// ExchangeError is the cause of an *h1.Error if the exchange with the other VM failed, which says
// nothing about the endpoint.
type ExchangeError struct {
	// VM is the name of the other VM.
	VM    string
	Cause error
}

// Error implements error.
func (e *ExchangeError) Error() string { return fmt.Sprintf("VM %s: %v", e.VM, e.Cause) }

// Reason implements failure.Coded.
func (e *ExchangeError) Reason() failure.Reason { return failure.PeerUnreachable }

// Unwrap returns the cause, but not a refused connection, which would be mistaken for the
// endpoint's.
func (e *ExchangeError) Unwrap() error {
	if errors.Is(e.Cause, unix.ECONNREFUSED) {
		return nil
	}
	return e.Cause
}

// LostPeer implements failure.PeerLostError.
func (e *ExchangeError) LostPeer() string { return e.VM }

// StatusError is a response to a connect check that is neither a success nor a failure in the format
// of a Server.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return "unexpected status " + strconv.Itoa(e.Status) }

// Reason implements failure.Coded.
func (e *StatusError) Reason() failure.Reason { return failure.PeerUnreachable }
