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

// Config holds the dependencies and the timing of a Sender. All fields except Timing,
// EngineRemoved and OnStaleFence are required.
type Config struct {
	Journal    *Journal
	Gate       *Gate
	Targets    Targets
	Withholder Withholder
	Confirmer  Confirmer
	Removals   Removals
	Timing     Timing
	// EngineRemoved reports whether an engine's VM was on the membership list and has been
	// deleted from it (membership.Watcher.Removed). Nil means never. It is separate from
	// Removals because MembershipRemovals also counts VMs that it never saw as removed, which
	// is sound only for VMs that held a lease.
	EngineRemoved func(vm string) bool
	// OnStaleFence receives the highest fence reported by an engine that refused this tenure's
	// fence; lease.Holder.RaiseFloor is meant for it.
	OnStaleFence func(highest uint64)
}

// Sender sends orders under one lease. It is the only caller of engine.Order. At most one of
// its methods may run for an engine at a time (see Executor).
type Sender struct {
	cfg    Config
	timing Timing
	lease  *lease.Lease
	epochs atomic.Uint64
	faults faults
}

// NewSender returns a sender for one tenure.
func NewSender(cfg Config, l *lease.Lease) *Sender {
	cfg.Gate.RevokeOnDrop(l)
	s := &Sender{cfg: cfg, timing: cfg.Timing.withDefaults(), lease: l}
	s.epochs.Store(l.Fence() * epochsPerFence)
	return s
}

// Result is the result of an order.
type Result struct {
	OrderID string
	Outcome Outcome
}

// Execute writes a new order with the given id to the journal, sends it and returns its
// outcome. It returns *OpenError while another order is open, which Resolve must complete
// first.
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

// Resolve completes the open order of an engine, whoever opened it, and returns its outcome. If
// none is open it returns the outcome of the last one, and restores the engine at the entry VMs
// if that was not yet confirmed.
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

// complete withholds the engine, sends copies of the open order until its outcome is known, and
// closes it. On an error the order stays open.
func (s *Sender) complete(ctx context.Context, entry Entry) (Outcome, error) {
	epoch := s.epochs.Add(1)
	if s.cfg.EngineRemoved != nil && entry.VM != "" && s.cfg.EngineRemoved(entry.VM) {
		return EngineRemoved, s.restoreAndClose(ctx, entry, EngineRemoved, epoch)
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
	return s.sendUntilResolved(ctx, target, entry, o, epoch)
}

func (s *Sender) withhold(ctx context.Context, engineName string, epoch uint64) error {
	if s.faults.disabled(guardWithhold) {
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
	if s.faults.disabled(guardResolve) {
		prev.Outcome = Done
	}
	return s.cfg.Journal.Open(ctx, s.lease, prev, vm, o)
}

// sendUntilResolved sends copies and observes the engine until the order can be closed.
func (s *Sender) sendUntilResolved(ctx context.Context, target Target, entry Entry, o engine.Order, epoch uint64) (Outcome, error) {
	sent := 0
	for {
		if _, err := s.lease.Authority(); err != nil {
			return "", err
		}
		current, err := s.observe(ctx, target, o)
		if err != nil {
			countError(err)
		}
		switch next := current.next; {
		case next == stepSend && sent < s.timing.MaxSends:
			sent++
			err = s.send(ctx, target, o)
			if isLeaseLost(err) {
				return "", err
			}
		case next == stepSend:
			current.outcome = cmp.Or(current.outcome, NotRun)
			fallthrough
		case next == stepClose:
			closed, err := s.tryClose(ctx, target, entry, o, current, epoch)
			if closed || err != nil {
				return current.outcome, err
			}
		}
		if !loop.Sleep(ctx, s.timing.PollInterval) {
			return "", contextError(ctx, target.Name)
		}
	}
}

// tryClose closes the order if no copy of it can still arrive and the engine, observed again
// after that, still shows the same outcome.
func (s *Sender) tryClose(ctx context.Context, target Target, entry Entry, o engine.Order, seen observation, epoch uint64) (bool, error) {
	if err := s.accountForCopies(ctx, target, entry, seen.refusesLowerFences); err != nil {
		return false, err
	}
	again, err := s.observe(ctx, target, o)
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
	return true, s.restoreAndClose(ctx, entry, seen.outcome, epoch)
}

// restoreAndClose restores the engine and closes the order. The restore comes first, so that
// until every entry VM has acknowledged it, a successor finds the row open or marked as
// withheld. An unreachable entry VM does not delay the close beyond SendTimeout.
func (s *Sender) restoreAndClose(ctx context.Context, entry Entry, outcome Outcome, epoch uint64) error {
	call, cancel := context.WithTimeout(ctx, s.timing.SendTimeout)
	err := s.cfg.Withholder.Restore(call, entry.Engine, epoch)
	cancel()
	withheld := err != nil
	_, err = s.cfg.Journal.Close(ctx, s.lease, entry, outcome, withheld)
	if err != nil {
		return err
	}
	countOutcome(outcome)
	klog.Infof("order: %s for engine %s closed: %s", entry.Order.ID, entry.Engine, outcome)
	if withheld {
		return &RefusedError{Engine: entry.Engine, Code: ReasonRestore}
	}
	return nil
}

// observation is the state of an order as derived from the engine's state.
type observation struct {
	next               step
	outcome            Outcome
	refusesLowerFences bool
}

// observe reads the engine's state and returns the next action for o.
func (s *Sender) observe(ctx context.Context, target Target, o engine.Order) (observation, error) {
	st, err := s.state(ctx, target)
	if err != nil {
		return observation{next: stepWait}, err
	}
	next, outcome := nextStep(o, target.Fencing, st)
	return observation{next: next, outcome: outcome, refusesLowerFences: refusesLowerFences(o, target.Fencing, st)}, nil
}

func (s *Sender) state(ctx context.Context, target Target) (engine.State, error) {
	call, cancel := context.WithTimeout(ctx, s.timing.CallTimeout)
	defer cancel()
	return target.Engine.State(call)
}
