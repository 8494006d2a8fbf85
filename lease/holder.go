package lease

import (
	"context"
	"crypto/rand"
	"errors"
	mrand "math/rand/v2"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/table"
)

// renewRetryFactor is the factor by which a failed renewal is retried sooner.
const renewRetryFactor = 4

// Holder contends for one lease while Run is active.
type Holder struct {
	svc table.Service
	cfg Config
	// floor is the highest fencing token that an engine is known to have seen.
	floor atomic.Uint64
}

// NewHolder returns a Holder that contends through svc.
func NewHolder(svc table.Service, cfg Config) *Holder {
	return &Holder{svc: svc, cfg: cfg.withDefaults()}
}

// RaiseFloor makes the next tenure's fencing token higher than seen. It is needed for an engine
// that moved here from another pool, whose fencing tokens are counted separately.
func (h *Holder) RaiseFloor(seen uint64) {
	for {
		previous := h.floor.Load()
		if previous >= seen || h.floor.CompareAndSwap(previous, seen) {
			return
		}
	}
}

// Run contends until ctx ends and calls lead for each tenure. The context of lead ends when the
// lease is lost, with *LostError as its cause, or when ctx ends. In the second case the lease is
// renewed until lead returns and is then released, so that after a planned stop the successor
// takes it at its next read. If lead returns by itself, Run releases the lease and contends
// again.
func (h *Holder) Run(ctx context.Context, lead func(context.Context, *Lease)) {
	for {
		l := h.contend(ctx)
		if l == nil {
			return
		}
		h.runTenure(ctx, l, lead)
	}
}

// contend returns the lease once it is acquired, or nil when ctx ends.
func (h *Holder) contend(ctx context.Context) *Lease {
	var obs observation
	wait := loop.Jitter(h.cfg.Poll) / 2
	for first := true; loop.Sleep(ctx, wait); first = false {
		wait = loop.Jitter(h.cfg.Poll)
		distant := h.cfg.rank() >= activeContenders
		if !h.cfg.eligible() || distant && (first || mrand.IntN(distantPollFactor) != 0) {
			continue
		}
		l, next, err := h.attempt(ctx, &obs)
		if l != nil {
			return l
		}
		if err != nil {
			countRetry(err)
			continue
		}
		if !distant {
			wait = min(wait, next)
		}
	}
	return nil
}

// attempt reads the row and acquires the lease if it may. Without a lease it returns the time
// until the row can have expired.
func (h *Holder) attempt(ctx context.Context, obs *observation) (*Lease, time.Duration, error) {
	key := Key(h.cfg.Pool, h.cfg.Zone)
	rows, err := h.svc.Get(ctx, key)
	if err != nil {
		return nil, 0, err
	}
	row := rows[0]
	epoch := h.cfg.epoch()
	var rec Record
	if row.Version != table.Absent {
		if rec, err = Decode(row); err != nil {
			klog.Errorf("lease: taken over once the holder's time has passed: %v", err)
			rec = recoverRecord(row, epoch)
		}
	}
	now := clock.Now()
	obs.observeVersion(row.Version, now)
	obs.observeEpoch(epoch, now)
	rec.Released = rec.Released || h.cfg.succeeds(rec.Holder)
	if wait := takeoverWait(row, rec, *obs, h.cfg.TTL, now); wait > 0 {
		return nil, wait, nil
	}
	l, err := h.acquire(ctx, row, rec, epoch)
	return l, 0, err
}

// acquire writes the next tenure over row, as decided in an epoch of the table service. The
// fencing token is above that of any earlier tenure, because the row is never deleted.
func (h *Holder) acquire(ctx context.Context, row table.Row, previous Record, epoch uint64) (*Lease, error) {
	l := &Lease{
		svc:    h.svc,
		cfg:    h.cfg,
		fence:  max(previous.Fence, h.floor.Load(), epochFence(epoch)) + 1,
		first:  row.Version == table.Absent,
		sameVM: row.Version != table.Absent && previous.Holder.VM == h.cfg.Identity.VM && previous.Epoch == epoch,
		epoch:  epoch,
		lost:   make(chan struct{}),
	}
	sentAt := clock.Now()
	version, err := l.write(ctx, row.Version, l.record())
	if err != nil {
		return nil, err
	}
	l.recordRenewal(version, sentAt)
	if _, err := l.Authority(); err != nil {
		return nil, err // the table service was restored from a backup meanwhile
	}
	countEvent(eventAcquired)
	klog.Infof("lease: acquired %s/%s with fence %d", h.cfg.Pool, h.cfg.Zone, l.fence)
	return l, nil
}

