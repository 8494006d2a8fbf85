// Package failure defines the vocabulary that every part shares for things
// that go wrong: reason codes, what is known about whether a request ran, and
// the typed failure that callers see.
//
// Each package declares its own failure types and gives each a Reason by
// implementing Coded. Context is added with eris.Wrap, which keeps the type
// reachable through errors.As.
package failure

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Reason is a stable code in kebab case. The same code appears in a caller's
// JSON error, in log lines and as the label of a counter.
type Reason string

// Outcome states what is known about whether a request ran.
type Outcome string

// The three outcomes. NotRun is said only when it is provable.
const (
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
	Done    Outcome = "done"
)

// Coded is a failure with a reason code.
type Coded interface {
	error
	Reason() Reason
}

// Request is the failure of a caller's request, as the caller sees it.
type Request struct {
	// Code is the reason code.
	Code Reason
	// Ran states what is known about whether the request ran.
	Ran Outcome
	// RetryAfter says when coming back makes sense; zero means never.
	RetryAfter time.Duration
	// Message is a short sentence for a person.
	Message string
	// Cause is the failure underneath, or nil. It is logged, not sent.
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

// Status returns the HTTP status code that goes with the reason.
func (r *Request) Status() int {
	if s, ok := statusByReason[r.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// ReasonOf returns the code of the first Coded failure in err's chain, or
// Internal when there is none.
func ReasonOf(err error) Reason {
	var c Coded
	if errors.As(err, &c) {
		return c.Reason()
	}
	return Internal
}

// Combine returns the outcome of two attempts of one request together: done beats
// unknown, and unknown beats not-run.
func (o Outcome) Combine(other Outcome) Outcome {
	if o == Done || other == Done {
		return Done
	}
	if o == NotRun && other == NotRun {
		return NotRun
	}
	return Unknown
}
