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

// Report is the sum of one window, for the platform.
type Report struct {
	Window Window
	// Counts are by the organisation's name.
	Counts map[string]uint64
	// Holder names the VM that reports, and Fence its tenure.
	Holder string
	Fence  uint64
}

// Platform takes reports. What it has not taken in when ctx ends must never come to count.
type Platform interface {
	ReportUsage(ctx context.Context, r Report) error
}

// Replicas reads the accounts that other VMs hold.
type Replicas interface {
	// Read returns the accounts of a window of all VMs that answer in time.
	Read(ctx context.Context, w Window) []Accounts
}

// Config is what a Reporter works with.
type Config struct {
	VM       string
	Rows     table.Service
	Ledger   *Ledger
	Replicas Replicas
	Platform Platform
	// EpochSince returns since when the present epoch of the store is known here (see
	// table.Version), zero for a store without any; nil is such a store.
	EpochSince func() time.Time
	// OrganisationNames returns the names of organisations by their hashes.
	OrganisationNames func() map[uint64]string
	// Tolerance is by which part a report may be off.
	Tolerance float64
	// WindowLength is that of a window, and ReportWithin is how long after its end a report is of use.
	WindowLength, ReportWithin time.Duration
	// WallClock is the time of day.
	WallClock func() time.Time
}

const (
	// period is how often windows are looked at.
	period = 100 * time.Millisecond
	// readPause is how long after one look at the keepers' accounts the next one may come.
	readPause = 400 * time.Millisecond
	// patiencePart is the part of the time for a report up to which a VM that has not sealed its
	// account is waited for. What is left is for the store and the platform, which may be slow.
	patiencePart = 0.6
	// fewPart is the part of the tolerance that VMs which are waited for only shortly may make up, and
	// fewPatience that time.
	fewPart     = 0.5
	fewPatience = time.Second
	// callTimeout bounds a report: within it the report is taken or will not be.
	callTimeout = 800 * time.Millisecond
	// retryPause is the mean pause after a report that was not taken.
	retryPause = 300 * time.Millisecond
	// agreeTimeout bounds the writing of a sum. If it came to be all the same, the next try finds it.
	agreeTimeout = 2 * time.Second
	// storedWindows is how many windows the store keeps, longer than any write may be late, and
	// cleanEvery how many are removed at once.
	storedWindows = 24
	cleanEvery    = 12
)

// Reporter reports windows while this VM holds the lease of package duties. It implements
// duties.Duty and belongs to the goroutine of one tenure at a time.
type Reporter struct {
	cfg Config
	// windows are those that can still be reported, and what has become of them. They outlast a
	// tenure: what was agreed on stays so, also if the store has lost it.
	windows map[Window]*progress
}

// progress is how far the report of a window has come.
type progress struct {
	// agreed is the sum as the store holds it, nil before that.
	agreed map[string]uint64
	// next is when to try again what failed, or what waits for others.
	next time.Time
	done bool
}

// NewReporter returns a reporter.
func NewReporter(cfg Config) *Reporter {
	if cfg.EpochSince == nil {
		cfg.EpochSince = func() time.Time { return time.Time{} }
	}
	return &Reporter{cfg: cfg, windows: map[Window]*progress{}}
}

var _ duties.Duty = (*Reporter)(nil)

// Lead implements duties.Duty.
func (r *Reporter) Lead(ctx context.Context, l *lease.Lease) {
	for loop.Sleep(ctx, period) {
		for _, w := range r.due() {
			r.advance(ctx, l, w)
		}
	}
}

// due returns the windows that are over and can still be reported, the oldest first.
func (r *Reporter) due() []Window {
	now := r.cfg.WallClock()
	last := windowAt(now, r.cfg.WindowLength) - 1
	var list []Window
	for w := last; now.Before(w.end(r.cfg.WindowLength).Add(r.cfg.ReportWithin)); w-- {
		if r.windows[w] == nil {
			r.windows[w] = &progress{}
		}
		if p := r.windows[w]; !p.done && !clock.Now().Before(p.next) {
			list = append(list, w)
		}
	}
	for w, p := range r.windows {
		if now.Before(w.end(r.cfg.WindowLength).Add(r.cfg.ReportWithin)) {
			continue
		}
		if !p.done {
			missed.Inc()
			klog.InfoS("usage: window not reported in time", "window", w, "agreed", p.agreed != nil)
		}
		delete(r.windows, w)
	}
	slices.Sort(list)
	return list
}

// advance brings a window one step nearer to its report.
func (r *Reporter) advance(ctx context.Context, l *lease.Lease, w Window) {
	p := r.windows[w]
	if p.agreed == nil && !r.settle(ctx, l, w, p) {
		return
	}
	err := duties.Call(ctx, l, callTimeout, func(ctx context.Context, fence uint64) error {
		return r.cfg.Platform.ReportUsage(ctx, Report{Window: w, Counts: p.agreed, Holder: r.cfg.VM, Fence: fence})
	})
	if err != nil {
		failed.Inc()
		klog.InfoS("usage: report not taken yet", "window", w, "fence", l.Fence(), "err", err)
		p.next = clock.Now().Add(loop.Jitter(retryPause))
		return
	}
	p.done = true
	reported.Inc()
	r.clean(ctx, w)
	klog.InfoS("usage: window reported", "window", w, "fence", l.Fence(), "organisations", len(p.agreed), "requests", sumOf(p.agreed),
		"sinceEndMS", r.cfg.WallClock().Sub(w.end(r.cfg.WindowLength)).Milliseconds())
}

