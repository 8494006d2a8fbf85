package order

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/peer/controllerpb"
)

// accountForCopies returns nil once no copy of entry's order can still arrive:
//
//   - Copies sent by this process: the engine responded to each, or its send timeout and
//     MaxTransit have passed (Gate).
//   - Copies of other senders, to an engine that checks fences and has seen the fence of this
//     tenure or has a new incarnation: the engine refuses them (refusesLowerFences).
//   - Copies of other senders, to any other engine: each sender confirmed that it dropped its
//     authority and has nothing in flight, or marked this in the row, or its VM was removed
//     permanently and a SendTimeout has passed since.
//
// If any copy had no response, the engine must also report its state twice, MaxTransit apart.
// An engine that was frozen with a copy in its receive buffer has then had that time to read
// it.
func (s *Sender) accountForCopies(ctx context.Context, target Target, entry Entry, refusesLowerFences bool) error {
	var others []SenderRecord
	if !refusesLowerFences && !s.faults.disabled(guardConfirm) {
		others = s.otherSenders(entry)
	}
	gate := s.cfg.Gate
	if s.faults.disabled(guardAccount) || gate.allAcknowledged(entry.Engine) && len(others) == 0 {
		return nil
	}
	if err := s.waitNoneInFlight(ctx, entry.Engine); err != nil {
		return err
	}
	for _, c := range others {
		if err := s.awaitDropped(ctx, entry, c); err != nil {
			return err
		}
	}
	if err := s.observeTwice(ctx, target); err != nil {
		return err
	}
	gate.clearUnacknowledged(entry.Engine)
	return nil
}

// waitNoneInFlight waits until no copy sent by this process can still arrive.
func (s *Sender) waitNoneInFlight(ctx context.Context, engineName string) error {
	for !s.cfg.Gate.NoneInFlight(engineName) {
		count(ReasonUnsettled)
		if !loop.Sleep(ctx, s.timing.PollInterval) {
			return contextError(ctx, engineName)
		}
	}
	return nil
}

// drop marks an open row to record that this process has nothing in flight. The gate must
// already refuse sends of this tenure.
func (s *Sender) drop(ctx context.Context, engineName string) error {
	if err := s.waitNoneInFlight(ctx, engineName); err != nil {
		return err
	}
	entry, err := s.cfg.Journal.Read(ctx, engineName)
	if err != nil || !entry.IsOpen() {
		return err
	}
	_, err = s.cfg.Journal.Drop(ctx, s.lease, entry)
	return err
}

// otherSenders returns the other processes whose copies may still arrive.
func (s *Sender) otherSenders(entry Entry) []SenderRecord {
	var others []SenderRecord
	for _, c := range entry.Senders {
		if c.Process != s.lease.Holder().Process && !c.Dropped {
			others = append(others, c)
		}
	}
	return others
}

// awaitDropped waits until c's process has nothing of the order in flight and never sends it
// again. It has no timeout of its own; only ctx ends the wait.
func (s *Sender) awaitDropped(ctx context.Context, entry Entry, c SenderRecord) error {
	var removedSince time.Time
	for attempts := 0; ; attempts++ {
		if s.cfg.Removals.Removed(c.VM) && removedSince.IsZero() {
			removedSince = clock.Now()
		}
		if !removedSince.IsZero() && clock.Since(removedSince) >= s.timing.SendTimeout {
			return nil
		}
		if s.confirmDropped(ctx, entry, c) {
			return nil
		}
		if attempts == 0 {
			klog.Warningf("order: %s: waiting for process %s on VM %s to confirm that it dropped its authority", entry.Order.ID, c.Process, c.VM)
		}
		count(ReasonUnconfirmed)
		if !loop.Sleep(ctx, s.timing.PollInterval) {
			return contextError(ctx, entry.Engine)
		}
	}
}

func (s *Sender) confirmDropped(ctx context.Context, entry Entry, c SenderRecord) bool {
	call, cancel := context.WithTimeout(ctx, s.timing.CallTimeout)
	defer cancel()
	resp, err := s.cfg.Confirmer.ConfirmDropped(call, c.Address, &controllerpb.ConfirmDroppedRequest{
		Pool:    entry.Pool,
		Zone:    entry.Zone,
		Fence:   c.Fence,
		Vm:      c.VM,
		Process: c.Process,
		Address: c.Address,
		Engine:  entry.Engine,
	})
	return err == nil && resp.GetDropped()
}

// observeTwice reads the engine's state twice, MaxTransit apart.
func (s *Sender) observeTwice(ctx context.Context, target Target) error {
	if _, err := s.state(ctx, target); err != nil {
		return err
	}
	if !loop.Sleep(ctx, s.timing.MaxTransit) {
		return contextError(ctx, target.Name)
	}
	_, err := s.state(ctx, target)
	return err
}
