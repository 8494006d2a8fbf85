package usage

import (
	"context"
	"crypto/rand"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/duties"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/lease"
	"github.com/springweir/springweir/table"
)

// Report is the sum of one window as sent to the platform.
type Report struct {
	Window Window
	// Counts holds the number of requests by organisation name.
	Counts map[string]uint64
	// Holder is the VM that sends the report, and Fence the fencing token of its tenure.
	Holder string
	Fence  uint64
}

// Platform accepts reports. A report that was not accepted when ctx ends must never take effect.
type Platform interface {
	ReportUsage(ctx context.Context, r Report) error
}

// Replicas reads the accounts held by other VMs.
type Replicas interface {
	// Read returns the accounts of a window from every VM that responds in time.
	Read(ctx context.Context, w Window) []Accounts
}

// Config holds the dependencies and settings of a Reporter.
type Config struct {
	VM       string
	Rows     table.Service
	Ledger   *Ledger
	Replicas Replicas
	Platform Platform
	// EpochSince returns the time since which this VM has known the store's current epoch (see
	// table.Version), or zero if the store has no epochs. Nil means the same as zero.
	EpochSince func() time.Time
	// OrganisationNames returns the names of organisations by hash.
	OrganisationNames func() map[uint64]string
	// Tolerance is the fraction by which a report may deviate from the true counts.
	Tolerance float64
	// WindowLength is the length of a window. ReportWithin is the time after a window's end within
	// which its report is useful.
	WindowLength, ReportWithin time.Duration
	// WallClock returns the time of day.
	WallClock func() time.Time
}

const (
	// pollInterval is the time between two checks for reportable windows.
	pollInterval = 100 * time.Millisecond
	// collectRetryInterval is the time between two reads of the replicas' accounts of a window.
	collectRetryInterval = 400 * time.Millisecond
	// sealWaitFraction is the fraction of ReportWithin for which the reporter waits for VMs that
	// have not sealed a window. The rest is left for the store and the platform, which may be slow.
	sealWaitFraction = 0.6
	// fewVMsFraction is the fraction of the tolerance below which unsealed VMs count as few, and
	// fewVMsSealWait the time for which the reporter then waits for them.
	fewVMsFraction = 0.5
	fewVMsSealWait = time.Second
	// callTimeout bounds one report, which is either accepted within this time or has no effect.
	callTimeout = 800 * time.Millisecond
	// retryInterval is the mean time until the next attempt after a failure.
	retryInterval = 300 * time.Millisecond
	// commitTimeout bounds the write of a sum. If the write took effect after all, the next attempt
	// finds the row.
	commitTimeout = 2 * time.Second
	// storedWindows is the number of windows whose sums the store keeps, longer than any write can
	// be delayed. Every cleanupInterval windows the older ones are removed.
	storedWindows   = 24
	cleanupInterval = 12
)

// Reporter reports windows while this VM holds the lease of package duties. It implements
// duties.Duty and must be used by the goroutine of one tenure at a time.
type Reporter struct {
	cfg Config
	// windows holds the state of the windows that can still be reported. It survives the end of a
	// tenure: a committed sum stays valid even if the store loses it.
	windows map[Window]*progress
}

// progress is the state of the report of one window.
type progress struct {
	// committed is the sum as stored; nil until a sum is stored or found.
	committed map[string]uint64
	// nextAttempt is the earliest time of the next attempt, after a failure or while VMs have not
	// sealed the window.
	nextAttempt time.Time
	done        bool
}

// NewReporter returns a Reporter.
func NewReporter(cfg Config) *Reporter {
	if cfg.EpochSince == nil {
		cfg.EpochSince = func() time.Time { return time.Time{} }
	}
	return &Reporter{cfg: cfg, windows: map[Window]*progress{}}
}

var _ duties.Duty = (*Reporter)(nil)