// settle finds the sum that is to be reported, and tells whether there is one now.
func (r *Reporter) settle(ctx context.Context, l *lease.Lease, w Window, p *progress) bool {
	if r.mayBeLost(w) {
		return r.find(ctx, w, p)
	}
	counts, ready := r.collect(ctx, w)
	if !ready {
		p.next = clock.Now().Add(readPause)
		return false
	}
	agreed, err := r.agree(ctx, l, w, counts)
	if err != nil {
		klog.InfoS("usage: sum not agreed in the store yet", "window", w, "err", err)
		p.next = clock.Now().Add(loop.Jitter(retryPause))
		return false
	}
	p.agreed = agreed
	return true
}

// mayBeLost tells whether a sum of the window may have been agreed on and reported of which the
// store knows no more, since it has come back from a copy.
func (r *Reporter) mayBeLost(w Window) bool {
	since := r.cfg.EpochSince()
	return !since.IsZero() && r.cfg.WallClock().Sub(w.end(r.cfg.WindowLength)) > clock.Since(since)
}

// find reads the sum that was agreed on, and gives the window up if there is none: another sum than
// one that was reported must not be.
func (r *Reporter) find(ctx context.Context, w Window, p *progress) bool {
	agreed, err := read(ctx, r.cfg.Rows, w)
	switch {
	case err != nil:
		p.next = clock.Now().Add(loop.Jitter(retryPause))
	case agreed == nil:
		p.done = true
		missed.Inc()
		klog.InfoS("usage: window not reported, a sum of it may be lost with the store's last writes", "window", w)
	default:
		p.agreed = agreed
	}
	return p.agreed != nil
}

// collect adds up a window. It is ready once all VMs have sealed it, or have been waited for long
// enough.
func (r *Reporter) collect(ctx context.Context, w Window) (counts map[string]uint64, ready bool) {
	s := newSum(w)
	s.add(r.cfg.Ledger.Read(w))
	for _, accounts := range r.cfg.Replicas.Read(ctx, w) {
		s.add(accounts)
	}
	missing := s.missing()
	if len(missing) > 0 && r.cfg.WallClock().Sub(w.end(r.cfg.WindowLength)) < r.patience(len(missing), s.vms()) {
		return nil, false
	}
	if len(missing) > 0 {
		klog.InfoS("usage: window added up without the last of some VMs", "window", w, "vms", missing)
	}
	return r.named(w, s.counts()), true
}

// patience is how long after a window's end VMs that have not sealed it are waited for. What some few
// may still have counted lies within the tolerance, and a report that has gone out cannot be lost.
func (r *Reporter) patience(missing, vms int) time.Duration {
	if float64(missing) <= fewPart*r.cfg.Tolerance*float64(vms) {
		return fewPatience
	}
	return time.Duration(patiencePart * float64(r.cfg.ReportWithin))
}

// named gives a sum by names.
func (r *Reporter) named(w Window, counts map[uint64]uint64) map[string]uint64 {
	names := r.cfg.OrganisationNames()
	out := make(map[string]uint64, len(counts))
	for hash, n := range counts {
		name, known := names[hash]
		if !known {
			nameless.Add(int(n))
			klog.InfoS("usage: requests of an organisation that is not known here", "window", w, "hash", hash, "requests", n)
			continue
		}
		out[name] = n
	}
	return out
}

// agree makes a sum the one that is reported for its window, whoever reports it, and returns it: a
// holder before this one may have made another.
func (r *Reporter) agree(ctx context.Context, l *lease.Lease, w Window, counts map[string]uint64) (map[string]uint64, error) {
	ctx, cancel := clock.WithTimeout(ctx, agreeTimeout)
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
	before, err := read(ctx, r.cfg.Rows, w)
	if err == nil && before == nil {
		err = &VanishedError{Window: w}
	}
	return before, err
}

// clean removes the rows of old windows, a number at a time. What fails is done with the next.
func (r *Reporter) clean(ctx context.Context, w Window) {
	if w%cleanEvery != 0 {
		return
	}
	var txn table.Txn
	for old := w - storedWindows - 2*cleanEvery; old <= w-storedWindows; old++ {
		txn.Writes = append(txn.Writes, table.Write{Key: rowKey(old), Delete: true})
	}
	if _, err := r.cfg.Rows.Commit(ctx, txn); err != nil {
		klog.InfoS("usage: old sums not removed yet", "before", w-storedWindows, "err", err)
	}
}

func sumOf(counts map[string]uint64) uint64 {
	total := uint64(0)
	for _, n := range counts {
		total += n
	}
	return total
}
