package httponce

import (
	"fmt"

	"github.com/springweir/springweir/failure"
)

// Error is a request that received no complete response.
type Error struct {
	// Sent reports whether any byte of the request may have left this process.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("connection broke after the request was sent: %v", e.Cause)
	}
	return fmt.Sprintf("nothing was sent: %v", e.Cause)
}

// Reason implements failure.Coded.
func (e *Error) Reason() failure.Reason {
	if e.Sent {
		return failure.EndpointBroke
	}
	return failure.EndpointUnreachable
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Outcome returns whether the request is known to have run.
func (e *Error) Outcome() failure.Outcome {
	if e.Sent {
		return failure.Unknown
	}
	return failure.NotRun
}

// ResponseTooLargeError is a response body that exceeds the limit.
type ResponseTooLargeError struct{ Limit int64 }

// Error implements error.
func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("answer is over %d bytes", e.Limit)
}

// Reason implements failure.Coded.
func (e *ResponseTooLargeError) Reason() failure.Reason { return failure.TooLarge }

// SchemeError is a URL whose scheme is not http.
type SchemeError struct{ Scheme string }

// Error implements error.
func (e *SchemeError) Error() string { return fmt.Sprintf("scheme %q is not http", e.Scheme) }

// Reason implements failure.Coded.
func (e *SchemeError) Reason() failure.Reason { return failure.Internal }
