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

// Table is the table of verdicts: a row for each request that is refused, under its key.
const Table = "springweir-poison"

const (
	// followWait is how long a question for new verdicts waits.
	followWait = 10 * time.Second
	// othersWait is how long a VM that reaches a verdict leaves it to the VM on which the last
	// run crashed to write it down, at least and at most. If that one has died, the others
	// write it, one of them first.
	othersWaitMin = 200 * time.Millisecond
	othersWaitMax = time.Second
	// writePeriod is the mean time between two tries while the store is away.
	writePeriod = 500 * time.Millisecond
	// servedPeriod is how often verdicts whose term is over are looked for.
	servedPeriod = 5 * time.Second
	// callTimeout bounds one call to the store.
	callTimeout = time.Second
	// rewriteWithin is the time over which the VMs spread the writing of rows that the store has
	// lost. The first that writes one spares the others.
	rewriteWithin = 600 * time.Millisecond
	// droppedMemory is how long it is remembered which rows were removed: a copy of the store that
	// still holds them is some seconds old.
	droppedMemory = time.Minute
)

// wireVerdict is a row's value.
type wireVerdict struct {
	Crashes int     `json:"crashes"`
	TermS   float64 `json:"term-s"`
}

// Keeper keeps the verdicts of a Ledger in the platform's store, so that VMs which start, which
// were cut off or suspended, or which missed the news of a crash know them too. It is safe for
// concurrent use; mu is a leaf.
type Keeper struct {
	ledger *Ledger
	rows   table.Service
	feed   table.Feed
	// written takes the verdicts that are to be written down.
	written chan pending

	mu sync.Mutex
	// versions are the rows as they stand, by key.
	versions map[Subject]table.Version
	// dropped are the requests whose rows this VM has had removed lately, and when.
	dropped map[Subject]time.Time
}

// pending is a verdict to write down, or a row to remove.
type pending struct {
	verdict Verdict
	// wait is how long it is left to others.
	wait time.Duration
	// remove is set for a request that may run again, with the row's version.
	remove  bool
	version table.Version
}

// maxPending bounds what waits for the store; a verdict that finds no room is not kept, but
// holds on this VM.
const maxPending = 256

// NewKeeper returns a keeper of a ledger's verdicts. It writes to rows and follows the table by
// feed.
func NewKeeper(ledger *Ledger, rows table.Service, feed table.Feed) *Keeper {
	return &Keeper{ledger: ledger, rows: rows, feed: feed, written: make(chan pending, maxPending), versions: map[Subject]table.Version{}, dropped: map[Subject]time.Time{}}
}

// Run follows the table and writes to it until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var group errgroup.Group
	group.Go(func() error { k.follow(ctx); return nil })
	group.Go(func() error { k.write(ctx); return nil })
	group.Go(func() error { loop.Every(ctx, servedPeriod, k.release); return nil })
	_ = group.Wait() // no part fails
}

// Keep has a verdict written down. own is set on the VM on which the last run crashed.
func (k *Keeper) Keep(v Verdict, own bool) {
	p := pending{verdict: v}
	if !own {
		p.wait = othersWaitMin + rand.N(othersWaitMax-othersWaitMin)
	}
	k.enqueue(p)
}

// Drop has the row of a request removed that may run again.
func (k *Keeper) Drop(s Subject) {
	k.mu.Lock()
	version, there := k.versions[s]
	delete(k.versions, s)
	maps.DeleteFunc(k.dropped, func(_ Subject, at time.Time) bool { return clock.Since(at) > droppedMemory })
	k.dropped[s] = clock.Now()
	k.mu.Unlock()
	if there {
		k.enqueue(pending{verdict: Verdict{Subject: s}, remove: true, version: version})
	}
}

func (k *Keeper) enqueue(p pending) {
	select {
	case k.written <- p:
	default:
		verdictsUnkept.Inc()
		klog.InfoS("poison: verdict not written down, too many wait for the store", "key", p.verdict.Subject.String())
	}
}

// release lets requests run again whose term is over.
func (k *Keeper) release() {
	for _, key := range k.ledger.Served() {
		k.ledger.Release(key)
		k.Drop(key)
		klog.InfoS("poison: term of a verdict is over, the request may run again", "key", key.String())
	}
}

// write writes down what is to be written, one after the other.
func (k *Keeper) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-k.written:
			if p.wait > 0 {
				time.AfterFunc(p.wait, func() { k.enqueue(pending{verdict: p.verdict}) })
				continue
			}
			for !k.commit(ctx, p) && loop.Sleep(ctx, loop.Jitter(writePeriod)) {
				continue
			}
		}
	}
}

