// Package fakeorder provides in-memory fakes of the dependencies of package order: the entry
// VMs that withhold engines, the network to other controllers, and the set of removed VMs. They
// work in a synctest bubble.
package fakeorder

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/peer/controllerpb"
)

// drainPoll is how often Withhold checks whether the last stream has ended.
const drainPoll = 20 * time.Millisecond

// StaleEpochError reports that an engine was not withheld because a higher epoch was seen.
type StaleEpochError struct{ Epoch, Seen uint64 }

// Error implements error.
func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("epoch %d is stale: %d was seen", e.Epoch, e.Seen)
}

// Reason implements failure.Coded.
func (e *StaleEpochError) Reason() failure.Reason { return failure.EndpointWithheld }

// Withholder is a fake order.Withholder: one entry VM and its streams. It is safe for
// concurrent use.
type Withholder struct {
	mu      sync.Mutex
	engines map[string]*engineState
}

type engineState struct {
	epoch    uint64
	withheld bool
	streams  int
}

// NewWithholder returns an entry VM that withholds nothing.
func NewWithholder() *Withholder { return &Withholder{engines: make(map[string]*engineState)} }

// engine returns an engine's state; the caller holds w.mu.
func (w *Withholder) engine(name string) *engineState {
	e := w.engines[name]
	if e == nil {
		e = &engineState{}
		w.engines[name] = e
	}
	return e
}

// Acquire starts a stream on an engine, unless the engine is withheld. The stream ends when
// release is called.
func (w *Withholder) Acquire(name string) (release func(), ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engine(name)
	if e.withheld {
		return nil, false
	}
	e.streams++
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		e.streams--
	}, true
}

// Withheld reports whether an engine is withheld.
func (w *Withholder) Withheld(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.engine(name).withheld
}

// Withhold implements order.Withholder.
func (w *Withholder) Withhold(ctx context.Context, name string, epoch uint64) error {
	for {
		drained, err := w.withhold(name, epoch)
		if drained || err != nil {
			return err
		}
		if !loop.Sleep(ctx, drainPoll) {
			return context.Cause(ctx)
		}
	}
}

func (w *Withholder) withhold(name string, epoch uint64) (bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engine(name)
	if epoch < e.epoch {
		return false, &StaleEpochError{Epoch: epoch, Seen: e.epoch}
	}
	e.epoch, e.withheld = epoch, true
	return e.streams == 0, nil
}

// Restore implements order.Withholder.
func (w *Withholder) Restore(_ context.Context, name string, epoch uint64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engine(name)
	if epoch >= e.epoch {
		e.epoch, e.withheld = epoch, false
	}
	return nil
}

// Network is a fake order.Confirmer that delivers calls to the process bound to an address. It
// is safe for concurrent use.
type Network struct {
	mu    sync.Mutex
	bound map[string]controllerpb.Controller
	// unresponsive holds the addresses whose process accepts calls and never responds.
	unresponsive map[string]bool
}

// NewNetwork returns a network without processes.
func NewNetwork() *Network {
	return &Network{bound: make(map[string]controllerpb.Controller), unresponsive: make(map[string]bool)}
}

// Bind binds a process to an address; nil unbinds it.
func (n *Network) Bind(address string, c controllerpb.Controller) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bound[address] = c
	n.unresponsive[address] = false
}

// SetUnresponsive sets whether the process at an address leaves calls without a response.
func (n *Network) SetUnresponsive(address string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unresponsive[address] = on
}

// ConfirmDropped implements order.Confirmer.
func (n *Network) ConfirmDropped(ctx context.Context, address string, req *controllerpb.ConfirmDroppedRequest) (*controllerpb.ConfirmDroppedResponse, error) {
	n.mu.Lock()
	c, unresponsive := n.bound[address], n.unresponsive[address]
	n.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}
	if c == nil {
		return nil, &UnboundError{Address: address}
	}
	return c.ConfirmDropped(ctx, req)
}

// UnboundError reports a call to an address that no process has bound.
type UnboundError struct{ Address string }

// Error implements error.
func (e *UnboundError) Error() string { return "nothing is bound to " + e.Address }

// Reason implements failure.Coded.
func (e *UnboundError) Reason() failure.Reason { return failure.PeerUnreachable }

// Removals is a fake order.Removals. It is safe for concurrent use.
type Removals struct {
	mu      sync.Mutex
	removed map[string]bool
}

// Remove marks a VM as permanently removed.
func (d *Removals) Remove(vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.removed == nil {
		d.removed = make(map[string]bool)
	}
	d.removed[vm] = true
}

// Removed implements order.Removals.
func (d *Removals) Removed(vm string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.removed[vm]
}
