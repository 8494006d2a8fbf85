package order

import (
	"context"
	"errors"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/lease"
)

// send sends one copy of o with a hard deadline that ends before the lease does.
//
// The check of the lease saves useless sends; it is not what makes a late copy
// harmless, since the process may pause right after it. That is the open row of
// the journal, together with Gate and account.
func (s *Sender) send(ctx context.Context, target Target, o engine.Order) error {
	deadline, err := s.deadline()
	if err != nil {
		countError(err)
		return err
	}
	f, err := s.cfg.Gate.enter(s.lease, target.Name)
	if err != nil {
		countError(err)
		return err
	}
	s.faults.at(beforeSend)
	countSend()
	_, err = target.Engine.Order(ctx, o, deadline)
	s.cfg.Gate.leave(f, s.arrivesUntil(err, deadline))
	s.faults.at(afterSend)
	if err == nil {
		return nil
	}
	countError(err)
	var stale *engine.StaleFenceError
	if errors.As(err, &stale) {
		return s.stale(stale)
	}
	return err
}

// deadline returns the hard deadline of a copy sent now.
func (s *Sender) deadline() (time.Time, error) {
	a, err := s.lease.Authority()
	if err != nil {
		return time.Time{}, err
	}
	if a.Remaining() < s.timing.Margin+s.timing.Window {
		return time.Time{}, &RefusedError{Engine: s.lease.Pool(), Code: ReasonLeaseShort}
	}
	return clock.Now().Add(s.timing.Window), nil
}

// arrivesUntil returns until when a copy may still arrive, given how its send
// ended; zero if the engine answered it or nothing of it left.
func (s *Sender) arrivesUntil(err error, deadline time.Time) time.Time {
	var unreachable *engine.UnreachableError
	switch {
	case err == nil:
		return time.Time{}
	case errors.As(err, &unreachable) && !unreachable.Sent:
		return time.Time{}
	case answered(err):
		return time.Time{}
	}
	now := clock.Now()
	if now.After(deadline) {
		deadline = now
	}
	return deadline.Add(s.timing.Settle)
}

// answered tells whether err is a refusal by the engine itself.
func answered(err error) bool {
	var stale *engine.StaleFenceError
	var incarnation *engine.IncarnationError
	var busy *engine.BusyError
	var refused *engine.RefusedError
	return errors.As(err, &stale) || errors.As(err, &incarnation) || errors.As(err, &busy) || errors.As(err, &refused)
}

// stale gives up a tenure whose fence an engine has seen passed. The next one
// has a higher fence, also if the engine came from another pool.
func (s *Sender) stale(err *engine.StaleFenceError) error {
	if s.cfg.OnStaleFence != nil {
		s.cfg.OnStaleFence(err.Highest)
	}
	s.lease.Revoke()
	_, lost := s.lease.Authority()
	return lost
}

func isLost(err error) bool {
	var lost *lease.LostError
	return errors.As(err, &lost)
}
