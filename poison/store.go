package poison

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/table"
)

// Table is the name of the table that holds one row per quarantined subject.
const Table = "springweir-poison"

const (
	// followWait bounds one long poll of the table's feed.
	followWait = 10 * time.Second
	// remoteWriteDelayMin and remoteWriteDelayMax bound the random delay after which a VM writes an
	// entry if another VM observed the last crash. The VM that observed it writes at once; if it
	// has died, one of the others writes first.
	remoteWriteDelayMin = 200 * time.Millisecond
	remoteWriteDelayMax = time.Second
	// retryInterval is the mean time between two attempts while the store is unavailable.
	retryInterval = 500 * time.Millisecond
	// releaseInterval is how often expired entries are released.
	releaseInterval = 5 * time.Second
	// callTimeout bounds one call to the store.
	callTimeout = time.Second
	// rewriteSpread is the time over which the VMs spread the writing of rows that the store has
	// lost. A VM skips a row that another one has written meanwhile.
	rewriteSpread = 600 * time.Millisecond
	// removalRetention is how long removed rows are remembered. A backup of the store that still
	// holds them is some seconds old.
	removalRetention = time.Minute
)

// storedEntry is the value of a row.
type storedEntry struct {
	Crashes int     `json:"crashes"`
	TermS   float64 `json:"term-s"`
}

// QuarantineStore keeps the entries of a Ledger in the platform's store, so that they reach VMs
// that start, that were partitioned or suspended, or that missed the announcement of a crash. It is
// safe for concurrent use; mu is a leaf lock.
type QuarantineStore struct {
	ledger *Ledger
	rows   table.Service
	feed   table.Feed
	// queue holds the pending writes and removals.
	queue chan pendingWrite

	mu sync.Mutex
	// versions are the versions of the existing rows.
	versions map[Subject]table.Version
	// removed holds the subjects whose rows this VM removed within removalRetention, and when.
	removed map[Subject]time.Time
}

// pendingWrite is an entry to write or a row to remove.
type pendingWrite struct {
	entry Entry
	// delay is how long the write is left to other VMs.
	delay time.Duration
	// remove is set if the row is to be removed, provided that it still has this version.
	remove  bool
	version table.Version
}

// maxPendingWrites bounds the queue. An entry that finds it full is not stored, but remains in
// force on this VM.
const maxPendingWrites = 256

// NewQuarantineStore returns a store for the entries of a ledger. It writes to rows and follows the
// table through feed.
func NewQuarantineStore(ledger *Ledger, rows table.Service, feed table.Feed) *QuarantineStore {
	return &QuarantineStore{ledger: ledger, rows: rows, feed: feed, queue: make(chan pendingWrite, maxPendingWrites), versions: map[Subject]table.Version{}, removed: map[Subject]time.Time{}}
}

// Run follows the table and writes to it until ctx ends.
func (q *QuarantineStore) Run(ctx context.Context) {
	var group errgroup.Group
	group.Go(func() error { q.follow(ctx); return nil })
	group.Go(func() error { q.runWriter(ctx); return nil })
	group.Go(func() error { loop.Every(ctx, releaseInterval, q.releaseExpired); return nil })
	_ = group.Wait() // the functions return no error
}

// Write queues an entry for writing. local is set on the VM that observed the last crash.
func (q *QuarantineStore) Write(e Entry, local bool) {
	p := pendingWrite{entry: e}
	if !local {
		p.delay = remoteWriteDelayMin + rand.N(remoteWriteDelayMax-remoteWriteDelayMin)
	}
	q.enqueue(p)
}

// Remove queues the removal of the row of a request that may run again.
func (q *QuarantineStore) Remove(s Subject) {
	q.mu.Lock()
	version, exists := q.versions[s]
	delete(q.versions, s)
	maps.DeleteFunc(q.removed, func(_ Subject, at time.Time) bool { return clock.Since(at) > removalRetention })
	q.removed[s] = clock.Now()
	q.mu.Unlock()
	if exists {
		q.enqueue(pendingWrite{entry: Entry{Subject: s}, remove: true, version: version})
	}
}

func (q *QuarantineStore) enqueue(p pendingWrite) {
	select {
	case q.queue <- p:
	default:
		entriesNotStored.Inc()
		klog.InfoS("poison: quarantine entry not stored, the write queue is full", "key", p.entry.Subject.String())
	}
}

// releaseExpired lets requests run again whose quarantine has expired.
func (q *QuarantineStore) releaseExpired() {
	for _, key := range q.ledger.Expired() {
		q.ledger.Release(key)
		q.Remove(key)
		klog.InfoS("poison: quarantine has expired, the request may run again", "key", key.String())
	}
}

// runWriter processes the queue sequentially.
func (q *QuarantineStore) runWriter(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-q.queue:
			if p.delay > 0 {
				time.AfterFunc(p.delay, func() { q.enqueue(pendingWrite{entry: p.entry}) })
				continue
			}
			for !q.commit(ctx, p) && loop.Sleep(ctx, loop.Jitter(retryInterval)) {
				continue
			}
		}
	}
}

