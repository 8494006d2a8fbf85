package memtable

import (
	"maps"
	"slices"

	"github.com/springweir/springweir/table"
)

// Backup is the content of a Table at one time.
type Backup struct {
	tables  map[string]*rows
	version table.Version
}

// Backup returns the present content of the table service.
func (t *Table) Backup() Backup {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Backup{tables: cloneTables(t.tables), version: t.version}
}

// Restore replaces the content of the table service by a backup and begins a new epoch:
// everything written since the backup is lost, and its version numbers are assigned again. A
// follower that waits for changes gets *table.HistoryGoneError.
func (t *Table) Restore(backup Backup) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.epoch++
	old := t.tables
	t.tables = cloneTables(backup.tables)
	t.version = t.inEpoch(backup.version)
	for _, r := range t.tables {
		t.renumber(r)
	}
	for name, r := range old {
		t.tableOf(name)
		close(r.changed)
	}
}

// Epoch returns how often the table service was restored from a backup.
func (t *Table) Epoch() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.epoch
}

// inEpoch returns the version with v's number in the present epoch.
func (t *Table) inEpoch(v table.Version) table.Version {
	version, err := table.NewVersion(t.epoch, v.Number())
	if err != nil {
		panic(err) // no test has that many epochs
	}
	return version
}

// renumber moves the rows of a backup, and the versions that followers use, to the present epoch.
func (t *Table) renumber(r *rows) {
	for name, row := range r.byName {
		row.Version = t.inEpoch(row.Version)
		r.byName[name] = row
	}
	r.floor = t.inEpoch(r.floor)
	r.trimmedAt = t.version // the history doesn't reach back before the epoch
	r.log = nil
}

func cloneTables(tables map[string]*rows) map[string]*rows {
	out := make(map[string]*rows, len(tables))
	for name, r := range tables {
		out[name] = &rows{
			byName: maps.Clone(r.byName), names: slices.Clone(r.names), floor: r.floor,
			log: slices.Clone(r.log), changed: make(chan struct{}), trimmedAt: r.trimmedAt,
		}
	}
	return out
}
