package memtable

import (
	"context"
	"slices"
	"time"

	"github.com/springweir/springweir/table"
)

var _ table.Feed = (*Table)(nil)

// maxLog is the number of changes that each table keeps for its followers.
const maxLog = 1000

// logEntry is a change and the table version after it.
type logEntry struct {
	change  table.Change
	version table.Version
}

// logChange appends a change to the log and wakes all waiting followers. The caller holds the
// Table's lock.
func (r *rows) logChange(version table.Version, c table.Change) {
	r.log = append(r.log, logEntry{change: c, version: version})
	if excess := len(r.log) - maxLog; excess > 0 {
		r.trimmedAt = r.log[excess-1].version
		r.log = slices.Clone(r.log[excess:])
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// List implements table.Feed.
func (t *Table) List(ctx context.Context, name string) ([]table.Row, table.Version, error) {
	if err := t.beginRead(ctx, Call{Op: OpScan, Keys: []table.Key{{Table: name}}}); err != nil {
		return nil, 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.tableOf(name)
	list := make([]table.Row, 0, len(r.names))
	for _, n := range r.names {
		list = append(list, copyRow(r.byName[n]))
	}
	t.counts.RowsRead += uint64(len(list))
	return list, t.version, nil
}

// Changes implements table.Feed.
func (t *Table) Changes(ctx context.Context, name string, after table.Version, wait time.Duration) ([]table.Change, table.Version, error) {
	if err := t.beginRead(ctx, Call{Op: OpScan, Keys: []table.Key{{Table: name}}}); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, version, changed, err := t.changesSince(name, after)
		if err != nil || len(changes) > 0 {
			return changes, version, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, version, nil
		case <-ctx.Done():
			return nil, 0, &table.UnavailableError{Cause: ctx.Err()}
		}
	}
}

// changesSince returns the changes after a version, the current version, and a channel that is
// closed at the next change.
func (t *Table) changesSince(name string, after table.Version) ([]table.Change, table.Version, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.tableOf(name)
	if after < r.trimmedAt {
		return nil, 0, nil, &table.HistoryGoneError{Table: name, After: after}
	}
	var changes []table.Change
	for _, entry := range r.log {
		if entry.version > after {
			changes = append(changes, entry.change)
		}
	}
	return changes, t.version, r.changed, nil
}
