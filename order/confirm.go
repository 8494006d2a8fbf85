package order

import (
	"context"
	"time"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/lease"
	"github.com/springweir/springweir/peer/controllerpb"
)

// Confirmer asks other controllers whether they dropped their authority. The
// generated twirp client of package controllerpb, dialled by address, is one.
type Confirmer interface {
	// ConfirmDropped asks the process at address.
	ConfirmDropped(ctx context.Context, address string, req *controllerpb.ConfirmDroppedRequest) (*controllerpb.ConfirmDroppedResponse, error)
}

// Removals tells which VMs have left for good.
type Removals interface {
	// Removed tells whether the VM was on the membership list and has been dropped
	// from it. A VM that was never seen on the list is not gone.
	Removed(vm string) bool
}

// Responder answers ConfirmDropped for this process, and for one that ran on
// the same VM before it.
type Responder struct {
	gate *Gate
	self lease.Identity
	// since is when this process had bound self.Address.
	since  time.Time
	window time.Duration
}

var _ controllerpb.Controller = (*Responder)(nil)

// NewResponder returns a responder. It must be made after self.Address was
// bound, and the address must stay bound until the process exits: the proof
// for a predecessor at the same address rests on it (see proves).
func NewResponder(gate *Gate, self lease.Identity, timing Timing) *Responder {
	t := timing.withDefaults()
	return &Responder{gate: gate, self: self, since: clock.Now(), window: t.Window + t.Settle}
}

// ConfirmDropped implements controllerpb.Controller.
func (r *Responder) ConfirmDropped(_ context.Context, req *controllerpb.ConfirmDroppedRequest) (*controllerpb.ConfirmDroppedResponse, error) {
	answer := &controllerpb.ConfirmDroppedResponse{Process: r.self.Process}
	if req.GetProcess() != r.self.Process {
		answer.Dropped = r.proves(req)
		return answer, nil
	}
	// Drop comes before Quiet: the other way round a send could slip between.
	r.gate.Drop(req.GetPool(), req.GetZone(), req.GetFence())
	answer.Dropped = r.gate.Quiet(req.GetEngine())
	return answer, nil
}

// proves tells whether this process proves that the one asked about is dead. A
// listening address is bound by one process at a time and is kept until its
// process exits; VM names are never used again. So having bound the same
// address on the same VM proves that the other has exited. What its kernel
// still held unsent has gone once the hard deadline of its last connection has
// passed, which is at most one window after this process bound the address.
func (r *Responder) proves(req *controllerpb.ConfirmDroppedRequest) bool {
	if req.GetVm() != r.self.VM || req.GetAddress() != r.self.Address {
		return false
	}
	return clock.Since(r.since) >= r.window
}
