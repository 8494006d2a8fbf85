package table

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/springweir/springweir/failure"
)

// Defaults of BatcherConfig.
const (
	DefaultMaxConcurrent = 4
	DefaultBatchTimeout  = 3 * time.Second
	DefaultMaxPending    = 4096
)

// BatcherConfig bounds a Batcher. The zero value takes the defaults.
type BatcherConfig struct {
	// MaxConcurrent is the maximum number of commits in flight.
	MaxConcurrent int
	// Interval is the minimum time between the starts of two commits, so that one process starts
	// at most 1/Interval commits a second, apart from groups that are split after a conflict.
	// Zero sets no bound. A transaction that arrives after an idle Interval is not delayed.
	Interval time.Duration
	// Timeout bounds one commit of a group.
	Timeout time.Duration
	// MaxPending is the maximum number of queued transactions; further ones are refused.
	MaxPending int
}

// Batcher is a Service that groups concurrently queued transactions into one commit. Reads are
// forwarded unchanged. A transaction that finds a free worker is committed at once, so without
// load none waits for others to join it.
//
// A group is a single transaction, which applies as a whole or not at all, while each caller must
// get the result of its own transaction. Only transactions that share no row are grouped. No
// check of one then depends on a write of another, and committing the group is equivalent to
// committing each in any order. If the group conflicts, none of it took effect, and each
// transaction is committed by itself.
//
// A group whose response was lost may still take effect, like a single transaction: a caller that
// repeats its own transaction changes the version of a row that the group checks (see
// CommitAndResolve), so the delayed group then fails as a whole.
type Batcher struct {
	Service
	config BatcherConfig

	// mu guards the fields below. It is not held during a commit.
	mu    sync.Mutex
	queue []*pending
	// active counts the running workers. At most one of them is pacing: it sleeps until the next
	// commit may start and then takes a group. Invariant: while the queue is not empty, a worker
	// is pacing or all workers are committing.
	active int
	pacing bool
	// nextStart is when the next commit may start.
	nextStart time.Time
}

// pending is a queued or running transaction. done is closed once its result is set.
type pending struct {
	txn      Txn
	versions []Version
	err      error
	done     chan struct{}
}

// QueueFullError is the cause of the *UnavailableError for a transaction that found the queue
// full.
type QueueFullError struct{ Pending int }

// Error implements error.
func (e *QueueFullError) Error() string { return fmt.Sprintf("queue full: %d pending", e.Pending) }

// Reason implements failure.Coded.
func (e *QueueFullError) Reason() failure.Reason { return failure.TableUnavailable }

// NewBatcher returns a Batcher in front of s.
func NewBatcher(s Service, c BatcherConfig) *Batcher {
	if c.MaxConcurrent <= 0 {
		c.MaxConcurrent = DefaultMaxConcurrent
	}
	if c.Timeout <= 0 {
		c.Timeout = DefaultBatchTimeout
	}
	if c.MaxPending <= 0 {
		c.MaxPending = DefaultMaxPending
	}
	return &Batcher{Service: s, config: c}
}

// Commit implements Service. When ctx ends, a transaction that is still queued is withdrawn and
// had no effect (*UnavailableError); the outcome of one that is in flight is unknown
// (*UnknownError).
func (b *Batcher) Commit(ctx context.Context, txn Txn) ([]Version, error) {
	if err := txn.Validate(); err != nil {
		return nil, err
	}
	p := &pending{txn: txn, done: make(chan struct{})}
	if err := b.enqueue(ctx, p); err != nil {
		return nil, err
	}
	select {
	case <-p.done:
		return p.versions, p.err
	case <-ctx.Done():
	}
	if b.withdraw(p) {
		return nil, &UnavailableError{Cause: context.Cause(ctx)}
	}
	return nil, &UnknownError{Cause: context.Cause(ctx)}
}

// enqueue appends p to the queue and starts a worker if one is free.
func (b *Batcher) enqueue(ctx context.Context, p *pending) error {
	if ctx.Err() != nil {
		return &UnavailableError{Cause: context.Cause(ctx)}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) >= b.config.MaxPending {
		return &UnavailableError{Cause: &QueueFullError{Pending: len(b.queue)}}
	}
	b.queue = append(b.queue, p)
	b.startWorker()
	return nil
}

