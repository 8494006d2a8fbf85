package relay

import (
	"context"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/watchdog"
	"github.com/springweir/springweir/routes"
)

// Relay carries requests to endpoints. It is safe for concurrent use.
type Relay struct{ cfg Config }

// Result is how a request ended.
type Result struct {
	// Failure is nil when the caller got a whole answer of an endpoint.
	Failure *failure.Request
	// HeadSent tells that the head of an answer went to the caller. A failure after
	// that can only be shown by breaking off the connection.
	HeadSent bool
	// Status is the answer's status, if one was begun.
	Status int
	// Endpoint is the ID of the last endpoint tried.
	Endpoint string
	// Attempts counts those that may have reached an endpoint.
	Attempts int
	// Events counts the events passed on.
	Events int
	// TimeToHead is when the head of the answer went to the caller, from Received.
	TimeToHead time.Duration
	// MaxEventGap is the longest time between two events.
	MaxEventGap time.Duration
}

// Serve carries out one request and passes its answer to reply. A result with a
// failure and without HeadSent leaves the refusal to be written by the caller of Serve.
func (r *Relay) Serve(ctx context.Context, req *Request, reply ResponseWriter) Result {
	ctx, cancel := req.context(ctx)
	defer cancel()
	job := &job{relay: r, req: req, reply: reply, held: req.LastEventID, ran: failure.NotRun}
	job.run(ctx)
	return job.result
}

// job is the state of one request over all its attempts. It belongs to one goroutine.
//
// Invariant: ran is NotRun only while every attempt so far provably did not run.
type job struct {
	relay  *Relay
	req    *Request
	reply  ResponseWriter
	result Result
	// held is the number of the last event that the caller holds, and heldAt
	// when this process passed it on.
	held   int
	heldAt time.Time
	ran    failure.Outcome
	// tried names the endpoints that attempts failed on.
	tried []string
	last  *failure.Request
	// handle is a KV cache of the prompt that no engine has imported yet.
	handle *KVHandle
	// prefilled is set once an engine has read the prompt for another.
	prefilled bool
	// plannedAt is when the present plan was made, and replans counts those that were given up
	// before anything was sent.
	plannedAt time.Time
	replans   int
	// withdrawn is why the present attempt was not sent as planned, or nil.
	withdrawn *failure.Request
	// metered is set once the request was counted, and unsettled ends an attempt that may come to be
	// counted; nil if there is none.
	metered   bool
	unsettled func(ran bool)
	// backup is the engine to which the present attempt's cache is sent, and copied what it holds of
	// the run, once that is to be gone on from.
	backup *directory.Endpoint
	copied *KVHandle
	// spare is an endpoint's whole answer that says it failed, kept while another
	// endpoint is asked.
	spare *spareAnswer
}

func (j *job) run(ctx context.Context) {
	j.relay.cfg.Budget(j.req.Service).First()
	defer j.free()
	for {
		plan, failed := j.plan()
		if failed != nil {
			j.end(ctx, failed)
			return
		}
		failed = j.attempt(ctx, plan)
		if failed == nil {
			return
		}
		if final := j.after(ctx, failed); final != nil {
			j.end(ctx, final)
			return
		}
	}
}

// plan decides where the next attempt goes, by the configuration in force.
func (j *job) plan() (Plan, *failure.Request) {
	if failed := j.reroute(); failed != nil {
		return Plan{}, failed
	}
	if failed := j.relay.cfg.Guard.Check(j.req); failed != nil {
		return Plan{}, failed
	}
	j.withdrawn, j.plannedAt = nil, clock.Now()
	plan, failed := j.relay.cfg.Planner.Plan(j.req, j.try())
	if failed != nil {
		return Plan{}, j.unplanned(failed)
	}
	return plan, nil
}

