package fleet

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/health"
	"github.com/springweir/springweir/prefix"
)

// Report is what an endpoint said of itself, by own poll or through a peer.
type Report struct {
	Endpoint string
	State    engine.State
	// MeasuredAt is when the load was measured, by this process's clock: the
	// time of receipt less every age on the way.
	MeasuredAt time.Duration
}

// Store folds specs, reports, cache events, health and own work into snapshots.
// It is safe for concurrent use; Snapshot takes no lock.
//
// Lock order: Store.mu, then the lock inside prefix.Views. Nothing is called
// back under Store.mu, and no I/O is done under it.
type Store struct {
	mu     sync.Mutex
	slots  map[string]prefix.Slot
	free   []prefix.Slot
	ledger Ledger
	views  *prefix.Views

	snapshot atomic.Pointer[Snapshot]
}

// NewStore returns an empty store for zone.
func NewStore(zone string, ledger Ledger, views *prefix.Views) *Store {
	s := &Store{slots: make(map[string]prefix.Slot), ledger: ledger, views: views}
	s.snapshot.Store(&Snapshot{Zone: zone, EntryVMs: 1, Prefix: views.Publish(), groups: make(map[GroupKey][]prefix.Slot)})
	return s
}

// Snapshot returns the newest picture.
func (s *Store) Snapshot() *Snapshot { return s.snapshot.Load() }

// SetSpecs makes specs the zone's endpoints. Endpoints not named are dropped;
// those that stay keep their reports, health and own work.
func (s *Store) SetSpecs(specs []Spec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	named := make(map[string]bool, len(specs))
	changed := make([]*Endpoint, 0, len(specs))
	for _, spec := range specs {
		named[spec.Name] = true
	}
	if s.anyOutside(named) {
		s.drop(named)
	}
	for _, spec := range specs {
		if e := s.respec(spec); e != nil {
			changed = append(changed, e)
		}
	}
	s.publish(changed...)
}

// anyOutside tells whether there is an endpoint that is not named.
func (s *Store) anyOutside(named map[string]bool) bool {
	for name := range s.slots {
		if !named[name] {
			return true
		}
	}
	return false
}

// respec returns the endpoint as it is with spec, or nil when spec is no news.
func (s *Store) respec(spec Spec) *Endpoint {
	slot, ok := s.slots[spec.Name]
	if !ok {
		slot = s.takeSlot()
		s.slots[spec.Name] = slot
		return &Endpoint{Spec: spec, Slot: slot}
	}
	e := *s.Snapshot().At(slot)
	if e.Spec == spec {
		return nil
	}
	e.Spec = spec
	return &e
}

func (s *Store) takeSlot() prefix.Slot {
	if n := len(s.free); n > 0 {
		slot := s.free[n-1]
		s.free = s.free[:n-1]
		return slot
	}
	return prefix.Slot(len(s.slots))
}

// drop removes the endpoints that are not named.
func (s *Store) drop(named map[string]bool) {
	base := s.Snapshot()
	next := *base
	next.pages = slices.Clone(base.pages)
	for name, slot := range s.slots {
		if named[name] {
			continue
		}
		delete(s.slots, name)
		s.free = append(s.free, slot)
		s.ledger.Forget(name)
		s.views.Forget(slot)
		next.put(base, slot, nil)
	}
	next.regroup()
	next.Prefix = s.views.Publish()
	s.snapshot.Store(&next)
}

// ApplyReports takes in reports that arrived at now. A report older than the one held
// of the same incarnation is ignored.
func (s *Store) ApplyReports(now time.Duration, reports ...Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := make([]*Endpoint, 0, len(reports))
	seen := make(map[string]bool, len(reports))
	for _, r := range reports {
		if seen[r.Endpoint] {
			// The second report of an endpoint is judged against the first.
			s.publish(changed...)
			changed = changed[:0]
		}
		if e := s.report(now, r); e != nil {
			changed = append(changed, e)
			seen[r.Endpoint] = true
		}
	}
	s.publish(changed...)
}