// withdraw removes p from the queue; it returns false if p is already in flight.
func (b *Batcher) withdraw(p *pending) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.queue, p)
	if i < 0 {
		return false
	}
	b.queue = slices.Delete(b.queue, i, i+1)
	return true
}

// startWorker starts a worker if one is needed and free. The caller holds b.mu.
func (b *Batcher) startWorker() {
	if len(b.queue) == 0 || b.pacing || b.active >= b.config.MaxConcurrent {
		return
	}
	b.active++
	b.pacing = true
	go b.work()
}

// work commits groups until the queue is empty or another worker is pacing.
func (b *Batcher) work() {
	for {
		time.Sleep(b.delay())
		if group := b.nextGroup(); len(group) > 0 {
			b.commitGroup(group)
		}
		if !b.continueWorking() {
			return
		}
	}
}

// delay returns the time until the next commit may start.
func (b *Batcher) delay() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Until(b.nextStart)
}

// continueWorking makes a worker that has committed the pacing one, or returns false if the
// worker must end.
func (b *Batcher) continueWorking() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) == 0 || b.pacing {
		b.active--
		return false
	}
	b.pacing = true
	return true
}

// nextGroup removes the next group from the queue, if it is not empty, and ends the pacing.
// Transactions that can't join the group are left to another worker.
func (b *Batcher) nextGroup() []*pending {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pacing = false
	group, rest := selectGroup(b.queue)
	b.queue = rest
	if len(group) > 0 {
		b.nextStart = time.Now().Add(b.config.Interval)
	}
	b.startWorker()
	return group
}

// selectGroup selects, oldest first, transactions that share no row and together stay within the
// limits of one transaction.
func selectGroup(queue []*pending) (group, rest []*pending) {
	used := make(map[Key]bool)
	rows, bytes := 0, 0
	for _, p := range queue {
		fits := rows+p.txn.rows() <= MaxTxnRows && bytes+p.txn.bytes() <= MaxTxnBytes
		if !fits || sharesRow(p.txn, used) {
			rest = append(rest, p)
			continue
		}
		rows += p.txn.rows()
		bytes += p.txn.bytes()
		addRows(p.txn, used)
		group = append(group, p)
	}
	return group, rest
}

// sharesRow reports whether txn checks or writes a row in used.
func sharesRow(txn Txn, used map[Key]bool) bool {
	for _, c := range txn.Checks {
		if used[c.Key] {
			return true
		}
	}
	for _, w := range txn.Writes {
		if used[w.Key] {
			return true
		}
	}
	return false
}

// addRows adds the rows of txn to used.
func addRows(txn Txn, used map[Key]bool) {
	for _, c := range txn.Checks {
		used[c.Key] = true
	}
	for _, w := range txn.Writes {
		used[w.Key] = true
	}
}

// commitGroup commits a group and gives each caller its own result.
func (b *Batcher) commitGroup(group []*pending) {
	versions, err := b.commit(merge(group))
	var conflict *ConflictError
	if len(group) > 1 && errors.As(err, &conflict) {
		b.commitSingly(group)
		return
	}
	for _, p := range group {
		if err == nil {
			p.versions = versions[:len(p.txn.Writes)]
			versions = versions[len(p.txn.Writes):]
		}
		p.finish(err)
	}
}

// commitSingly commits each transaction of a group by itself, concurrently: a slow or lost one
// must not delay the others.
func (b *Batcher) commitSingly(group []*pending) {
	var wg sync.WaitGroup
	for _, p := range group {
		wg.Go(func() {
			var err error
			p.versions, err = b.commit(p.txn)
			p.finish(err)
		})
	}
	wg.Wait()
}

// commit sends one transaction. It doesn't end with any caller's context, because other callers
// depend on it too.
func (b *Batcher) commit(txn Txn) ([]Version, error) {
	ctx, cancel := context.WithTimeout(context.Background(), b.config.Timeout)
	defer cancel()
	return b.Service.Commit(ctx, txn)
}

// merge returns one transaction that combines those of the group.
func merge(group []*pending) Txn {
	if len(group) == 1 {
		return group[0].txn
	}
	var txn Txn
	for _, p := range group {
		txn.Checks = append(txn.Checks, p.txn.Checks...)
		txn.Writes = append(txn.Writes, p.txn.Writes...)
	}
	return txn
}

// finish sets the result of p and wakes its caller.
func (p *pending) finish(err error) {
	p.err = err
	close(p.done)
}
