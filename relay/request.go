// Package relay forwards a caller's request unmodified to an endpoint, and the response back to the
// caller. It makes one attempt at a time, each for a specific endpoint, retries only where that is
// safe, and continues a stream on another endpoint if its route allows that.
//
// A request ends in one of three ways: with a complete response of one endpoint, with a failure of
// this system (a *failure.Request that states whether the request ran), or with a connection that
// is closed within a response that could not be completed.
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

// Request is one request of a caller. It must not be modified once it was passed to a Relay.
type Request struct {
	// ID is unique to the request.
	ID string
	// Method, Target (the request target including its query) and Host are as sent by the caller.
	Method, Target, Host string
	// Header holds the fields to forward, without hop-by-hop fields and those that only this system
	// may set.
	Header http.Header
	Body   []byte
	// HasBody distinguishes an empty body from no body.
	HasBody bool
	// Caller is the address of the caller, without a port.
	Caller string
	// Received is when the request's head had been read, but not yet its body.
	Received time.Time
	// Deadline is when the response must be complete: the caller's time limit or the route's,
	// whichever is sooner. Zero means none.
	Deadline time.Time
	// Config is the configuration that contains Route.
	Config *routes.Config
	// Route is the route of the request, and Service the service chosen among its targets.
	Route   *routes.Route
	Service string
	// Credential is what the caller authenticated with, and Organisation the organisation that it
	// belongs to: nil on open routes and if the configuration names no organisations.
	Credential   organisation.Credential
	Organisation *organisation.Organisation
	// Prompt is set if the request describes a generation.
	Prompt *prompt.Prompt
	// LastEventID is the ID of the last event of the stream that the caller has received; zero
	// starts from the beginning.
	LastEventID int
	// Origin is the ID of the request that brought the stream's first event, if the request takes up a
	// stream and the caller states it.
	Origin string
}

// TakesUp reports whether the request takes up a stream of which the caller has received events.
func (r *Request) TakesUp() bool { return r.LastEventID > 0 || r.Origin != "" }

// Remaining returns the time until the deadline, at least one millisecond, or zero if there is
// none.
func (r *Request) Remaining(now time.Time) time.Duration {
	if r.Deadline.IsZero() {
		return 0
	}
	return max(r.Deadline.Sub(now), time.Millisecond)
}

// Priority returns the priority of the request; 0 is the most urgent. The organisation's priority
// overrides the route's.
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

// Attempt is one attempt to run a request, or its prefill, on one endpoint.
type Attempt struct {
	Request  *Request
	Endpoint *directory.Endpoint
	// LastEventID is the ID of the last event that the caller has received.
	LastEventID int
	// Import names the KV cache that the endpoint has to import, or is nil.
	Import *KVHandle
	// CopyFrom is an engine from which the endpoint copies missing parts of the prompt's KV cache
	// before it prefills the rest, or is nil.
	CopyFrom *directory.Endpoint
	// Backup is an engine to which the endpoint replicates the state of the run incrementally, or
	// nil.
	Backup *directory.Endpoint
	// BeforeSend is called by the Upstream once it has a connection, just before it writes the
	// first byte. If it returns a failure, the Upstream writes nothing and returns that failure.
	BeforeSend func() *failure.Request
}

// KVHandle identifies the KV cache of a prompt that an engine holds for a limited time.
type KVHandle struct {
	// Endpoint is the engine that holds the cache.
	Endpoint *directory.Endpoint
	// ID identifies the cache on the endpoint.
	ID string
	// Tokens is the length of the cache, in tokens.
	Tokens int
}

// UntilClose is the length of a body with neither a length nor chunks, which ends with its connection.
const UntilClose = -2

// Response is an endpoint's response whose head was read. Read returns io.EOF only at the end of a
// complete body. Close discards the unread rest and must be called exactly once.
type Response interface {
	Status() int
	// Header returns the fields to forward to the caller.
	Header() http.Header
	// Length returns the length of the body, or -1 if it is unknown, or UntilClose.
	Length() int64
	Read(p []byte) (int, error)
	Close()
}

