package relay

import (
	"context"
	"slices"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/watchdog"
	"github.com/springweir/springweir/routes"
)

// Relay forwards requests to endpoints. It is safe for concurrent use.
type Relay struct {
	cfg    Config
	bodies bodyReader
	slow   slowBudget
}

// Result describes how a request ended.
type Result struct {
	// Failure is nil if the caller received a complete response.
	Failure *failure.Request
	// HeadSent is set if the head of a response was sent to the caller. A later failure can only be
	// signalled by closing the connection.
	HeadSent bool
	// Status is the status of the response, if its head was sent.
	Status int
	// Unframed is set if the endpoint's response, whose head was sent, had neither a length nor chunks.
	Unframed bool
	// Endpoint is the ID of the last endpoint tried.
	Endpoint string
	// Attempts counts the attempts that may have reached an endpoint.
	Attempts int
	// Events counts the events forwarded to the caller.
	Events int
	// TimeToHead is the time from Request.Received until the head of the response was sent.
	TimeToHead time.Duration
	// MaxEventGap is the longest time between two forwarded events.
	MaxEventGap time.Duration
}

// Serve runs one request and writes its response to writer. If the result has a Failure without
// HeadSent, nothing was written, and the caller of Serve must write the failure.
func (r *Relay) Serve(ctx context.Context, req *Request, writer ResponseWriter) Result {
	ctx, cancel := req.context(ctx)
	defer cancel()
	job := &job{relay: r, req: req, writer: writer, lastEventID: req.LastEventID, ran: failure.NotRun}
	job.run(ctx)
	job.dropFallback()
	return job.result
}

// job is the state of one request across its attempts. It is confined to one goroutine.
//
// Invariant: ran is NotRun only while every attempt so far provably did not run.
type job struct {
	relay  *Relay
	req    *Request
	writer ResponseWriter
	result Result
	// lastEventID is the ID of the last event that the caller received, and lastEventAt is when
	// this process forwarded it.
	lastEventID int
	lastEventAt time.Time
	ran         failure.Outcome
	// tried holds the IDs of the endpoints on which attempts failed, and refused is the number of
	// those that refused the connection.
	tried       []string
	refused     int
	lastFailure *failure.Request
	// handle names a KV cache of the prompt that no engine has imported yet.
	handle *KVHandle
	// prefilled is set once a separate engine has prefilled the prompt.
	prefilled bool
	// silence is how long the endpoint of the last attempt was silent before it responded or failed.
	silence time.Duration
	// plannedAt is when the current plan was made, and replans counts the plans that were discarded
	// before anything was sent.
	plannedAt time.Time
	replans   int
	// suspicion is the evidence that the request crashes endpoints, as of the current plan.
	suspicion Suspicion
	// withdrawn is why the current attempt was not sent as planned, or nil.
	withdrawn *failure.Request
	// counted is set once the meter has counted the request. pendingSend reports to the meter
	// whether the attempt that was last sent has run; it is nil if there is none to report.
	counted     bool
	pendingSend func(ran bool)
	// software is what the stream is bound to: that which sent the first event that the caller received.
	// It is nil before that event.
	software *directory.Software
	// backup is the backup engine of the last attempt. resumeHandle names the copy of the run from
	// which the next attempt resumes, or is nil.
	backup       *directory.Endpoint
	resumeHandle *KVHandle
	// current is the stream of the current attempt, or nil. held is a silent stream that is kept
	// while replacement, the plan of another attempt, is tried.
	current, held *openStream
	replacement   Plan
	// next is an attempt that was prepared before the last one was abandoned, or nil. retryKept is set
	// if a retry was taken for an attempt that was not sent.
	next      *preparedAttempt
	retryKept bool
	arrivals  arrivals
	// fallback is the complete error response of an endpoint, kept while the request is retried on
	// another one.
	fallback *bufferedResponse
}

// run makes attempts until one succeeds or the request finally fails.
func (j *job) run(ctx context.Context) {
	j.relay.cfg.Budget(j.req.Service).First()
	if failed := j.findOrigin(ctx); failed != nil {
		j.fail(ctx, failed)
		return
	}
	defer func() {
		j.discardNext()
		j.freeHandle()
	}()
	for {
		plan, failed := j.plan()
		if failed != nil {
			j.fail(ctx, failed)
			return
		}
		failed = j.attempt(ctx, plan)
		for j.held != nil {
			failed = j.replaceHeld(ctx)
		}
		if failed == nil {
			return
		}
		if final := j.handleFailure(ctx, failed); final != nil {
			j.fail(ctx, final)
			return
		}
	}
}

