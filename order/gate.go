package order

import (
	"sync"
	"time"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/lease"
)

// scope identifies what a lease covers.
type scope struct{ pool, zone string }

// inFlightCopy is one copy of an order, from just before it is sent until it can no longer
// arrive.
type inFlightCopy struct {
	engine string
	// latestArrival is the time after which the copy can no longer arrive; zero while the call
	// that sends it has not returned.
	latestArrival time.Time
}

// Gate tracks every copy of an order that this process has in flight, and the fences that it
// has dropped permanently. Each process has one, shared by all its leases. It is safe for
// concurrent use; mu is its only lock.
//
// Invariant: begin refuses a dropped fence, and records the copy in the same critical section.
// So once Drop has returned and NoneInFlight reports true, no copy under that fence is or will
// be in flight, even if a sender was paused just before its send.
type Gate struct {
	mu       sync.Mutex
	dropped  map[scope]uint64
	inFlight map[*inFlightCopy]struct{}
	leases   map[scope]*lease.Lease
	// unacknowledged holds the engines with a copy that got no response.
	unacknowledged map[string]struct{}
}

// NewGate returns a gate with nothing in flight.
func NewGate() *Gate {
	return &Gate{
		dropped:        make(map[scope]uint64),
		inFlight:       make(map[*inFlightCopy]struct{}),
		leases:         make(map[scope]*lease.Lease),
		unacknowledged: make(map[string]struct{}),
	}
}

// begin records a copy that is about to be sent under l. It returns *lease.LostError if the
// fence of l was dropped.
func (g *Gate) begin(l *lease.Lease, engineName string) (*inFlightCopy, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l.Fence() <= g.dropped[scope{l.Pool(), l.Zone()}] {
		return nil, &lease.LostError{Pool: l.Pool(), Zone: l.Zone(), Fence: l.Fence(), Cause: lease.Revoked}
	}
	f := &inFlightCopy{engine: engineName}
	g.inFlight[f] = struct{}{}
	return f, nil
}

// end records that the send has returned. The copy may still arrive until latestArrival; zero
// means that it has arrived or was never sent.
func (g *Gate) end(f *inFlightCopy, latestArrival time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f.latestArrival = latestArrival
	if latestArrival.IsZero() {
		delete(g.inFlight, f)
		return
	}
	g.unacknowledged[f.engine] = struct{}{}
}

// allAcknowledged reports whether every copy sent to the engine got a response, or was covered
// by clearUnacknowledged.
func (g *Gate) allAcknowledged(engineName string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, unacknowledged := g.unacknowledged[engineName]
	return !unacknowledged
}

// clearUnacknowledged records that no copy sent to the engine can still be waiting there.
func (g *Gate) clearUnacknowledged(engineName string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.unacknowledged, engineName)
}

// RevokeOnDrop makes Drop revoke l.
func (g *Gate) RevokeOnDrop(l *lease.Lease) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leases[scope{l.Pool(), l.Zone()}] = l
}

// Drop permanently gives up the authority over pool and zone up to fence. A later tenure of
// this process has a higher fence and is not affected.
func (g *Gate) Drop(pool, zone string, fence uint64) {
	l := g.forbid(scope{pool, zone}, fence)
	if l != nil {
		l.Revoke()
	}
}

// forbid refuses later sends up to fence. It returns the lease to revoke, or nil.
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

// NoneInFlight reports whether no copy of an order for the engine, sent by this process, may
// still arrive.
func (g *Gate) NoneInFlight(engineName string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	none := true
	for f := range g.inFlight {
		if !f.latestArrival.IsZero() && clock.Until(f.latestArrival) <= 0 {
			delete(g.inFlight, f)
			continue
		}
		none = none && f.engine != engineName
	}
	return none
}
