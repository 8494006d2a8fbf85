package directory

import (
	"maps"
	"time"

	"github.com/springweir/springweir/internal/clock"
)

// departure is an endpoint that was dropped.
type departure struct {
	born int64
	at   time.Time
}

// departureMemory is how long departures are remembered: longer than a copy of the store is old,
// and as long again.
const departureMemory = time.Minute

// ReplaceFromRestore takes in the whole list of a store that has come back from a copy. What was known stands
// against what the copy says of the same start of an endpoint, and a row of one that has left since
// does not bring it back: such rows are disputed, and returned. They count once the endpoint writes
// its row again, or with ResolveDisputed. Endpoints that the copy lacks are marked as lapsed, as with
// Replace.
func (d *Directory) ReplaceFromRestore(list []Registration) (lapsed []string, disputed []Registration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forgetDepartures() // before they decide
	clear(d.disputed)
	listed := make(map[string]bool, len(list))
	for _, r := range list {
		listed[r.ID] = true
		if d.outdated(r) {
			d.disputed[r.ID] = r
			disputed = append(disputed, r)
			continue
		}
		d.byID[r.ID] = d.newer(r)
	}
	for id, old := range d.byID {
		if listed[id] {
			continue
		}
		d.byID[id] = old.lapsed()
		lapsed = append(lapsed, id)
	}
	d.publish()
	return lapsed, disputed
}

// outdated tells whether a row of a copy is older than what is known of the same start of its
// endpoint. A row keeps its number in a copy, so that the lower number is the older row; only of an
// endpoint that leaves is it never believed that it does not. The caller holds mu.
func (d *Directory) outdated(r Registration) bool {
	if known := d.byID[r.ID]; known != nil {
		same := known.StartedAt == r.StartedAt
		return same && (known.Version.Number() > r.Version.Number() || known.Draining && !r.Draining)
	}
	left, is := d.departed[r.ID]
	return is && left.born == r.StartedAt
}

// isDisputed tells whether a row is one that does not count yet. The caller holds mu.
func (d *Directory) isDisputed(r Registration) bool {
	known, is := d.disputed[r.ID]
	return is && known.Version == r.Version
}

// ResolveDisputed lets those rows count that are still disputed, and returns their IDs: had the endpoints said
// otherwise, or gone, the store would know it by now. A row of a later step back is another dispute,
// which has its own time.
func (d *Directory) ResolveDisputed(rows []Registration) (settled []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, row := range rows {
		if r, is := d.disputed[row.ID]; is && r.Version == row.Version {
			d.take(r)
			settled = append(settled, r.ID)
		}
	}
	d.publish()
	return settled
}

// forgetDepartures keeps the departures to those of the last while. The caller holds mu.
func (d *Directory) forgetDepartures() {
	maps.DeleteFunc(d.departed, func(_ string, left departure) bool { return clock.Since(left.at) > departureMemory })
}
