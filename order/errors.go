package order

import (
	"context"
	"errors"
	"fmt"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/table"
)

// Reasons of failures and retries in this package.
const (
	// ReasonOpen means that an order was not opened because another is open.
	ReasonOpen failure.Reason = "order-open"
	// ReasonPending means that a change was refused because the engine already has one, or
	// because the executor has reached maxEngines.
	ReasonPending failure.Reason = "order-pending"
	// ReasonNotLeading means that a change was refused because this process does not hold the
	// pool's lease.
	ReasonNotLeading failure.Reason = "not-leading"
	// ReasonLeaseShort means that a send was postponed because too little of the lease is left.
	ReasonLeaseShort failure.Reason = "lease-short"
	// ReasonUnconfirmed means that an order stays open because a sender has not confirmed that
	// it dropped its authority.
	ReasonUnconfirmed failure.Reason = "predecessor-unconfirmed"
	// ReasonUnsettled means that an order stays open because a copy may still arrive.
	ReasonUnsettled failure.Reason = "copy-unsettled"
	// ReasonWithhold means that an order was not sent because an entry VM may still use the
	// engine.
	ReasonWithhold failure.Reason = "withhold-unconfirmed"
	// ReasonRestore means that an order was closed while entry VMs may still withhold the
	// engine.
	ReasonRestore failure.Reason = "restore-unconfirmed"
	// ReasonUnfinished means that an order was left open because the time slice of its worker
	// ended.
	ReasonUnfinished failure.Reason = "unfinished"
	// ReasonNoEngine means that a change names an engine that is not in the configuration tree.
	ReasonNoEngine failure.Reason = "no-such-engine"
)

// OpenError reports that an order was not opened because another one is open.
type OpenError struct{ Engine, OrderID, Pool, Zone string }

// Error implements error.
func (e *OpenError) Error() string {
	return fmt.Sprintf("engine %s has open order %s of %s/%s", e.Engine, e.OrderID, e.Pool, e.Zone)
}

// Reason implements failure.Coded.
func (e *OpenError) Reason() failure.Reason { return ReasonOpen }

// RefusedError reports that a change or a step was refused for the reason in Code.
type RefusedError struct {
	Engine string
	Code   failure.Reason
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("engine %s: %s", e.Engine, e.Code) }

// Reason implements failure.Coded.
func (e *RefusedError) Reason() failure.Reason { return e.Code }

// contextError returns the error for work on an engine that ended with ctx: the loss of the
// lease if that is the cause, otherwise a *RefusedError with ReasonUnfinished.
func contextError(ctx context.Context, engineName string) error {
	cause := context.Cause(ctx)
	var coded failure.Coded
	if errors.As(cause, &coded) {
		return cause
	}
	return &RefusedError{Engine: engineName, Code: ReasonUnfinished}
}

// DecodeError reports a journal row that cannot be decoded.
type DecodeError struct {
	Key   table.Key
	Cause error
}

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("journal row %s: %v", e.Key, e.Cause) }

// Reason implements failure.Coded.
func (e *DecodeError) Reason() failure.Reason { return failure.Internal }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }
