package directory

import (
	"maps"
	"time"

	"github.com/springweir/springweir/internal/clock"
)

// removal records which incarnation of an endpoint was removed, and when.
type removal struct {
	startedAt int64
	removedAt time.Time
}

// removalRetention is how long removals are kept: at least twice as long as a restored backup of
// the store can be old.
const removalRetention = time.Minute

// ReplaceFromRestore applies the complete list of a store that was restored from a backup. The
// recorded state takes precedence over an older row of the same incarnation, and a row does not
// bring back an incarnation that was removed after the backup: such rows are disputed, and
// returned. They take effect once the endpoint writes its row again, or with ResolveDisputed.
// Endpoints that the backup lacks are marked as expired, as with Replace.
func (d *Directory) ReplaceFromRestore(list []Registration) (expired []string, disputed []Registration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pruneRemovals() // expired removals must not dispute rows
	clear(d.disputed)
	listed := make(map[string]bool, len(list))
	for _, r := range list {
		listed[r.ID] = true
		if d.isOutdated(r) {
			d.disputed[r.ID] = r
			disputed = append(disputed, r)
			continue
		}
		d.set(r.ID, d.newer(r))
	}
	for id, old := range d.byID {
		if listed[id] {
			continue
		}
		d.set(id, old.asExpired())
		expired = append(expired, id)
	}
	d.publish()
	return expired, disputed
}

// isOutdated reports whether a restored row is older than the recorded state of the same
// incarnation. A row keeps its number in a backup, so the lower number is the older row. A row that
// shows a draining endpoint as ready is always outdated. The caller holds mu.
func (d *Directory) isOutdated(r Registration) bool {
	if recorded := d.byID[r.ID]; recorded != nil {
		same := recorded.StartedAt == r.StartedAt
		return same && (recorded.Version.Number() > r.Version.Number() || recorded.Draining && !r.Draining)
	}
	removed, ok := d.removed[r.ID]
	return ok && removed.startedAt == r.StartedAt
}

// isDisputed reports whether a row is disputed, and so not applied yet. The caller holds mu.
func (d *Directory) isDisputed(r Registration) bool {
	recorded, ok := d.disputed[r.ID]
	return ok && recorded.Version == r.Version
}

// ResolveDisputed applies those of rows that are still disputed, and returns their IDs: if the
// endpoints had changed or left, the store would contain it by now. A row of a later restore is
// another dispute, with its own deadline.
func (d *Directory) ResolveDisputed(rows []Registration) (resolved []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, row := range rows {
		if r, ok := d.disputed[row.ID]; ok && r.Version == row.Version {
			d.apply(r)
			resolved = append(resolved, r.ID)
		}
	}
	d.publish()
	return resolved
}

// pruneRemovals deletes removals older than removalRetention. The caller holds mu.
func (d *Directory) pruneRemovals() {
	maps.DeleteFunc(d.removed, func(_ string, r removal) bool { return clock.Since(r.removedAt) > removalRetention })
}
