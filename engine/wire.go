package engine

import (
	"fmt"

	"github.com/springweir/springweir/failure"
)

// Paths of the HTTP interface that Client speaks and standin/engine serves.
const (
	// GeneratePath accepts a GenerateRequest by POST. The response is 200 with
	// one JSON Frame per line and empty lines as heartbeats, or a Refusal with
	// another status.
	GeneratePath = "/v1/generate"
	// CancelPath accepts a CancelRequest by POST.
	CancelPath = "/v1/cancel"
	// StatePath returns a State by GET.
	StatePath = "/v1/state"
	// EventsPath returns CacheEvents by GET, from the sequence in SinceParam.
	EventsPath = "/v1/events"
	SinceParam = "since"
	// OrderPath accepts an Order by POST and returns an OrderState or a Refusal.
	OrderPath = "/v1/orders"
)

// AttemptHeader is the response header that echoes the attempt.
const AttemptHeader = "Springweir-Attempt"

// CancelRequest is the body of a request to end an attempt.
type CancelRequest struct {
	Attempt string `json:"attempt"`
}

// Refusal is the body of an unsuccessful response.
type Refusal struct {
	// Attempt is the refused attempt (empty for orders).
	Attempt string         `json:"attempt,omitempty"`
	Reason  failure.Reason `json:"reason"`
	Message string         `json:"message"`
	// NotRun guarantees that the engine has not started the work and will not.
	NotRun bool `json:"not_run"`
	// RetryAfterMillis is the suggested delay before a retry, in milliseconds;
	// zero means that a retry is of no use.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// HighestFence is set with reason StaleFence, Have with WrongIncarnation and
	// Running with EngineBusy.
	HighestFence uint64 `json:"highest_fence,omitempty"`
	Have         string `json:"have,omitempty"`
	Running      string `json:"running,omitempty"`
}

// RefusedError reports a call that the engine refused for a reason without a
// specific error type. The engine has not acted on it.
type RefusedError struct {
	Code    failure.Reason
	Message string
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("engine refused: %s", e.Message) }

// Reason implements failure.Coded.
func (e *RefusedError) Reason() failure.Reason { return e.Code }

// StatusError reports a response with an unexpected status or an undecodable
// body. The call's effect is unknown.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine responded with status %d: %q", e.Status, e.Body)
}

// Reason implements failure.Coded.
func (e *StatusError) Reason() failure.Reason { return failure.EndpointFailed }

// FrameError reports a response that violates the protocol.
type FrameError struct {
	Code   failure.Reason
	Detail string
}

// Error implements error.
func (e *FrameError) Error() string { return e.Detail }

// Reason implements failure.Coded.
func (e *FrameError) Reason() failure.Reason { return e.Code }

// IdleTimeoutError reports a stream that received no data for the idle timeout.
type IdleTimeoutError struct{ Timeout string }

// Error implements error.
func (e *IdleTimeoutError) Error() string { return "no data from engine for " + e.Timeout }

// Reason implements failure.Coded.
func (e *IdleTimeoutError) Reason() failure.Reason { return failure.EndpointBroke }
