package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/h1"
	"github.com/springweir/springweir/internal/watchdog"
)

// An endpoint that sends nothing for a while is sound in most cases, and its run goes on. A silent
// attempt is therefore given up only in favour of another one. A stream is held open until its
// replacement responds: a caller that has received events loses everything with the stream, and a
// replacement may be refused.
//
// Once the replacement was sent, two engines may work on one request. The replacement has precedence
// then, and the stream is released maxOverlap later at the latest.

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

// streamResumed reports whether a replacement was cancelled because the silent endpoint has sent an
// event.
func streamResumed(ctx context.Context) bool {
	_, ok := context.Cause(ctx).(*streamResumedError)
	return ok
}

// stalled returns the failure of an attempt whose endpoint has sent nothing for some time.
func stalled(silence time.Duration) *failure.Request {
	return &failure.Request{
		Code: failure.EndpointStalled, Ran: failure.Unknown, Message: "the endpoint stopped answering",
		Cause: &watchdog.StalledError{Limit: silence},
	}
}

// verdict returns how the end of an attempt is reported to the planner, after a silence that was
// observed at its end. An endpoint that was silent for long until the deadline has failed. One whose answer the
// caller did not read has not.
func verdict(ctx context.Context, failed *failure.Request, silence time.Duration) (reported *failure.Request, abandoned bool) {
	if failed != nil && silence >= longSilence && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return stalled(silence), false
	}
	return failed, isAbandoned(ctx, failed) || failed != nil && failed.Code == failure.AnswerUnread
}

// replacementState describes the attempts to the planner as if the one at an endpoint had failed.
func (j *job) replacementState(endpoint string) AttemptState {
	state := j.attemptState()
	state.Number++
	state.Tried = append(slices.Clip(state.Tried), endpoint)
	state.Resume = nil
	return state
}

// startReplacement prepares the replacement of a silent stream. It returns false if there is none at
// present. The stream is held, unless the request is now routed elsewhere.
func (j *job) startReplacement(s *openStream) bool {
	routed, failed := j.currentRoute()
	if failed != nil {
		return false
	}
	if !s.counted {
		j.handle = nil // the engine has imported the cache, since its response has begun
	}
	next, resume, failed := j.prepareReplacement(s, routed)
	if failed != nil {
		klog.V(1).InfoS("relay: silent stream has no replacement", "request", j.req.ID, "endpoint", s.plan.Serve.ID, "reason", failed.Code, "cause", failed.Message)
		return false
	}
	if routed != j.req {
		j.next = next
		return true
	}
	j.resumeHandle = resume
	j.suspicion, j.plannedAt, j.withdrawn = next.suspicion, next.plannedAt, nil
	j.held, j.replacement = s, next.plan
	klog.InfoS("relay: stream is silent, trying another endpoint", "request", j.req.ID, "endpoint", s.plan.Serve.ID, "other", next.plan.Serve.ID,
		"silentMS", clock.Since(s.heardAt).Milliseconds(), "heldEvents", j.lastEventID, "backup", resume != nil)
	return true
}

// prepareReplacement plans the replacement of a silent stream and takes a retry for it. Resuming on the
// backup, whose copy is returned, is no retry.
func (j *job) prepareReplacement(s *openStream, routed *Request) (*preparedAttempt, *KVHandle, *failure.Request) {
	state := j.replacementState(s.plan.Serve.ID)
	state.HeardSince = j.requiredSince(s)
	if j.replans > maxReplans || j.enough(len(state.Tried)) {
		return nil, nil, noFurtherAttempt()
	}
	if s.plan.Backup != nil && s.begun && routed == j.req {
		state.Resume = s.plan.Backup
		next, failed := j.relay.planAttempt(routed, state)
		return next, &KVHandle{Endpoint: s.plan.Backup, ID: j.req.ID}, failed
	}
	if !routed.Route.Repeatable() || j.attemptsWith(s) >= routed.Route.MaxAttempts {
		return nil, nil, noFurtherAttempt()
	}
	next, failed := j.relay.prepareAttempt(routed, state, j.req.Service, j.retryKept)
	if failed != nil {
		return nil, nil, failed
	}
	if !j.retryKept {
		j.arrivals.retries++
	}
	j.retryKept = false
	return next, nil, nil
}

// attemptsWith returns the number of attempts including that of a stream.
func (j *job) attemptsWith(s *openStream) int {
	if s.counted {
		return j.result.Attempts
	}
	return j.result.Attempts + 1
}

// noFurtherAttempt returns the failure of a replacement that the request's limits do not allow.
func noFurtherAttempt() *failure.Request {
	return &failure.Request{Code: failure.EndpointStalled, Ran: failure.Unknown, Message: "the request allows no other attempt"}
}