// plan decides where the next attempt goes, by the current configuration.
func (j *job) plan() (Plan, *failure.Request) {
	if plan, ok := j.adoptNext(); ok {
		return plan, nil
	}
	if failed := j.reroute(); failed != nil {
		return Plan{}, failed
	}
	suspicion, failed := j.relay.cfg.Guard.Check(j.req)
	if failed != nil {
		return Plan{}, failed
	}
	j.suspicion = suspicion
	j.withdrawn, j.plannedAt = nil, clock.Now()
	plan, failed := j.relay.cfg.Planner.Plan(j.req, j.attemptState())
	if failed != nil {
		return Plan{}, j.planFailure(failed)
	}
	return plan, nil
}

// attemptState describes the attempts so far to the planner. If the KV cache of a separate prefill
// is lost or used up, the serving engine has to prefill the prompt itself: a second separate
// prefill would count as another attempt and retry.
func (j *job) attemptState() AttemptState {
	if j.cacheLost() {
		j.handle = nil
	}
	state := AttemptState{
		Number: len(j.tried) + j.replans, Tried: j.tried, Handle: j.handle,
		Colocated: j.prefilled && j.handle == nil, Suspicion: j.suspicion, Streaming: j.streaming(), Software: j.software,
	}
	if j.held != nil {
		state.Tried = append(slices.Clip(state.Tried), j.held.plan.Serve.ID)
	}
	if j.resumeHandle != nil {
		state.Resume = j.resumeHandle.Endpoint
	}
	return state
}

// attempt makes one attempt, preceded by a separate prefill if the plan has one.
func (j *job) attempt(ctx context.Context, plan Plan) *failure.Request {
	a := &Attempt{Request: j.req, Endpoint: plan.Serve, LastEventID: j.lastEventID}
	a.BeforeSend = func() *failure.Request {
		failed := j.recheck(ctx, plan, plan.Serve)
		if failed == nil {
			failed = j.startOverlap()
		}
		if failed == nil {
			j.recordSend()
			j.relay.cfg.Guard.Started(j.req, plan.Serve)
		}
		return failed
	}
	if plan.Prefill != nil {
		if failed := j.prefill(ctx, plan, a); failed != nil {
			plan.Watch.Finished(nil, true)
			return failed
		}
		// Avoids waiting for a connection to an endpoint that has left meanwhile.
		if failed := j.recheck(ctx, plan, plan.Serve); failed != nil {
			plan.Watch.Finished(nil, true)
			return failed
		}
	}
	j.dropForeignHandle(plan.Serve)
	a.Import, a.Backup = j.handle, plan.Backup
	if plan.Prefill == nil {
		a.CopyFrom = plan.CopyFrom
	}
	if j.resumeHandle != nil {
		a.Import = j.resumeHandle
	}
	failed := j.send(ctx, a, plan)
	j.resolveSend(failed)
	if j.withdrawn != nil {
		await := j.reportEnd(ctx, plan.Serve, j.withdrawn, false)
		plan.Watch.Finished(nil, true)
		await()
		return j.withdrawn
	}
	if j.current != nil {
		return j.endStream(ctx, j.current, failed)
	}
	answered := failed == nil && j.result.Status/100 == 2
	if answered {
		j.relay.cfg.Guard.Answered(j.req)
	}
	j.endAttempt(ctx, plan, failed, j.silence, answered)
	j.countEnd(failed, j.resumeHandle != nil)
	j.resumeHandle = nil
	return failed
}

// endStream ends the attempt of a stream, unless the stream is held.
func (j *job) endStream(ctx context.Context, s *openStream, failed *failure.Request) *failure.Request {
	if !s.counted {
		s.counted = true
		j.countEnd(failed, s.resumesRun)
	}
	if j.held == s {
		return failed
	}
	j.resumeHandle = nil
	j.endAttempt(ctx, s.plan, failed, s.silence, s.begun)
	return failed
}

// countEnd counts an attempt, which resumed a run on its backup or not.
func (j *job) countEnd(failed *failure.Request, resumesRun bool) {
	if resumesRun {
		j.countResume(failed)
		return
	}
	j.countAttempt(failed)
}

