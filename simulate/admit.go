package simulate

import (
	"strconv"
	"time"

	"github.com/springweir/springweir/admission"
	"github.com/springweir/springweir/routing"
	"github.com/springweir/springweir/weightstore"
)

// pumpEvery is how often a queue that is not empty is looked at again, as
// admission.Controller does.
const pumpEvery = 20 * time.Millisecond

// gate is the admission of one entry VM: admission.Queue driven by the event
// loop in the way that admission.Controller drives it by timers.
type gate struct {
	queue  *admission.Queue
	limits *admission.Limits
	// items are the waiting requests.
	items map[*running]*admission.Item
	armed bool
}

func newGate() *gate {
	none := func(string) admission.OrganisationLimit { return admission.OrganisationLimit{} }
	limits := admission.NewLimits(admission.DefaultLimits(), none)
	return &gate{
		queue:  admission.NewQueue(admission.DefaultConfig(), limits),
		limits: limits,
		items:  make(map[*running]*admission.Item),
	}
}

// work describes r to the queue.
func (p *springweir) admissionWork(vm *entryVM, r *running) admission.Work {
	return admission.Work{
		Model:        model.Model,
		Organisation: strconv.Itoa(r.Organisation),
		Priority:     r.Priority,
		PromptTokens: r.Prompt - p.cached(vm, r),
		OutputTokens: p.expected(vm, r),
		Deadline:     r.At + r.Deadline,
		Context:      r,
	}
}

// decide asks the router for r at its entry VM.
func (p *springweir) decide(s *sim, r *running) (routing.Decision, error) {
	vm := p.entry(r)
	if p.variant.fresh {
		p.refresh(s, r.zone)
	}
	return p.router.Decide(vm.store.Snapshot(), &routing.Request{
		Artifact:      weightstore.Artifact{Model: model.Model},
		PromptTokens:  r.Prompt + r.emitted,
		OutputTokens:  max(1, p.expected(vm, r)-r.emitted),
		PrefixHashes:  r.Hashes,
		Priority:      r.Priority,
		Now:           s.now,
		Deadline:      r.At + r.Deadline,
		Tried:         r.tried,
		FromOtherZone: r.hopped,
	}, vm.rng)
}

// choiceOf turns a decision into a choice.
func (s *sim) choiceOf(d routing.Decision) choice {
	if d.Zone != "" {
		return choice{hops: true, hop: int(d.Zone[0] - 'a')}
	}
	c := choice{serve: s.named(d.Endpoint.Name)}
	if d.PrefillEndpoint != nil {
		c.prefill = s.named(d.PrefillEndpoint.Name)
	}
	return c
}

// route offers a new request to the queue. One that was sent before is being
// retried and goes on at once.
func (p *springweir) route(s *sim, r *running) (choice, verdict) {
	d, err := p.decide(s, r)
	if err != nil {
		return choice{}, later
	}
	if d.Zone != "" || r.sent {
		return s.choiceOf(d), send
	}
	vm := p.entry(r)
	it, displaced, err := vm.gate.queue.Offer(s.now, p.admissionWork(vm, r), d.Completion)
	if displaced != nil {
		p.drop(s, vm, displaced)
	}
	if err != nil {
		return choice{}, refuse
	}
	vm.gate.items[r] = it
	s.push(event{at: it.LatestStart, kind: expire, run: r})
	p.pump(s, vm)
	return choice{}, parked
}

// drop refuses a waiting request.
func (p *springweir) drop(s *sim, vm *entryVM, it *admission.Item) {
	r := it.Work.Context.(*running)
	delete(vm.gate.items, r)
	s.tally.refused++
	s.close(r)
}

// cancel takes a waiting request out of its queue and tells whether it waited.
func (p *springweir) cancel(s *sim, r *running) bool {
	vm := p.entry(r)
	it := vm.gate.items[r]
	if it == nil {
		return false
	}
	vm.gate.queue.Cancel(s.now, it)
	delete(vm.gate.items, r)
	return true
}

// pump sends what may be sent now, by the queue's own rule.
func (p *springweir) pump(s *sim, vm *entryVM) {
	vm.gate.queue.Dispatch(s.now, func(_ time.Duration, w *admission.Work) (admission.Prediction, error) {
		return p.outlook(s, w.Context.(*running))
	}, func(it *admission.Item, o admission.Prediction, err error) {
		p.settle(s, vm, it, o, err)
	})
	if vm.gate.queue.Len() > 0 {
		p.arm(s, vm)
	}
}

// outlook is what the engines could do for r, as package entry tells it.
func (p *springweir) outlook(s *sim, r *running) (admission.Prediction, error) {
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

// settle does with a request what the queue decided. One for an engine of the
// zone counts as sent before it is launched, so that it is not queued again,
// which the queue does not allow here, when the engine refuses it.
func (p *springweir) settle(s *sim, vm *entryVM, it *admission.Item, o admission.Prediction, err error) {
	if err != nil {
		p.drop(s, vm, it)
		return
	}
	r := it.Work.Context.(*running)
	d := o.Plan.(routing.Decision)
	delete(vm.gate.items, r)
	vm.gate.limits.Done(it.Work.Organisation)
	r.sent = d.Zone == ""
	s.launch(r, s.choiceOf(d))
}

// arm looks at the queue again soon.
func (p *springweir) arm(s *sim, vm *entryVM) {
	if vm.gate.armed {
		return
	}
	vm.gate.armed = true
	s.push(event{at: s.now + pumpEvery, kind: callback, call: func() {
		vm.gate.armed = false
		p.pump(s, vm)
	}})
}