// report returns the endpoint as it is after r, or nil when r is no news.
func (s *Store) report(now time.Duration, r Report) *Endpoint {
	e := s.copyOf(r.Endpoint)
	if e == nil || stale(e, r) {
		return nil
	}
	if e.Reported && e.Incarnation != r.State.Incarnation {
		s.ledger.Forget(e.Name)
		e.Health = health.Status{}
	}
	s.ledger.Observe(now, e.Name, r.State.Load)
	e.Reported = true
	e.Incarnation = r.State.Incarnation
	e.Role = r.State.Role
	e.Loaded = r.State.Loaded
	e.SelfLeaving = r.State.Leaving
	e.Load = r.State.Load
	e.MeasuredAt = r.MeasuredAt
	e.LocalWork = s.ledger.LocalWork(now, e.Name)
	return e
}

// stale tells whether r is older than what is held. Within an incarnation the
// sequence decides; between two, the time of measurement does, so that a late
// report of a dead incarnation does not bring it back.
func stale(e *Endpoint, r Report) bool {
	if !e.Reported {
		return false
	}
	if e.Incarnation != r.State.Incarnation {
		return r.MeasuredAt < e.MeasuredAt
	}
	return r.State.Load.Sequence < e.Load.Sequence
}

// ApplyEvents takes in an engine's answer to a question for cache events from
// sequence since. They show in the next snapshot that PublishPrefixes makes.
func (s *Store) ApplyEvents(endpoint string, since uint64, batch engine.CacheEvents) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slot, ok := s.slots[endpoint]; ok {
		s.views.Apply(slot, since, batch)
	}
}

// EventsSince returns the sequence to ask an engine's events from; zero asks
// for a snapshot.
func (s *Store) EventsSince(endpoint string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	slot, ok := s.slots[endpoint]
	if !ok {
		return 0
	}
	return s.views.Since(slot)
}

// PublishPrefixes makes the events taken in so far visible, in one step for all
// engines because each publication copies what changed.
func (s *Store) PublishPrefixes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.Snapshot()
	next.Prefix = s.views.Publish()
	s.snapshot.Store(&next)
}

// SetHealth sets an endpoint's health.
func (s *Store) SetHealth(endpoint string, status health.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.at(endpoint); e != nil && e.Health != status {
		next := *e
		next.Health = status
		s.publish(&next)
	}
}

// SetWithheld sets whether this process may send to an endpoint.
func (s *Store) SetWithheld(endpoint string, withheld bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.at(endpoint); e != nil && e.Withheld != withheld {
		next := *e
		next.Withheld = withheld
		s.publish(&next)
	}
}

// SetZones sets the newest summaries of the other zones and the number of live
// entry VMs in this one. A summary as old as the one held keeps its PromptTokensSent.
func (s *Store) SetZones(zones []ZoneSummary, entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.Snapshot()
	old := next.Zones
	next.Zones = slices.Clone(zones)
	for i := range next.Zones {
		next.Zones[i].keepSent(old)
	}
	next.EntryVMs = max(1, entries)
	s.snapshot.Store(&next)
}

// keepSent takes over what was counted against the same summary before.
func (z *ZoneSummary) keepSent(old []ZoneSummary) {
	for _, o := range old {
		if o.Zone == z.Zone && o.CreatedAt == z.CreatedAt {
			z.PromptTokensSent = max(z.PromptTokensSent, o.PromptTokensSent)
		}
	}
}

// at returns the endpoint as it is, or nil.
func (s *Store) at(endpoint string) *Endpoint {
	slot, ok := s.slots[endpoint]
	if !ok {
		return nil
	}
	return s.Snapshot().At(slot)
}

func (s *Store) copyOf(endpoint string) *Endpoint {
	e := s.at(endpoint)
	if e == nil {
		return nil
	}
	next := *e
	return &next
}

func (s *Store) publish(changed ...*Endpoint) {
	if len(changed) > 0 {
		s.snapshot.Store(s.Snapshot().with(changed...))
	}
}