// Lead implements duties.Duty.
func (r *Reporter) Lead(ctx context.Context, l *lease.Lease) {
	for loop.Sleep(ctx, pollInterval) {
		for _, w := range r.reportable() {
			r.advance(ctx, l, w)
		}
	}
}

// reportable returns the windows that are over and can still be reported, oldest first. It drops
// those that are too old.
func (r *Reporter) reportable() []Window {
	now := r.cfg.WallClock()
	last := windowAt(now, r.cfg.WindowLength) - 1
	var windows []Window
	for w := last; now.Before(w.end(r.cfg.WindowLength).Add(r.cfg.ReportWithin)); w-- {
		if r.windows[w] == nil {
			r.windows[w] = &progress{}
		}
		if p := r.windows[w]; !p.done && !clock.Now().Before(p.nextAttempt) {
			windows = append(windows, w)
		}
	}
	for w, p := range r.windows {
		if now.Before(w.end(r.cfg.WindowLength).Add(r.cfg.ReportWithin)) {
			continue
		}
		if !p.done {
			windowsMissed.Inc()
			klog.InfoS("usage: window not reported in time", "window", w, "agreed", p.committed != nil)
		}
		delete(r.windows, w)
	}
	slices.Sort(windows)
	return windows
}

// advance performs the next step towards the report of a window.
func (r *Reporter) advance(ctx context.Context, l *lease.Lease, w Window) {
	p := r.windows[w]
	if p.committed == nil && !r.resolveSum(ctx, l, w, p) {
		return
	}
	err := duties.Call(ctx, l, callTimeout, func(ctx context.Context, fence uint64) error {
		return r.cfg.Platform.ReportUsage(ctx, Report{Window: w, Counts: p.committed, Holder: r.cfg.VM, Fence: fence})
	})
	if err != nil {
		reportsFailed.Inc()
		klog.InfoS("usage: report not accepted yet", "window", w, "fence", l.Fence(), "err", err)
		p.nextAttempt = clock.Now().Add(loop.Jitter(retryInterval))
		return
	}
	p.done = true
	windowsReported.Inc()
	r.removeOldSums(ctx, w)
	klog.InfoS("usage: window reported", "window", w, "fence", l.Fence(), "organisations", len(p.committed), "requests", totalRequests(p.committed),
		"sinceEndMS", r.cfg.WallClock().Sub(w.end(r.cfg.WindowLength)).Milliseconds())
}

// resolveSum determines the sum to report, and reports whether there is one now.
func (r *Reporter) resolveSum(ctx context.Context, l *lease.Lease, w Window, p *progress) bool {
	if r.sumMayBeLost(w) {
		return r.readCommitted(ctx, w, p)
	}
	counts, ready := r.collect(ctx, w)
	if !ready {
		p.nextAttempt = clock.Now().Add(collectRetryInterval)
		return false
	}
	committed, err := r.commitSum(ctx, l, w, counts)
	if err != nil {
		klog.InfoS("usage: sum not committed to the store yet", "window", w, "err", err)
		p.nextAttempt = clock.Now().Add(loop.Jitter(retryInterval))
		return false
	}
	p.committed = committed
	return true
}

// sumMayBeLost reports whether a sum of the window may have been committed and reported that the
// store no longer holds, because the store was restored from a backup since.
func (r *Reporter) sumMayBeLost(w Window) bool {
	since := r.cfg.EpochSince()
	return !since.IsZero() && r.cfg.WallClock().Sub(w.end(r.cfg.WindowLength)) > clock.Since(since)
}

// readCommitted reads the committed sum of a window. If there is none, it gives the window up,
// since a sum that differs from a reported one must never be reported.
func (r *Reporter) readCommitted(ctx context.Context, w Window, p *progress) bool {
	committed, err := readSum(ctx, r.cfg.Rows, w)
	switch {
	case err != nil:
		p.nextAttempt = clock.Now().Add(loop.Jitter(retryInterval))
	case committed == nil:
		p.done = true
		windowsMissed.Inc()
		klog.InfoS("usage: window not reported, its sum may have been lost when the store was restored", "window", w)
	default:
		p.committed = committed
	}
	return p.committed != nil
}