// commit writes one row unless it already exists, or removes one unless it has changed. It reports
// whether the write is complete and needs no retry.
func (q *QuarantineStore) commit(ctx context.Context, p pendingWrite) bool {
	key := rowKey(p.entry.Subject)
	txn := table.Txn{
		Checks: []table.Check{{Key: key, Version: p.version}},
		Writes: []table.Write{{Key: key, Delete: p.remove}},
	}
	if !p.remove {
		if q.hasRow(p.entry.Subject) || !q.ledger.IsQuarantined(p.entry.Subject) {
			return true
		}
		value, err := json.Marshal(storedEntry{Crashes: p.entry.Crashes, TermS: p.entry.Term.Seconds()})
		if err != nil {
			klog.ErrorS(err, "poison: quarantine entry cannot be encoded", "key", p.entry.Subject.String())
			return true
		}
		txn.Writes[0].Value = value
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := q.rows.Commit(ctx, txn)
	var conflict *table.ConflictError
	switch {
	case err == nil:
		klog.InfoS("poison: row written", "key", p.entry.Subject.String(), "removed", p.remove)
		return true
	case errors.As(err, &conflict):
		return true // another VM has written or removed the row
	}
	klog.InfoS("poison: row not written, will be tried again", "key", p.entry.Subject.String(), "err", err)
	return false
}

func rowKey(s Subject) table.Key { return table.Key{Table: Table, Row: s.String()} }

// hasRow reports whether a subject's row is known to exist.
func (q *QuarantineStore) hasRow(s Subject) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, exists := q.versions[s]
	return exists
}

// follow applies the table and its changes to the ledger until ctx ends.
func (q *QuarantineStore) follow(ctx context.Context) {
	f := &table.Follower{
		Feed: q.feed, Table: Table, Wait: followWait,
		OnList:        func(rows []table.Row, l table.Listing) { q.applyListing(rows, l.NewEpoch) },
		OnChanges:     func(changes []table.Change, _ bool) { q.applyChanges(changes) },
		OnUnavailable: func(err error) { klog.InfoS("poison: table cannot be followed, the known entries remain", "err", err) },
	}
	f.Run(ctx)
}

// applyListing applies a listing of the whole table. A missing row was removed when its quarantine
// ended. After the store was restored from a backup, however, the entries of missing rows remain in
// force and are written again.
func (q *QuarantineStore) applyListing(rows []table.Row, newEpoch bool) {
	q.mu.Lock()
	missing := q.versions
	q.versions = map[Subject]table.Version{}
	q.mu.Unlock()
	for _, row := range rows {
		if newEpoch && q.removeRestored(row) {
			continue
		}
		if key, ok := q.applyRow(row); ok {
			delete(missing, key)
		}
	}
	if newEpoch {
		q.rewriteLost()
		return
	}
	for key := range missing {
		q.ledger.Release(key)
	}
}

// rewriteLost queues the entries in force on this VM whose rows the store has lost.
func (q *QuarantineStore) rewriteLost() {
	lost := 0
	for _, e := range q.ledger.Entries() {
		if !q.hasRow(e.Subject) {
			lost++
			q.enqueue(pendingWrite{entry: e, delay: rand.N(rewriteSpread)})
		}
	}
	klog.InfoS("poison: the store was restored from a backup", "verdictsLost", lost)
}

// removeRestored removes a row again that this VM had removed before the store was restored from a
// backup. It reports whether the row is such a row.
func (q *QuarantineStore) removeRestored(row table.Row) bool {
	subject, err := ParseSubject(row.Key.Row)
	if err != nil {
		return false
	}
	q.mu.Lock()
	_, removed := q.removed[subject]
	if removed {
		q.versions[subject] = row.Version
	}
	q.mu.Unlock()
	if removed {
		q.Remove(subject)
	}
	return removed
}

// applyChanges applies changes of the table in order.
func (q *QuarantineStore) applyChanges(changes []table.Change) {
	for _, c := range changes {
		if !c.Deleted {
			q.applyRow(c.Row)
			continue
		}
		key, err := ParseSubject(c.Row.Key.Row)
		if err != nil {
			continue // a row with a malformed key was never applied
		}
		q.mu.Lock()
		delete(q.versions, key)
		q.mu.Unlock()
		q.ledger.Release(key)
	}
}

// applyRow adds the entry of a row to the ledger. A malformed row is skipped. It returns the
// subject and reports whether the row was valid.
func (q *QuarantineStore) applyRow(row table.Row) (Subject, bool) {
	e, err := decodeEntry(row)
	if err != nil {
		malformedRows.Inc()
		klog.ErrorS(err, "poison: malformed row", "version", row.Version.String())
		return Subject{}, false
	}
	q.mu.Lock()
	q.versions[e.Subject] = row.Version
	q.mu.Unlock()
	if q.ledger.Add(e) {
		entriesReceived.Inc()
		klog.InfoS("poison: quarantine entry read from the store", "key", e.Subject.String(), "crashes", e.Crashes, "term", e.Term, "version", row.Version.String())
	}
	return e.Subject, true
}

// decodeEntry decodes a row. The error is *RowError.
func decodeEntry(row table.Row) (Entry, error) {
	subject, err := ParseSubject(row.Key.Row)
	if err != nil {
		return Entry{}, err
	}
	var stored storedEntry
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return Entry{}, &RowError{Row: row.Key.Row, Cause: err}
	}
	term := time.Duration(stored.TermS * float64(time.Second))
	if stored.Crashes <= 0 || term <= 0 || term > maxTerm {
		return Entry{}, &RowError{Row: row.Key.Row}
	}
	return Entry{Subject: subject, Crashes: stored.Crashes, Term: term}, nil
}
