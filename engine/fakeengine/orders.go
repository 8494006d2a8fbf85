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

// OrderBehaviour is what happens to one order on its way and at the engine.
type OrderBehaviour struct {
	// Lost never arrives, and the sender can't tell.
	Lost bool
	// Delay arrives after this time, also when the sender has given up or died.
	Delay time.Duration
	// LoseResponse loses the engine's answer.
	LoseResponse bool
	// Fail lets the order run its time and fail.
	Fail bool
	// Crash ends the incarnation at a point.
	Crash enginemodel.CrashPoint
}

// OrderRecord is one order that arrived at the fake.
type OrderRecord struct {
	Order       engine.Order
	Incarnation string
	ReceivedAt  time.Time
	// Refused is the reason of a refusal, or empty.
	Refused failure.Reason
	// Started is set when the order began to change the engine; a repeat of the
	// last order does not. DoneAt is when it had, or zero.
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

// reply is what the engine answers to an order; none when it is lost.
type reply struct {
	state engine.OrderState
	err   error
	lost  bool
}

// Order implements engine.Engine. What is sent travels on by itself: it
// arrives whatever becomes of the sender, unless ScriptOrders loses it.
func (e *Engine) Order(ctx context.Context, o engine.Order, deadline time.Time) (engine.OrderState, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	e.mu.Lock()
	var b OrderBehaviour
	if e.orderScript != nil {
		b = e.orderScript(o)
	}
	gone := e.unreachable || e.life.over
	e.mu.Unlock()
	if ctx.Err() != nil || gone || time.Until(deadline) <= 0 {
		return engine.OrderState{}, &engine.UnreachableError{Cause: &downError{}}
	}
	answer := make(chan reply, 1)
	if !b.Lost {
		go func() { answer <- e.deliver(o, b) }()
	}
	select {
	case r := <-answer:
		if r.lost {
			return engine.OrderState{}, &engine.UnreachableError{Sent: true, Cause: &downError{}}
		}
		return r.state, r.err
	case <-ctx.Done():
		return engine.OrderState{}, &engine.UnreachableError{Sent: true, Cause: ctx.Err()}
	}
}

// deliver carries an order to the engine and waits out a freeze there.
func (e *Engine) deliver(o engine.Order, b OrderBehaviour) reply {
	time.Sleep(b.Delay)
	l, err := e.enter(context.Background())
	if err != nil {
		return reply{lost: true}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if l.over || b.Crash == enginemodel.CrashBeforeAccept {
		e.crashLife(l)
		return reply{lost: true}
	}
	rec := &OrderRecord{Order: o, Incarnation: l.book.Incarnation, ReceivedAt: time.Now()}
	e.orders = append(e.orders, rec)
	rec.Started, err = l.book.Accept(o)
	if err != nil {
		rec.Refused = failure.ReasonOf(err)
		return reply{err: err, lost: b.LoseResponse}
	}
	if rec.Started {
		e.cutStreams(o)
		go e.carryOut(l, rec, b)
	}
	if b.Crash == enginemodel.CrashAfterAccept {
		e.crashLife(l)
		return reply{lost: true}
	}
	return reply{state: *l.book.State(), lost: b.LoseResponse}
}

// cuts tells whether an order breaks off all streams, as a change of role or of
// a base model does.
func cuts(o engine.Order) bool {
	return o.Kind == engine.ChangeRole || o.Artifact.Adapter == ""
}

// cutStreams breaks the open streams off if the order does that. The caller holds mu.
func (e *Engine) cutStreams(o engine.Order) {
	if !cuts(o) {
		return
	}
	for _, s := range e.streams {
		s.rec.InterruptedBy = o.ID
		close(s.cut)
	}
	clear(e.streams)
}

// carryOut changes the engine after OrderDuration, unless the incarnation ends.
func (e *Engine) carryOut(l *life, rec *OrderRecord, b OrderBehaviour) {
	if !l.lives(e.opts.OrderDuration / 2) {
		return
	}
	if b.Crash == enginemodel.CrashMidway {
		e.set(func() { e.crashLife(l) })
		return
	}
	if !l.lives(e.opts.OrderDuration - e.opts.OrderDuration/2) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if l.over {
		return
	}
	if b.Fail {
		l.book.Fail("order failed")
		return
	}
	e.change(rec.Order)
	rec.DoneAt = time.Now()
	if b.Crash == enginemodel.CrashAtEnd {
		e.crashLife(l)
		return
	}
	l.book.Finish()
}

// lives waits and tells whether the incarnation is still there.
func (l *life) lives(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.ended:
		return false
	}
}

// crashLife crashes the incarnation if it is still the engine's.
func (e *Engine) crashLife(l *life) {
	if e.life == l {
		e.crash()
	}
}

func (e *Engine) change(o engine.Order) {
	without := func() []weightstore.Artifact {
		same := func(a weightstore.Artifact) bool { return a == *o.Artifact }
		return slices.DeleteFunc(slices.Clone(e.loaded), same)
	}
	switch o.Kind {
	case engine.ChangeRole:
		e.role = o.Role
	case engine.LoadOrder:
		e.loaded = append(without(), *o.Artifact)
	case engine.Unload:
		e.loaded = without()
	}
}