// try describes the next attempt. Once an engine has read the prompt and its
// cache is lost, the serving engine reads it itself: a second prefill elsewhere
// would count as an attempt, and as a retry, of its own.
func (j *job) try() AttemptState {
	if j.cacheLost() {
		j.handle = nil
	}
	try := AttemptState{
		Number: len(j.tried) + j.replans, Tried: j.tried, Handle: j.handle,
		Colocated: j.prefilled && j.handle == nil,
	}
	if j.copied != nil {
		try.Resume = j.copied.Endpoint
	}
	return try
}

// attempt makes one attempt, with its prefill elsewhere if the plan has one.
func (j *job) attempt(ctx context.Context, plan Plan) *failure.Request {
	a := &Attempt{Request: j.req, Endpoint: plan.Serve, LastEventID: j.held}
	a.BeforeSend = func() *failure.Request {
		failed := j.recheck(ctx, plan, plan.Serve)
		if failed == nil {
			j.sent()
		}
		return failed
	}
	if plan.Prefill != nil {
		if failed := j.prefill(ctx, plan, a); failed != nil {
			plan.Watch.Finished(nil, true)
			return failed
		}
		// A connection to an endpoint that is gone by now is not waited for.
		if failed := j.recheck(ctx, plan, plan.Serve); failed != nil {
			plan.Watch.Finished(nil, true)
			return failed
		}
	}
	a.Import, a.Backup = j.handle, plan.Backup
	if plan.Prefill == nil {
		a.CopyFrom = plan.CopyFrom
	}
	if j.copied != nil {
		a.Import = j.copied
	}
	failed := j.send(ctx, a, plan)
	j.settle(failed)
	if j.withdrawn != nil {
		plan.Watch.Finished(nil, true)
		return j.withdrawn
	}
	plan.Watch.Finished(failed, gaveUp(ctx, failed))
	j.ended(ctx, plan.Serve, failed)
	j.backup = plan.Backup
	if j.copied != nil {
		j.resumed(failed)
		j.copied = nil
	} else {
		j.count(failed)
	}
	if failed != nil {
		j.tried = append(j.tried, plan.Serve.ID)
	}
	if failed == nil || failed.Ran != failure.NotRun {
		j.handle = nil // an import that may have begun has taken it
	}
	return failed
}

func (j *job) send(ctx context.Context, a *Attempt, plan Plan) *failure.Request {
	j.result.Endpoint = plan.Serve.ID
	ctx, dog := watchdog.New(ctx, j.stall(plan))
	defer dog.Stop()
	answer, failed := j.relay.cfg.Upstream.Send(ctx, a)
	if failed != nil {
		return watchdog.Explain(ctx, failed)
	}
	defer answer.Close()
	if j.req.Route.Kind == routes.Stream && answer.Status()/100 == 2 {
		return watchdog.Explain(ctx, j.stream(answer, plan.Watch, dog))
	}
	plan.Watch.FirstEvent()
	return watchdog.Explain(ctx, j.whole(ctx, answer))
}

// stall is how long an attempt may stay silent at first, or zero when it must
// not be given up: it could not be made again.
func (j *job) stall(plan Plan) time.Duration {
	route := j.req.Route
	if j.spare != nil {
		return max(2*plan.ExpectedLatency, route.Objective)
	}
	if plan.Backup != nil {
		return j.backupStall()
	}
	if !route.Repeatable() || j.result.Attempts+1 >= route.MaxAttempts || route.Objective == 0 {
		return 0
	}
	limit := time.Duration(j.relay.cfg.Stall * float64(route.Objective))
	return max(limit, 2*plan.ExpectedLatency, j.relay.cfg.MinStall)
}

// gap is how long a stream that could be continued elsewhere may pause. A pause
// beyond the route's own limit makes the answer late, and a new start costs
// about as much again.
func (j *job) gap() time.Duration {
	if !j.req.Route.Repeatable() {
		return max(backupGaps*j.req.Route.EventGap, j.relay.cfg.MinStall)
	}
	return max(2*j.req.Route.EventGap, j.relay.cfg.MinStall)
}
