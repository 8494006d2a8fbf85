// Package memtable is an in-memory table service with fault injection. Tests use it in place of
// the platform, and the platform stand-in serves it over HTTP.
package memtable

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/springweir/springweir/table"
)

// Table is an in-memory table.Service. It starts no goroutines apart from timers for delayed
// writes, and waits only on timers, channels and contexts, so that it works in a synctest bubble.
// The zero value is not usable; call New.
//
// Lock order: mu is the only lock. It is never held while waiting.
type Table struct {
	mu     sync.Mutex
	tables map[string]*rows
	faults faults
	counts Counts
	// version counts the writes of all rows; followers use it as the table version.
	version table.Version
	// epoch counts the restores from a backup.
	epoch uint64
}

var _ table.Service = (*Table)(nil)

// rows is one table.
type rows struct {
	byName map[string]table.Row
	// names holds the keys of byName in byte order.
	names []string
	// floor is the highest version that any deleted row had. A new row starts above it, so a
	// version is never reused, and no tombstones are needed.
	floor table.Version
	// log holds the newest maxLog changes of the table, and changed is closed at the next change.
	// trimmedAt is the version of the newest change that log lacks.
	log       []logEntry
	changed   chan struct{}
	trimmedAt table.Version
}

// New returns an empty table service.
func New() *Table {
	return &Table{tables: make(map[string]*rows)}
}

// Get implements table.Service.
func (t *Table) Get(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	if err := table.ValidateKeys(keys); err != nil {
		return nil, err
	}
	if err := t.beginRead(ctx, Call{Op: OpGet, Keys: keys}); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.RowsRead += uint64(len(keys))
	out := make([]table.Row, len(keys))
	for i, k := range keys {
		out[i] = t.row(k)
	}
	return out, nil
}

// Scan implements table.Service.
func (t *Table) Scan(ctx context.Context, name, prefix, after string, limit int) ([]table.Row, error) {
	if limit <= 0 || limit > table.MaxGetRows {
		limit = table.MaxGetRows
	}
	if err := t.beginRead(ctx, Call{Op: OpScan, Keys: []table.Key{{Table: name, Row: prefix}}}); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.tables[name]
	if r == nil {
		return nil, nil
	}
	start, _ := slices.BinarySearch(r.names, max(prefix, after))
	var out []table.Row
	for _, n := range r.names[start:] {
		if !strings.HasPrefix(n, prefix) || len(out) == limit {
			break
		}
		if n > after {
			out = append(out, copyRow(r.byName[n]))
		}
	}
	t.counts.RowsRead += uint64(len(out))
	return out, nil
}

// Commit implements table.Service.
func (t *Table) Commit(ctx context.Context, txn table.Txn) ([]table.Version, error) {
	if err := txn.Validate(); err != nil {
		return nil, err
	}
	f, err := t.beginCall(ctx, Call{Op: OpCommit, Txn: txn})
	if err != nil {
		return nil, err
	}
	if f.ApplyAfter > 0 {
		// The transaction is still in the network: it takes effect later, even if the caller no
		// longer waits.
		time.AfterFunc(f.ApplyAfter, func() { _, _ = t.apply(txn) })
		return nil, &table.UnknownError{Cause: &FaultError{Name: "applied late"}}
	}
	versions, err := t.apply(txn)
	if f.LoseResponse {
		return nil, &table.UnknownError{Cause: &FaultError{Name: "response lost"}}
	}
	return versions, err
}

// apply checks and writes txn atomically.
func (t *Table) apply(txn table.Txn) ([]table.Version, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range txn.Checks {
		if have := t.row(c.Key).Version; have != c.Version {
			t.counts.Conflicts++
			return nil, &table.ConflictError{Key: c.Key, Want: c.Version, Have: have}
		}
	}
	t.counts.RowsWritten += uint64(len(txn.Writes))
	versions := make([]table.Version, len(txn.Writes))
	for i, w := range txn.Writes {
		versions[i] = t.write(w)
	}
	return versions, nil
}

// row returns a copy of the row. The caller holds t.mu.
func (t *Table) row(k table.Key) table.Row {
	if r := t.tables[k.Table]; r != nil {
		if row, ok := r.byName[k.Row]; ok {
			return copyRow(row)
		}
	}
	return table.Row{Key: k}
}

// write writes one row. The caller holds t.mu.
func (t *Table) write(w table.Write) table.Version {
	r := t.tableOf(w.Key.Table)
	t.version++
	if w.Delete {
		r.remove(w.Key.Row)
		r.logChange(t.version, table.Change{Row: table.Row{Key: w.Key}, Deleted: true})
		return table.Absent
	}
	version := r.put(w)
	r.logChange(t.version, table.Change{Row: copyRow(r.byName[w.Key.Row])})
	return version
}

// tableOf returns the table with the name, creating it if necessary. The caller holds t.mu.
func (t *Table) tableOf(name string) *rows {
	r := t.tables[name]
	if r == nil {
		r = &rows{byName: make(map[string]table.Row), changed: make(chan struct{}), floor: t.inEpoch(0), trimmedAt: t.inEpoch(0)}
		t.tables[name] = r
	}
	return r
}

func (r *rows) put(w table.Write) table.Version {
	old, ok := r.byName[w.Key.Row]
	version := old.Version + 1
	if !ok {
		version = r.floor + 1
		i, _ := slices.BinarySearch(r.names, w.Key.Row)
		r.names = slices.Insert(r.names, i, w.Key.Row)
	}
	value := bytes.Clone(w.Value)
	if value == nil {
		value = []byte{}
	}
	r.byName[w.Key.Row] = table.Row{Key: w.Key, Version: version, Value: value}
	return version
}

func (r *rows) remove(name string) {
	old, ok := r.byName[name]
	if !ok {
		return
	}
	r.floor = max(r.floor, old.Version)
	i, _ := slices.BinarySearch(r.names, name)
	r.names = slices.Delete(r.names, i, i+1)
	delete(r.byName, name)
}

func copyRow(r table.Row) table.Row {
	r.Value = bytes.Clone(r.Value)
	return r
}
