package placement

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/health"
	"github.com/springweir/springweir/relay"
	"github.com/springweir/springweir/signals"
)

// hold is the work reserved at one endpoint for one attempt.
type hold struct {
	book   *book
	zone   string
	ticket health.Ticket
	// permit is what the endpoint's own signals allow.
	permit *signals.Permit
	work   work
	// pace is that of the endpoint's kind, or nil if it is no engine.
	pace *pace
	// ahead is the prefill that was open there when this work joined it.
	ahead amount
	// copied tells that the engine was to copy a part of the prompt first.
	copied bool
	// since is when the VM's link has sent the request, as predicted, and trip the
	// time there and back.
	since time.Time
	trip  time.Duration
	ended bool
}

// readyAt is when the engine should have read the prompt.
func (h *hold) readyAt() time.Time {
	return h.since.Add(h.trip/2 + h.pace.time(h.ahead.plus(h.work.prefill)))
}

// watch follows one attempt. It implements relay.Watch.
type watch struct {
	p *Planner
	// prefill is nil when the serving engine prefills itself.
	prefill, serve *hold
	// chunks are the prompt's, to be noted where it was read.
	chunks []chunk
	// placed is when the attempt was placed, and expect what was predicted then.
	placed time.Time
	expect time.Duration
}

// Recheck implements relay.Watch.
func (w *watch) Recheck(e *directory.Endpoint) relay.PlanChange {
	h := w.serve
	if w.prefill != nil && w.prefill.book.id == e.ID {
		h = w.prefill
	}
	switch {
	case w.p.changesRole(h):
		return relay.EndpointChangingRole
	case !w.p.health.StillValid(w.p.now().Sub(w.p.start), h.ticket):
		return relay.EndpointEjected
	}
	return causeOf(h.permit.Recheck().Reason)
}

// changesRole tells whether an engine is about to change its role.
func (p *Planner) changesRole(h *hold) bool {
	if slices.Contains(p.ordered(), h.book.id) {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.books.isChanging(p.now(), h.book)
}

// Prefilled implements relay.Watch.
func (w *watch) Prefilled(failed *failure.Request, abandoned bool) {
	if w.prefill == nil {
		return
	}
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	w.p.prefilled(w.prefill, failed)
	if failed == nil {
		w.prefill.book.cache.use(w.chunks, w.p.now())
	}
	w.p.end(w.prefill, failed, abandoned)
}

// FirstEvent implements relay.Watch.
func (w *watch) FirstEvent() {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	w.p.health.RecordActivity(w.serve.ticket)
	observePrediction(w.expect, w.p.now().Sub(w.placed))
	if w.serve.work.prefill.tokens > 0 {
		w.p.prefilled(w.serve, nil)
	} else {
		// Only now is it certain that the engine holds what it imported.
		w.p.books.place(w.serve.book, w.chunks, w.p.now())
	}
}

// Finished implements relay.Watch.
func (w *watch) Finished(failed *failure.Request, abandoned bool) {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	if w.prefill != nil {
		w.p.end(w.prefill, nil, true)
	}
	w.p.end(w.serve, failed, abandoned)
}

// prefilled ends the part of a hold that waits for prefill.
func (p *Planner) prefilled(h *hold, failed *failure.Request) {
	if h.ended {
		return
	}
	if failed == nil && !h.copied {
		h.pace.learn(h.work.prefill, h.ahead, p.now().Sub(h.since)-h.trip)
	}
	h.book.own.prefill = h.book.own.prefill.minus(h.work.prefill)
	h.work.prefill = amount{}
}

// end gives a hold back. Giving it back again does nothing.
func (p *Planner) end(h *hold, failed *failure.Request, abandoned bool) {
	if h.ended {
		return
	}
	h.ended = true
	h.book.own.sub(h.work)
	if unsent(failed, abandoned) {
		h.permit.Release()
	}
	switch {
	case abandoned:
	case failed == nil:
		h.book.refusals = 0
	case failed.Ran == failure.NotRun:
		h.book.refused(p.now(), failed.Code)
	}
	result := resultOf(failed, abandoned)
	p.health.End(p.now().Sub(p.start), h.ticket, result)
	p.watchZone(h, failed, result)
}

// unsent tells whether nothing of an attempt went to its endpoint.
func unsent(failed *failure.Request, abandoned bool) bool {
	if failed == nil {
		return abandoned
	}
	return failed.Ran == failure.NotRun && (failed.Code == failure.EndpointUnreachable || failed.Code == failure.PlanChanged)
}

// watchZone takes in what the end of an attempt says of the way to its zone.
func (p *Planner) watchZone(h *hold, failed *failure.Request, result health.Result) {
	switch {
	case h.zone == p.zone || result == health.Abandoned && failed == nil:
	case failed == nil, failed.Ran == failure.NotRun && failed.Code != failure.EndpointUnreachable:
		p.zones.reached(h.zone)
	case failed.Code == failure.EndpointUnreachable, result == health.Unresponsive:
		if p.zones.missed(p.now(), h.zone, h.book.id, p.directory.Snapshot().UsableInZone(h.zone)) {
			klog.InfoS("placement: zone seems cut off", "zone", h.zone, "endpoint", h.book.id, "reason", failed.Code, "for", cutFor)
		}
	}
}

// resultOf tells what the end of an attempt says of its endpoint. A refusal is
// a sign of load and not of ill health.
func resultOf(failed *failure.Request, abandoned bool) health.Result {
	switch {
	case abandoned:
		return health.Abandoned
	case failed == nil:
		return health.Succeeded
	case failed.Code == failure.EndpointRefused:
		return health.Abandoned
	case failed.Code == failure.EndpointStalled:
		return health.Unresponsive
	}
	return health.Failed
}
