package order

import "github.com/springweir/springweir/engine"

// step is the next action for an open order.
type step string

// Actions for an open order.
const (
	// stepSend sends a copy of the order.
	stepSend step = "send"
	// stepWait observes the engine again later.
	stepWait step = "wait"
	// stepClose closes the order with an outcome.
	stepClose step = "end"
)

// nextStep returns the next action for an order, and its outcome if it has ended, from the
// state that the engine reports. It assumes nothing about the engine from the journal.
//
// An order that ended under an older fence, at an engine that checks fences, is sent once more:
// the engine refuses copies with the old fence, which may still arrive, only once it has seen
// the new one.
func nextStep(o engine.Order, fencing Fencing, st engine.State) (step, Outcome) {
	if st.Incarnation != o.Incarnation {
		return stepClose, SupersededByCrash
	}
	if st.Order == nil {
		return stepSend, ""
	}
	if st.Order.ID != o.ID {
		if st.Order.Phase == engine.OrderRunning {
			return stepWait, ""
		}
		return stepSend, ""
	}
	if st.Order.Phase == engine.OrderRunning {
		return stepWait, ""
	}
	outcome := Done
	if st.Order.Phase == engine.OrderFailed {
		outcome = Failed
	}
	if fencing == Checked && !refusesLowerFences(o, fencing, st) {
		return stepSend, outcome
	}
	return stepClose, outcome
}

// refusesLowerFences reports whether the engine itself refuses every copy of the order that
// carries a lower fence than o. An engine that checks fences does not do so while it has not
// seen o's fence, as when an order is given up before any copy arrived.
func refusesLowerFences(o engine.Order, fencing Fencing, st engine.State) bool {
	if fencing != Checked {
		return false
	}
	if st.Incarnation != o.Incarnation || st.HighestFence >= o.Fence {
		return true
	}
	return st.Order != nil && st.Order.ID == o.ID && st.Order.Fence >= o.Fence
}
