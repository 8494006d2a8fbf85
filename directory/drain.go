package directory

import (
	"time"

	"github.com/springweir/springweir/internal/clock"
)

// drainRetention is how long an announced drain is kept for an endpoint whose row is missing: the
// row may come back after an outage of the store.
const drainRetention = 10 * time.Minute

// Drain marks the incarnation of an endpoint as draining because the endpoint announced it,
// whatever its row contains. It reports whether that changed a registered endpoint.
//
// Invariant: an announced drain holds as long as the incarnation lasts. A row that still shows the
// endpoint as ready was written before the announcement, or by another part of the endpoint.
func (d *Directory) Drain(e *Endpoint) bool {
	if current := d.Snapshot().Endpoint(e.ID); current == nil || current.Draining || current.StartedAt != e.StartedAt {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	current := d.byID[e.ID]
	if current == nil || current.Draining || current.StartedAt != e.StartedAt {
		return false
	}
	d.announcedDrains[current.Incarnation()] = clock.Now()
	d.publish()
	return true
}

// applyAnnouncedDrains marks endpoints as draining that have announced it, and discards
// announcements after drainRetention. The caller holds mu.
func (d *Directory) applyAnnouncedDrains(now time.Time) {
	if len(d.announcedDrains) == 0 {
		return
	}
	for id, e := range d.byID {
		incarnation := e.Incarnation()
		if _, announced := d.announcedDrains[incarnation]; !announced {
			continue
		}
		d.announcedDrains[incarnation] = now
		if !e.Draining {
			draining := *e
			draining.Draining = true
			d.set(id, &draining)
		}
	}
	for incarnation, lastSeen := range d.announcedDrains {
		if now.Sub(lastSeen) > drainRetention {
			delete(d.announcedDrains, incarnation)
		}
	}
}
