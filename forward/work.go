// Package forward carries a caller's request to endpoints and the answer back:
// one attempt at a time, each bound to its own id, with honest outcomes,
// retries only where they are safe, resumed streams and KV hand-over.
package forward

import (
	"context"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/service"
)

// Work is one request of a caller, understood and checked. It is not changed
// once it has been handed to a Forwarder.
type Work struct {
	// ID is unique for each request.
	ID string
	// Organisation is the caller's organisation.
	Organisation string
	// Authorization is the caller's header, passed on to an entry of another zone.
	Authorization string
	Priority      engine.Priority
	// Deadline is when the answer must be whole; zero means none.
	Deadline time.Time
	// FromOtherZone is set on a request that an entry of another zone has passed on.
	// It must be served in this zone.
	FromOtherZone bool

	// ModelName is the model as the caller names it.
	ModelName string
	// Model, Adapter and Version name what must be loaded; empty Adapter and
	// Version take the base model and any version.
	Model, Adapter, Version string
	Prompt                  string
	PromptTokens            int
	PrefixHashes            []uint64
	// MaxTokens bounds the whole answer.
	MaxTokens int
	// ResumeFrom and Emitted are set on a hopped request whose caller already
	// holds the first tokens.
	ResumeFrom int
	Emitted    string

	// Service names the plain service of a call; empty for generation.
	Service string
	// Repeatable tells whether the service's calls may run more than once.
	Repeatable bool
	// IdempotencyKey is the caller's key, or empty.
	IdempotencyKey string
	// Call is what to send; its Attempt is filled in for each try.
	Call service.Call
}

// context returns ctx bounded by the work's deadline.
func (w *Work) context(ctx context.Context) (context.Context, context.CancelFunc) {
	if w.Deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, w.Deadline)
}

// Generator is the part of engine.Engine that a forwarder uses.
type Generator interface {
	Generate(ctx context.Context, req engine.GenerateRequest) (engine.Stream, error)
	Cancel(ctx context.Context, attempt string) error
}

// Peer passes work on to an entry of another zone. Implementations never
// repeat a call by themselves; failures are *failure.Request.
type Peer interface {
	Generate(ctx context.Context, w *Work, req engine.GenerateRequest) (engine.Stream, error)
	Do(ctx context.Context, w *Work, call service.Call) (*service.Answer, error)
}

// Target is one place to send an attempt to. Exactly one of Engine, Service
// and Peer is set.
type Target struct {
	// Name is the endpoint's name, or the peer VM's.
	Name string
	// Pool names the retry budget that the target draws on.
	Pool string
	// Zone is the target's availability zone.
	Zone    string
	Engine  Generator
	Service service.Endpoint
	Peer    Peer
}

// Attempt describes the try that a route is wanted for.
type Attempt struct {
	// ID is the attempt's id, as the endpoint will see it.
	ID string
	// Tried names the targets that earlier attempts failed on, in order.
	Tried []string
	// Emitted is the number of tokens that the caller already holds.
	Emitted int
	// Version is the version of the weights that those tokens were computed
	// with; the plan must have the same one. Empty takes any.
	Version string
	// Prefilled is set when an engine holds the prompt's KV cache for whichever serves: the plan
	// needs no prefill.
	Prefilled bool
}

// Plan is where one attempt goes.
type Plan struct {
	Target Target
	// Version is the version of the weights that Target will be asked for. It
	// may be empty only where a pool never has two versions of a model.
	Version string
	// PrefillTarget, if set, computes the prompt's KV cache for Target to import.
	PrefillTarget *Target
	// Observer is told how the attempt went, PrefillObserver how the prefill
	// did; nil when nobody wants to know.
	Observer, PrefillObserver Observer
	// Recheck tells, after a wait, why Target may no longer be sent to; nil when nothing can change.
	Recheck func() *failure.Request
}

// Observer follows one attempt.
type Observer interface {
	// FirstToken is called when the first piece of text arrives, with the
	// time since the attempt was sent.
	FirstToken(elapsed time.Duration)
	// Finished is called exactly once, after the attempt has ended.
	Finished(Result)
}

// Result is how an attempt ended.
type Result struct {
	// Err is nil when the answer was whole.
	Err *failure.Request
	// Abandoned is set when this side gave up (caller gone, deadline), so
	// that the end says nothing about the endpoint.
	Abandoned bool
	Elapsed   time.Duration
	// Leaving is set when a service's answer or refusal said that its endpoint leaves.
	Leaving bool
	// Tokens were received in this attempt; CachedTokens of the prompt came from cache.
	Tokens       int
	CachedTokens int
}

// Router chooses where an attempt goes. Implementations are safe for
// concurrent use and honour Work.FromOtherZone. Errors are *failure.Request with
// outcome NotRun.
type Router interface {
	Route(ctx context.Context, w *Work, a Attempt) (Plan, error)
}

// Admitter holds work until it may start, or refuses it with *failure.Request.
// The caller calls release exactly once when the work has ended.
type Admitter interface {
	Admit(ctx context.Context, w *Work) (release func(), err error)
}

// Delta is a verified piece of an answer.
type Delta struct {
	// Position is the index of the first token of Text in the whole answer.
	Position int
	Tokens   int
	Text     string
	// Version is the version of the weights that Text was computed with.
	Version string
}

// Sink takes the answer's pieces in order and without gaps. What a sink has
// accepted counts as held by the caller.
type Sink interface {
	Emit(Delta) error
}

// Summary tells about an answer that is whole.
type Summary struct {
	Finish       engine.FinishReason
	Tokens       int
	CachedTokens int
}
