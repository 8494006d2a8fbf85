// Package directory knows the endpoints that registered themselves in the
// platform's store, as an immutable snapshot that every decision is made on.
package directory

import (
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/table"
)

// Registration is what an endpoint's row in the store says.
type Registration struct {
	// ID names the endpoint. One that starts again may keep it.
	ID string
	// StartedAt is when this start of the endpoint began, in Unix milliseconds by its own
	// clock; zero if it does not say. Of two starts under one ID the larger is the later.
	StartedAt int64
	// Version is that of the row.
	Version table.Version
	// Service is what it serves.
	Service string
	// Address is its host:port. After the endpoint has ended, the address may
	// belong to another service's endpoint.
	Address string
	Zone    string
	// Slots is the number of requests that it works on at once.
	Slots int
	// Draining endpoints take no new work: their row says so, or a response of theirs has.
	Draining bool
	// WarmupRemaining is how long it is still slow after its start, when the row was written.
	WarmupRemaining time.Duration
	// Revocable endpoints cost less and may be taken away at short notice, all of a zone at once.
	Revocable bool
	// Role is an engine's role; empty for a plain service.
	Role engine.Role
	// Models are the models that an engine has loaded, with their versions.
	Models map[string]int
}

// Incarnation names one start of the endpoint. Whatever was learned of an endpoint
// (its cache, open work, refusals, role orders, connections) is kept under it, so that
// a start that remembers nothing is not taken for the one before.
func (r *Registration) Incarnation() string {
	if r.StartedAt == 0 {
		return r.ID
	}
	return r.ID + "@" + strconv.FormatInt(r.StartedAt, 10)
}

// Endpoint is one endpoint as last registered. It is immutable.
type Endpoint struct {
	Registration
	// ReceivedAt is when this VM came to know of the registration.
	ReceivedAt time.Time
	// Expired is set while the row is missing but may come back: the store has
	// just returned from an outage, at ExpiredAt.
	Expired   bool
	ExpiredAt time.Time
}

// Usable tells whether new work may be sent.
func (e *Endpoint) Usable() bool { return !e.Draining }

// Snapshot is an immutable picture of all endpoints.
type Snapshot struct {
	byID      map[string]*Endpoint
	byService map[string][]*Endpoint
	// inZone counts the endpoints that take new work.
	inZone map[string]int
}

// UsableInZone is the number of endpoints of a zone that take new work.
func (s *Snapshot) UsableInZone(zone string) int { return s.inZone[zone] }

// Endpoint returns an endpoint by ID, or nil.
func (s *Snapshot) Endpoint(id string) *Endpoint { return s.byID[id] }

// Service returns the endpoints of a service that take new work, by ID. The
// caller must not change the slice.
func (s *Snapshot) Service(name string) []*Endpoint { return s.byService[name] }

// Len is the number of endpoints, those that leave included.
func (s *Snapshot) Len() int { return len(s.byID) }

// All returns every endpoint in no order.
func (s *Snapshot) All() []*Endpoint {
	all := make([]*Endpoint, 0, len(s.byID))
	for _, e := range s.byID {
		all = append(all, e)
	}
	return all
}

// Directory follows the registrations. It is safe for concurrent use; Snapshot
// takes no lock.
type Directory struct {
	// mu guards writes. It is a leaf, but OnChange is called under it.
	mu   sync.Mutex
	byID map[string]*Endpoint
	// departed are the endpoints that have been dropped lately, and disputed are rows that the store
	// holds and that do not count: see ReplaceFromRestore.
	departed map[string]departure
	disputed map[string]Registration
	// announced are the incarnations that have announced a drain, and when they were last registered.
	announced map[string]time.Time
	snapshot  atomic.Pointer[Snapshot]
	onChange  func(old, now *Snapshot)
}

// New returns an empty directory. onChange, which may be nil, is called with
// each new snapshot and the one before it, in order.
func New(onChange func(old, now *Snapshot)) *Directory {
	d := &Directory{byID: map[string]*Endpoint{}, departed: map[string]departure{}, disputed: map[string]Registration{}, announced: map[string]time.Time{}, onChange: onChange}
	d.snapshot.Store(&Snapshot{})
	return d
}

