// Package directory tracks the endpoints registered in the platform's store. It provides immutable
// snapshots, on which every decision is made.
package directory

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/table"
)

// Registration is the content of an endpoint's row in the store.
type Registration struct {
	// ID identifies the endpoint. A restarted endpoint may keep its ID.
	ID string
	// StartedAt is the start time of the endpoint's incarnation, in Unix milliseconds by its own
	// clock; zero if not reported. Of two incarnations with the same ID the larger value is the
	// later.
	StartedAt int64
	// Version is the version of the row.
	Version table.Version
	// Service is the service that the endpoint provides.
	Service string
	// SoftwareVersion is the version of the software that the endpoint runs, as opposed to that of the
	// models that it has loaded; empty if not reported. It never changes within an incarnation.
	SoftwareVersion string
	// Address is its host:port. After the endpoint has exited, the address may be reused by an
	// endpoint of another service.
	Address string
	Zone    string
	// Slots is the number of requests that it processes concurrently.
	Slots int
	// Draining endpoints accept no new work, as reported by their row or by one of their responses.
	Draining bool
	// WarmupRemaining is how much of the slow warm-up phase remained when the row was written.
	WarmupRemaining time.Duration
	// Revocable endpoints cost less and may be revoked at short notice, all of a zone at once.
	Revocable bool
	// Role is an engine's role; empty for a plain service.
	Role engine.Role
	// Models maps the models that an engine has loaded to their versions.
	Models map[string]int
}

// Incarnation identifies one start of the endpoint. Everything recorded about an endpoint (its
// cache, in-flight work, refusals, role orders, connections) is keyed by it, so that a restarted
// endpoint, which has lost that state, is not mistaken for its predecessor.
func (r *Registration) Incarnation() string {
	if r.StartedAt == 0 {
		return r.ID
	}
	return r.ID + "@" + strconv.FormatInt(r.StartedAt, 10)
}

// Endpoint is an endpoint as last registered. It is immutable.
type Endpoint struct {
	Registration
	// ReceivedAt is when this VM received the current version of the registration.
	ReceivedAt time.Time
	// Expired is set while the row is missing but may come back, because the store has just
	// recovered from an outage. ExpiredAt is when it was set.
	Expired   bool
	ExpiredAt time.Time
}

// Usable reports whether new work may be sent.
func (e *Endpoint) Usable() bool { return !e.Draining }

// Group identifies the endpoints that can replace one another: those of a service that either only
// prefill or do not.
type Group struct {
	Service  string
	Prefills bool
}

// Group returns the group of an endpoint.
func (e *Endpoint) Group() Group {
	return Group{Service: e.Service, Prefills: e.Role == engine.Prefill}
}

// Directory tracks the registrations. It is safe for concurrent use; Snapshot takes no lock.
type Directory struct {
	// mu guards writes. It is a leaf lock, except that onChange is called with it held.
	mu   sync.Mutex
	byID map[string]*Endpoint
	// touched holds the IDs whose entry in byID may differ from the snapshot's.
	touched map[string]bool
	// removed holds the endpoints that were removed recently, and disputed the rows of the store
	// that are not applied yet: see ReplaceFromRestore.
	removed  map[string]removal
	disputed map[string]Registration
	// announcedDrains maps incarnations that announced a drain to the time they were last
	// registered.
	announcedDrains map[string]time.Time
	snapshot        atomic.Pointer[Snapshot]
	onChange        func(old, next *Snapshot)
}

// New returns an empty directory. onChange, which may be nil, is called for each change, in order,
// with the previous and the next snapshot.
func New(onChange func(old, next *Snapshot)) *Directory {
	d := &Directory{byID: map[string]*Endpoint{}, touched: map[string]bool{}, removed: map[string]removal{}, disputed: map[string]Registration{}, announcedDrains: map[string]time.Time{}, onChange: onChange}
	d.snapshot.Store(&Snapshot{})
	return d
}

// Snapshot returns the latest snapshot.
func (d *Directory) Snapshot() *Snapshot { return d.snapshot.Load() }

