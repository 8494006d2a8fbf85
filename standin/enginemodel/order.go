package enginemodel

import (
	"fmt"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
)

// Order is a reconfiguration during which the engine is unavailable.
type Order struct {
	// Duration is how long the engine is unavailable.
	Duration time.Duration
	// Role is the role afterwards; empty keeps the current role.
	Role engine.Role
	// Cut ends all jobs and empties the cache, as a change of the role or the model
	// does. Without it the jobs are paused and continue afterwards, as when an
	// adapter is loaded.
	Cut bool
}

type orderRun struct {
	Order
	active bool
	end    time.Duration
}

// BeginOrder starts an order. It fails with *UnavailableError while another is running.
// With Order.Cut, each live job ends with a Cut event, and Submit fails until the
// OrderDone event.
func (e *Engine) BeginOrder(now time.Duration, o Order) error {
	e.advance(now)
	if e.order.active {
		return &UnavailableError{Until: e.order.end}
	}
	// The step in progress is discarded; the completed steps are applied.
	if e.plan.steps > 0 {
		e.plan.steps = e.plan.stepsDone(now)
		e.apply()
	}
	e.clock = now
	if o.Cut {
		e.interruptAll()
	}
	e.order = orderRun{Order: o, active: true, end: now + o.Duration}
	return nil
}

func (e *Engine) interruptAll() {
	groups := [][]*job{e.importing, e.waiting, e.prefilling, e.decoding}
	for _, group := range groups {
		for _, j := range group {
			if !j.cancelled {
				e.emitEvent(j.event(Cut, e.clock))
			}
		}
	}
	e.importing, e.waiting, e.prefilling, e.decoding, e.held = nil, nil, nil, nil, nil
	e.kvUsed, e.contextTokens = 0, 0
	clear(e.jobs)
	e.cache.shrink(0)
}

func (e *Engine) finishOrder() {
	e.clock = e.order.end
	if e.order.Role != "" {
		e.role = e.order.Role
	}
	e.order = orderRun{}
	e.emitEvent(Event{At: e.clock, Kind: OrderDone})
}

// UnavailableError reports a job or order refused because an order is running. Until is
// the time at which that order ends.
type UnavailableError struct{ Until time.Duration }

// Error implements error.
func (e *UnavailableError) Error() string { return fmt.Sprintf("engine is away until %v", e.Until) }

// Reason implements failure.Coded.
func (e *UnavailableError) Reason() failure.Reason { return failure.EngineBusy }

// RoleError reports a job that an engine of this role does not accept.
type RoleError struct{ Role engine.Role }

// Error implements error.
func (e *RoleError) Error() string { return fmt.Sprintf("role %s does not decode", e.Role) }

// Reason implements failure.Coded.
func (e *RoleError) Reason() failure.Reason { return failure.EndpointRefused }

// TooLongError reports a job that exceeds the engine's total cache memory, in tokens.
type TooLongError struct{ Tokens, Limit int }

// Error implements error.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("%d tokens do not fit into %d", e.Tokens, e.Limit)
}

// Reason implements failure.Coded.
func (e *TooLongError) Reason() failure.Reason { return failure.EndpointRefused }
