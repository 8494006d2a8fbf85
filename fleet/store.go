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

// Report is the reported state of an endpoint, from a poll by this process or through a peer.
type Report struct {
	Endpoint string
	State    engine.State
	// MeasuredAt is the time of the load measurement on the clock of this process: the time of
	// receipt minus the ages added along the way.
	MeasuredAt time.Duration
}

// Store combines specs, reports, cache events, health and local work into snapshots. It is safe for
// concurrent use; Snapshot takes no lock.
//
// Lock order: Store.mu, then the lock inside prefix.Views. No callbacks and no I/O happen under
// Store.mu.
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

// Snapshot returns the latest snapshot.
func (s *Store) Snapshot() *Snapshot { return s.snapshot.Load() }

// SetSpecs replaces the endpoints of the zone. Endpoints that are not listed are removed; those
// that remain keep their reports, health and local work.
func (s *Store) SetSpecs(specs []Spec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make(map[string]bool, len(specs))
	changed := make([]*Endpoint, 0, len(specs))
	for _, spec := range specs {
		listed[spec.Name] = true
	}
	if s.hasUnlisted(listed) {
		s.removeUnlisted(listed)
	}
	for _, spec := range specs {
		if e := s.withSpec(spec); e != nil {
			changed = append(changed, e)
		}
	}
	s.publish(changed...)
}

// hasUnlisted reports whether the store has an endpoint that is not listed.
func (s *Store) hasUnlisted(listed map[string]bool) bool {
	for name := range s.slots {
		if !listed[name] {
			return true
		}
	}
	return false
}

// withSpec returns the endpoint updated with spec, or nil if spec has not changed.
func (s *Store) withSpec(spec Spec) *Endpoint {
	slot, ok := s.slots[spec.Name]
	if !ok {
		slot = s.allocateSlot()
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

// allocateSlot returns a free slot.
func (s *Store) allocateSlot() prefix.Slot {
	if n := len(s.free); n > 0 {
		slot := s.free[n-1]
		s.free = s.free[:n-1]
		return slot
	}
	return prefix.Slot(len(s.slots))
}

// removeUnlisted removes the endpoints that are not listed.
func (s *Store) removeUnlisted(listed map[string]bool) {
	base := s.Snapshot()
	next := *base
	next.pages = slices.Clone(base.pages)
	for name, slot := range s.slots {
		if listed[name] {
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

// ApplyReports applies reports received at now. A report older than the current one of the same
// endpoint is ignored.
func (s *Store) ApplyReports(now time.Duration, reports ...Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := make([]*Endpoint, 0, len(reports))
	seen := make(map[string]bool, len(reports))
	for _, r := range reports {
		if seen[r.Endpoint] {
			// A second report of an endpoint is compared with the first.
			s.publish(changed...)
			changed = changed[:0]
		}
		if e := s.withReport(now, r); e != nil {
			changed = append(changed, e)
			seen[r.Endpoint] = true
		}
	}
	s.publish(changed...)
}

// withReport returns the endpoint updated with r, or nil if r is outdated or its endpoint unknown.
func (s *Store) withReport(now time.Duration, r Report) *Endpoint {
	e := s.clone(r.Endpoint)
	if e == nil || outdated(e, r) {
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

// outdated reports whether r is older than the current report. Within an incarnation the sequence
// decides. Between incarnations the time of measurement decides, so that a late report of an exited
// incarnation does not replace the current one.
func outdated(e *Endpoint, r Report) bool {
	if !e.Reported {
		return false
	}
	if e.Incarnation != r.State.Incarnation {
		return r.MeasuredAt < e.MeasuredAt
	}
	return r.State.Load.Sequence < e.Load.Sequence
}

// ApplyEvents applies the response of an engine to a request for cache events from sequence since.
// The events become visible in the next snapshot by PublishPrefixes.
func (s *Store) ApplyEvents(endpoint string, since uint64, batch engine.CacheEvents) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slot, ok := s.slots[endpoint]; ok {
		s.views.Apply(slot, since, batch)
	}
}

// EventsSince returns the sequence from which to request an engine's events. Zero requests a
// snapshot.
func (s *Store) EventsSince(endpoint string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	slot, ok := s.slots[endpoint]
	if !ok {
		return 0
	}
	return s.views.Since(slot)
}

// PublishPrefixes makes the applied events visible, in one step for all engines because each
// publication copies the changed parts of the index.
func (s *Store) PublishPrefixes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.Snapshot()
	next.Prefix = s.views.Publish()
	s.snapshot.Store(&next)
}

// SetHealth sets the health of an endpoint.
func (s *Store) SetHealth(endpoint string, status health.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.lookup(endpoint); e != nil && e.Health != status {
		next := *e
		next.Health = status
		s.publish(&next)
	}
}

// SetWithheld sets whether this process must not send requests to an endpoint.
func (s *Store) SetWithheld(endpoint string, withheld bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.lookup(endpoint); e != nil && e.Withheld != withheld {
		next := *e
		next.Withheld = withheld
		s.publish(&next)
	}
}

// SetZones sets the latest summaries of the other zones and the number of live entry VMs in this
// zone. A summary that has not been replaced keeps its PromptTokensSent.
func (s *Store) SetZones(zones []ZoneSummary, entryVMs int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.Snapshot()
	old := next.Zones
	next.Zones = slices.Clone(zones)
	for i := range next.Zones {
		next.Zones[i].carryPromptTokensSent(old)
	}
	next.EntryVMs = max(1, entryVMs)
	s.snapshot.Store(&next)
}

// carryPromptTokensSent copies the tokens already counted against the same summary.
func (z *ZoneSummary) carryPromptTokensSent(old []ZoneSummary) {
	for _, o := range old {
		if o.Zone == z.Zone && o.CreatedAt == z.CreatedAt {
			z.PromptTokensSent = max(z.PromptTokensSent, o.PromptTokensSent)
		}
	}
}

// lookup returns the current endpoint, or nil if it is unknown.
func (s *Store) lookup(endpoint string) *Endpoint {
	slot, ok := s.slots[endpoint]
	if !ok {
		return nil
	}
	return s.Snapshot().At(slot)
}

// clone returns a copy of the current endpoint for modification, or nil if it is unknown.
func (s *Store) clone(endpoint string) *Endpoint {
	e := s.lookup(endpoint)
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
