package order

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/peer/controllerpb"
)

// account returns nil once no copy of entry's order may still arrive:
//
//   - Own copies: each was answered, or its hard deadline and the settling time
//     have passed (Gate).
//   - Other senders' copies, at an engine that checks fences and has seen this
//     tenure's or has a new incarnation: it refuses them (fenced).
//   - Other senders' copies, at any other engine: each sender confirmed that it
//     dropped its authority and has nothing in flight, or marked so in the row,
//     or its VM is gone for good and a window has passed.
//
// If any copy could not be told by its answer, the engine must then answer two
// looks at its state a settling time apart, so that an engine that was frozen
// with a copy in its receive buffer has had that time to read it.
func (s *Sender) account(ctx context.Context, target Target, entry Entry, refusesOlder bool) error {
	var others []SenderRecord
	if !refusesOlder && !s.faults.broken(guardConfirm) {
		others = s.others(entry)
	}
	gate := s.cfg.Gate
	if s.faults.broken(guardAccount) || gate.allAnswered(entry.Engine) && len(others) == 0 {
		return nil
	}
	if err := s.waitQuiet(ctx, entry.Engine); err != nil {
		return err
	}
	for _, c := range others {
		if err := s.confirm(ctx, entry, c); err != nil {
			return err
		}
	}
	if err := s.settle(ctx, target); err != nil {
		return err
	}
	gate.settled(entry.Engine)
	return nil
}

// waitQuiet waits until no own copy may still arrive.
func (s *Sender) waitQuiet(ctx context.Context, engineName string) error {
	for !s.cfg.Gate.Quiet(engineName) {
		count(ReasonUnsettled)
		if !loop.Sleep(ctx, s.timing.Poll) {
			return ended(ctx, engineName)
		}
	}
	return nil
}

// drop marks in an open row that this process has nothing in flight. The gate
// must refuse this tenure's sends already.
func (s *Sender) drop(ctx context.Context, engineName string) error {
	if err := s.waitQuiet(ctx, engineName); err != nil {
		return err
	}
	entry, err := s.cfg.Journal.Read(ctx, engineName)
	if err != nil || !entry.IsOpen() {
		return err
	}
	_, err = s.cfg.Journal.Drop(ctx, s.lease, entry)
	return err
}

// others returns the other processes whose copies may still arrive.
func (s *Sender) others(entry Entry) []SenderRecord {
	var others []SenderRecord
	for _, c := range entry.Senders {
		if c.Process != s.lease.Holder().Process && !c.Dropped {
			others = append(others, c)
		}
	}
	return others
}

// confirm waits until c's process has nothing of the order in flight and never
// sends it again. There is no time after which it gives up waiting.
func (s *Sender) confirm(ctx context.Context, entry Entry, c SenderRecord) error {
	var goneSince time.Time
	for tries := 0; ; tries++ {
		if s.cfg.Removals.Removed(c.VM) && goneSince.IsZero() {
			goneSince = clock.Now()
		}
		if !goneSince.IsZero() && clock.Since(goneSince) >= s.timing.Window {
			return nil
		}
		if s.askDropped(ctx, entry, c) {
			return nil
		}
		if tries == 0 {
			klog.Warningf("order: %s waits for %s on %s to confirm", entry.Order.ID, c.Process, c.VM)
		}
		count(ReasonUnconfirmed)
		if !loop.Sleep(ctx, s.timing.Poll) {
			return ended(ctx, entry.Engine)
		}
	}
}

func (s *Sender) askDropped(ctx context.Context, entry Entry, c SenderRecord) bool {
	call, cancel := context.WithTimeout(ctx, s.timing.Call)
	defer cancel()
	answer, err := s.cfg.Confirmer.ConfirmDropped(call, c.Address, &controllerpb.ConfirmDroppedRequest{
		Pool:    entry.Pool,
		Zone:    entry.Zone,
		Fence:   c.Fence,
		Vm:      c.VM,
		Process: c.Process,
		Address: c.Address,
		Engine:  entry.Engine,
	})
	return err == nil && answer.GetDropped()
}

// settle looks at the engine twice, a settling time apart.
func (s *Sender) settle(ctx context.Context, target Target) error {
	if _, err := s.state(ctx, target); err != nil {
		return err
	}
	if !loop.Sleep(ctx, s.timing.Settle) {
		return ended(ctx, target.Name)
	}
	_, err := s.state(ctx, target)
	return err
}
