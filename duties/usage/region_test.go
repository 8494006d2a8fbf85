package usage

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/duties"
	"github.com/springweir/springweir/lease"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// late is the time after a window's end within which a report is useful in these tests.
const late = 10 * time.Second

var errFault = errors.New("fault")

// fakePlatform accepts reports and records violations of the platform's rules.
type fakePlatform struct {
	mu       sync.Mutex
	accepted map[Window]Report
	// delays holds the time from each window's end to its first accepted report.
	delays     map[Window]time.Duration
	calls      int
	highest    uint64
	violations []string
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{accepted: map[Window]Report{}, delays: map[Window]time.Duration{}}
}

func (p *fakePlatform) accept(r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if r.Fence < p.highest {
		p.violations = append(p.violations, fmt.Sprintf("fencing token %d after %d", r.Fence, p.highest))
	}
	p.highest = max(p.highest, r.Fence)
	first, reported := p.accepted[r.Window]
	if reported && !maps.Equal(first.Counts, r.Counts) {
		p.violations = append(p.violations, fmt.Sprintf("window %d reported with %v and %v", r.Window, first.Counts, r.Counts))
	}
	if !reported {
		r.Counts = maps.Clone(r.Counts)
		p.accepted[r.Window] = r
		p.delays[r.Window] = time.Since(r.Window.end(length))
	}
}

// reported returns the first accepted report of a window and its delay after the window's end.
func (p *fakePlatform) reported(w Window) (r Report, delay time.Duration, accepted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, accepted = p.accepted[w]
	return r, p.delays[w], accepted
}

// counts returns the number of reported windows and the number of calls.
func (p *fakePlatform) counts() (windows, calls int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.accepted), p.calls
}

// violationText returns the recorded violations, joined.
func (p *fakePlatform) violationText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.violations, "; ")
}

// testVM is a VM that contends for the lease and reports usage.
type testVM struct {
	ledger *Ledger
	stop   func()

	mu   sync.Mutex
	dead bool
	// partitioned is set while the other VMs cannot read its accounts.
	partitioned bool
	// onReport and onCommit replace a report or a write to the store with a fault; nil means
	// success.
	onReport func(ctx context.Context, deliver func()) error
	onCommit func(txn table.Txn) memtable.Fault
}

// kill makes the VM stop all activity without notice.
func (v *testVM) kill() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.dead = true
}

func (v *testVM) isDead() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.dead
}

func (v *testVM) setPartitioned(partitioned bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.partitioned = partitioned
}

// readable reports whether the other VMs can read its accounts.
func (v *testVM) readable() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.dead && !v.partitioned
}

func (v *testVM) setFaults(report func(ctx context.Context, deliver func()) error, commit func(txn table.Txn) memtable.Fault) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.onReport, v.onCommit = report, commit
}

func (v *testVM) reportFault() func(ctx context.Context, deliver func()) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.onReport
}

func (v *testVM) commitFault() func(txn table.Txn) memtable.Fault {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.onCommit
}

// testRegion is a store, a platform and the VMs that use them.
type testRegion struct {
	t        *testing.T
	rows     *memtable.Table
	platform *fakePlatform

	mu  sync.Mutex
	vms []*testVM
	// epochSince is when the store's epoch was first seen.
	epochSince time.Time
}

func newTestRegion(t *testing.T) *testRegion {
	return &testRegion{t: t, rows: memtable.New(), platform: newFakePlatform()}
}

func (r *testRegion) allVMs() []*testVM {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.vms)
}

func (r *testRegion) epochSeenSince() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.epochSince
}

// vmStore is the store as seen by one VM.
type vmStore struct {
	table.Service
	vm *testVM
}

func (s vmStore) Get(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	if s.vm.isDead() {
		<-ctx.Done()
		return nil, &table.UnavailableError{Cause: errFault}
	}
	return s.Service.Get(ctx, keys...)
}

func (s vmStore) Commit(ctx context.Context, txn table.Txn) ([]table.Version, error) {
	if s.vm.isDead() {
		<-ctx.Done()
		return nil, &table.UnknownError{Cause: errFault}
	}
	if commit := s.vm.commitFault(); commit != nil && txn.Writes[0].Key.Table == Table {
		switch f := commit(txn); {
		case f.Fail:
			return nil, &table.UnavailableError{Cause: errFault}
		case f.ApplyAfter > 0:
			time.AfterFunc(f.ApplyAfter, func() { _, _ = s.Service.Commit(context.Background(), txn) })
			return nil, &table.UnknownError{Cause: errFault}
		case f.LoseResponse:
			_, _ = s.Service.Commit(ctx, txn)
			return nil, &table.UnknownError{Cause: errFault}
		}
	}
	return s.Service.Commit(ctx, txn)
}

