// Package fakeforward provides in-memory fakes of the interfaces that package forward uses: a
// router, admitters, a sink, a generator and counting observers.
package fakeforward

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/forward"
)

// RetryAfter is the delay that Router returns when no target is left.
const RetryAfter = 1500 * time.Millisecond

// Router routes to the first target that accepts the work and has not failed yet.
type Router struct {
	Targets []forward.Target
	// PrefillTarget, if set, is part of every plan for an attempt that is not prefilled.
	PrefillTarget *forward.Target
	// Versions are the versions of the weights by target name.
	Versions map[string]string
	// Observers, if set, provides the observers of each plan.
	Observers *ObserverCounter
	// Recheck, if set, returns why a target may not be used, or nil. It is consulted for routing
	// and as Plan.Recheck.
	Recheck func(target string) *failure.Request
}

// Route implements forward.Router.
func (r Router) Route(_ context.Context, w *forward.Work, a forward.Attempt) (forward.Plan, error) {
	for _, t := range r.Targets {
		if !accepts(t, w) || slices.Contains(a.Tried, t.Name) || r.recheck(t.Name) != nil {
			continue
		}
		return r.plan(t, a), nil
	}
	return forward.Plan{}, &failure.Request{
		Code: failure.NoEndpoint, Ran: failure.NotRun, RetryAfter: RetryAfter, Message: "no endpoint can be used now",
	}
}

func (r Router) recheck(target string) *failure.Request {
	if r.Recheck == nil {
		return nil
	}
	return r.Recheck(target)
}

func (r Router) plan(t forward.Target, a forward.Attempt) forward.Plan {
	plan := forward.Plan{Target: t, Version: r.Versions[t.Name], Observer: r.Observers.observer()}
	plan.Recheck = func() *failure.Request { return r.recheck(t.Name) }
	if r.PrefillTarget != nil && !a.Prefilled {
		plan.PrefillTarget = r.PrefillTarget
		plan.PrefillObserver = r.Observers.observer()
	}
	return plan
}

// accepts reports whether a target can serve the work. Work from another zone must stay in this
// zone.
func accepts(t forward.Target, w *forward.Work) bool {
	if t.Peer != nil {
		return !w.FromOtherZone
	}
	return (t.Service != nil) == (w.Service != "")
}

// AdmitAll admits all work immediately.
type AdmitAll struct{}

// Admit implements forward.Admitter.
func (AdmitAll) Admit(context.Context, *forward.Work) (func(), error) { return func() {}, nil }

// BlockAll admits nothing: it blocks until the work's context ends.
type BlockAll struct {
	// OnAdmit, if set, is called before Admit blocks.
	OnAdmit func()
}

// Admit implements forward.Admitter.
func (b BlockAll) Admit(ctx context.Context, _ *forward.Work) (func(), error) {
	if b.OnAdmit != nil {
		b.OnAdmit()
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// Sink collects the emitted text.
type Sink struct {
	Text strings.Builder
	// BeforeEmit, if set, is called with the number of each delta, counted from one. An error
	// simulates a caller that has disconnected.
	BeforeEmit func(n int) error
	deltas     int
}

// Emit implements forward.Sink.
func (s *Sink) Emit(d forward.Delta) error {
	s.deltas++
	if s.BeforeEmit != nil {
		if err := s.BeforeEmit(s.deltas); err != nil {
			return err
		}
	}
	s.Text.WriteString(d.Text)
	return nil
}
