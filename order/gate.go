package order

import (
	"sync"
	"time"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/lease"
)

// scope is what a lease is for.
type scope struct{ pool, zone string }

// flight is one copy of an order from just before it is sent until it can't
// arrive any more.
type flight struct {
	engine string
	// until is when the copy has certainly arrived or been lost; zero while the
	// call that sends it has not returned.
	until time.Time
}

// Gate knows every copy of an order that this process has in flight, and the
// fences that it has dropped for good. There is one for a process, whatever
// its leases. It is safe for concurrent use; mu is its only lock.
//
// Invariant: enter refuses a dropped fence, and notes the copy in the same
// critical section. So once Drop has returned and Quiet says true, nothing of
// that fence is or will be in flight, even if a sender was paused just before
// its send.
type Gate struct {
	mu      sync.Mutex
	dropped map[scope]uint64
	flights map[*flight]struct{}
	leases  map[scope]*lease.Lease
	// unanswered has the engines with a copy that no answer accounted for.
	unanswered map[string]struct{}
}

// NewGate returns a gate with nothing in flight.
func NewGate() *Gate {
	return &Gate{
		dropped:    make(map[scope]uint64),
		flights:    make(map[*flight]struct{}),
		leases:     make(map[scope]*lease.Lease),
		unanswered: make(map[string]struct{}),
	}
}

// enter notes a copy that is about to be sent under l. The error is *lease.LostError.
func (g *Gate) enter(l *lease.Lease, engineName string) (*flight, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l.Fence() <= g.dropped[scope{l.Pool(), l.Zone()}] {
		return nil, &lease.LostError{Pool: l.Pool(), Zone: l.Zone(), Fence: l.Fence(), Cause: lease.Revoked}
	}
	f := &flight{engine: engineName}
	g.flights[f] = struct{}{}
	return f, nil
}

// leave notes that the send has returned. The copy may still arrive until that
// time; zero says that it has arrived or was never sent.
func (g *Gate) leave(f *flight, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f.until = until
	if until.IsZero() {
		delete(g.flights, f)
		return
	}
	g.unanswered[f.engine] = struct{}{}
}

// allAnswered tells whether every copy sent to the engine was accounted for by
// its answer, or by settled.
func (g *Gate) allAnswered(engineName string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, open := g.unanswered[engineName]
	return !open
}

// settled notes that no copy sent to the engine can still be waiting there.
func (g *Gate) settled(engineName string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.unanswered, engineName)
}

// Watch makes Drop revoke l.
func (g *Gate) Watch(l *lease.Lease) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leases[scope{l.Pool(), l.Zone()}] = l
}

// Drop drops for good the authority over pool and zone up to fence. A later
// tenure of this process has a higher fence and is not touched.
func (g *Gate) Drop(pool, zone string, fence uint64) {
	l := g.forbid(scope{pool, zone}, fence)
	if l != nil {
		l.Revoke()
	}
}

// forbid refuses later sends up to fence. It returns the lease to be revoked, or nil.
func (g *Gate) forbid(s scope, fence uint64) *lease.Lease {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dropped[s] = max(g.dropped[s], fence)
	l := g.leases[s]
	if l == nil || l.Fence() > fence {
		return nil
	}
	delete(g.leases, s)
	return l
}

// Quiet tells whether no copy of an order for the engine may still arrive from
// this process.
func (g *Gate) Quiet(engineName string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	quiet := true
	for f := range g.flights {
		if !f.until.IsZero() && clock.Until(f.until) <= 0 {
			delete(g.flights, f)
			continue
		}
		quiet = quiet && f.engine != engineName
	}
	return quiet
}