// runTenure runs lead and renews the lease until lead has returned.
func (h *Holder) runTenure(ctx context.Context, l *Lease, lead func(context.Context, *Lease)) {
	leadCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		lead(leadCtx, l)
	}()
	renewals := make(chan struct{})
	go func() {
		defer close(renewals)
		l.renewUntil(done)
	}()
	stop := ctx.Done()
	for running := true; running; {
		select {
		case <-stop:
			stop = nil
			cancel(context.Cause(ctx))
		case <-l.lost:
			cancel(l.lostError())
			<-done
			running = false
		case <-done:
			running = false
		}
	}
	<-renewals
	l.release()
}

// renewUntil renews the lease until it is lost or done is closed. It signals the end of the
// authority on time even while a renewal is in flight.
func (l *Lease) renewUntil(done <-chan struct{}) {
	pause := l.cfg.Renew
	for {
		a, err := l.Authority()
		if err != nil {
			return
		}
		expiry := time.AfterFunc(a.Remaining(), func() { _, _ = l.Authority() })
		select {
		case <-done:
			expiry.Stop()
			return
		case <-l.lost:
		case <-time.After(min(loop.Jitter(pause), a.Remaining())):
			pause = l.renew(a.Deadline)
		}
		expiry.Stop()
	}
}

// renew writes the row again and counts the lease duration from before the write was sent. The
// write is cancelled when the authority ends. It returns the mean time to wait before the next
// renewal.
func (l *Lease) renew(deadline time.Time) time.Duration {
	ctx, cancel := clock.WithDeadline(context.Background(), deadline)
	defer cancel()
	l.mu.Lock()
	version := l.version
	l.mu.Unlock()
	sentAt := clock.Now()
	next, err := l.write(ctx, version, l.record())
	var conflict *table.ConflictError
	switch {
	case err == nil:
		l.recordRenewal(next, sentAt)
		countEvent(eventRenewed)
		return l.cfg.Renew
	case errors.As(err, &conflict): // also inside *table.SupersededError
		l.lose(Superseded)
	default:
		countRetry(err)
		klog.Warningf("lease: failed to renew %s/%s: %v", l.cfg.Pool, l.cfg.Zone, err)
	}
	return l.cfg.Renew / renewRetryFactor
}

// release gives up a lease that is still held, so that the successor need not wait. A lost
// response only costs the successor that wait.
func (l *Lease) release() {
	a, err := l.Authority()
	if err != nil {
		return
	}
	l.lose(GivenUp)
	ctx, cancel := clock.WithDeadline(context.Background(), a.Deadline)
	defer cancel()
	rec := l.record()
	rec.Released = true
	l.mu.Lock()
	version := l.version
	l.mu.Unlock()
	if _, err := l.write(ctx, version, rec); err != nil {
		klog.Warningf("lease: failed to release %s/%s: %v", l.cfg.Pool, l.cfg.Zone, err)
		return
	}
	countEvent(eventReleased)
}

func (l *Lease) record() Record {
	return Record{
		WriteID:   rand.Text(),
		Holder:    l.cfg.Identity,
		Fence:     l.fence,
		TTLMillis: l.cfg.TTL.Milliseconds(),
		Epoch:     l.epoch,
	}
}

// write replaces the row if it is still at version.
func (l *Lease) write(ctx context.Context, version table.Version, rec Record) (table.Version, error) {
	key := Key(l.cfg.Pool, l.cfg.Zone)
	txn := table.Txn{
		Checks: []table.Check{{Key: key, Version: version}},
		Writes: []table.Write{{Key: key, Value: rec.encode()}},
	}
	isOwnWrite := func(row table.Row) bool { return writtenBy(row, rec.WriteID) }
	versions, err := table.CommitAndResolve(ctx, l.svc, txn, isOwnWrite)
	if err != nil {
		return table.Absent, err
	}
	return versions[0], nil
}
