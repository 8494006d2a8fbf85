package memtable

import (
	"maps"
	"slices"

	"github.com/springweir/springweir/table"
)

// Backup is what a Table held at a moment.
type Backup struct {
	tables  map[string]*rows
	version table.Version
}

// Backup returns what the table service holds now.
func (t *Table) Backup() Backup {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Backup{tables: cloneTables(t.tables), version: t.version}
}

// Restore puts a copy in the place of what the table service holds and begins a new epoch: what was
// written since is gone, and the numbers of its versions are given out again. Who waits for changes
// is told that the history is gone.
func (t *Table) Restore(c Backup) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.epoch++
	old := t.tables
	t.tables = cloneTables(c.tables)
	t.version = t.inEpoch(c.version)
	for _, r := range t.tables {
		t.renumber(r)
	}
	for name, r := range old {
		t.tableOf(name)
		close(r.changed)
	}
}

// Epoch counts how often the table service has come back from a copy.
func (t *Table) Epoch() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.epoch
}

// inEpoch is the version of a copy's number in the present epoch.
func (t *Table) inEpoch(v table.Version) table.Version {
	version, err := table.NewVersion(t.epoch, v.Number())
	if err != nil {
		panic(err) // more epochs than a test has
	}
	return version
}

// renumber gives the rows of a copy, and what followers go by, versions of the present epoch.
func (t *Table) renumber(r *rows) {
	for name, row := range r.byName {
		row.Version = t.inEpoch(row.Version)
		r.byName[name] = row
	}
	r.floor = t.inEpoch(r.floor)
	r.trimmedAt = t.version // no history is older than the epoch
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
