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
// The check of the lease only avoids useless sends. It does not make a late copy harmless,
// since the process may be paused right after the check. The open journal row does, together
// with Gate and accountForCopies.
func (s *Sender) send(ctx context.Context, target Target, o engine.Order) error {
	deadline, err := s.deadline()
	if err != nil {
		countError(err)
		return err
	}
	f, err := s.cfg.Gate.begin(s.lease, target.Name)
	if err != nil {
		countError(err)
		return err
	}
	s.faults.at(beforeSend)
	countSend()
	_, err = target.Engine.Order(ctx, o, deadline)
	s.cfg.Gate.end(f, s.latestArrival(err, deadline))
	s.faults.at(afterSend)
	if err == nil {
		return nil
	}
	countError(err)
	var stale *engine.StaleFenceError
	if errors.As(err, &stale) {
		return s.handleStaleFence(stale)
	}
	return err
}

// deadline returns the hard deadline for a copy sent now.
func (s *Sender) deadline() (time.Time, error) {
	a, err := s.lease.Authority()
	if err != nil {
		return time.Time{}, err
	}
	if a.Remaining() < s.timing.LeaseMargin+s.timing.SendTimeout {
		return time.Time{}, &RefusedError{Engine: s.lease.Pool(), Code: ReasonLeaseShort}
	}
	return clock.Now().Add(s.timing.SendTimeout), nil
}

// latestArrival returns until when a copy may still arrive, given the error of its send. It is
// zero if the engine responded or nothing was sent.
func (s *Sender) latestArrival(err error, deadline time.Time) time.Time {
	var unreachable *engine.UnreachableError
	switch {
	case err == nil:
		return time.Time{}
	case errors.As(err, &unreachable) && !unreachable.Sent:
		return time.Time{}
	case isEngineRefusal(err):
		return time.Time{}
	}
	now := clock.Now()
	if now.After(deadline) {
		deadline = now
	}
	return deadline.Add(s.timing.MaxTransit)
}

// isEngineRefusal reports whether err is a refusal returned by the engine.
func isEngineRefusal(err error) bool {
	var stale *engine.StaleFenceError
	var incarnation *engine.IncarnationError
	var busy *engine.BusyError
	var refused *engine.RefusedError
	return errors.As(err, &stale) || errors.As(err, &incarnation) || errors.As(err, &busy) || errors.As(err, &refused)
}

// handleStaleFence ends the tenure after an engine refused its fence as too low. The next
// tenure gets a higher fence, even if the engine came from another pool.
func (s *Sender) handleStaleFence(err *engine.StaleFenceError) error {
	if s.cfg.OnStaleFence != nil {
		s.cfg.OnStaleFence(err.Highest)
	}
	s.lease.Revoke()
	_, lost := s.lease.Authority()
	return lost
}

func isLeaseLost(err error) bool {
	var lost *lease.LostError
	return errors.As(err, &lost)
}
