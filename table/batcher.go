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
	// MaxConcurrent is the most commits in flight at once.
	MaxConcurrent int
	// Interval is the least time between the starts of two commits, so that one
	// process makes at most 1/Interval commits a second, apart from groups that
	// fall apart in a conflict. Zero sets no bound. A transaction that comes
	// after a quiet Interval is not delayed.
	Interval time.Duration
	// Timeout bounds one commit of a group.
	Timeout time.Duration
	// MaxPending is the most transactions that wait; more are refused.
	MaxPending int
}

// Batcher is a Service that groups transactions which wait at the same moment
// into one commit. Reads pass straight through. A transaction that finds a free
// lane leaves at once, so without load nothing waits for company.
//
// A group is one transaction and holds or fails wholly, while each waiter must
// get the result of its own. Only transactions that share no row are grouped,
// so no check of one depends on a write of another, and committing the group
// equals committing each in any order. If the group conflicts, nothing of it
// took effect, and each is committed by itself.
//
// A group whose answer was lost may yet take effect, like a lone transaction:
// a waiter that repeats its own part moves a row that the group checks (see
// CommitAndResolve), so the late group then fails wholly.
type Batcher struct {
	Service
	config BatcherConfig

	// mu guards the fields below. It is not held during a commit.
	mu    sync.Mutex
	queue []*pending
	// busy counts the lanes that run. At most one of them is pacing: it sleeps
	// until the next commit may start and then takes a group. Invariant: while
	// anything waits, a lane is pacing or all lanes are committing.
	active int
	pacing bool
	// nextStart is when the next commit may start.
	nextStart time.Time
}

// pending is one transaction on its way. done is closed once its result is set.
type pending struct {
	txn      Txn
	versions []Version
	err      error
	done     chan struct{}
}

// QueueFullError is the cause of an *UnavailableError for a transaction that found
// too many others waiting.
type QueueFullError struct{ Pending int }

// Error implements error.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("%d transactions wait already", e.Pending)
}

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

// Commit implements Service. When ctx ends, a transaction still waiting is taken
// back and certainly had no effect; one that has left is unknown.
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

// enqueue adds p to the waiting and starts a lane if one is free.
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

// takeBack removes p from the waiting; it returns false when p has left.
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

// startLane starts a lane if one is needed and free, with b.mu held.
func (b *Batcher) startWorker() {
	if len(b.queue) == 0 || b.pacing || b.active >= b.config.MaxConcurrent {
		return
	}
	b.active++
	b.pacing = true
	go b.work()
}

// lane commits groups until nothing waits or another lane sees to it.
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

// delay is the time until the next commit may start.
func (b *Batcher) delay() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Until(b.nextStart)
}

// again makes a lane that has committed the pacing one, or ends it.
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

// next takes the next group off the waiting, if any is left, and ends the
// pacing. What does not go together with the group is another lane's.
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

// split picks, oldest first, transactions that share no row and stay within the
// limits of one.
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

// touches tells whether txn touches a row in taken.
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

// take adds the rows of txn to taken.
func addRows(txn Txn, used map[Key]bool) {
	for _, c := range txn.Checks {
		used[c.Key] = true
	}
	for _, w := range txn.Writes {
		used[w.Key] = true
	}
}

// commitGroup commits a group and gives each waiter its own result.
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

// commitSingly commits the transactions of a group each by itself, all at once:
// one that is slow or lost must not hold up the others.
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

// commit sends one transaction. It does not end with any waiter's context, as
// others depend on it too.
func (b *Batcher) commit(txn Txn) ([]Version, error) {
	ctx, cancel := context.WithTimeout(context.Background(), b.config.Timeout)
	defer cancel()
	return b.Service.Commit(ctx, txn)
}

// joined is one transaction that does what those of the group do.
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

// finish sets the result of p and wakes its waiter.
func (p *pending) finish(err error) {
	p.err = err
	close(p.done)
}
