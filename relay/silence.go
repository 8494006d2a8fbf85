package relay

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/watchdog"
)

// An endpoint that sends nothing for a while is sound in most cases, and its run goes on. A silent
// attempt is therefore given up only in favour of another one. Before its response has begun, the
// attempt is abandoned if a plan and a retry are available. A stream is held open until its
// replacement sends an event: a caller that has received events loses everything with the stream, and
// a replacement may be refused.

const (
	// silenceCheckInterval is how often a silent attempt looks for a replacement.
	silenceCheckInterval = 50 * time.Millisecond
	// maxOverlap is how long a silent stream is held while its replacement may be running. Two
	// engines must not work on one request for longer.
	maxOverlap = 250 * time.Millisecond
	// longSilence is how long a stream waits for an endpoint that is known to respond. A sound
	// endpoint is rarely silent for longer, and callers disconnect after two seconds.
	longSilence = 1500 * time.Millisecond
)

// streamResumedError is the cause with which a replacement is cancelled because the silent endpoint
// has sent an event.
type streamResumedError struct{}

// Error implements error.
func (*streamResumedError) Error() string { return "the silent endpoint has sent an event" }

// Reason implements failure.Coded.
func (*streamResumedError) Reason() failure.Reason { return failure.PlanChanged }

// stalled returns the failure of an attempt whose endpoint has sent nothing for too long.
func stalled(since time.Time) *failure.Request {
	return &failure.Request{
		Code: failure.EndpointStalled, Ran: failure.Unknown, Message: "the endpoint stopped answering",
		Cause: &watchdog.StalledError{Limit: clock.Since(since)},
	}
}

// replaceable returns a function that reports whether an attempt at an endpoint may be abandoned in
// favour of another. It may be called while the attempt is in progress.
func (j *job) replaceable(endpoint string) func() bool {
	req, budget := j.req, j.relay.cfg.Budget(j.req.Service)
	state := j.replacementState(endpoint)
	return func() bool { return budget.Available() && j.relay.cfg.Planner.Available(req, state) }
}

// replacementState describes the attempts to the planner as if the one at an endpoint had failed.
func (j *job) replacementState(endpoint string) AttemptState {
	state := j.attemptState()
	state.Number++
	state.Tried = append(slices.Clip(state.Tried), endpoint)
	if state.Handle != nil {
		state.Handle, state.Colocated = nil, true
	}
	return state
}

// startReplacement plans the replacement of a silent stream and holds the stream. It returns false if
// there is none at present.
func (j *job) startReplacement(s *openStream) bool {
	if j.held != nil {
		return false
	}
	if routed, failed := j.currentRoute(); failed != nil || routed != j.req {
		return false
	}
	suspicion, failed := j.relay.cfg.Guard.Check(j.req)
	if failed != nil {
		return false
	}
	j.suspicion, j.handle = suspicion, nil // the engine has imported the cache, since its response has begun
	plan, failed := j.planReplacement(s)
	if failed != nil {
		klog.V(1).InfoS("relay: silent stream has no replacement", "request", j.req.ID, "endpoint", s.plan.Serve.ID, "reason", failed.Code, "cause", failed.Message)
		return false
	}
	j.held, j.replacement = s, plan
	klog.InfoS("relay: stream is silent, trying another endpoint", "request", j.req.ID, "endpoint", s.plan.Serve.ID, "other", plan.Serve.ID,
		"silentMS", clock.Since(s.heardAt).Milliseconds(), "heldEvents", j.lastEventID, "backup", j.resumeHandle != nil)
	return true
}

