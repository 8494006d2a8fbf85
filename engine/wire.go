package engine

import (
	"fmt"

	"github.com/springweir/springweir/failure"
)

// Paths of the HTTP interface that Client speaks and standin/engine serves.
const (
	// GeneratePath takes a GenerateRequest by POST. The answer is 200 with
	// one Frame in JSON a line, and empty lines that only show that the engine
	// lives; or a Refusal with another status.
	GeneratePath = "/v1/generate"
	// CancelPath takes a CancelRequest by POST.
	CancelPath = "/v1/cancel"
	// StatePath gives a State by GET.
	StatePath = "/v1/state"
	// EventsPath gives CacheEvents by GET, from the parameter SinceParam.
	EventsPath = "/v1/events"
	SinceParam = "since"
	// OrderPath takes an Order by POST and gives an OrderState or a Refusal.
	OrderPath = "/v1/orders"
)

// AttemptHeader echoes the attempt in the head of an answer.
const AttemptHeader = "Springweir-Attempt"

// CancelRequest asks to end an attempt.
type CancelRequest struct {
	Attempt string `json:"attempt"`
}

// Refusal is the body of an answer that is not a success.
type Refusal struct {
	// Attempt is the attempt refused (not for orders).
	Attempt string         `json:"attempt,omitempty"`
	Reason  failure.Reason `json:"reason"`
	Message string         `json:"message"`
	// NotRun is the engine's word that it has not started and will not.
	NotRun bool `json:"not_run"`
	// RetryAfterMillis says when coming back makes sense; zero means never.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// HighestFence goes with reason StaleFence, Have with WrongIncarnation and
	// Running with EngineBusy.
	HighestFence uint64 `json:"highest_fence,omitempty"`
	Have         string `json:"have,omitempty"`
	Running      string `json:"running,omitempty"`
}

// RefusedError is a call that the engine refused for a reason with no type of
// its own. The engine has then not acted on it.
type RefusedError struct {
	Code    failure.Reason
	Message string
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("engine refused: %s", e.Message) }

// Reason implements failure.Coded.
func (e *RefusedError) Reason() failure.Reason { return e.Code }

// StatusError is an answer with a status that the interface does not know, or
// a body that cannot be understood. Nothing is known about the call's effect.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine answered status %d: %q", e.Status, e.Body)
}

// Reason implements failure.Coded.
func (e *StatusError) Reason() failure.Reason { return failure.EndpointFailed }

// FrameError is an answer that breaks the rules of the interface.
type FrameError struct {
	Code   failure.Reason
	Detail string
}

// Error implements error.
func (e *FrameError) Error() string { return e.Detail }

// Reason implements failure.Coded.
func (e *FrameError) Reason() failure.Reason { return e.Code }

// IdleTimeoutError is a stream on which nothing came for the idle timeout.
type IdleTimeoutError struct{ Timeout string }

// Error implements error.
func (e *IdleTimeoutError) Error() string { return "engine silent for " + e.Timeout }

// Reason implements failure.Coded.
func (e *IdleTimeoutError) Reason() failure.Reason { return failure.EndpointBroke }
