package relay

import (
	"context"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/h1"
)

// Guard observes how requests affect the endpoints that run them, and refuses requests that crash
// endpoints.
type Guard interface {
	// Check returns the failure of a request that must not run, or nil, and otherwise whether the
	// request is suspected of crashing endpoints. It is called before each attempt is planned and
	// again before it is sent.
	Check(r *Request) (Suspicion, *failure.Request)
	// Started is called just before an attempt or a separate prefill is sent.
	Started(r *Request, e *directory.Endpoint)
	// Answered is called when an endpoint begins to write a successful answer. It may be called from any
	// goroutine.
	Answered(r *Request)
	// Ended is called at the end of each attempt and separate prefill, also of one that was not
	// sent, from any goroutine, before the planner learns of it. The request is planned again only after
	// await, which waits until it is known whether the endpoint crashed, for a bounded time.
	Ended(r *Request, e *directory.Endpoint, end RunEnd) (await func())
}

// Suspicion is the evidence that a request crashes endpoints. The zero value means that there is
// none.
type Suspicion struct {
	// Crashes is the number of endpoints that the request is suspected of having crashed.
	Crashes int
	// Bystander is set if Crashes is zero because another request explains each crash at which this one was
	// at work better. Two requests that crash endpoints may have been there.
	Bystander bool
	// Unknown is set if the request is suspected of no crash, but would better run where equal requests run:
	// few endpoints are left.
	Unknown bool
	// Key identifies the request across its repetitions. It is zero if Crashes is and neither Bystander nor
	// Unknown is set.
	Key uint32
	// Others is set if other requests are suspected of crashes at which this one was not at work.
	Others bool
	// CopiesOn holds the IDs of the endpoints on which copies of the request are known to be running.
	CopiesOn []string
}

// RunOutcome is how an attempt ended from the point of view of its endpoint.
type RunOutcome int

const (
	// RunCompleted means that the endpoint sent a complete response, which may report an error.
	RunCompleted RunOutcome = iota
	// RunPrefilled means that a separate prefill succeeded. The request itself has not run.
	RunPrefilled
	// RunRefused means that the request did not run.
	RunRefused
	// RunUnreached means that the request did not run because the endpoint was not reached.
	RunUnreached
	// RunInterrupted means that the endpoint closed or reset the connection.
	RunInterrupted
	// RunAbandoned means that this VM or the caller gave up, for example because the endpoint was
	// unresponsive. The endpoint may still be running the request.
	RunAbandoned
)

// RunEnd describes how an attempt ended.
type RunEnd struct {
	Outcome RunOutcome
	// Streaming is set if the request has produced events, in this attempt or an earlier one.
	Streaming bool
	// Answered is set if the endpoint has written a part of a successful answer in this attempt: an event, or
	// a complete response of another kind.
	Answered bool
}

// noGuard is the Guard used if Config has none. It accepts every request.
type noGuard struct{}

// Check implements Guard.
func (noGuard) Check(*Request) (Suspicion, *failure.Request) { return Suspicion{}, nil }

// Started implements Guard.
func (noGuard) Started(*Request, *directory.Endpoint) {}

// Answered implements Guard.
func (noGuard) Answered(*Request) {}

// Ended implements Guard.
func (noGuard) Ended(*Request, *directory.Endpoint, RunEnd) func() { return func() {} }

// reportEnd reports to the guard how an attempt on an endpoint ended, and whether the endpoint had
// written a part of an answer. The result is that of Guard.Ended.
func (j *job) reportEnd(ctx context.Context, e *directory.Endpoint, failed *failure.Request, answered bool) (await func()) {
	return j.relay.cfg.Guard.Ended(j.req, e, RunEnd{Outcome: runOutcome(ctx, failed), Streaming: j.streaming(), Answered: answered})
}

// streaming reports whether the request has produced events, in this attempt or an earlier one.
func (j *job) streaming() bool { return j.result.Events > 0 || j.lastEventID > 0 }

// runOutcome classifies the end of an attempt; a nil failure is a success.
func runOutcome(ctx context.Context, failed *failure.Request) RunOutcome {
	switch {
	case failed == nil || failed.Ran == failure.Done:
		return RunCompleted
	case isUnreachable(failed):
		return RunUnreached
	case failed.Ran == failure.NotRun:
		return RunRefused
	case isAbandoned(ctx, failed):
		return RunAbandoned
	case h1.ClosedByPeer(failed.Cause):
		return RunInterrupted
	}
	return RunAbandoned
}
