package weightstore

import (
	"fmt"
	"time"

	"github.com/springweir/springweir/failure"
)

// UnavailableError is a call to the weight store that failed.
type UnavailableError struct{ Cause error }

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("weight store unavailable: %v", e.Cause)
}

// Reason implements failure.Coded.
func (e *UnavailableError) Reason() failure.Reason { return failure.WeightsUnavailable }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// MissingError is an artifact that the store does not hold.
type MissingError struct{ Artifact Artifact }

// Error implements error.
func (e *MissingError) Error() string { return fmt.Sprintf("artifact %+v is missing", e.Artifact) }

// Reason implements failure.Coded.
func (e *MissingError) Reason() failure.Reason { return failure.WeightsMissing }

// RateLimitError is a fetch refused by the rate limit.
type RateLimitError struct {
	// RetryAfter is when the store expects to have room.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitError) Error() string {
	return fmt.Sprintf("weight store limits fetches: come back in %v", e.RetryAfter)
}

// Reason implements failure.Coded.
func (e *RateLimitError) Reason() failure.Reason { return failure.WeightsLimited }

// ResponseError is an answer that the client does not understand.
type ResponseError struct {
	// Status is the HTTP status.
	Status int
	// Cause is the failure to decode, or nil.
	Cause error
}

// Error implements error.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("weight store answer with status %d not understood: %v", e.Status, e.Cause)
}

// Reason implements failure.Coded.
func (e *ResponseError) Reason() failure.Reason { return failure.WeightsUnavailable }

// Unwrap returns the cause.
func (e *ResponseError) Unwrap() error { return e.Cause }
