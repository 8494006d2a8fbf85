package feedshare

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/table"
)

// askedMemory is how long a VM that another has asked counts as one that others ask:
// some of their waits.
const askedMemory = 10 * time.Second

// toldByVM stands for the time of an answer of the store where another VM gave the
// answer: what comes from there is not passed on.
var toldByVM time.Time

// cache is what this VM knows of a table, for the VMs that ask it. It is safe for
// concurrent use; mu is a leaf.
//
// Invariant: rows is the table as of version, and log holds all changes after base, in
// the batches in which they were read.
type cache struct {
	// freshFor is how long after an answer of the store the table is passed on.
	freshFor time.Duration

	mu            sync.Mutex
	rows          map[string]table.Row
	log           []batch
	base, version table.Version
	// confirmed is when the store last answered, and toldByVM if the last answer came
	// from elsewhere or the store gave none.
	confirmed time.Time
	// changed is closed and made anew whenever something changes.
	changed chan struct{}
	// lastAsked is when another VM last asked.
	lastAsked time.Time
}

// batch are the changes of one answer, and the version after them. Changes within it
// have no version of their own: a row's may be counted apart from the table's. A VM that
// stands in the middle of a batch gets all of it again, which changes nothing.
type batch struct {
	changes []table.Change
	version table.Version
}

func newCache(freshFor time.Duration) *cache {
	return &cache{freshFor: freshFor, rows: map[string]table.Row{}, changed: make(chan struct{})}
}

// at is the version of what is known.
func (c *cache) at() table.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// reset takes in a whole table.
func (c *cache) reset(rows []table.Row, at table.Version, confirmed time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rows = make(map[string]table.Row, len(rows))
	for _, row := range rows {
		c.rows[row.Key.Row] = row
	}
	c.log, c.base, c.version = nil, at, at
	c.confirm(confirmed)
}

// apply takes in the changes after a version.
func (c *cache) apply(after table.Version, changes []table.Change, next table.Version, confirmed time.Time) {
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
		c.log = append(c.log, batch{changes: changes, version: c.version})
	}
	if over := len(c.log) - maxHistory; over > 0 {
		c.base = c.log[over-1].version
		c.log = slices.Clone(c.log[over:])
	}
	c.confirm(confirmed)
}

// confirm notes an answer and wakes who waits. The caller holds mu.
func (c *cache) confirm(at time.Time) {
	c.confirmed = at
	close(c.changed)
	c.changed = make(chan struct{})
}

// lost notes that the store gave no answer.
func (c *cache) lost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirm(toldByVM)
}

// askedLately tells whether other VMs ask this one.
func (c *cache) askedLately() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return clock.Since(c.lastAsked) < askedMemory
}

// fit tells whether what is known may be passed on. The caller holds mu.
func (c *cache) fit() bool { return c.confirmed != toldByVM && clock.Since(c.confirmed) <= c.freshFor }

// list returns the whole table. It waits for a short while if nothing was read yet.
func (c *cache) list(ctx context.Context, name string) ([]table.Row, table.Version, error) {
	ctx, cancel := clock.WithTimeout(ctx, startWait)
	defer cancel()
	for {
		c.mu.Lock()
		c.lastAsked = clock.Now()
		if c.fit() {
			rows, at := slices.Collect(maps.Values(c.rows)), c.version
			c.mu.Unlock()
			return rows, at, nil
		}
		changed, started := c.changed, c.version != 0
		c.mu.Unlock()
		if started || !wait(ctx, changed) {
			return nil, 0, &NotReaderError{Table: name}
		}
	}
}

// changes returns the changes after a version, once there are some or ctx ends.
func (c *cache) changes(ctx context.Context, name string, after table.Version) ([]table.Change, table.Version, error) {
	for {
		c.mu.Lock()
		c.lastAsked = clock.Now()
		changed, at := c.changed, c.version
		list, err := c.since(name, after)
		c.mu.Unlock()
		if err != nil || len(list) > 0 {
			return list, at, err
		}
		if wait(ctx, changed) {
			continue
		}
		if at < after {
			return nil, 0, &BehindError{Version: at, Local: after}
		}
		return nil, at, nil
	}
}

// since returns the changes after a version, if they are known. The caller holds mu.
func (c *cache) since(name string, after table.Version) ([]table.Change, error) {
	switch {
	case !c.fit():
		return nil, &NotReaderError{Table: name}
	case after < c.base:
		return nil, &table.HistoryGoneError{Table: name, After: after}
	}
	var changes []table.Change
	for _, b := range c.log {
		if b.version > after {
			changes = append(changes, b.changes...)
		}
	}
	return changes, nil
}

// wait waits for a change and tells whether there was one before ctx ended.
func wait(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}