// Snapshot returns the newest picture.
func (d *Directory) Snapshot() *Snapshot { return d.snapshot.Load() }

// Put takes in registrations that are new or have changed. One of an earlier start
// than the known one changes nothing: the last words of a process that died may arrive
// after the first of the next.
func (d *Directory) Put(list ...Registration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range list {
		d.take(r)
	}
	d.publish()
}

// take takes in an endpoint's own word. The caller holds mu.
func (d *Directory) take(r Registration) {
	delete(d.disputed, r.ID)
	delete(d.departed, r.ID)
	d.byID[r.ID] = d.newer(r)
}

// newer returns the endpoint of a registration, or the known one if that is of a later
// start. The caller holds mu.
func (d *Directory) newer(r Registration) *Endpoint {
	now := clock.Now()
	known := d.byID[r.ID]
	switch {
	case known == nil:
	case known.StartedAt > r.StartedAt:
		return known
	case known.Version == r.Version:
		now = known.ReceivedAt
	}
	return &Endpoint{Registration: r, ReceivedAt: now}
}

// Remove drops endpoints whose rows are gone.
func (d *Directory) Remove(ids ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range ids {
		d.drop(id)
	}
	d.publish()
}

// drop forgets an endpoint, and remembers for a while that it did. The caller holds mu.
func (d *Directory) drop(id string) {
	delete(d.disputed, id)
	if e := d.byID[id]; e != nil {
		d.departed[id] = departure{born: e.StartedAt, at: clock.Now()}
	}
	delete(d.byID, id)
}

// MarkExpired marks an endpoint whose row is missing but may come back.
func (d *Directory) MarkExpired(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.byID[id]; old != nil {
		d.byID[id] = old.lapsed()
		d.publish()
	}
}

// Replace takes in a whole list. An endpoint that it lacks is dropped, unless
// keepMissing is set: then it is marked as lapsed, its IDs are returned, and it
// stays until a later Put, Remove or Replace. A row that is disputed since a step back stays so.
func (d *Directory) Replace(list []Registration, keepMissing bool) (lapsed []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := make(map[string]*Endpoint, len(list))
	disputed := map[string]Registration{}
	for _, r := range list {
		if d.isDisputed(r) {
			disputed[r.ID] = r
			if known := d.byID[r.ID]; known != nil {
				next[r.ID] = known
			}
			continue
		}
		next[r.ID] = d.newer(r)
	}
	for id, old := range d.byID {
		if next[id] != nil || !keepMissing {
			continue
		}
		next[id] = old.lapsed()
		lapsed = append(lapsed, id)
	}
	for id := range d.byID {
		if next[id] == nil {
			d.drop(id)
		}
	}
	d.byID, d.disputed = next, disputed
	d.publish()
	return lapsed
}

// lapsed returns an endpoint whose row is missing as of now.
func (e *Endpoint) lapsed() *Endpoint {
	kept := *e
	kept.Expired, kept.ExpiredAt = true, clock.Now()
	return &kept
}

// RemoveExpired drops those of ids whose rows have been missing since a time. One whose row was
// back since, and is missing again after another outage, has its time anew.
func (d *Directory) RemoveExpired(ids []string, since time.Time) (removed []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range ids {
		if e := d.byID[id]; e != nil && e.Expired && !e.ExpiredAt.After(since) {
			d.drop(id)
			removed = append(removed, id)
		}
	}
	d.publish()
	return removed
}

// publish makes the next snapshot. The caller holds mu.
func (d *Directory) publish() {
	d.forgetDepartures()
	d.applyAnnouncements(clock.Now())
	s := &Snapshot{byID: make(map[string]*Endpoint, len(d.byID)), byService: map[string][]*Endpoint{}, inZone: map[string]int{}}
	for id, e := range d.byID {
		s.byID[id] = e
		if e.Usable() {
			s.byService[e.Service] = append(s.byService[e.Service], e)
			s.inZone[e.Zone]++
		}
	}
	for _, list := range s.byService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	old := d.snapshot.Swap(s)
	if d.onChange != nil {
		d.onChange(old, s)
	}
}
