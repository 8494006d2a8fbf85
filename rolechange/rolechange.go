// Package rolechange moves model engines between prefilling and decoding. One VM
// at a time does so, the holder of a lease in the platform's store.
//
// Two orders never conflict on an engine for three reasons together: only the
// lease's holder orders; a new holder waits until no order of the one before can
// be under way; and each order names the number of orders that the engine had
// taken, so that one which arrives late, after a newer one, is refused by the
// engine itself. What an engine does is always read from the engine or its
// registration, never assumed from an order.
package rolechange

import (
	"context"
	"fmt"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
)

// Order asks an engine to change its role.
type Order struct {
	Role engine.Role
	// Holder names the VM that orders, Fence its tenure.
	Holder string
	Fence  uint64
	// OrdersAccepted is the number of orders that the engine must have taken so far.
	OrdersAccepted uint64
}

// State is what an engine says of itself.
type State struct {
	Role engine.Role
	// StartedAt is the start that answers, as in directory.Registration.
	StartedAt int64
	// OrderInProgress is set while an order is under way.
	OrderInProgress bool
	// OrdersAccepted is the number of orders taken since its start.
	OrdersAccepted uint64
}

// Engines reaches engines. Neither call is repeated by itself.
type Engines interface {
	State(ctx context.Context, e *directory.Endpoint) (State, error)
	// ChangeRole sends an order. The error is *RefusedError if the engine
	// refused it; after any other error it may have been taken, or may be later.
	ChangeRole(ctx context.Context, e *directory.Endpoint, o Order) error
}

// RefusedError is an order that the engine refused.
type RefusedError struct{ Status int }

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the engine refused the order with status %d", e.Status)
}

// Reason implements failure.Coded.
func (e *RefusedError) Reason() failure.Reason { return failure.EngineBusy }

// Shape counts the engines of a service by role. Those under way count for the
// role they are going to.
type Shape struct{ Prefill, Decode int }
