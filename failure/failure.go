// Package failure defines the error model shared by all packages: reason codes,
// the outcome of a failed request, and the error type that callers receive.
//
// Each package declares its own error types and implements Coded on them.
// Context is added with eris.Wrap, which keeps the type reachable through
// errors.As.
package failure

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Reason is a stable error code in kebab case. It appears in the JSON error sent
// to the caller, in log lines and as a counter label.
type Reason string

// Outcome states whether a failed request is known to have run.
type Outcome string

// Values of Outcome. NotRun is used only if the request provably did not run.
const (
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
	Done    Outcome = "done"
)

// Coded is an error with a reason code.
type Coded interface {
	error
	Reason() Reason
}

// Request is the error returned to a caller whose request failed.
type Request struct {
	// Code is the reason code.
	Code Reason
	// Ran states whether the request is known to have run.
	Ran Outcome
	// RetryAfter is the recommended delay before a retry; zero means that a retry is no use.
	RetryAfter time.Duration
	// Message is a short human-readable description, sent to the caller.
	Message string
	// Cause is the underlying error, or nil. It is logged but not sent to the caller.
	Cause error
}

// Error implements error.
func (r *Request) Error() string {
	if r.Cause != nil {
		return fmt.Sprintf("%s (%s): %s: %v", r.Code, r.Ran, r.Message, r.Cause)
	}
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Ran, r.Message)
}

// Reason implements Coded.
func (r *Request) Reason() Reason { return r.Code }

// Unwrap returns the cause.
func (r *Request) Unwrap() error { return r.Cause }

// Status returns the HTTP status code for the reason.
func (r *Request) Status() int {
	if s, ok := statusByReason[r.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// ReasonOf returns the code of the first Coded error in err's chain, or Internal
// if there is none.
func ReasonOf(err error) Reason {
	var c Coded
	if errors.As(err, &c) {
		return c.Reason()
	}
	return Internal
}

// PeerLostError is an error of an exchange that failed because another VM was lost, which says nothing about the endpoint
// to which that VM passed the request on.
type PeerLostError interface {
	error
	// LostPeer returns the name of the VM.
	LostPeer() string
}

// IsPeerLost reports whether there is a PeerLostError in err's chain.
func IsPeerLost(err error) bool {
	var lost PeerLostError
	return errors.As(err, &lost)
}

// Combine returns the overall outcome of two attempts of one request. Done takes
// precedence over Unknown, and Unknown over NotRun.
func (o Outcome) Combine(other Outcome) Outcome {
	if o == Done || other == Done {
		return Done
	}
	if o == NotRun && other == NotRun {
		return NotRun
	}
	return Unknown
}