// Put applies registrations that are new or have changed. A registration of an earlier incarnation
// than the recorded one is ignored: the last write of a process that died may arrive after the
// first of its successor.
func (d *Directory) Put(list ...Registration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range list {
		d.apply(r)
	}
	d.publish()
}

// apply records a registration and ends a dispute about it. The caller holds mu.
func (d *Directory) apply(r Registration) {
	delete(d.disputed, r.ID)
	delete(d.removed, r.ID)
	d.set(r.ID, d.newer(r))
}

// set records the endpoint of an ID; nil removes it. The caller holds mu.
func (d *Directory) set(id string, e *Endpoint) {
	d.touched[id] = true
	if e == nil {
		delete(d.byID, id)
		return
	}
	d.byID[id] = e
}

// newer returns the endpoint of a registration, or the recorded one if its incarnation is later.
// The caller holds mu.
func (d *Directory) newer(r Registration) *Endpoint {
	now := clock.Now()
	recorded := d.byID[r.ID]
	switch {
	case recorded == nil:
	case recorded.StartedAt > r.StartedAt:
		return recorded
	case r.Version != 0 && recorded.Version == r.Version && !recorded.Expired:
		return recorded
	case recorded.Version == r.Version:
		now = recorded.ReceivedAt
	}
	return &Endpoint{Registration: r, ReceivedAt: now}
}

// Remove removes endpoints whose rows were deleted.
func (d *Directory) Remove(ids ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range ids {
		d.drop(id)
	}
	d.publish()
}

// drop removes an endpoint and records the removal. The caller holds mu.
func (d *Directory) drop(id string) {
	delete(d.disputed, id)
	if e := d.byID[id]; e != nil {
		d.removed[id] = removal{startedAt: e.StartedAt, removedAt: clock.Now()}
	}
	d.set(id, nil)
}

// MarkExpired marks an endpoint as expired: its row is missing but may come back.
func (d *Directory) MarkExpired(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.byID[id]; old != nil {
		d.set(id, old.asExpired())
		d.publish()
	}
}

// Replace applies a complete list. An endpoint that is not in it is removed, unless keepMissing is
// set: then it is marked as expired, its ID is returned, and it stays until a later Put, Remove,
// RemoveExpired or Replace. A row that is disputed since a restore stays disputed.
func (d *Directory) Replace(list []Registration, keepMissing bool) (expired []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := make(map[string]*Endpoint, len(list))
	disputed := map[string]Registration{}
	for _, r := range list {
		if d.isDisputed(r) {
			disputed[r.ID] = r
			if recorded := d.byID[r.ID]; recorded != nil {
				next[r.ID] = recorded
			}
			continue
		}
		next[r.ID] = d.newer(r)
	}
	for id, old := range d.byID {
		if next[id] != nil || !keepMissing {
			continue
		}
		next[id] = old.asExpired()
		expired = append(expired, id)
	}
	for id := range d.byID {
		if next[id] == nil {
			d.drop(id)
		}
	}
	for id, e := range next {
		d.set(id, e)
	}
	d.disputed = disputed
	d.publish()
	return expired
}

// asExpired returns a copy of the endpoint that is marked as expired now.
func (e *Endpoint) asExpired() *Endpoint {
	marked := *e
	marked.Expired, marked.ExpiredAt = true, clock.Now()
	return &marked
}

// RemoveExpired removes those of ids that expired at since or before. An endpoint whose row came
// back and is missing again after another outage has a later ExpiredAt, and stays.
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

// publish builds the next snapshot and calls onChange. The caller holds mu.
func (d *Directory) publish() {
	d.pruneRemovals()
	d.applyAnnouncedDrains(clock.Now())
	old := d.snapshot.Load()
	var changes []Change
	for id := range d.touched {
		if before, now := old.Endpoint(id), d.byID[id]; before != now {
			changes = append(changes, Change{ID: id, Old: before, New: now})
		}
	}
	clear(d.touched)
	next := old.with(changes)
	d.snapshot.Store(next)
	if d.onChange != nil {
		d.onChange(old, next)
	}
}
