package simulate

import (
	"strconv"
	"time"

	"github.com/springweir/springweir/admission"
	"github.com/springweir/springweir/routing"
	"github.com/springweir/springweir/weightstore"
)

// dispatchInterval is the interval at which a non-empty queue is dispatched
// again. It is the same as in admission.Controller.
const dispatchInterval = 20 * time.Millisecond

// admitter is the admission control of one entry VM. The event loop
// drives admission.Queue in the same way as admission.Controller does with
// timers.
type admitter struct {
	queue  *admission.Queue
	limits *admission.Limits
	// items are the queued requests.
	items             map[*activeRequest]*admission.Item
	dispatchScheduled bool
}

func newAdmitter() *admitter {
	none := func(string) admission.OrganisationLimit { return admission.OrganisationLimit{} }
	limits := admission.NewLimits(admission.DefaultLimits(), none)
	return &admitter{
		queue:  admission.NewQueue(admission.DefaultConfig(), limits),
		limits: limits,
		items:  make(map[*activeRequest]*admission.Item),
	}
}

// admissionWork describes r to the admission queue.
func (p *springweir) admissionWork(vm *entryVM, r *activeRequest) admission.Work {
	return admission.Work{
		Model:        model.Model,
		Organisation: strconv.Itoa(r.Organisation),
		Priority:     r.Priority,
		PromptTokens: r.Prompt - p.cachedTokens(vm, r),
		OutputTokens: p.expectedOutput(vm, r),
		Deadline:     r.At + r.Deadline,
		Context:      r,
	}
}

// decide returns the router's decision for r at its entry VM.
func (p *springweir) decide(s *sim, r *activeRequest) (routing.Decision, error) {
	vm := p.entry(r)
	if p.variant.freshLoad {
		p.refresh(s, r.zone)
	}
	return p.router.Decide(vm.store.Snapshot(), &routing.Request{
		Artifact:      weightstore.Artifact{Model: model.Model},
		PromptTokens:  r.Prompt + r.emitted,
		OutputTokens:  max(1, p.expectedOutput(vm, r)-r.emitted),
		PrefixHashes:  r.Hashes,
		Priority:      r.Priority,
		Now:           s.now,
		Deadline:      r.At + r.Deadline,
		Tried:         r.tried,
		FromOtherZone: r.fromOtherZone,
	}, vm.rng)
}

// choiceOf converts a routing decision.
func (s *sim) choiceOf(d routing.Decision) choice {
	if d.Zone != "" {
		return choice{forward: true, targetZone: int(d.Zone[0] - 'a')}
	}
	c := choice{serve: s.nodeByName(d.Endpoint.Name)}
	if d.PrefillEndpoint != nil {
		c.prefill = s.nodeByName(d.PrefillEndpoint.Name)
	}
	return c
}

// route offers a new request to the admission queue. Retries and
// requests that the router forwards to another zone bypass the queue.
func (p *springweir) route(s *sim, r *activeRequest) (choice, routeResult) {
	d, err := p.decide(s, r)
	if err != nil {
		return choice{}, retryLater
	}
	if d.Zone != "" || r.sent {
		return s.choiceOf(d), send
	}
	vm := p.entry(r)
	it, displaced, err := vm.admitter.queue.Offer(s.now, p.admissionWork(vm, r), d.Completion)
	if displaced != nil {
		p.rejectQueued(s, vm, displaced)
	}
	if err != nil {
		return choice{}, reject
	}
	vm.admitter.items[r] = it
	s.push(event{at: it.LatestStart, kind: expire, request: r})
	p.dispatchQueue(s, vm)
	return choice{}, queued
}

// rejectQueued rejects a queued request.
func (p *springweir) rejectQueued(s *sim, vm *entryVM, it *admission.Item) {
	r := it.Work.Context.(*activeRequest)
	delete(vm.admitter.items, r)
	s.tally.refused++
	s.close(r)
}

// cancel removes r from its queue and reports whether it was queued.
func (p *springweir) cancel(s *sim, r *activeRequest) bool {
	vm := p.entry(r)
	it := vm.admitter.items[r]
	if it == nil {
		return false
	}
	vm.admitter.queue.Cancel(s.now, it)
	delete(vm.admitter.items, r)
	return true
}

// dispatchQueue launches the requests that the queue releases now.
func (p *springweir) dispatchQueue(s *sim, vm *entryVM) {
	vm.admitter.queue.Dispatch(s.now, func(_ time.Duration, w *admission.Work) (admission.Prediction, error) {
		return p.predict(s, w.Context.(*activeRequest))
	}, func(it *admission.Item, prediction admission.Prediction, err error) {
		p.applyAdmission(s, vm, it, prediction, err)
	})
	if vm.admitter.queue.Len() > 0 {
		p.scheduleDispatch(s, vm)
	}
}

// predict returns when and how fast the engines could serve r. It mirrors the
// prediction of package entry.
func (p *springweir) predict(s *sim, r *activeRequest) (admission.Prediction, error) {
	d, err := p.decide(s, r)
	if err != nil {
		return admission.Prediction{}, err
	}
	return admission.Prediction{
		Ready:       d.Zone != "" || d.Queue <= admission.MaxReadyWait,
		ServiceTime: d.Completion,
		Plan:        d,
	}, nil
}

// applyAdmission applies the queue's decision on a request. A request for an
// engine of this zone is marked as sent before its launch. Otherwise, if the
// engine rejected it, it would be offered to the queue again from within
// Dispatch, which the queue doesn't allow.
func (p *springweir) applyAdmission(s *sim, vm *entryVM, it *admission.Item, prediction admission.Prediction, err error) {
	if err != nil {
		p.rejectQueued(s, vm, it)
		return
	}
	r := it.Work.Context.(*activeRequest)
	d := prediction.Plan.(routing.Decision)
	delete(vm.admitter.items, r)
	vm.admitter.limits.Done(it.Work.Organisation)
	r.sent = d.Zone == ""
	s.launch(r, s.choiceOf(d))
}

// scheduleDispatch schedules the next dispatch of the queue unless one is
// pending.
func (p *springweir) scheduleDispatch(s *sim, vm *entryVM) {
	if vm.admitter.dispatchScheduled {
		return
	}
	vm.admitter.dispatchScheduled = true
	s.push(event{at: s.now + dispatchInterval, kind: callback, action: func() {
		vm.admitter.dispatchScheduled = false
		p.dispatchQueue(s, vm)
	}})
}
