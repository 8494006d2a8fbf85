package weightstore

import (
	"fmt"
	"time"

	"github.com/springweir/springweir/failure"
)

// UnavailableError reports a failed call to the weight store.
type UnavailableError struct{ Cause error }

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("weight store unavailable: %v", e.Cause)
}

// Reason implements failure.Coded.
func (e *UnavailableError) Reason() failure.Reason { return failure.WeightsUnavailable }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// MissingError reports an artifact that is not in the store.
type MissingError struct{ Artifact Artifact }

// Error implements error.
func (e *MissingError) Error() string { return fmt.Sprintf("artifact %+v is missing", e.Artifact) }

// Reason implements failure.Coded.
func (e *MissingError) Reason() failure.Reason { return failure.WeightsMissing }

// RateLimitError reports a fetch refused by the rate limit.
type RateLimitError struct {
	// RetryAfter is the delay after which the store expects to have capacity.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitError) Error() string {
	return fmt.Sprintf("weight store rate limit exceeded: retry after %v", e.RetryAfter)
}

// Reason implements failure.Coded.
func (e *RateLimitError) Reason() failure.Reason { return failure.WeightsLimited }

// ResponseError reports a response that the client cannot interpret.
type ResponseError struct {
	// Status is the HTTP status.
	Status int
	// Cause is the decoding error, or nil if the status is unexpected.
	Cause error
}

// Error implements error.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("weight store sent an invalid response with status %d: %v", e.Status, e.Cause)
}

// Reason implements failure.Coded.
func (e *ResponseError) Reason() failure.Reason { return failure.WeightsUnavailable }

// Unwrap returns the cause.
func (e *ResponseError) Unwrap() error { return e.Cause }