// requiredSince returns since when the endpoint of a replacement must have been heard from; zero if
// it need not.
func (j *job) requiredSince(s *openStream) time.Time {
	if !j.result.HeadSent || clock.Since(s.heardAt) >= longSilence {
		return time.Time{}
	}
	return s.heardAt
}

// replaceHeld makes the attempt that replaces the held stream. The stream goes on if its endpoint sends
// an event before the replacement was sent, or if the replacement does not run any more.
func (j *job) replaceHeld(ctx context.Context) *failure.Request {
	silent, resumes := j.held, j.resumeHandle != nil
	// A replacement that is held in its turn outlives this call. Its context ends with the request.
	replacementCtx, cancel := context.WithCancelCause(ctx)
	silent.hold(func() { cancel(&streamResumedError{}) }, j.releaser(ctx, silent))
	j.ran = j.ran.Combine(failure.Unknown)
	failed := j.attempt(replacementCtx, j.replacement)
	if j.held != silent {
		return failed // the replacement has responded
	}
	if !runIsOver(replacementCtx, failed, resumes) {
		silent.release()
	}
	resumed := streamResumed(replacementCtx)
	cancel(nil)
	if !silent.reclaim() {
		j.dropHeld()
		return failed
	}
	j.held = nil
	j.logFailure(failed)
	klog.InfoS("relay: silent stream goes on", "request", j.req.ID, "endpoint", silent.plan.Serve.ID, "silentMS", clock.Since(silent.heardAt).Milliseconds())
	j.settleReplacement(silent, failed, resumes, resumed)
	return j.endStream(ctx, silent, j.forward(silent))
}

// settleReplacement records what a failed replacement means for later ones of the same stream.
func (j *job) settleReplacement(silent *openStream, failed *failure.Request, resumes, resumed bool) {
	silent.replaceableAt = clock.Now().Add(silenceCheckInterval)
	notSent := j.withdrawn != nil || isUnreachable(failed)
	switch {
	case notSent:
		j.retryKept = !resumes
	case resumes:
		silent.plan.Backup = nil // it has no usable copy, or the copy was used up
	}
	if j.withdrawn != nil && !resumed {
		j.replans++
		silent.final = j.withdrawn.Code != failure.PlanChanged
	}
	j.withdrawn, j.resumeHandle = nil, nil
	j.result.Endpoint = silent.plan.Serve.ID
}

// runIsOver reports whether a failed replacement certainly does not run any more: it did not run, it has
// responded with an error, or its endpoint has closed the connection before it responded. A run that was
// resumed on its backup is the same run, and goes on elsewhere only if the backup has not begun it.
func runIsOver(ctx context.Context, failed *failure.Request, resumes bool) bool {
	switch {
	case failed == nil:
		return false
	case failed.Ran == failure.NotRun:
		return true
	case resumes, overResponseLimit(failed):
		return false
	case failed.Ran == failure.Done, failed.Code == failure.EndpointFailed:
		return true
	case failed.Code != failure.EndpointBroke || ctx.Err() != nil:
		return false
	}
	return !errors.Is(failed.Cause, unix.ETIMEDOUT) // the kernel gave the connection up
}

// overResponseLimit reports whether this VM gave a run up because its response was over a limit. The run may go on.
func overResponseLimit(failed *failure.Request) bool {
	var limit *h1.LimitError
	return errors.As(failed.Cause, &limit)
}

// releaser returns a function that reports the end of a stream that is given up in favour of its
// replacement. It may be called from any goroutine.
func (j *job) releaser(ctx context.Context, s *openStream) func() {
	req, guard, plan, heardAt := j.req, j.relay.cfg.Guard, s.plan, s.heardAt
	streaming, answered := j.streaming(), s.begun
	return func() {
		failed := stalled(clock.Since(heardAt))
		await := guard.Ended(req, plan.Serve, RunEnd{Outcome: runOutcome(ctx, failed), Streaming: streaming, Answered: answered})
		plan.Watch.Finished(failed, isAbandoned(ctx, failed))
		await()
	}
}

// startOverlap limits the time for which the held stream stays open, if there is one, since its
// replacement is sent now. It returns a failure if the stream has gone on before.
func (j *job) startOverlap() *failure.Request {
	if j.held != nil && !j.held.startOverlap() {
		j.withdrawn = planChanged(StreamResumed)
		return j.withdrawn
	}
	return nil
}

// commitReplacement gives up the held stream, if there is one, because its replacement responds. It
// returns a failure if the stream has gone on before.
func (j *job) commitReplacement() *failure.Request {
	if j.held == nil {
		return nil
	}
	if !j.held.release() {
		return &failure.Request{Code: failure.PlanChanged, Ran: failure.Unknown, Message: "the stream that was to be replaced has gone on"}
	}
	j.dropHeld()
	return nil
}

// dropHeld records that the held stream was given up.
func (j *job) dropHeld() {
	j.recordTried(j.held.plan.Serve, stalled(clock.Since(j.held.heardAt)))
	j.held = nil
}
