package placement

import (
	"math"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/relay"
)

// refuseIfLate refuses a request whose first event is predicted after the route's objective because
// of queueing: a caller that is refused at once can retry, and the engines stay free for requests
// that are in time. A request that would be late even on an idle fleet gains nothing by a retry, so
// it is served late, unless it would exceed the caller's deadline. Refusing these requests as well
// reduced the value of the requests served from 0.63 to 0.52 of the total, under load with faults.
func (d *decision) refuseIfLate(best option) *failure.Request {
	objective := d.req.Route.Objective
	if objective == 0 || d.prior.Number > 0 {
		return nil
	}
	predicted := d.now.Sub(d.req.Received) + best.firstEvent + d.p.tuning.Overhead
	limit := d.latencyBudget()
	if predicted-best.queueing > limit {
		limit = time.Duration(d.p.tuning.InTime * float64(d.req.Remaining(d.req.Received)))
	}
	if predicted <= limit || limit == 0 {
		return nil
	}
	d.logRefusal("placement: refused", "request", d.req.ID, "predictedMS", predicted.Milliseconds(), "limitMS", limit.Milliseconds(), "waitMS", best.queueing.Milliseconds(),
		"uncached", best.uncached, "endpoint", best.serve.ID, "peers", len(d.p.loads.peers), "newsMS", d.p.loads.oldestReportAge(d.now).Milliseconds())
	return &failure.Request{
		Code: failure.DeadlineUnreachable, Ran: failure.NotRun, RetryAfter: d.retryAfterLate(predicted - limit),
		Message: "the engines are too busy to answer in time",
	}
}

// retryAfterLate returns when a caller should retry whose request was predicted late by excess:
// after about that much work is done, with jitter so that callers do not return at the same time.
func (d *decision) retryAfterLate(excess time.Duration) time.Duration {
	return excess/2 + time.Duration(d.p.random.Int64N(int64(excess+d.p.tuning.ComeBack)))
}

// commit reserves the work of an option at its engines and returns the plan.
func (d *decision) commit(o option, chunks []chunk, tokens int) (relay.Plan, *failure.Request) {
	busy := noEndpoint("the engine is on trial", d.p.tuning.ComeBack)
	w := &attemptWatch{p: d.p, chunks: chunks, suspect: d.suspect, placedAt: d.now, predicted: o.firstEvent, service: d.req.Service}
	serveWork := work{running: 1, kvTokens: tokens}
	if o.prefill == nil && !d.importsCache() {
		serveWork.prefill = o.uncachedWork()
	}
	var ok bool
	if o.prefill != nil {
		if w.prefill, ok = d.reserve(o.prefill, work{prefill: o.uncachedWork(), kvTokens: tokens}); !ok {
			return relay.Plan{}, busy
		}
		w.prefill.copiesPrefix = o.copyFrom != nil
		d.p.loads.recordPlaced(w.prefill.load, chunks, w.prefill.readyAt())
	}
	if w.serve, ok = d.reserve(o.serve, serveWork); !ok {
		if w.prefill != nil {
			d.p.finish(w.prefill, nil, true)
		}
		return relay.Plan{}, busy
	}
	if o.prefill == nil && !d.importsCache() {
		w.serve.copiesPrefix = o.copyFrom != nil
		d.p.loads.recordPlaced(w.serve.load, chunks, w.serve.readyAt())
	}
	d.logPlan(o, w)
	return relay.Plan{Serve: o.serve, Prefill: o.prefill, CopyFrom: o.copyFrom, Backup: d.backup(o.serve, tokens), ExpectedLatency: o.firstEvent, Watch: w}, nil
}

// logPlan logs the choice and the figures behind it.
func (d *decision) logPlan(o option, w *attemptWatch) {
	prefill, copyFrom, ahead, pace := "", "", w.serve.queuedAhead, w.serve.pace
	if o.copyFrom != nil {
		copyFrom = o.copyFrom.ID
	}
	if w.prefill != nil {
		prefill, ahead, pace = o.prefill.ID, w.prefill.queuedAhead, w.prefill.pace
	}
	klog.InfoS("placement: placed", "request", d.req.ID, "try", d.prior.Number, "endpoint", o.serve.ID, "version", o.serve.Version.String(), "software", o.serve.SoftwareVersion, "prefill", prefill, "copyFrom", copyFrom,
		"predictedMS", o.firstEvent.Milliseconds(), "uncached", o.uncached, "aheadTokens", ahead.tokens, "pace", math.Round(100*pace)/100, "running", w.serve.load.local.running,
		"peers", len(d.p.loads.peers), "newsMS", d.p.loads.oldestReportAge(d.now).Milliseconds(), "tried", d.prior.Tried)
}
