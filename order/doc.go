// Package order sends orders to engines. It is the only code path that does so, and guarantees
// that an engine never receives two conflicting orders, that no planned change cuts a stream,
// and that an order from a process that lost its lease has no effect.
//
// The first and the third guarantee rest on one invariant, which spec/orders.pml and the tests
// check: whenever an order takes effect on an engine, the engine's journal row is open and
// holds this order. These steps maintain it:
//
//  1. Journal.Open writes the order before it is sent, in a transaction that checks the lease's
//     row. A row holds at most one open order.
//  2. A successor opens no order while the row is open. Journal.Adopt adds the successor to the
//     senders of the existing order, which it then sends again under its own fence.
//  3. The row is closed only when no copy from any sender can still arrive
//     (Sender.accountForCopies).
//
// For the second guarantee Sender.complete withholds the engine at every entry VM of its zone,
// and waits until no stream is left, before it sends.
//
// The package is not on the request path: without the platform no lease is held, no order is
// sent, and the engines keep their roles.
//
// Lock order: Executor.mu, Gate.mu and the lease's own lock are never held together, and none
// is held during a call to another process.
package order
