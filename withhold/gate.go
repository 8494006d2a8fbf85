// Package withhold blocks new work to an endpoint before a planned change stops it, and reports
// when no work of this zone runs there any more.
//
// Gate runs in each entry, and every attempt passes it. Controller runs in the process that plans
// changes. The marks are stored in the zone's roster, so that a successor of either finds them.
package withhold

import (
	"sync"
	"sync/atomic"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/leaving"
)

// withheldBit marks a withheld endpoint in slot.state; the lower bits count the attempts in flight.
const withheldBit = int64(1) << 62

// slot is one endpoint's state at this entry.
//
// Invariant: an attempt with a reservation was counted while withheldBit was unset, in one atomic
// step. A count of zero read after the bit was set therefore proves that no attempt is in flight
// and none will start.
type slot struct {
	state atomic.Int64
	// epoch is the roster revision of the newest decision. Guarded by Gate.mu.
	epoch uint64
}

// Permit decides whether this VM may start new work at all.
type Permit interface {
	// Allow returns nil, or a failure.Coded error with the reason.
	Allow() error
}

// Gate counts the attempts in flight on each endpoint and refuses new work to withheld ones. It is
// safe for concurrent use.
//
// Lock order: contact.Member calls ApplyRoster with its lock held, so its lock comes before mu. mu
// is a leaf.
type Gate struct {
	permit  Permit
	leaving *leaving.Set
	// slots maps an endpoint's name to its *slot. Slots are never removed.
	slots sync.Map
	// mu serialises decisions; TryAcquire takes it only to create a slot.
	mu sync.Mutex
	// revision is that of the newest roster applied, with which new slots start. decided is that of the newest
	// decision, which may have come without its roster.
	revision, decided uint64
	withheld          map[string]bool
}

// NewGate returns a gate that withholds nothing and refuses work to the endpoints in l. SetPermit
// must be called before use.
func NewGate(l *leaving.Set) *Gate { return &Gate{leaving: l} }

// SetPermit sets the permit. It must be called once, before the gate is used; it is separate from
// NewGate because the permit and the gate refer to each other.
func (g *Gate) SetPermit(p Permit) { g.permit = p }

// Reservation is the right to run one attempt on an endpoint.
type Reservation struct{ slot *slot }

// Release ends the reservation. Repeated calls have no effect.
func (r *Reservation) Release() {
	if r.slot == nil {
		return
	}
	r.slot.state.Add(-1)
	r.slot = nil
}

// TryAcquire counts an attempt that is about to be sent to the endpoint. The error is
// *WithheldError for a withheld endpoint, *LeavingError for a leaving one, or the permit's. For an
// endpoint that the gate has seen before it takes no lock, and allocates only for a refusal.
func (g *Gate) TryAcquire(endpoint string) (Reservation, error) {
	r, err := g.tryAcquire(endpoint)
	if err != nil {
		countRefusal(err)
	}
	return r, err
}

func (g *Gate) tryAcquire(endpoint string) (Reservation, error) {
	if signal, ok := g.leaving.Leaving(endpoint); ok {
		return Reservation{}, &LeavingError{Endpoint: endpoint, Signal: signal}
	}
	s := g.slot(endpoint)
	if s.state.Add(1)&withheldBit != 0 {
		s.state.Add(-1)
		return Reservation{}, &WithheldError{Endpoint: endpoint}
	}
	// The permit is checked after counting, so that an attempt is either counted while this VM is
	// on the roster or not made.
	if err := g.permit.Allow(); err != nil {
		s.state.Add(-1)
		return Reservation{}, err
	}
	return Reservation{slot: s}, nil
}

// Recheck returns why an attempt with a reservation may not be sent to the endpoint after a wait:
// the endpoint is leaving or withheld, or this VM may start no new work. The errors are those of
// TryAcquire.
func (g *Gate) Recheck(endpoint string) error {
	if signal, ok := g.leaving.Leaving(endpoint); ok {
		return &LeavingError{Endpoint: endpoint, Signal: signal}
	}
	if g.Withheld(endpoint) {
		return &WithheldError{Endpoint: endpoint}
	}
	return g.permit.Allow()
}

// Withheld reports whether the endpoint is withheld.
func (g *Gate) Withheld(endpoint string) bool {
	v, ok := g.slots.Load(endpoint)
	return ok && v.(*slot).state.Load()&withheldBit != 0
}

// Streams returns the number of attempts in flight on the endpoint.
func (g *Gate) Streams(endpoint string) int {
	v, ok := g.slots.Load(endpoint)
	if !ok {
		return 0
	}
	return int(v.(*slot).state.Load() &^ withheldBit)
}

// State is an entry's state of one endpoint.
type State struct {
	// Epoch is the roster revision of the newest decision.
	Epoch    uint64
	Withheld bool
	// Streams is the number of attempts in flight.
	Streams int
}

// Withhold refuses new work to the endpoint from now on, unless a decision of the same or a later
// epoch is in effect. It returns the resulting state.
func (g *Gate) Withhold(endpoint string, epoch uint64) State { return g.apply(endpoint, epoch, true) }

// Restore allows new work to the endpoint, unless a decision of the same or a later epoch is in
// effect. It returns the resulting state.
func (g *Gate) Restore(endpoint string, epoch uint64) State { return g.apply(endpoint, epoch, false) }

// ApplyRoster applies all decisions of a roster, unless a newer one was applied before.
func (g *Gate) ApplyRoster(r contact.Roster) {
	listed := make(map[string]bool, len(r.Withheld))
	for _, w := range r.Withheld {
		listed[w.Endpoint] = true
		g.slot(w.Endpoint)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Revision <= g.revision {
		return
	}
	g.revision = r.Revision
	g.decided = max(g.decided, r.Revision)
	g.withheld = listed
	g.slots.Range(func(name, v any) bool {
		g.setIfNewer(v.(*slot), r.Revision, listed[name.(string)])
		return true
	})
}

// Epoch returns the roster revision of the newest decision on any endpoint, which may be newer than the roster that
// this entry has.
func (g *Gate) Epoch() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.decided
}

func (g *Gate) apply(endpoint string, epoch uint64, withheld bool) State {
	s := g.slot(endpoint)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setIfNewer(s, epoch, withheld)
	g.decided = max(g.decided, epoch)
	state := s.state.Load()
	return State{Epoch: s.epoch, Withheld: state&withheldBit != 0, Streams: int(state &^ withheldBit)}
}

// setIfNewer applies a decision if it is newer than the slot's. The caller holds mu.
func (g *Gate) setIfNewer(s *slot, epoch uint64, withheld bool) {
	if epoch <= s.epoch {
		return
	}
	s.epoch = epoch
	if withheld {
		s.state.Or(withheldBit)
		return
	}
	s.state.And(^withheldBit)
}

// slot returns the endpoint's slot and creates it if needed. A new slot gets the decision of the
// newest roster before it is published.
func (g *Gate) slot(endpoint string) *slot {
	if v, ok := g.slots.Load(endpoint); ok {
		return v.(*slot)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &slot{}
	g.setIfNewer(s, g.revision, g.withheld[endpoint])
	v, _ := g.slots.LoadOrStore(endpoint, s)
	return v.(*slot)
}
