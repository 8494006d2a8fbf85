package fakeengine

import (
	"context"
	"slices"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/standin/enginemodel"
	"github.com/springweir/springweir/weightstore"
)

// OrderBehaviour is the scripted fate of one order in the network and at the engine.
type OrderBehaviour struct {
	// Lost drops the order; the sender gets no response.
	Lost bool
	// Delay is the network delay. The order arrives even if the sender has given
	// up or exited by then.
	Delay time.Duration
	// LoseResponse drops the engine's response.
	LoseResponse bool
	// Fail makes the order run for OrderDuration and then fail.
	Fail bool
	// Crash is the point at which the incarnation crashes.
	Crash enginemodel.CrashPoint
}

// OrderRecord is one order that arrived at the fake.
type OrderRecord struct {
	Order       engine.Order
	Incarnation string
	ReceivedAt  time.Time
	// Refused is the reason of the refusal, or empty.
	Refused failure.Reason
	// Started is set if the order started to execute; a repeat of the last order
	// does not. DoneAt is when it completed, or zero.
	Started bool
	DoneAt  time.Time
}

// Orders returns all orders that arrived, in order of arrival.
func (e *Engine) Orders() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]OrderRecord, 0, len(e.orders))
	for _, o := range e.orders {
		out = append(out, *o)
	}
	return out
}

// orderResult is the engine's response to an order; lost means no response.
type orderResult struct {
	state engine.OrderState
	err   error
	lost  bool
}

// Order implements engine.Engine. Once sent, an order arrives even if the sender
// stops waiting, unless ScriptOrders drops it.
func (e *Engine) Order(ctx context.Context, o engine.Order, deadline time.Time) (engine.OrderState, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	e.mu.Lock()
	var b OrderBehaviour
	if e.orderScript != nil {
		b = e.orderScript(o)
	}
	down := e.unreachable || e.incarnation.isCrashed
	e.mu.Unlock()
	if ctx.Err() != nil || down || time.Until(deadline) <= 0 {
		return engine.OrderState{}, &engine.UnreachableError{Cause: &downError{}}
	}
	result := make(chan orderResult, 1)
	if !b.Lost {
		go func() { result <- e.deliver(o, b) }()
	}
	select {
	case r := <-result:
		if r.lost {
			return engine.OrderState{}, &engine.UnreachableError{Sent: true, Cause: &downError{}}
		}
		return r.state, r.err
	case <-ctx.Done():
		return engine.OrderState{}, &engine.UnreachableError{Sent: true, Cause: ctx.Err()}
	}
}

// deliver hands an order to the engine after its delay and once it is not frozen.
func (e *Engine) deliver(o engine.Order, b OrderBehaviour) orderResult {
	time.Sleep(b.Delay)
	inc, err := e.awaitReady(context.Background())
	if err != nil {
		return orderResult{lost: true}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if inc.isCrashed || b.Crash == enginemodel.CrashBeforeAccept {
		e.crashIncarnation(inc)
		return orderResult{lost: true}
	}
	rec := &OrderRecord{Order: o, Incarnation: inc.orderBook.Incarnation, ReceivedAt: time.Now()}
	e.orders = append(e.orders, rec)
	rec.Started, err = inc.orderBook.Accept(o)
	if err != nil {
		rec.Refused = failure.ReasonOf(err)
		return orderResult{err: err, lost: b.LoseResponse}
	}
	if rec.Started {
		e.interruptStreams(o)
		go e.execute(inc, rec, b)
	}
	if b.Crash == enginemodel.CrashAfterAccept {
		e.crashIncarnation(inc)
		return orderResult{lost: true}
	}
	return orderResult{state: *inc.orderBook.State(), lost: b.LoseResponse}
}

// interruptsStreams reports whether an order interrupts all streams, as a change of
// role or of a base model does.
func interruptsStreams(o engine.Order) bool {
	return o.Kind == engine.ChangeRole || o.Artifact.Adapter == ""
}

// interruptStreams interrupts the open streams if the order requires it. The caller
// holds mu.
func (e *Engine) interruptStreams(o engine.Order) {
	if !interruptsStreams(o) {
		return
	}
	for _, s := range e.streams {
		s.rec.InterruptedBy = o.ID
		close(s.interrupted)
	}
	clear(e.streams)
}

// execute applies the order after OrderDuration, unless the incarnation ends.
func (e *Engine) execute(inc *incarnation, rec *OrderRecord, b OrderBehaviour) {
	if !inc.sleep(e.opts.OrderDuration / 2) {
		return
	}
	if b.Crash == enginemodel.CrashMidway {
		e.set(func() { e.crashIncarnation(inc) })
		return
	}
	if !inc.sleep(e.opts.OrderDuration - e.opts.OrderDuration/2) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if inc.isCrashed {
		return
	}
	if b.Fail {
		inc.orderBook.Fail("order failed")
		return
	}
	e.apply(rec.Order)
	rec.DoneAt = time.Now()
	if b.Crash == enginemodel.CrashAtEnd {
		e.crashIncarnation(inc)
		return
	}
	inc.orderBook.Finish()
}

// sleep waits for d. It returns false early if the incarnation crashes.
func (inc *incarnation) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-inc.crashed:
		return false
	}
}

// crashIncarnation crashes inc if it is the current incarnation. The caller holds mu.
func (e *Engine) crashIncarnation(inc *incarnation) {
	if e.incarnation == inc {
		e.crash()
	}
}

func (e *Engine) apply(o engine.Order) {
	withoutArtifact := func() []weightstore.Artifact {
		same := func(a weightstore.Artifact) bool { return a == *o.Artifact }
		return slices.DeleteFunc(slices.Clone(e.loaded), same)
	}
	switch o.Kind {
	case engine.ChangeRole:
		e.role = o.Role
	case engine.LoadOrder:
		e.loaded = append(withoutArtifact(), *o.Artifact)
	case engine.Unload:
		e.loaded = withoutArtifact()
	}
}
