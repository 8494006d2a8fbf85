package order

import (
	"cmp"
	"context"
	"sync/atomic"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/lease"
)

// Config holds what a Sender works with. All fields but Timing, EngineRemoved and
// OnStaleFence are needed.
type Config struct {
	Journal    *Journal
	Gate       *Gate
	Targets    Targets
	Withholder Withholder
	Confirmer  Confirmer
	Removals   Removals
	Timing     Timing
	// EngineRemoved tells whether an engine's VM was on the membership list and has
	// been dropped (membership.Watcher.Removed). Nil means never. It is apart from
	// Removals, since MembershipRemovals takes VMs that it never saw for gone, which is
	// sound for VMs that held a lease and for no others.
	EngineRemoved func(vm string) bool
	// OnStaleFence hears the highest fence of an engine that refused this
	// tenure's; lease.Holder.RaiseFloor is meant for it.
	OnStaleFence func(highest uint64)
}

// Sender sends orders under one lease. It is the only path to engine.Order.
// For one engine at most one of its methods runs at a time (see Executor).
type Sender struct {
	cfg    Config
	timing Timing
	lease  *lease.Lease
	epochs atomic.Uint64
	faults faults
}

// NewSender returns a sender for one tenure.
func NewSender(cfg Config, l *lease.Lease) *Sender {
	cfg.Gate.Watch(l)
	s := &Sender{cfg: cfg, timing: cfg.Timing.withDefaults(), lease: l}
	s.epochs.Store(l.Fence() * epochsPerFence)
	return s
}

// Result is how an order ended.
type Result struct {
	OrderID string
	Outcome Outcome
}

// Execute journals and sends a new order, named id, for c and returns how it
// ended. It fails with *OpenError while another order is open; Resolve comes
// first then.
func (s *Sender) Execute(ctx context.Context, id string, c Change) (Result, error) {
	target, ok := s.cfg.Targets.Target(c.Engine)
	if !ok {
		return Result{}, &RefusedError{Engine: c.Engine, Code: ReasonNoEngine}
	}
	st, err := s.state(ctx, target)
	if err != nil {
		return Result{}, err
	}
	prev, err := s.cfg.Journal.Read(ctx, c.Engine)
	if err != nil {
		return Result{}, err
	}
	o := engine.Order{
		ID:          id,
		Fence:       s.lease.Fence(),
		Incarnation: st.Incarnation,
		Kind:        c.Kind,
		Role:        c.Role,
		Artifact:    c.Artifact,
	}
	s.faults.at(beforeOpen)
	entry, err := s.open(ctx, prev, target.VM, o)
	if err != nil {
		return Result{}, err
	}
	s.faults.at(afterOpen)
	outcome, err := s.complete(ctx, entry)
	return Result{OrderID: id, Outcome: outcome}, err
}

// Resolve brings the open order of an engine to its end, whoever opened it, and
// returns how it ended. When none is open it returns how the last one ended, and
// lets the entry VMs use the engine again if that was left undone.
func (s *Sender) Resolve(ctx context.Context, engineName string) (Result, error) {
	entry, err := s.cfg.Journal.Read(ctx, engineName)
	if err != nil {
		return Result{}, err
	}
	if !entry.IsOpen() {
		return Result{OrderID: entry.Order.ID, Outcome: entry.Outcome}, s.finishRestore(ctx, entry)
	}
	s.faults.at(beforeAdopt)
	entry, err = s.cfg.Journal.Adopt(ctx, s.lease, entry)
	if err != nil {
		return Result{}, err
	}
	outcome, err := s.complete(ctx, entry)
	return Result{OrderID: entry.Order.ID, Outcome: outcome}, err
}

// finishRestore repeats a restore that was not confirmed before the order was closed.
func (s *Sender) finishRestore(ctx context.Context, entry Entry) error {
	if !entry.Withheld {
		return nil
	}
	if err := s.cfg.Withholder.Restore(ctx, entry.Engine, s.epochs.Add(1)); err != nil {
		return err
	}
	_, err := s.cfg.Journal.Close(ctx, s.lease, entry, entry.Outcome, false)
	return err
}

