package placement

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/relay"
)

// tooLate refuses a request whose first event is predicted after the route's
// objective because of what waits before it: what is refused at once can come back,
// and the engines stay free for those that are in time. A request that would be late
// on an idle fleet too gains nothing by coming back, so it is served, late; unless it
// would outlast the time that its caller waits. With such requests refused, callers got
// 0.52 instead of 0.63 of what their requests are worth (mean of six days with faults).
func (d *decision) tooLate(best option) *failure.Request {
	objective := d.r.Route.Objective
	if objective == 0 || d.try.Number > 0 {
		return nil
	}
	predicted := d.now.Sub(d.r.Received) + best.first + d.p.tuning.Overhead
	limit := d.inTime()
	if predicted-best.wait > limit {
		limit = time.Duration(d.p.tuning.ObjectiveFraction * float64(d.r.Remaining(d.r.Received)))
	}
	if predicted <= limit || limit == 0 {
		return nil
	}
	klog.InfoS("placement: refused", "request", d.r.ID, "predictedMS", predicted.Milliseconds(), "limitMS", limit.Milliseconds(), "waitMS", best.wait.Milliseconds(),
		"uncached", best.uncached, "endpoint", best.serve.ID, "peers", len(d.p.books.peers), "newsMS", d.p.books.age(d.now).Milliseconds())
	return &failure.Request{
		Code: failure.DeadlineUnreachable, Ran: failure.NotRun, RetryAfter: d.comeBack(predicted - limit),
		Message: "the engines are too busy to answer in time",
	}
}

// comeBack is when a caller whose request is late by so much should return: once
// about that much work is done, spread so that callers do not return together.
func (d *decision) comeBack(late time.Duration) time.Duration {
	return late/2 + time.Duration(d.p.random.Int64N(int64(late+d.p.tuning.RetryAfter)))
}

// commit reserves what an option needs.
func (d *decision) commit(o option, chunks []chunk, tokens int) (relay.Plan, *failure.Request) {
	busy := noEndpoint("the engine is on trial", d.p.tuning.RetryAfter)
	w := &watch{p: d.p, chunks: chunks, placed: d.now, expect: o.first}
	serveWork := work{runs: 1, kvTokens: tokens}
	if o.prefill == nil && !d.imports() {
		serveWork.prefill = o.toDo()
	}
	var ok bool
	if o.prefill != nil {
		if w.prefill, ok = d.take(o.prefill, work{prefill: o.toDo(), kvTokens: tokens}); !ok {
			return relay.Plan{}, busy
		}
		w.prefill.copied = o.copyFrom != nil
		d.p.books.place(w.prefill.book, chunks, w.prefill.readyAt())
	}
	if w.serve, ok = d.take(o.serve, serveWork); !ok {
		if w.prefill != nil {
			d.p.end(w.prefill, nil, true)
		}
		return relay.Plan{}, busy
	}
	if o.prefill == nil && !d.imports() {
		w.serve.copied = o.copyFrom != nil
		d.p.books.place(w.serve.book, chunks, w.serve.readyAt())
	}
	d.log(o, w)
	return relay.Plan{Serve: o.serve, Prefill: o.prefill, CopyFrom: o.copyFrom, Backup: d.backup(o.serve, tokens), ExpectedLatency: o.first, Watch: w}, nil
}

// log tells of a choice and what decided it.
func (d *decision) log(o option, w *watch) {
	prefill, copyFrom, ahead := "", "", w.serve.ahead
	if o.copyFrom != nil {
		copyFrom = o.copyFrom.ID
	}
	if w.prefill != nil {
		prefill, ahead = o.prefill.ID, w.prefill.ahead
	}
	klog.InfoS("placement: placed", "request", d.r.ID, "try", d.try.Number, "endpoint", o.serve.ID, "version", o.serve.Version.String(), "prefill", prefill, "copyFrom", copyFrom,
		"predictedMS", o.first.Milliseconds(), "uncached", o.uncached, "aheadTokens", ahead.tokens, "running", w.serve.book.own.runs,
		"peers", len(d.p.books.peers), "newsMS", d.p.books.age(d.now).Milliseconds(), "tried", d.try.Tried)
}
