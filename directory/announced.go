package directory

import (
	"time"

	"github.com/springweir/springweir/internal/clock"
)

// announcementMemory is how long a drain is remembered of an endpoint whose row is missing: the row
// may come back after an outage of the store.
const announcementMemory = 10 * time.Minute

// Drain makes the incarnation of an endpoint a draining one by its own word, whatever its row says. It
// tells whether that is news of a registered endpoint.
//
// Invariant: a drain that was announced holds for as long as the incarnation lasts. A row that still
// says that the endpoint is ready was written before it, or by another part of the endpoint.
func (d *Directory) Drain(e *Endpoint) bool {
	if now := d.Snapshot().Endpoint(e.ID); now == nil || now.Draining || now.StartedAt != e.StartedAt {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.byID[e.ID]
	if now == nil || now.Draining || now.StartedAt != e.StartedAt {
		return false
	}
	d.announced[now.Incarnation()] = clock.Now()
	d.publish()
	return true
}

// applyAnnouncements makes endpoints draining that have announced it. The caller holds mu.
func (d *Directory) applyAnnouncements(now time.Time) {
	if len(d.announced) == 0 {
		return
	}
	for id, e := range d.byID {
		incarnation := e.Incarnation()
		if _, announced := d.announced[incarnation]; !announced {
			continue
		}
		d.announced[incarnation] = now
		if !e.Draining {
			draining := *e
			draining.Draining = true
			d.byID[id] = &draining
		}
	}
	for incarnation, seen := range d.announced {
		if now.Sub(seen) > announcementMemory {
			delete(d.announced, incarnation)
		}
	}
}
