// Package relay passes a caller's request to endpoints unaltered and the answer
// back: one attempt at a time, each bound to the endpoint that it was meant for,
// repeated only where that is safe, with a stream continued on another endpoint
// where its route allows that.
//
// A request ends in one of three ways: a whole answer of one endpoint, a refusal
// of our own (a *failure.Request that says truthfully whether it ran), or a
// connection broken off in the middle of an answer that could not be finished.
package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/organisation"
	"github.com/springweir/springweir/prompt"
	"github.com/springweir/springweir/routes"
)

// Request is one request of a caller. It is not changed once it has been handed
// to a Relay.
type Request struct {
	// ID is unique for each request of a caller.
	ID string
	// Method, Target (the request target with its query) and Host are as the
	// caller sent them.
	Method, Target, Host string
	// Header holds what is passed on: neither fields of one connection nor those
	// that only this system may set.
	Header http.Header
	Body   []byte
	// HasBody tells an empty body from none.
	HasBody bool
	// Caller is the address that the request came from, without a port.
	Caller string
	// Received is when the request's head had been read; its body came in after that.
	Received time.Time
	// Deadline is when the answer must be whole: the caller's own time limit or
	// the route's, whichever is sooner. Zero means none.
	Deadline time.Time
	// Config is the configuration that Route is of.
	Config *routes.Config
	// Route allows the request; Service is the one chosen among its targets.
	Route   *routes.Route
	Service string
	// Credential is what the caller showed of who it is, and Organisation whom that stands for:
	// nil on open routes, and where the configuration names no organisations.
	Credential   organisation.Credential
	Organisation *organisation.Organisation
	// Prompt is set when the caller described a generation.
	Prompt *prompt.Prompt
	// LastEventID is the number of the last event of the stream that the caller
	// holds already; zero starts anew.
	LastEventID int
}

// Remaining is the time until the deadline, or zero when there is none.
func (r *Request) Remaining(now time.Time) time.Duration {
	if r.Deadline.IsZero() {
		return 0
	}
	return max(r.Deadline.Sub(now), time.Millisecond)
}

// Priority is how urgent the request is: the organisation's rank goes before the route's. 0 is the
// most urgent.
func (r *Request) Priority() int {
	if r.Organisation != nil && r.Organisation.Priority != nil {
		return *r.Organisation.Priority
	}
	return r.Route.Priority
}

// context returns ctx bounded by the deadline.
func (r *Request) context(ctx context.Context) (context.Context, context.CancelFunc) {
	if r.Deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return clock.WithDeadline(ctx, r.Deadline)
}

// Attempt is one sending of a request to one endpoint.
type Attempt struct {
	Request  *Request
	Endpoint *directory.Endpoint
	// LastEventID is the number of the last event that the caller holds.
	LastEventID int
	// Import names the KV cache that the endpoint is to fetch, or is nil.
	Import *KVHandle
	// CopyFrom is an engine from which the endpoint first copies what it lacks of the
	// prompt's KV cache, before it prefills the rest, or is nil.
	CopyFrom *directory.Endpoint
	// Backup is an engine to which the endpoint sends what it holds of the run as that grows, or nil.
	Backup *directory.Endpoint
	// BeforeSend is called by the Upstream when all that is left is to write: once there is a
	// connection, just before the first byte. With a failure nothing is written, and that is the
	// attempt's failure.
	BeforeSend func() *failure.Request
}

// KVHandle names a prompt's KV cache that an engine holds for a short time.
type KVHandle struct {
	// Endpoint holds the cache.
	Endpoint *directory.Endpoint
	// ID is the endpoint's name for it.
	ID string
	// Tokens is the length of the cache.
	Tokens int
}

// Response is an endpoint's answer whose head was read. Read returns io.EOF only
// at its true end. Close drops what was not read and must be called once.
type Response interface {
	Status() int
	// Header holds what is passed back to the caller.
	Header() http.Header
	// Length is the length of the body, or -1 when only its end shows it.
	Length() int64
	Read(p []byte) (int, error)
	Close()
}

// Upstream sends attempts to endpoints. It never repeats one by itself. Its
// failures say whether the attempt ran; an attempt of which nothing reached the
// endpoint fails with reason EndpointUnreachable.
type Upstream interface {
	// Send makes the attempt and returns once the answer's head was read.
	Send(ctx context.Context, a *Attempt) (Response, *failure.Request)
	// Prefill has the prompt read and its KV cache held for an importer.
	Prefill(ctx context.Context, a *Attempt) (*KVHandle, *failure.Request)
	// Free tells an engine to drop a KV cache that nobody will import.
	Free(ctx context.Context, h *KVHandle) error
}

// ResponseWriter takes an answer on its way to the caller. Methods return an error once
// the caller is gone.
type ResponseWriter interface {
	// WriteHead sends the head. Length is -1 when only the end of the body shows it.
	WriteHead(status int, header http.Header, length int64) error
	// Write sends a piece of the body at once.
	Write(p []byte) error
}

// Plan is where one attempt goes.
type Plan struct {
	Serve *directory.Endpoint
	// Prefill, if set, reads the prompt and holds its KV cache for Serve.
	Prefill *directory.Endpoint
	// CopyFrom, if set, holds more of the prompt's KV cache than the engine that
	// prefills, which copies that first.
	CopyFrom *directory.Endpoint
	// Backup, if set, is to hold a copy of the run, from which it goes on if Serve is lost.
	Backup *directory.Endpoint
	// ExpectedLatency is when the first sign of an answer is predicted, from now.
	ExpectedLatency time.Duration
	// Watch follows the attempt.
	Watch Watch
}

// Watch follows one attempt, so that the next decisions know of it. abandoned
// says that this side gave up, which tells nothing about the endpoint.
type Watch interface {
	// Recheck tells why an endpoint of the plan may no longer be sent to, as far as its health
	// and its role are concerned; empty if it may.
	Recheck(e *directory.Endpoint) PlanChange
	// Prefilled is called when the prefill engine has read the prompt, or failed to.
	Prefilled(failed *failure.Request, abandoned bool)
	// FirstEvent is called when the first event or the answer's head has come.
	FirstEvent()
	// Finished is called exactly once, after the attempt has ended.
	Finished(failed *failure.Request, abandoned bool)
}

// AttemptState is what a plan is wanted for.
type AttemptState struct {
	// Number counts the plans made before.
	Number int
	// Tried names the endpoints that attempts of the request have failed on.
	Tried []string
	// Handle is a KV cache of the prompt that was made already, or nil.
	Handle *KVHandle
	// Colocated asks for an engine that prefills and decodes.
	Colocated bool
	// Resume, if set, is the engine that holds a copy of the run, which is to go on there.
	Resume *directory.Endpoint
}

// Planner decides where an attempt goes. The error is a *failure.Request with
// outcome NotRun.
type Planner interface {
	Plan(r *Request, try AttemptState) (Plan, *failure.Request)
}