// commit writes one row, unless it stands already, or removes one, unless it has changed. It
// tells whether that is settled.
func (k *Keeper) commit(ctx context.Context, p pending) bool {
	key := rowKey(p.verdict.Subject)
	txn := table.Txn{
		Checks: []table.Check{{Key: key, Version: p.version}},
		Writes: []table.Write{{Key: key, Delete: p.remove}},
	}
	if !p.remove {
		if k.stands(p.verdict.Subject) || !k.ledger.Refuses(p.verdict.Subject) {
			return true
		}
		value, err := json.Marshal(wireVerdict{Crashes: p.verdict.Crashes, TermS: p.verdict.Term.Seconds()})
		if err != nil {
			klog.ErrorS(err, "poison: verdict cannot be written down", "key", p.verdict.Subject.String())
			return true
		}
		txn.Writes[0].Value = value
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := k.rows.Commit(ctx, txn)
	var conflict *table.ConflictError
	switch {
	case err == nil:
		klog.InfoS("poison: row written", "key", p.verdict.Subject.String(), "removed", p.remove)
		return true
	case errors.As(err, &conflict):
		return true // another VM did it
	}
	klog.InfoS("poison: row not written, will be tried again", "key", p.verdict.Subject.String(), "err", err)
	return false
}

func rowKey(s Subject) table.Key { return table.Key{Table: Table, Row: s.String()} }

// stands tells whether a request's row is known to be there.
func (k *Keeper) stands(s Subject) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, there := k.versions[s]
	return there
}

// follow keeps up with the table.
func (k *Keeper) follow(ctx context.Context) {
	f := &table.Follower{
		Feed: k.feed, Table: Table, Wait: followWait,
		OnList:    func(rows []table.Row, l table.Listing) { k.list(rows, l.NewEpoch) },
		OnChanges: func(changes []table.Change, _ bool) { k.change(changes) },
		OnLost:    func(err error) { klog.InfoS("poison: verdicts cannot be followed, the known ones stay", "err", err) },
	}
	f.Run(ctx)
}

// list takes in the whole table. Rows that are gone were removed when their term was over, but for
// those that a copy of the store lacks: their verdicts stand, and are written again.
func (k *Keeper) list(rows []table.Row, newEpoch bool) {
	k.mu.Lock()
	gone := k.versions
	k.versions = map[Subject]table.Version{}
	k.mu.Unlock()
	for _, row := range rows {
		if newEpoch && k.dropAgain(row) {
			continue
		}
		if key, ok := k.take(row); ok {
			delete(gone, key)
		}
	}
	if newEpoch {
		k.writeAgain()
		return
	}
	for key := range gone {
		k.ledger.Release(key)
	}
}

// writeAgain has the verdicts written that hold on this VM and whose rows the store has lost.
func (k *Keeper) writeAgain() {
	lost := 0
	for _, v := range k.ledger.Verdicts() {
		if !k.stands(v.Subject) {
			lost++
			k.enqueue(pending{verdict: v, wait: rand.N(rewriteWithin)})
		}
	}
	klog.InfoS("poison: the store has come back from a copy", "verdictsLost", lost)
}

// dropAgain has a row removed that this VM had removed before, and that a copy of the store still
// holds. It tells whether that is so.
func (k *Keeper) dropAgain(row table.Row) bool {
	subject, err := ParseSubject(row.Key.Row)
	if err != nil {
		return false
	}
	k.mu.Lock()
	_, dropped := k.dropped[subject]
	if dropped {
		k.versions[subject] = row.Version
	}
	k.mu.Unlock()
	if dropped {
		k.Drop(subject)
	}
	return dropped
}

// change takes in changes, in their order.
func (k *Keeper) change(changes []table.Change) {
	for _, c := range changes {
		if !c.Deleted {
			k.take(c.Row)
			continue
		}
		key, err := ParseSubject(c.Row.Key.Row)
		if err != nil {
			continue // it never held a verdict
		}
		k.mu.Lock()
		delete(k.versions, key)
		k.mu.Unlock()
		k.ledger.Release(key)
	}
}

// take takes in a row. One that cannot be understood convicts nobody.
func (k *Keeper) take(row table.Row) (Subject, bool) {
	v, err := decodeVerdict(row)
	if err != nil {
		rowsMalformed.Inc()
		klog.ErrorS(err, "poison: row not understood", "version", row.Version.String())
		return Subject{}, false
	}
	k.mu.Lock()
	k.versions[v.Subject] = row.Version
	k.mu.Unlock()
	if k.ledger.Convicted(v) {
		verdictsLearned.Inc()
		klog.InfoS("poison: verdict learned", "key", v.Subject.String(), "crashes", v.Crashes, "term", v.Term, "version", row.Version.String())
	}
	return v.Subject, true
}

// decodeVerdict reads a row. The error is *RowError.
func decodeVerdict(row table.Row) (Verdict, error) {
	subject, err := ParseSubject(row.Key.Row)
	if err != nil {
		return Verdict{}, err
	}
	var w wireVerdict
	if err := json.Unmarshal(row.Value, &w); err != nil {
		return Verdict{}, &RowError{Row: row.Key.Row, Cause: err}
	}
	term := time.Duration(w.TermS * float64(time.Second))
	if w.Crashes <= 0 || term <= 0 || term > longestTerm {
		return Verdict{}, &RowError{Row: row.Key.Row}
	}
	return Verdict{Subject: subject, Crashes: w.Crashes, Term: term}, nil
}
