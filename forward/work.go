// Package forward sends a caller's request to endpoints and returns the response. It makes one
// attempt at a time, each with its own ID, and reports accurate outcomes. It retries only where
// that is safe, resumes interrupted streams and transfers KV caches between engines.
package forward

import (
	"context"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/service"
)

// Work is one validated request of a caller. It must not be modified after it was passed to a
// Forwarder.
type Work struct {
	// ID is unique for each request.
	ID           string
	Organisation string
	// Authorization is the caller's Authorization header, forwarded to entries of other zones.
	Authorization string
	Priority      engine.Priority
	// Deadline is when the response must be complete; zero means none.
	Deadline time.Time
	// FromOtherZone is set on a request forwarded by the entry of another zone. It must be served
	// in this zone.
	FromOtherZone bool

	// ModelName is the model name as sent by the caller.
	ModelName string
	// Model, Adapter and Version identify the weights to serve with. An empty Adapter means the
	// base model, an empty Version any version.
	Model, Adapter, Version string
	Prompt                  string
	PromptTokens            int
	PrefixHashes            []uint64
	// MaxTokens bounds the complete response.
	MaxTokens int
	// ResumeFrom and Emitted are set on a request from another zone whose caller already holds the
	// first tokens: their number and their text.
	ResumeFrom int
	Emitted    string

	// Service names the service to call; it is empty for generations.
	Service string
	// Repeatable reports whether the service's calls may run more than once.
	Repeatable bool
	// IdempotencyKey is the caller's key, or empty.
	IdempotencyKey string
	// Call is the call to send; its Attempt is set for each attempt.
	Call service.Call
}

// context returns ctx bounded by the work's deadline.
func (w *Work) context(ctx context.Context) (context.Context, context.CancelFunc) {
	if w.Deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, w.Deadline)
}

// Generator is the part of engine.Engine that a Forwarder uses.
type Generator interface {
	Generate(ctx context.Context, req engine.GenerateRequest) (engine.Stream, error)
	Cancel(ctx context.Context, attempt string) error
}

// Peer forwards work to the entry of another zone. Implementations never retry a call; failures are
// *failure.Request.
type Peer interface {
	Generate(ctx context.Context, w *Work, req engine.GenerateRequest) (engine.Stream, error)
	Do(ctx context.Context, w *Work, call service.Call) (*service.Response, error)
}

// Target is a destination of an attempt. Exactly one of Engine, Service and Peer is set.
type Target struct {
	// Name is the name of the endpoint or of the peer VM.
	Name string
	// Pool names the retry budget that the target draws on.
	Pool string
	// Zone is the target's availability zone.
	Zone    string
	Engine  Generator
	Service service.Endpoint
	Peer    Peer
}

// Attempt describes an attempt that is to be routed.
type Attempt struct {
	// ID is the attempt's ID, as sent to the endpoint.
	ID string
	// Tried names the targets that earlier attempts failed on, in order.
	Tried []string
	// Emitted is the number of tokens that the caller already holds.
	Emitted int
	// Version is the version of the weights that computed those tokens; the plan must have the same
	// one. Empty allows any.
	Version string
	// Prefilled is set when the prompt's KV cache is already available for import, so that the plan
	// needs no prefill.
	Prefilled bool
}

// Plan is the routing decision for one attempt.
type Plan struct {
	Target Target
	// Version is the version of the weights requested from Target. It may be empty only if a pool
	// never has two versions of a model.
	Version string
	// PrefillTarget, if set, computes the prompt's KV cache for Target to import.
	PrefillTarget *Target
	// Observer receives the result of the attempt, PrefillObserver that of the prefill; either may
	// be nil.
	Observer, PrefillObserver Observer
	// Recheck returns, after a wait, why Target may no longer be used, or nil if it may. Recheck
	// itself is nil if nothing can change.
	Recheck func() *failure.Request
}

// Observer observes one attempt.
type Observer interface {
	// FirstToken is called when the first text arrives, with the time since the attempt was sent.
	FirstToken(elapsed time.Duration)
	// Finished is called exactly once, after the attempt has ended.
	Finished(Result)
}

// Result is the result of an attempt.
type Result struct {
	// Err is nil if the response was complete.
	Err *failure.Request
	// Abandoned is set if the forwarder ended the attempt itself (caller disconnected, deadline
	// passed, not sent), so that the result does not reflect on the endpoint.
	Abandoned bool
	Elapsed   time.Duration
	// Leaving is set if a service's response or refusal announced that its endpoint is leaving.
	Leaving bool
	// Tokens is the number of tokens received in this attempt, CachedTokens that of the prompt
	// tokens served from cache.
	Tokens       int
	CachedTokens int
}

// Router chooses the target of an attempt. Implementations are safe for concurrent use and honour
// Work.FromOtherZone. Errors are *failure.Request with outcome NotRun.
type Router interface {
	Route(ctx context.Context, w *Work, a Attempt) (Plan, error)
}

// Admitter blocks until the work may start, or refuses it with *failure.Request. The forwarder
// calls release exactly once when the work has ended.
type Admitter interface {
	Admit(ctx context.Context, w *Work) (release func(), err error)
}

// Delta is a verified part of a response.
type Delta struct {
	// Position is the index of the first token of Text in the complete response.
	Position int
	Tokens   int
	Text     string
	// Version is the version of the weights that computed Text.
	Version string
}

// Sink receives the deltas of a response in order and without gaps. Deltas that a sink has accepted
// count as received by the caller.
type Sink interface {
	Emit(Delta) error
}

// Summary describes a complete response.
type Summary struct {
	Finish       engine.FinishReason
	Tokens       int
	CachedTokens int
}
