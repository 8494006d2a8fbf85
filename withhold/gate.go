// Package withhold stops new work to an endpoint before a planned change takes
// it away, and tells when nothing of this zone runs there any more.
//
// Gate is the entry's side: every attempt passes it. Controller is the side of
// the process that plans changes. The zone's roster holds the marks, so a
// successor of either side finds them.
package withhold

import (
	"sync"
	"sync/atomic"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/leaving"
)

// withheldBit marks a withheld endpoint in slot.state; the bits below it count
// the attempts that run there.
const withheldBit = int64(1) << 62

// slot is one endpoint's state at this entry.
//
// Invariant: an attempt that holds the slot counted itself while withheldBit
// was off, in one atomic step. So a count of zero read after the bit was set
// proves that nothing runs there and nothing will.
type slot struct {
	state atomic.Int64
	// epoch is the roster revision of the newest decision. Guarded by Gate.mu.
	epoch uint64
}

// Permit says whether this VM may start new work at all.
type Permit interface {
	// Allow returns nil, or a failure.Coded error that says why not.
	Allow() error
}

// Gate counts what runs on each endpoint and refuses new work to withheld
// ones. It is safe for concurrent use.
//
// Lock order: contact.Member calls ApplyRoster with its lock held, so its lock
// comes before mu. mu is a leaf.
type Gate struct {
	permit  Permit
	leaving *leaving.Set
	// slots maps an endpoint's name to its *slot. Slots are never removed.
	slots sync.Map
	// mu serialises decisions; TryAcquire does not take it.
	mu sync.Mutex
	// revision is the newest roster followed. A slot made later starts there.
	revision uint64
	withheld map[string]bool
}

// NewGate returns a gate that withholds nothing and also refuses what the set
// says is leaving. SetPermit comes before use.
func NewGate(l *leaving.Set) *Gate { return &Gate{leaving: l} }

// SetPermit sets what says whether this VM may start new work. It is set once,
// before the gate is used: the permit and the gate need each other.
func (g *Gate) SetPermit(p Permit) { g.permit = p }

// Reservation is the right to run one attempt on an endpoint.
type Reservation struct{ slot *slot }

// Release gives the right back. Only the first call counts.
func (h *Reservation) Release() {
	if h.slot == nil {
		return
	}
	h.slot.state.Add(-1)
	h.slot = nil
}

// TryAcquire counts an attempt that is about to be sent to the endpoint. The
// error is *WithheldError for a withheld endpoint, *LeavingError for a leaving
// one, or the permit's. It takes no lock, and allocates only for a refusal.
func (g *Gate) TryAcquire(endpoint string) (Reservation, error) {
	h, err := g.tryAcquire(endpoint)
	if err != nil {
		countRefusal(err)
	}
	return h, err
}

func (g *Gate) tryAcquire(endpoint string) (Reservation, error) {
	if signal, is := g.leaving.Leaving(endpoint); is {
		return Reservation{}, &LeavingError{Endpoint: endpoint, Signal: signal}
	}
	s := g.slot(endpoint)
	if s.state.Add(1)&withheldBit != 0 {
		s.state.Add(-1)
		return Reservation{}, &WithheldError{Endpoint: endpoint}
	}
	// The permit is asked after counting, so that an attempt is either counted
	// while this VM is on the roster or not made.
	if err := g.permit.Allow(); err != nil {
		s.state.Add(-1)
		return Reservation{}, err
	}
	return Reservation{slot: s}, nil
}

// Recheck tells why an attempt that holds an endpoint may not be sent there any more after a wait:
// the endpoint leaves, is withheld, or this VM may start nothing new. The errors are TryAcquire's.
func (g *Gate) Recheck(endpoint string) error {
	if signal, is := g.leaving.Leaving(endpoint); is {
		return &LeavingError{Endpoint: endpoint, Signal: signal}
	}
	if g.Withheld(endpoint) {
		return &WithheldError{Endpoint: endpoint}
	}
	return g.permit.Allow()
}

// Withheld tells whether the endpoint gets no new work.
func (g *Gate) Withheld(endpoint string) bool {
	v, ok := g.slots.Load(endpoint)
	return ok && v.(*slot).state.Load()&withheldBit != 0
}

// Streams returns how many attempts run on the endpoint.
func (g *Gate) Streams(endpoint string) int {
	v, ok := g.slots.Load(endpoint)
	if !ok {
		return 0
	}
	return int(v.(*slot).state.Load() &^ withheldBit)
}

// State is what an entry holds about one endpoint.
type State struct {
	// Epoch is the roster revision of the newest decision.
	Epoch    uint64
	Withheld bool
	// Streams counts the attempts that run there.
	Streams int
}

// Withhold refuses new work to the endpoint from now on, unless a decision of
// the same or a later epoch is held already. It returns what is then held.
func (g *Gate) Withhold(endpoint string, epoch uint64) State { return g.decide(endpoint, epoch, true) }

// Restore allows new work to the endpoint, unless a decision of the same or a
// later epoch is held already. It returns what is then held.
func (g *Gate) Restore(endpoint string, epoch uint64) State { return g.decide(endpoint, epoch, false) }

// ApplyRoster takes over all decisions of a roster.
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
	g.withheld = listed
	g.slots.Range(func(name, v any) bool {
		g.set(v.(*slot), r.Revision, listed[name.(string)])
		return true
	})
}

func (g *Gate) decide(endpoint string, epoch uint64, withheld bool) State {
	s := g.slot(endpoint)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.set(s, epoch, withheld)
	state := s.state.Load()
	return State{Epoch: s.epoch, Withheld: state&withheldBit != 0, Streams: int(state &^ withheldBit)}
}

// set takes over a decision if it is newer than the slot's. The caller holds mu.
func (g *Gate) set(s *slot, epoch uint64, withheld bool) {
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

// slot finds or makes the endpoint's slot. A new one starts with what the
// newest roster says, before anyone can see it.
func (g *Gate) slot(endpoint string) *slot {
	if v, ok := g.slots.Load(endpoint); ok {
		return v.(*slot)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &slot{}
	g.set(s, g.revision, g.withheld[endpoint])
	v, _ := g.slots.LoadOrStore(endpoint, s)
	return v.(*slot)
}
