package directory

import (
	"time"

	"github.com/springweir/springweir/internal/clock"
)

// announcementMemory is how long a drain is remembered of an endpoint whose row is missing: the row
// may come back after an outage of the store.
const announcementMemory = 10 * time.Minute

// Drain makes one incarnation of an endpoint a draining one by its own word, whatever its row says. It
// tells whether that is news of a registered endpoint.
//
// Invariant: a drain that was announced holds for as long as the incarnation lasts. A row that still
// says that the endpoint is ready was written before it, or by another part of the endpoint.
func (d *Directory) Drain(incarnation string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.byID {
		if e.Incarnation() != incarnation {
			continue
		}
		news := e.Usable()
		d.announced[incarnation] = clock.Now()
		d.publish()
		return news
	}
	return false
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
