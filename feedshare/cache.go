package feedshare

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/table"
)

// recentQueryWindow is how long after a peer's query this VM counts as a VM that serves peers:
// several times the wait of one query.
const recentQueryWindow = 10 * time.Second

// unconfirmed is the confirmation time of rows that were read from a peer, and of all rows after
// the store has failed. Such rows are not served to other peers.
var unconfirmed time.Time

// cache holds a copy of one table and its recent history, which this VM serves to its peers. It
// is safe for concurrent use; mu is a leaf lock.
//
// Invariant: rows is the table as of version, and history holds all changes after historyStart,
// in the batches in which they were read.
type cache struct {
	// ttl is how long after a response of the store the table may be served.
	ttl time.Duration

	mu                    sync.Mutex
	rows                  map[string]table.Row
	history               []batch
	historyStart, version table.Version
	// confirmed is the time of the store's last response, or unconfirmed if the last response
	// came from a peer or the store failed.
	confirmed time.Time
	// changed is closed and replaced at every change of the fields above.
	changed chan struct{}
	// encodedRows holds the rows as a response carries them; nil if they were not encoded since they
	// changed. Responses in flight share it: it is replaced, never modified.
	encodedRows []byte
	// lastQueried is the time of the last query by a peer.
	lastQueried time.Time
}

// batch holds the changes of one response and the version after them. The changes have no table
// versions of their own, because a row's version may be counted apart from the table's. A reader
// whose version lies within a batch receives the whole batch again, which is idempotent.
type batch struct {
	changes []table.Change
	version table.Version
}

func newCache(ttl time.Duration) *cache {
	return &cache{ttl: ttl, rows: map[string]table.Row{}, changed: make(chan struct{})}
}

// currentVersion returns the version of the cached table.
func (c *cache) currentVersion() table.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// reset replaces the cached table.
func (c *cache) reset(rows []table.Row, version table.Version, confirmedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rows = make(map[string]table.Row, len(rows))
	for _, row := range rows {
		c.rows[row.Key.Row] = row
	}
	c.history, c.historyStart, c.version = nil, version, version
	c.encodedRows = nil
	c.setConfirmed(confirmedAt)
}

// apply applies the changes that follow version after.
func (c *cache) apply(after table.Version, changes []table.Change, next table.Version, confirmedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range changes {
		if change.Deleted {
			delete(c.rows, change.Row.Key.Row)
		} else {
			c.rows[change.Row.Key.Row] = change.Row
		}
	}
	c.version = max(c.version, after, next)
	if len(changes) > 0 {
		c.encodedRows = nil
		c.history = append(c.history, batch{changes: changes, version: c.version})
	}
	if excess := len(c.history) - maxHistoryBatches; excess > 0 {
		c.historyStart = c.history[excess-1].version
		c.history = slices.Clone(c.history[excess:])
	}
	c.setConfirmed(confirmedAt)
}

// setConfirmed sets the confirmation time and wakes all waiters. The caller holds mu.
func (c *cache) setConfirmed(confirmedAt time.Time) {
	c.confirmed = confirmedAt
	close(c.changed)
	c.changed = make(chan struct{})
}

// markUnavailable records that the store failed to respond; the table is not served until it
// responds again.
func (c *cache) markUnavailable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setConfirmed(unconfirmed)
}

// recentlyQueried reports whether a peer queried this VM within recentQueryWindow.
func (c *cache) recentlyQueried() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return clock.Since(c.lastQueried) < recentQueryWindow
}

// fresh reports whether the cached table is recent enough to be served. The caller holds mu.
func (c *cache) fresh() bool { return c.confirmed != unconfirmed && clock.Since(c.confirmed) <= c.ttl }

// isFresh is fresh for callers that don't hold mu.
func (c *cache) isFresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fresh()
}

// encodedList returns the whole table: its encoded rows, which the caller must not modify, and its
// version. All queries share one copy of the rows: when a fleet starts, hundreds of VMs ask within a
// second. The version is apart from them, because it also grows without changes of the rows.
func (c *cache) encodedList(ctx context.Context, name string) (rows []byte, version table.Version, err error) {
	var encodeErr error
	err = c.whenFresh(ctx, name, func() {
		if c.encodedRows == nil {
			c.encodedRows, encodeErr = encodeRows(c.rows)
		}
		rows, version = c.encodedRows, c.version
	})
	if err == nil {
		err = encodeErr
	}
	return rows, version, err
}

// whenFresh calls f, with mu held, while the table may be served. Before the first read from the store it
// waits up to startupWait. The error is *NotReaderError or *NotReadYetError.
func (c *cache) whenFresh(ctx context.Context, name string, f func()) error {
	ctx, cancel := clock.WithTimeout(ctx, startupWait)
	defer cancel()
	for {
		c.mu.Lock()
		c.lastQueried = clock.Now()
		if c.fresh() {
			f()
			c.mu.Unlock()
			return nil
		}
		changed, hasData := c.changed, c.version != 0
		c.mu.Unlock()
		switch {
		case hasData:
			return &NotReaderError{Table: name}
		case !waitForChange(ctx, changed):
			return &NotReadYetError{Table: name}
		}
	}
}

// changes returns the changes after a version, as soon as there are some or ctx ends. That there are
// none is only stated while the table is recent enough to be served.
func (c *cache) changes(ctx context.Context, name string, after table.Version) ([]table.Change, table.Version, error) {
	for {
		c.mu.Lock()
		c.lastQueried = clock.Now()
		changed, version := c.changed, c.version
		changes, err := c.changesSince(name, after)
		c.mu.Unlock()
		if err != nil || len(changes) > 0 {
			return changes, version, err
		}
		switch {
		case waitForChange(ctx, changed):
			continue
		case version < after:
			return nil, 0, &BehindError{Version: version, Local: after}
		case !c.isFresh():
			return nil, 0, &NotReaderError{Table: name}
		}
		return nil, version, nil
	}
}

// changesSince returns the changes after a version. The error is *NotReaderError, or
// *table.HistoryGoneError if the history no longer reaches back to the version. The caller holds
// mu.
func (c *cache) changesSince(name string, after table.Version) ([]table.Change, error) {
	switch {
	case !c.fresh():
		return nil, &NotReaderError{Table: name}
	case after < c.historyStart:
		return nil, &table.HistoryGoneError{Table: name, After: after}
	}
	var changes []table.Change
	for _, b := range c.history {
		if b.version > after {
			changes = append(changes, b.changes...)
		}
	}
	return changes, nil
}

// waitForChange waits until changed is closed and reports whether that happened before ctx ended.
func waitForChange(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}
