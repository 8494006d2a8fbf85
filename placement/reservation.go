package placement

import (
	"slices"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/health"
	"github.com/springweir/springweir/relay"
	"github.com/springweir/springweir/signals"
)

// reservation is the work reserved at one endpoint for one attempt.
type reservation struct {
	load   *endpointLoad
	zone   string
	ticket health.Ticket
	// permit is acquired from the endpoint's signals: its rate limit and backoff.
	permit *signals.Permit
	work   work
	// model predicts prefills of the endpoint's group; nil if the endpoint is not an engine.
	model *prefillModel
	// pace is the factor of the engine when this work was added.
	pace float64
	// call is nil if the endpoint is an engine.
	call *serviceCall
	// queuedAhead is the prefill that was open at the endpoint when this work was added.
	queuedAhead prefillWork
	// copiesPrefix is set if the engine first copies a part of the prompt from another one.
	copiesPrefix bool
	// sentAt is the predicted time at which the VM's uplink has sent the request, and roundTrip the
	// network round trip time to the endpoint.
	sentAt    time.Time
	roundTrip time.Duration
	ended     bool
}

// readyAt predicts when the engine will have prefilled the prompt.
func (r *reservation) readyAt() time.Time {
	return r.sentAt.Add(r.roundTrip/2 + atPace(r.model.predict(r.queuedAhead.plus(r.work.prefill)), r.pace))
}

// attemptWatch tracks one attempt. It implements relay.Watch.
type attemptWatch struct {
	p *Planner
	// prefill is nil when the serving engine also prefills.
	prefill, serve *reservation
	// chunks are the parts of the prompt, recorded at the engines that cache them.
	chunks []chunk
	// placedAt is when the attempt was placed, and predicted the time to the first event that was
	// predicted then.
	placedAt  time.Time
	predicted time.Duration
	// service is the service of the engines; empty for a plain service.
	service string
	// firstEventAt is when the first event arrived, and events counts the later ones.
	firstEventAt time.Time
	events       atomic.Int64
	// suspect is what the request is suspected of, as of the plan.
	suspect suspect
}

// Recheck implements relay.Watch.
func (w *attemptWatch) Recheck(e *directory.Endpoint) relay.PlanChange {
	r := w.serve
	if w.prefill != nil && w.prefill.load.id == e.ID {
		r = w.prefill
	}
	switch {
	case w.p.changesRole(e):
		return relay.EndpointChangingRole
	case !w.p.health.StillValid(w.p.now().Sub(w.p.start), r.ticket):
		return relay.EndpointEjected
	case !w.suspect.preferred && !w.p.isExpendable(w.suspect, e):
		return relay.EndpointNotExpendable
	}
	return planCause(r.permit.Recheck().Reason)
}

