package h1

import (
	"errors"
	"fmt"
	"io"
	"strconv"

	"golang.org/x/sys/unix"

	"github.com/springweir/springweir/failure"
)

// Error is an exchange that failed before the response head was read.
type Error struct {
	// Sent is false only if it is certain that no byte of the request left this process.
	Sent bool
	// Reused reports whether the request used an idle connection of the pool.
	Reused bool
	Cause  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("exchange broke after sending: %v", e.Cause)
	}
	return fmt.Sprintf("request not sent: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Reason implements failure.Coded.
func (e *Error) Reason() failure.Reason {
	if e.Sent {
		return failure.EndpointBroke
	}
	return failure.EndpointUnreachable
}

// StrayResponseError is the cause of an exchange that received only responses to other requests.
type StrayResponseError struct{ Status int }

// Error implements error.
func (e *StrayResponseError) Error() string {
	return "the response belongs to another request (status " + strconv.Itoa(e.Status) + ")"
}

// Reason implements failure.Coded.
func (e *StrayResponseError) Reason() failure.Reason { return failure.AnswerMismatch }

// unwrittenError is a write that failed before its first byte.
type unwrittenError struct{ cause error }

// Error implements error.
func (e *unwrittenError) Error() string { return fmt.Sprintf("nothing was written: %v", e.cause) }

// Unwrap returns the cause.
func (e *unwrittenError) Unwrap() error { return e.cause }

// ClosedByPeer reports whether an error means that the peer closed or reset the connection.
func ClosedByPeer(err error) bool {
	for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, unix.ECONNRESET, unix.EPIPE} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}