// complete withholds the engine, sends copies of the open order until its
// outcome is known, and closes it. On an error the order stays open.
func (s *Sender) complete(ctx context.Context, entry Entry) (Outcome, error) {
	epoch := s.epochs.Add(1)
	if s.cfg.EngineRemoved != nil && entry.VM != "" && s.cfg.EngineRemoved(entry.VM) {
		return EngineRemoved, s.finish(ctx, entry, EngineRemoved, epoch)
	}
	target, ok := s.cfg.Targets.Target(entry.Engine)
	if !ok {
		return "", &RefusedError{Engine: entry.Engine, Code: ReasonNoEngine}
	}
	if err := s.withhold(ctx, entry.Engine, epoch); err != nil {
		return "", err
	}
	s.faults.at(afterWithhold)
	o := entry.Order
	o.Fence = s.lease.Fence()
	return s.drive(ctx, target, entry, o, epoch)
}

func (s *Sender) withhold(ctx context.Context, engineName string, epoch uint64) error {
	if s.faults.broken(guardWithhold) {
		return nil
	}
	err := s.cfg.Withholder.Withhold(ctx, engineName, epoch)
	if err != nil {
		count(ReasonWithhold)
	}
	return err
}

// open opens the order in the journal.
func (s *Sender) open(ctx context.Context, prev Entry, vm string, o engine.Order) (Entry, error) {
	if s.faults.broken(guardResolve) {
		prev.Outcome = Done
	}
	return s.cfg.Journal.Open(ctx, s.lease, prev, vm, o)
}

// drive sends and observes until the order can be closed.
func (s *Sender) drive(ctx context.Context, target Target, entry Entry, o engine.Order, epoch uint64) (Outcome, error) {
	sent := 0
	for {
		if _, err := s.lease.Authority(); err != nil {
			return "", err
		}
		now, err := s.look(ctx, target, o)
		if err != nil {
			countError(err)
		}
		switch next := now.next; {
		case next == stepSend && sent < s.timing.Tries:
			sent++
			err = s.send(ctx, target, o)
			if isLost(err) {
				return "", err
			}
		case next == stepSend:
			now.outcome = cmp.Or(now.outcome, NotRun)
			fallthrough
		case next == stepEnd:
			closed, err := s.end(ctx, target, entry, o, now, epoch)
			if closed || err != nil {
				return now.outcome, err
			}
		}
		if !loop.Sleep(ctx, s.timing.Poll) {
			return "", ended(ctx, target.Name)
		}
	}
}

// end closes the order if no copy of it may still arrive and the engine, looked
// at again after that, still shows the same outcome.
func (s *Sender) end(ctx context.Context, target Target, entry Entry, o engine.Order, seen view, epoch uint64) (bool, error) {
	if err := s.account(ctx, target, entry, seen.fenced); err != nil {
		return false, err
	}
	again, err := s.look(ctx, target, o)
	if err != nil {
		countError(err)
		return false, nil
	}
	if again.next == stepSend {
		again.outcome = cmp.Or(again.outcome, NotRun)
	}
	if again.outcome != seen.outcome {
		return false, nil
	}
	s.faults.at(beforeClose)
	return true, s.finish(ctx, entry, seen.outcome, epoch)
}

// finish restores the engine and closes the order. The restore comes before the
// close, so that a successor finds the row open, or marked, until all entry VMs
// know. An entry VM out of reach doesn't hold up the close.
func (s *Sender) finish(ctx context.Context, entry Entry, outcome Outcome, epoch uint64) error {
	call, cancel := context.WithTimeout(ctx, s.timing.Window)
	err := s.cfg.Withholder.Restore(call, entry.Engine, epoch)
	cancel()
	withheld := err != nil
	_, err = s.cfg.Journal.Close(ctx, s.lease, entry, outcome, withheld)
	if err != nil {
		return err
	}
	countOutcome(outcome)
	klog.Infof("order: %s for %s ended: %s", entry.Order.ID, entry.Engine, outcome)
	if withheld {
		return &RefusedError{Engine: entry.Engine, Code: ReasonRestore}
	}
	return nil
}

// view is what a look at the engine tells about an order.
type view struct {
	next    step
	outcome Outcome
	fenced  bool
}

// look reads the engine's state and tells what to do next about o.
func (s *Sender) look(ctx context.Context, target Target, o engine.Order) (view, error) {
	st, err := s.state(ctx, target)
	if err != nil {
		return view{next: stepWait}, err
	}
	next, outcome := progress(o, target.Fencing, st)
	return view{next: next, outcome: outcome, fenced: fenced(o, target.Fencing, st)}, nil
}

func (s *Sender) state(ctx context.Context, target Target) (engine.State, error) {
	call, cancel := context.WithTimeout(ctx, s.timing.Call)
	defer cancel()
	return target.Engine.State(call)
}