// collect adds up the accounts of a window. ready is false while the reporter should wait for VMs
// that have not sealed the window.
func (r *Reporter) collect(ctx context.Context, w Window) (counts map[string]uint64, ready bool) {
	total := newSum(w)
	total.add(r.cfg.Ledger.Read(w))
	for _, accounts := range r.cfg.Replicas.Read(ctx, w) {
		total.add(accounts)
	}
	unsealed := total.unsealed()
	if len(unsealed) > 0 && r.cfg.WallClock().Sub(w.end(r.cfg.WindowLength)) < r.sealWait(len(unsealed), total.vmCount()) {
		return nil, false
	}
	if len(unsealed) > 0 {
		klog.InfoS("usage: window summed without the final counts of some VMs", "window", w, "vms", unsealed)
	}
	return r.byName(w, total.counts()), true
}

// sealWait returns the time after a window's end for which the reporter waits for VMs that have not
// sealed it. It is short for few VMs: their missing counts lie within the tolerance, and an early
// report cannot be lost with the holder.
func (r *Reporter) sealWait(unsealed, vms int) time.Duration {
	if float64(unsealed) <= fewVMsFraction*r.cfg.Tolerance*float64(vms) {
		return fewVMsSealWait
	}
	return time.Duration(sealWaitFraction * float64(r.cfg.ReportWithin))
}

// byName returns a sum by organisation name, without organisations whose names are unknown.
func (r *Reporter) byName(w Window, counts map[uint64]uint64) map[string]uint64 {
	names := r.cfg.OrganisationNames()
	byName := make(map[string]uint64, len(counts))
	for hash, n := range counts {
		name, found := names[hash]
		if !found {
			requestsUnnamed.Add(int(n))
			klog.InfoS("usage: requests of an unknown organisation not reported", "window", w, "hash", hash, "requests", n)
			continue
		}
		byName[name] = n
	}
	return byName
}

// commitSum stores a sum as the only one that any holder may report for the window, and returns the
// stored sum, which is another one if an earlier holder has stored it.
func (r *Reporter) commitSum(ctx context.Context, l *lease.Lease, w Window, counts map[string]uint64) (map[string]uint64, error) {
	ctx, cancel := clock.WithTimeout(ctx, commitTimeout)
	defer cancel()
	rec := record{ID: rand.Text(), Counts: counts}
	txn := table.Txn{
		Checks: []table.Check{{Key: rowKey(w)}},
		Writes: []table.Write{{Key: rowKey(w), Value: rec.encode()}},
	}
	_, err := l.Commit(ctx, txn, func(row table.Row) bool {
		stored, err := decode(row)
		return err == nil && stored.ID == rec.ID
	})
	switch {
	case err == nil:
		return counts, nil
	case !isConflict(err):
		return nil, err
	}
	committed, err := readSum(ctx, r.cfg.Rows, w)
	if err == nil && committed == nil {
		err = &SumMissingError{Window: w}
	}
	return committed, err
}

// removeOldSums removes the rows of old windows in batches. Rows that remain after a failure are
// removed by the next batch.
func (r *Reporter) removeOldSums(ctx context.Context, w Window) {
	if w%cleanupInterval != 0 {
		return
	}
	var txn table.Txn
	for old := w - storedWindows - 2*cleanupInterval; old <= w-storedWindows; old++ {
		txn.Writes = append(txn.Writes, table.Write{Key: rowKey(old), Delete: true})
	}
	if _, err := r.cfg.Rows.Commit(ctx, txn); err != nil {
		klog.InfoS("usage: old sums not removed yet", "before", w-storedWindows, "err", err)
	}
}

func totalRequests(counts map[string]uint64) uint64 {
	total := uint64(0)
	for _, n := range counts {
		total += n
	}
	return total
}
