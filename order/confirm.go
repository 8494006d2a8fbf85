package order

import (
	"context"
	"time"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/lease"
	"github.com/springweir/springweir/peer/controllerpb"
)

// Confirmer asks other controllers to confirm that they dropped their authority. The generated
// twirp client of package controllerpb, dialled by address, implements it.
type Confirmer interface {
	// ConfirmDropped sends the request to the process at address.
	ConfirmDropped(ctx context.Context, address string, req *controllerpb.ConfirmDroppedRequest) (*controllerpb.ConfirmDroppedResponse, error)
}

// Removals reports which VMs were removed permanently.
type Removals interface {
	// Removed reports whether the VM was on the membership list and has been deleted from it.
	// It is false for a VM that never was on the list.
	Removed(vm string) bool
}

// Responder serves ConfirmDropped for this process, and for an earlier process on the same VM.
type Responder struct {
	gate     *Gate
	identity lease.Identity
	// startedAt is a time at which this process had already bound identity.Address.
	startedAt  time.Time
	proofDelay time.Duration
}

var _ controllerpb.Controller = (*Responder)(nil)

// NewResponder returns a responder. Call it after identity.Address was bound, and keep the
// address bound until the process exits: provesExit relies on it to confirm for an earlier
// process at the same address.
func NewResponder(gate *Gate, identity lease.Identity, timing Timing) *Responder {
	t := timing.withDefaults()
	return &Responder{gate: gate, identity: identity, startedAt: clock.Now(), proofDelay: t.SendTimeout + t.MaxTransit}
}

// ConfirmDropped implements controllerpb.Controller.
func (r *Responder) ConfirmDropped(_ context.Context, req *controllerpb.ConfirmDroppedRequest) (*controllerpb.ConfirmDroppedResponse, error) {
	resp := &controllerpb.ConfirmDroppedResponse{Process: r.identity.Process}
	if req.GetProcess() != r.identity.Process {
		resp.Dropped = r.provesExit(req)
		return resp, nil
	}
	// Drop must come before NoneInFlight; in the other order a send could start between the two
	// calls.
	r.gate.Drop(req.GetPool(), req.GetZone(), req.GetFence())
	resp.Dropped = r.gate.NoneInFlight(req.GetEngine())
	return resp, nil
}

// provesExit reports whether this process proves that the requested process has exited. Only
// one process at a time can bind a listening address, it stays bound until that process exits,
// and VM names are never reused. So having bound the same address on the same VM proves that
// the other process has exited. Data that its kernel had not yet sent is discarded when the
// hard deadline of its last connection passes, at most proofDelay after this process bound the
// address.
func (r *Responder) provesExit(req *controllerpb.ConfirmDroppedRequest) bool {
	if req.GetVm() != r.identity.VM || req.GetAddress() != r.identity.Address {
		return false
	}
	return clock.Since(r.startedAt) >= r.proofDelay
}