// planReplacement plans the replacement of a silent stream and takes a retry for it. Resuming on the
// backup is no retry.
func (j *job) planReplacement(s *openStream) (Plan, *failure.Request) {
	state := j.replacementState(s.plan.Serve.ID)
	state.HeardSince = j.requiredSince(s)
	j.withdrawn, j.plannedAt = nil, clock.Now()
	if s.plan.Backup != nil && s.begun {
		state.Resume = s.plan.Backup
		plan, failed := j.relay.cfg.Planner.Plan(j.req, state)
		if failed == nil {
			j.resumeHandle = &KVHandle{Endpoint: s.plan.Backup, ID: j.req.ID}
		}
		return plan, failed
	}
	if !j.req.Route.Repeatable() || j.result.Attempts+1 >= j.req.Route.MaxAttempts {
		return Plan{}, &failure.Request{Code: failure.EndpointStalled, Ran: failure.Unknown, Message: "the route allows no other attempt"}
	}
	budget := j.relay.cfg.Budget(j.req.Service)
	if !budget.Available() {
		return Plan{}, noRetryLeft()
	}
	plan, failed := j.relay.cfg.Planner.Plan(j.req, state)
	if failed != nil {
		return Plan{}, failed
	}
	if !budget.Take() {
		plan.Watch.Finished(nil, true)
		return Plan{}, noRetryLeft()
	}
	countRetry(failure.EndpointStalled)
	return plan, nil
}

// noRetryLeft returns the failure of a replacement that the retry budget does not allow.
func noRetryLeft() *failure.Request {
	countRefusedRetry(failure.RetryBudget)
	return &failure.Request{Code: failure.RetryBudget, Ran: failure.NotRun, Message: "the retry budget is exhausted"}
}

// requiredSince returns since when the endpoint of a replacement must have been heard from; zero if
// it need not.
func (j *job) requiredSince(s *openStream) time.Time {
	if !j.result.HeadSent || clock.Since(s.heardAt) >= longSilence {
		return time.Time{}
	}
	return s.heardAt
}

// replaceHeld makes the attempt that replaces the held stream. If it fails before its first event,
// the stream goes on.
func (j *job) replaceHeld(ctx context.Context) *failure.Request {
	silent := j.held
	replacementCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silent.hold(func() { cancel(&streamResumedError{}) })
	j.ran = j.ran.Combine(failure.Unknown)
	failed := j.attempt(replacementCtx, j.replacement)
	j.held = nil
	if failed == nil || !silent.reclaim() {
		j.endReplaced(ctx, silent)
		return failed
	}
	j.logFailure(failed)
	klog.InfoS("relay: silent stream goes on", "request", j.req.ID, "endpoint", silent.plan.Serve.ID, "silentMS", clock.Since(silent.heardAt).Milliseconds())
	if j.withdrawn == nil && !isUnreachable(failed) {
		silent.plan.Backup = nil // it has no usable copy, or the copy was used up
	}
	j.withdrawn, j.resumeHandle = nil, nil
	j.result.Endpoint = silent.plan.Serve.ID
	return j.endStream(ctx, silent, j.forward(silent))
}

// limitOverlap limits the time for which the held stream stays open, if there is one, since its
// replacement has been sent.
func (j *job) limitOverlap() {
	if silent := j.held; silent != nil {
		time.AfterFunc(maxOverlap, func() { silent.release() })
	}
}

// commitReplacement gives up the held stream, if there is one, because its replacement responds. It
// returns a failure if the stream has gone on before.
func (j *job) commitReplacement() *failure.Request {
	if j.held == nil || j.held.release() {
		return nil
	}
	return &failure.Request{Code: failure.PlanChanged, Ran: failure.Unknown, Message: "the stream that was to be replaced has gone on"}
}

// endReplaced ends an attempt in favour of its replacement.
func (j *job) endReplaced(ctx context.Context, s *openStream) {
	s.close()
	failed := stalled(s.heardAt)
	s.plan.Watch.Finished(failed, false)
	j.relay.cfg.Guard.Ended(j.req, s.plan.Serve, RunEnd{Outcome: runOutcome(ctx, failed), Streaming: s.begun})
	j.recordTried(s.plan.Serve, failed)
}
