// Package fakeorder holds in-memory fakes of what package order works with: the
// entry VMs that withhold engines, the way to other controllers, and the list of
// VMs that have left. They work in a synctest bubble.
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

// drainPoll is how often Withhold looks whether the last stream has ended.
const drainPoll = 20 * time.Millisecond

// StaleEpochError is an engine not withheld because a higher epoch was seen.
type StaleEpochError struct{ Epoch, Seen uint64 }

// Error implements error.
func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("epoch %d is stale: %d was seen", e.Epoch, e.Seen)
}

// Reason implements failure.Coded.
func (e *StaleEpochError) Reason() failure.Reason { return failure.EndpointWithheld }

// Withholder is the fake of order.Withholder: one entry VM and its streams. It
// is safe for concurrent use.
type Withholder struct {
	mu      sync.Mutex
	engines map[string]*gate
}

type gate struct {
	epoch    uint64
	withheld bool
	streams  int
}

// NewWithholder returns an entry VM that withholds nothing.
func NewWithholder() *Withholder { return &Withholder{engines: make(map[string]*gate)} }

// gate returns an engine's gate, with w.mu held.
func (w *Withholder) gate(name string) *gate {
	g := w.engines[name]
	if g == nil {
		g = &gate{}
		w.engines[name] = g
	}
	return g
}

// Acquire lets a stream on an engine begin, unless it is withheld. The stream
// ends with release.
func (w *Withholder) Acquire(name string) (release func(), ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.gate(name)
	if g.withheld {
		return nil, false
	}
	g.streams++
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		g.streams--
	}, true
}

// Withheld tells whether an engine is withheld.
func (w *Withholder) Withheld(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gate(name).withheld
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
	g := w.gate(name)
	if epoch < g.epoch {
		return false, &StaleEpochError{Epoch: epoch, Seen: g.epoch}
	}
	g.epoch, g.withheld = epoch, true
	return g.streams == 0, nil
}

// Restore implements order.Withholder.
func (w *Withholder) Restore(_ context.Context, name string, epoch uint64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.gate(name)
	if epoch >= g.epoch {
		g.epoch, g.withheld = epoch, false
	}
	return nil
}

// Network is the fake of order.Confirmer: it carries calls to the process that
// has bound an address. It is safe for concurrent use.
type Network struct {
	mu    sync.Mutex
	bound map[string]controllerpb.Controller
	// silent has the addresses whose process takes calls and answers nothing.
	silent map[string]bool
}

// NewNetwork returns a network without processes.
func NewNetwork() *Network {
	return &Network{bound: make(map[string]controllerpb.Controller), silent: make(map[string]bool)}
}

// Bind gives an address to a process; nil frees it.
func (n *Network) Bind(address string, c controllerpb.Controller) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bound[address] = c
	n.silent[address] = false
}

// SetUnresponsive makes the process at an address answer nothing, or ends that.
func (n *Network) SetUnresponsive(address string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[address] = on
}

// ConfirmDropped implements order.Confirmer.
func (n *Network) ConfirmDropped(ctx context.Context, address string, req *controllerpb.ConfirmDroppedRequest) (*controllerpb.ConfirmDroppedResponse, error) {
	n.mu.Lock()
	c, silent := n.bound[address], n.silent[address]
	n.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}
	if c == nil {
		return nil, &UnboundError{Address: address}
	}
	return c.ConfirmDropped(ctx, req)
}

// UnboundError is a call to an address that no process has bound.
type UnboundError struct{ Address string }

// Error implements error.
func (e *UnboundError) Error() string { return "nothing is bound to " + e.Address }

// Reason implements failure.Coded.
func (e *UnboundError) Reason() failure.Reason { return failure.PeerUnreachable }

// Removals is the fake of order.Removals. It is safe for concurrent use.
type Removals struct {
	mu   sync.Mutex
	gone map[string]bool
}

// Remove makes a VM gone for good.
func (d *Removals) Remove(vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.gone == nil {
		d.gone = make(map[string]bool)
	}
	d.gone[vm] = true
}

// Removed implements order.Removals.
func (d *Removals) Removed(vm string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gone[vm]
}