// changesRole reports whether this VM or another one has ordered the engine to change its role.
func (p *Planner) changesRole(e *directory.Endpoint) bool {
	if slices.Contains(p.roleChanges(), e.ID) {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loads.changesRole(p.now(), e)
}

// Prefilled implements relay.Watch.
func (w *attemptWatch) Prefilled(failed *failure.Request, abandoned bool) {
	if w.prefill == nil {
		return
	}
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	w.p.finishPrefill(w.prefill, failed)
	if failed == nil {
		w.prefill.load.recordHeard(w.p.now().Sub(w.p.start))
		w.prefill.load.cache.insert(w.chunks, w.p.now())
	}
	w.p.finish(w.prefill, failed, abandoned)
}

// FirstEvent implements relay.Watch.
func (w *attemptWatch) FirstEvent() {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	w.p.health.RecordActivity(w.serve.ticket)
	w.serve.load.recordHeard(w.p.now().Sub(w.p.start))
	w.firstEventAt = w.p.now()
	observePrediction(w.predicted, w.p.now().Sub(w.placedAt))
	if w.serve.call != nil {
		w.serve.call.headAt = w.p.now()
	}
	if w.serve.work.prefill.tokens > 0 {
		w.p.finishPrefill(w.serve, nil)
	} else {
		// The import is confirmed only by the first event.
		w.p.loads.recordPlaced(w.serve.load, w.chunks, w.p.now())
	}
}

// Event implements relay.Watch.
func (w *attemptWatch) Event() {
	w.events.Add(1)
	w.serve.load.recordHeard(w.p.now().Sub(w.p.start))
}

// Finished implements relay.Watch.
func (w *attemptWatch) Finished(failed *failure.Request, abandoned bool) {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	if w.prefill != nil {
		w.p.finish(w.prefill, nil, true)
	}
	if failed == nil && !abandoned && w.service != "" {
		w.p.observeRun(w)
	}
	w.p.finish(w.serve, failed, abandoned)
}

// finishPrefill updates the model and the engine's pace, and removes the prefill from the tracked load. The caller holds
// mu.
func (p *Planner) finishPrefill(r *reservation, failed *failure.Request) {
	if r.ended {
		return
	}
	if failed == nil && !r.copiesPrefix {
		p.observePrefill(r, p.now().Sub(r.sentAt)-r.roundTrip)
	}
	p.loads.subLocal(r.load, work{prefill: r.work.prefill})
	r.work.prefill = prefillWork{}
}

// finish releases a reservation and records the result of its attempt. It is idempotent. The caller
// holds mu.
func (p *Planner) finish(r *reservation, failed *failure.Request, abandoned bool) {
	if r.ended {
		return
	}
	r.ended = true
	p.loads.subLocal(r.load, r.work)
	r.load.closeCall(r)
	if notSent(failed, abandoned) {
		r.permit.Release()
	}
	switch {
	case abandoned:
	case failed == nil:
		r.load.refusals, r.load.unreachable, r.load.fullRefusals = 0, 0, 0
		r.load.recordServed(r.sentAt)
		if r.call != nil {
			p.observeCall(r)
		}
	case relay.IsConnectionRefused(failed):
		p.markDown(r.load)
	case failed.Ran == failure.NotRun && failed.Code == failure.EndpointUnreachable:
		p.loads.recordUnreachable(p.now(), r.load)
	case failed.Ran == failure.NotRun && p.refusedFull(r, failed):
		r.load.pauseFull(p.now())
	case failed.Ran == failure.NotRun:
		p.loads.recordRefusal(p.now(), r.load, failed.Code)
	}
	result := healthResult(failed, abandoned)
	if result == health.Unresponsive && p.isAnswering(r) {
		servicesAbandonedSlow.Inc()
		result = health.Abandoned
	}
	if result == health.Unresponsive && r.call != nil {
		r.load.silentAt = p.now()
	}
	p.health.End(p.now().Sub(p.start), r.ticket, result)
	p.observeZone(r, failed, result)
}

// notSent reports whether nothing of an attempt was sent to its endpoint.
func notSent(failed *failure.Request, abandoned bool) bool {
	if failed == nil {
		return abandoned
	}
	return failed.Ran == failure.NotRun && (failed.Code == failure.EndpointUnreachable || failed.Code == failure.PlanChanged)
}

// observeZone records what the end of an attempt shows about the reachability of its zone.
func (p *Planner) observeZone(r *reservation, failed *failure.Request, result health.Result) {
	switch {
	case r.zone == p.zone || result == health.Abandoned && failed == nil:
	case failed == nil, failed.Ran == failure.NotRun && failed.Code != failure.EndpointUnreachable:
		p.zones.recordReachable(r.zone)
	case failed.Code == failure.EndpointUnreachable, result == health.Unresponsive:
		if p.zones.recordFailure(p.now(), r.zone, r.load.id, p.directory.Snapshot().UsableInZone(r.zone)) {
			klog.InfoS("placement: zone considered unreachable", "zone", r.zone, "endpoint", r.load.id, "reason", failed.Code, "for", zoneUnreachableFor)
		}
	}
}

// healthResult returns the result of an attempt for the health tracker. A refusal is a sign of
// load, not of a failure, and the loss of a VM that passed the request on says nothing of the endpoint.
func healthResult(failed *failure.Request, abandoned bool) health.Result {
	switch {
	case abandoned:
		return health.Abandoned
	case failed == nil:
		return health.Succeeded
	case failed.Code == failure.EndpointRefused:
		return health.Abandoned
	case failed.Code == failure.EndpointStalled:
		return health.Unresponsive
	case failure.IsPeerLost(failed.Cause):
		return health.Abandoned
	}
	return health.Failed
}