// vmPlatform is the platform as seen by one VM.
type vmPlatform struct {
	r  *testRegion
	vm *testVM
}

func (p vmPlatform) ReportUsage(ctx context.Context, r Report) error {
	if p.vm.isDead() {
		<-ctx.Done()
		return errFault
	}
	deliver := func() {
		if ctx.Err() == nil { // a report that arrives later is dropped with its connection
			p.r.platform.accept(r)
		}
	}
	if report := p.vm.reportFault(); report != nil {
		return report(ctx, deliver)
	}
	time.Sleep(5 * time.Millisecond)
	deliver()
	return nil
}

// vmReplicas are the other VMs as seen by one VM.
type vmReplicas struct {
	r    *testRegion
	self int
}

func (replicas vmReplicas) Read(_ context.Context, w Window) []Accounts {
	var list []Accounts
	for i, v := range replicas.r.allVMs() {
		if i != replicas.self && v.readable() {
			list = append(list, v.ledger.Read(w))
		}
	}
	return list
}

// addVM starts a VM.
func (r *testRegion) addVM() *testVM {
	i := len(r.allVMs())
	name := fmt.Sprint("vm", i)
	v := &testVM{ledger: NewLedger(Identity{VM: name, Zone: "z"}, length, time.Now, time.Now)}
	r.mu.Lock()
	r.vms = append(r.vms, v)
	r.mu.Unlock()
	reporter := NewReporter(Config{
		VM: name, Rows: vmStore{r.rows, v}, Ledger: v.ledger, Replicas: vmReplicas{r, i}, Platform: vmPlatform{r, v},
		OrganisationNames: func() map[uint64]string { return map[uint64]string{Hash("north"): "north", Hash("south"): "south"} },
		Tolerance:         0.05, WindowLength: length, ReportWithin: late, WallClock: time.Now, EpochSince: r.epochSeenSince,
	})
	runner := duties.NewRunner(duties.Config{
		Rows: vmStore{r.rows, v}, Self: lease.Identity{VM: name, Process: name, Address: "a"},
		Rank: func() int { return i }, HandoverDelay: 3 * time.Second, Epoch: r.rows.Epoch,
	}, reporter)
	ctx, cancel := context.WithCancel(r.t.Context())
	var running sync.WaitGroup
	running.Go(func() { runner.Run(ctx) })
	v.stop = func() { cancel(); running.Wait() }
	return v
}

// exchange sends the pending changes of every VM to all VMs, as datagrams do.
func (r *testRegion) exchange() {
	for _, from := range r.allVMs() {
		if from.isDead() {
			continue
		}
		for _, a := range from.ledger.Due(false) {
			for _, to := range r.allVMs() {
				to.ledger.Take(a)
			}
		}
	}
}

// serveFor makes every VM start a request every 100 ms.
func (r *testRegion) serveFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for i, v := range r.allVMs() {
			if !v.isDead() {
				v.ledger.RequestStarted([]string{"north", "south"}[i%2])
			}
		}
		r.exchange()
	}
}

func (r *testRegion) stop() {
	for _, v := range r.allVMs() {
		v.stop()
	}
}

// runRegion runs steps in virtual time, starting at the start of a window. The first VM holds the
// lease.
func runRegion(t *testing.T, vms int, steps func(r *testRegion)) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRegion(t)
		for i := range vms {
			r.addVM()
			if i == 0 {
				time.Sleep(length)
			}
		}
		steps(r)
		r.stop()
		if violation := r.platform.violationText(); violation != "" {
			t.Error(violation)
		}
	})
}

// mismatches lists the windows in [from, to) that were not reported with exactly the given counts.
func (r *testRegion) mismatches(from, to Window, want map[string]uint64) string {
	var mismatches []string
	for w := from; w < to; w++ {
		if got, _, _ := r.platform.reported(w); !maps.Equal(got.Counts, want) {
			mismatches = append(mismatches, fmt.Sprint(w-from, ": ", got.Counts))
		}
	}
	return strings.Join(mismatches, ", ")
}
