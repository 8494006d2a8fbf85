package enginemodel

import "github.com/springweir/springweir/engine"

// CrashPoint is a point during the processing of an order at which the engine crashes.
type CrashPoint string

// Crash points.
const (
	NoCrash CrashPoint = ""
	// CrashBeforeAccept is before the engine has recorded the order.
	CrashBeforeAccept CrashPoint = "before-accept"
	// CrashAfterAccept is after the order was recorded and before the response is sent.
	CrashAfterAccept CrashPoint = "after-accept"
	// CrashMidway is while the order is being applied.
	CrashMidway CrashPoint = "midway"
	// CrashAtEnd is after the order was applied and before its result is visible.
	CrashAtEnd CrashPoint = "at-end"
)

// Valid reports whether p is a defined crash point.
func (p CrashPoint) Valid() bool {
	switch p {
	case NoCrash, CrashBeforeAccept, CrashAfterAccept, CrashMidway, CrashAtEnd:
		return true
	}
	return false
}

// OrderBook accepts or refuses orders for one incarnation of an engine. It stores only the
// last order: a duplicate of an earlier order that arrives after another order is treated
// as new, as by the least capable real engines. It is not safe for concurrent use.
type OrderBook struct {
	// Incarnation is the incarnation of this engine.
	Incarnation string
	// CheckFence enables the refusal of orders with a stale fencing token.
	CheckFence bool

	highestFence uint64
	current      *engine.Order
	state        engine.OrderState
}

// Accept accepts or refuses an order and reports whether it is new and must be started.
// It fails with *engine.IncarnationError, *engine.StaleFenceError or *engine.BusyError.
// The incarnation is checked first, since the other fields of an order for another
// incarnation are meaningless here. A duplicate of the last order never fails with
// *engine.BusyError.
func (b *OrderBook) Accept(o engine.Order) (bool, error) {
	if o.Incarnation != b.Incarnation {
		return false, &engine.IncarnationError{Want: o.Incarnation, Have: b.Incarnation}
	}
	if b.CheckFence && o.Fence < b.highestFence {
		return false, &engine.StaleFenceError{Sent: o.Fence, Highest: b.highestFence}
	}
	// Even an order refused as busy proves that its fencing token was issued.
	b.highestFence = max(b.highestFence, o.Fence)
	if b.current != nil && b.current.ID == o.ID {
		return false, nil
	}
	if b.state.Phase == engine.OrderRunning {
		return false, &engine.BusyError{Running: b.current.ID}
	}
	b.current = &o
	b.state = engine.OrderState{ID: o.ID, Fence: o.Fence, Phase: engine.OrderRunning}
	return true, nil
}

// Finish marks the last order as done.
func (b *OrderBook) Finish() { b.state.Phase = engine.OrderDone }

// Fail marks the last order as failed, with the engine unchanged.
func (b *OrderBook) Fail(message string) {
	b.state.Phase = engine.OrderFailed
	b.state.Error = message
}

// Current returns the last order accepted, or nil.
func (b *OrderBook) Current() *engine.Order { return b.current }

// State returns the state of the last order accepted, or nil.
func (b *OrderBook) State() *engine.OrderState {
	if b.current == nil {
		return nil
	}
	state := b.state
	return &state
}

// Highest returns the highest fencing token received, or zero without CheckFence.
func (b *OrderBook) Highest() uint64 {
	if !b.CheckFence {
		return 0
	}
	return b.highestFence
}
