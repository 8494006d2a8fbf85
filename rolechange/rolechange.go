// Package rolechange moves model engines between prefill and decode. Only one VM at a time orders
// changes: the holder of a lease in the platform's store.
//
// Three measures together prevent conflicting orders to an engine. Only the lease holder sends
// orders. A new holder waits until no order of its predecessor can be in flight. Each order carries
// the number of orders that the engine has accepted so far, so that the engine refuses an order
// that arrives after a newer one. The role of an engine is always read from the engine or its
// registration, never inferred from an order.
package rolechange

import (
	"context"
	"fmt"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
)

// Order instructs an engine to change its role.
type Order struct {
	Role engine.Role
	// Holder is the VM that sends the order, Fence the fencing token of its lease.
	Holder string
	Fence  uint64
	// OrdersAccepted is the number of orders that the engine must have accepted so far.
	OrdersAccepted uint64
}

// State is the state that an engine reports.
type State struct {
	Role engine.Role
	// StartedAt is the start time of the engine's incarnation, as in directory.Registration.
	StartedAt int64
	// OrderInProgress is set while the engine carries out an order.
	OrderInProgress bool
	// OrdersAccepted is the number of orders accepted since the start.
	OrdersAccepted uint64
}

// Engines accesses engines. Its methods do not retry.
type Engines interface {
	State(ctx context.Context, e *directory.Endpoint) (State, error)
	// ChangeRole sends an order. The error is *RefusedError if the engine refused it. After any
	// other error the engine may have accepted the order or may still do so.
	ChangeRole(ctx context.Context, e *directory.Endpoint, o Order) error
}

// RefusedError reports that an engine refused an order.
type RefusedError struct{ Status int }

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the engine refused the order with status %d", e.Status)
}

// Reason implements failure.Coded.
func (e *RefusedError) Reason() failure.Reason { return failure.EngineBusy }

// RoleCounts counts the engines of a service by role. An engine that is changing its role counts
// for the new one.
type RoleCounts struct{ Prefill, Decode int }
