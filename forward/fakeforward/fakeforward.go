// Package fakeforward holds the in-memory fakes of the interfaces that package
// forward needs: a router, admitters and a sink.
package fakeforward

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/forward"
)

// RetryAfter is what Router says when nothing is left.
const RetryAfter = 1500 * time.Millisecond

// Router routes to the first target that suits the work and has not failed yet.
type Router struct {
	Targets []forward.Target
	// PrefillTarget, if set, is in every plan.
	PrefillTarget *forward.Target
	// Versions are the versions of the weights by target name.
	Versions map[string]string
	// Observers, if set, gives each plan its observers.
	Observers *ObserverCounter
	// Recheck, if set, tells why a target may no longer be sent to after a wait; it is not routed to
	// either then.
	Recheck func(target string) *failure.Request
}

// Route implements forward.Router.
func (r Router) Route(_ context.Context, w *forward.Work, a forward.Attempt) (forward.Plan, error) {
	for _, t := range r.Targets {
		if !suits(t, w) || slices.Contains(a.Tried, t.Name) || r.recheck(t.Name) != nil {
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

// suits tells whether a target can take the work. A hopped one stays in the zone.
func suits(t forward.Target, w *forward.Work) bool {
	if t.Peer != nil {
		return !w.FromOtherZone
	}
	return (t.Service != nil) == (w.Service != "")
}

// AdmitAll admits everything at once.
type AdmitAll struct{}

// Admit implements forward.Admitter.
func (AdmitAll) Admit(context.Context, *forward.Work) (func(), error) { return func() {}, nil }

// BlockAll admits nothing: it holds work until the work's context ends.
type BlockAll struct {
	// OnAdmit, if set, is called when work is held.
	OnAdmit func()
}

// Admit implements forward.Admitter.
func (c BlockAll) Admit(ctx context.Context, _ *forward.Work) (func(), error) {
	if c.OnAdmit != nil {
		c.OnAdmit()
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// Sink keeps the text that it got.
type Sink struct {
	Text strings.Builder
	// BeforeEmit, if set, is called with the number of each piece, counted from
	// one. Its error is that of a caller who has left.
	BeforeEmit func(piece int) error
	pieces     int
}

// Emit implements forward.Sink.
func (s *Sink) Emit(d forward.Delta) error {
	s.pieces++
	if s.BeforeEmit != nil {
		if err := s.BeforeEmit(s.pieces); err != nil {
			return err
		}
	}
	s.Text.WriteString(d.Text)
	return nil
}