// endAttempt reports the end of an attempt, whose endpoint had been silent for some time and had written a
// part of an answer or not.
func (j *job) endAttempt(ctx context.Context, plan Plan, failed *failure.Request, silence time.Duration, answered bool) {
	await := j.reportEnd(ctx, plan.Serve, failed, answered)
	plan.Watch.Finished(verdict(ctx, failed, silence))
	await()
	j.backup = plan.Backup
	if failed != nil {
		j.recordTried(plan.Serve, failed)
	}
	if failed == nil || failed.Ran != failure.NotRun {
		j.handle = nil // an import that may have started consumes the handle
	}
}

// recordTried records an endpoint on which an attempt failed.
func (j *job) recordTried(e *directory.Endpoint, failed *failure.Request) {
	j.tried = append(j.tried, e.ID)
	if IsConnectionRefused(failed) {
		j.refused++
	}
}

// send sends the attempt to the plan's serving engine and forwards the response.
func (j *job) send(ctx context.Context, a *Attempt, plan Plan) *failure.Request {
	j.result.Endpoint, j.current = plan.Serve.ID, nil
	timeout, next := j.stallTimeout(plan), j.newSuccessor(plan.Serve.ID)
	ctx, dog := watchdog.NewConditional(ctx, timeout, silenceCheckInterval, j.mayAbandon(plan, next))
	response, failed := j.relay.cfg.Upstream.Send(ctx, a)
	j.recordRun(failed)
	if failed == nil && j.req.Route.Kind == routes.Stream && response.Status()/100 == 2 {
		dog.Pause()
		j.collect(next)
		return j.sendStream(ctx, &openStream{
			response: response, plan: plan, dog: dog, stallTimeout: timeout, sentAt: next.sentAt, heardAt: clock.Now(),
			resumesRun: j.resumeHandle != nil, hasFallback: j.fallback != nil,
		})
	}
	if failed == nil {
		plan.Watch.FirstEvent()
		failed = j.forwardBuffered(ctx, response)
		response.Close()
	}
	failed = watchdog.Explain(ctx, failed)
	dog.Stop()
	j.collect(next)
	j.silence = next.silence
	return failed
}

// sendStream forwards a stream whose head has arrived. The attempt replaces a silent one, if one is
// held.
func (j *job) sendStream(ctx context.Context, s *openStream) *failure.Request {
	failed := j.commitReplacement()
	if failed == nil && ctx.Err() != nil {
		failed = watchdog.Explain(ctx, interrupted(context.Cause(ctx))) // abandoned just before the head arrived
	}
	if failed != nil {
		s.response.Close()
		s.dog.Stop()
		return failed
	}
	j.current = s
	s.start(j.relay.cfg.MaxEventBytes, j.relay.cfg.Memory)
	return j.forward(s)
}

// mayAbandon returns a function that reports whether an attempt that has stalled before its response
// may be abandoned: in favour of a fallback response or of the next attempt, which it prepares. A run
// with a backup is bounded by its deadline.
func (j *job) mayAbandon(plan Plan, next *successor) func() bool {
	if j.fallback != nil || plan.Backup != nil {
		return func() bool { return true }
	}
	return j.withPatience(plan, next, next.prepare)
}

// stallTimeout returns how long an attempt may take until its first event or response, or zero for
// no timeout if the attempt must not be abandoned because it could not be repeated.
func (j *job) stallTimeout(plan Plan) time.Duration {
	route := j.req.Route
	if j.fallback != nil {
		return max(2*plan.ExpectedLatency, route.Objective)
	}
	if plan.Backup != nil {
		return j.backupStallTimeout()
	}
	if !route.Repeatable() || j.result.Attempts+1 >= route.MaxAttempts || route.Objective == 0 {
		return 0
	}
	limit := time.Duration(j.relay.cfg.StallFraction * float64(route.Objective))
	return max(limit, 2*plan.ExpectedLatency, j.relay.cfg.MinStallTimeout)
}

// gapTimeout returns how long a stream that can be continued elsewhere may pause between events. A
// pause beyond the route's EventGap already makes the response late, and a restart costs about as
// much again.
func (j *job) gapTimeout() time.Duration {
	if !j.req.Route.Repeatable() {
		return max(backupGapFactor*j.req.Route.EventGap, j.relay.cfg.MinStallTimeout)
	}
	return max(2*j.req.Route.EventGap, j.relay.cfg.MinStallTimeout)
}