// Upstream sends attempts to endpoints and never retries by itself. Its failures state whether the
// attempt ran; an attempt of which nothing reached the endpoint fails with reason
// EndpointUnreachable.
type Upstream interface {
	// Send sends the attempt and returns once the response's head was read.
	Send(ctx context.Context, a *Attempt) (Response, *failure.Request)
	// Prefill makes the endpoint prefill the prompt and hold its KV cache for an import.
	Prefill(ctx context.Context, a *Attempt) (*KVHandle, *failure.Request)
	// Free makes an engine drop a KV cache that will not be imported.
	Free(ctx context.Context, h *KVHandle) error
}

// ResponseWriter writes a response to the caller. Its methods return an error once the caller has
// disconnected.
type ResponseWriter interface {
	// WriteHead sends the head. Length is the length of the body, or -1 if it is unknown.
	WriteHead(status int, header http.Header, length int64) error
	// Write sends a chunk of the body immediately.
	Write(p []byte) error
}

// Plan is the placement of one attempt.
type Plan struct {
	Serve *directory.Endpoint
	// Prefill, if set, prefills the prompt and holds its KV cache for Serve.
	Prefill *directory.Endpoint
	// CopyFrom, if set, holds more of the prompt's KV cache than the engine that prefills, which
	// copies it first.
	CopyFrom *directory.Endpoint
	// Backup, if set, receives a copy of the run, which resumes there if Serve is lost.
	Backup *directory.Endpoint
	// ExpectedLatency is the predicted time until the first event or the head of the response.
	ExpectedLatency time.Duration
	// Patience is the time after which silence of Serve is unusual, counted from the plan. Zero means
	// unknown. It extends the time that an attempt may take, never shortens it.
	Patience time.Duration
	// Answering, if set, reports whether Serve has sent this VM anything since the plan. It may be
	// called from any goroutine.
	Answering func() bool
	// Watch receives the progress of the attempt.
	Watch Watch
}

// Watch receives the progress of one attempt, so that later decisions can take it into account. An
// attempt is abandoned if this VM or its caller gave it up, which does not reflect on the endpoint.
type Watch interface {
	// Recheck returns why the plan's endpoint can no longer be used, with regard to its health and
	// its role, or an empty PlanChange if it can.
	Recheck(e *directory.Endpoint) PlanChange
	// Prefilled is called when the prefill has completed or failed.
	Prefilled(failed *failure.Request, abandoned bool)
	// FirstEvent is called on the first event of a stream or the head of any other response.
	FirstEvent()
	// Event is called on each later event of a stream.
	Event()
	// Finished is called exactly once, after the attempt has ended, from any goroutine.
	Finished(failed *failure.Request, abandoned bool)
}

// AttemptState describes the earlier attempts of a request to the Planner.
type AttemptState struct {
	// Number is the number of earlier plans that failed or were discarded.
	Number int
	// Tried holds the IDs of the endpoints on which attempts of the request failed.
	Tried []string
	// Handle names an existing KV cache of the prompt, or is nil.
	Handle *KVHandle
	// Colocated requires one engine that both prefills and decodes.
	Colocated bool
	// Streaming is set if the request has produced events.
	Streaming bool
	// Suspicion is the evidence that the request crashes endpoints.
	Suspicion Suspicion
	// Software, if set, is the only software that may serve the request, because it began the stream.
	Software *directory.Software
	// HeardSince, if set, excludes endpoints that have sent this VM nothing since then. It is set
	// while another endpoint is silent, which may share its cause with others.
	HeardSince time.Time
	// Resume, if set, is the engine that holds a copy of the run and on which the run must resume.
	Resume *directory.Endpoint
}

// Allows reports whether the software of an endpoint may serve the request.
func (s *AttemptState) Allows(e *directory.Endpoint) bool {
	return s.Software == nil || *s.Software == e.Software()
}

// Planner decides where an attempt goes. Its failures have the outcome NotRun.
type Planner interface {
	// Plan reserves the plan until its Watch is finished. It may be called from any goroutine.
	Plan(r *Request, state AttemptState) (Plan, *failure.Request)
}
