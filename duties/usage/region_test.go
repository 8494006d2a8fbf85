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

// late is how long after its end a report is of use in these tests.
const late = 10 * time.Second

var errFault = errors.New("fault")

// platform takes reports, and notes what would break the users' rules.
type platform struct {
	mu       sync.Mutex
	accepted map[Window]Report
	// at is how long after a window's end its first report was taken.
	at      map[Window]time.Duration
	calls   int
	highest uint64
	broken  []string
}

func newPlatform() *platform {
	return &platform{accepted: map[Window]Report{}, at: map[Window]time.Duration{}}
}

func (p *platform) take(r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if r.Fence < p.highest {
		p.broken = append(p.broken, fmt.Sprintf("fence %d after %d", r.Fence, p.highest))
	}
	p.highest = max(p.highest, r.Fence)
	before, reported := p.accepted[r.Window]
	if reported && !maps.Equal(before.Counts, r.Counts) {
		p.broken = append(p.broken, fmt.Sprintf("window %d with %v and %v", r.Window, before.Counts, r.Counts))
	}
	if !reported {
		r.Counts = maps.Clone(r.Counts)
		p.accepted[r.Window] = r
		p.at[r.Window] = time.Since(r.Window.end(length))
	}
}

// reported returns the report of a window, and how long after its end it was first taken.
func (p *platform) reported(w Window) (r Report, at time.Duration, taken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, taken = p.accepted[w]
	return r, p.at[w], taken
}

// taken is how many windows were reported, with how many calls.
func (p *platform) taken() (windows, calls int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.accepted), p.calls
}

// breaks returns what broke a rule.
func (p *platform) breaks() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.broken, "; ")
}

// vm is one VM that contends for the lease to report.
type vm struct {
	ledger *Ledger
	stop   func()

	mu   sync.Mutex
	dead bool
	// cut is set while the other VMs cannot read its accounts.
	cut bool
	// report and commit are what becomes of a report, and of a write to the store; nil is that it
	// works.
	report func(ctx context.Context, deliver func()) error
	commit func(txn table.Txn) memtable.Fault
}

// kill makes the VM do nothing any more, without a word.
func (v *vm) kill() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.dead = true
}

func (v *vm) isDead() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.dead
}

func (v *vm) setCut(cut bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cut = cut
}

// reads tells whether the others can read its accounts.
func (v *vm) reads() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.dead && !v.cut
}

func (v *vm) fail(report func(ctx context.Context, deliver func()) error, commit func(txn table.Txn) memtable.Fault) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.report, v.commit = report, commit
}

func (v *vm) reporting() func(ctx context.Context, deliver func()) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.report
}

func (v *vm) committing() func(txn table.Txn) memtable.Fault {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.commit
}

// region is a store, a platform and the VMs before them.
type region struct {
	t        *testing.T
	rows     *memtable.Table
	platform *platform

	mu  sync.Mutex
	vms []*vm
	// epochSince is when the store's epoch was first seen.
	epochSince time.Time
}

func newRegion(t *testing.T) *region {
	return &region{t: t, rows: memtable.New(), platform: newPlatform()}
}

func (r *region) all() []*vm {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.vms)
}

func (r *region) epoch() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.epochSince
}

// storeOf is the store as a VM reaches it.
type storeOf struct {
	table.Service
	vm *vm
}

func (s storeOf) Get(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	if s.vm.isDead() {
		<-ctx.Done()
		return nil, &table.UnavailableError{Cause: errFault}
	}
	return s.Service.Get(ctx, keys...)
}

func (s storeOf) Commit(ctx context.Context, txn table.Txn) ([]table.Version, error) {
	if s.vm.isDead() {
		<-ctx.Done()
		return nil, &table.UnknownError{Cause: errFault}
	}
	if commit := s.vm.committing(); commit != nil && txn.Writes[0].Key.Table == Table {
		switch f := commit(txn); {
		case f.Fail:
			return nil, &table.UnavailableError{Cause: errFault}
		case f.ApplyAfter > 0:
			time.AfterFunc(f.ApplyAfter, func() { _, _ = s.Service.Commit(context.Background(), txn) })
			return nil, &table.UnknownError{Cause: errFault}
		case f.LoseAnswer:
			_, _ = s.Service.Commit(ctx, txn)
			return nil, &table.UnknownError{Cause: errFault}
		}
	}
	return s.Service.Commit(ctx, txn)
}

// platformOf is the platform as a VM reaches it.
type platformOf struct {
	r  *region
	vm *vm
}

func (p platformOf) ReportUsage(ctx context.Context, r Report) error {
	if p.vm.isDead() {
		<-ctx.Done()
		return errFault
	}
	deliver := func() {
		if ctx.Err() == nil { // what has not come by then is dropped with its connection
			p.r.platform.take(r)
		}
	}
	if report := p.vm.reporting(); report != nil {
		return report(ctx, deliver)
	}
	time.Sleep(5 * time.Millisecond)
	deliver()
	return nil
}

// keepersOf are the other VMs as one reaches them.
type keepersOf struct {
	r    *region
	self int
}

func (k keepersOf) Read(_ context.Context, w Window) []Accounts {
	var list []Accounts
	for i, v := range k.r.all() {
		if i != k.self && v.reads() {
			list = append(list, v.ledger.Read(w))
		}
	}
	return list
}

// add starts a VM.
func (r *region) add() *vm {
	i := len(r.all())
	name := fmt.Sprint("vm", i)
	v := &vm{ledger: NewLedger(Identity{VM: name, Zone: "z"}, length, time.Now, time.Now)}
	r.mu.Lock()
	r.vms = append(r.vms, v)
	r.mu.Unlock()
	reporter := NewReporter(Config{
		VM: name, Rows: storeOf{r.rows, v}, Ledger: v.ledger, Replicas: keepersOf{r, i}, Platform: platformOf{r, v},
		OrganisationNames: func() map[uint64]string { return map[uint64]string{Hash("north"): "north", Hash("south"): "south"} },
		Tolerance:         0.05, WindowLength: length, ReportWithin: late, WallClock: time.Now, EpochSince: r.epoch,
	})
	keeper := duties.NewRunner(duties.Config{
		Rows: storeOf{r.rows, v}, Self: lease.Identity{VM: name, Process: name, Address: "a"},
		Rank: func() int { return i }, HandoverDelay: 3 * time.Second, Epoch: r.rows.Epoch,
	}, reporter)
	ctx, cancel := context.WithCancel(r.t.Context())
	var running sync.WaitGroup
	running.Go(func() { keeper.Run(ctx) })
	v.stop = func() { cancel(); running.Wait() }
	return v
}

// tell makes VMs know the accounts of each other, as datagrams do.
func (r *region) tell() {
	for _, from := range r.all() {
		if from.isDead() {
			continue
		}
		for _, a := range from.ledger.Due(false) {
			for _, to := range r.all() {
				to.ledger.Take(a)
			}
		}
	}
}

// serve lets each VM begin a request in each tenth of a second.
func (r *region) serve(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for i, v := range r.all() {
			if !v.isDead() {
				v.ledger.RequestStarted([]string{"north", "south"}[i%2])
			}
		}
		r.tell()
	}
}

func (r *region) stop() {
	for _, v := range r.all() {
		v.stop()
	}
}

// playRegion runs steps in virtual time, which begin with a window. The first VM holds the lease.
func playRegion(t *testing.T, vms int, steps func(r *region)) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t)
		for i := range vms {
			r.add()
			if i == 0 {
				time.Sleep(length)
			}
		}
		steps(r)
		r.stop()
		if broken := r.platform.breaks(); broken != "" {
			t.Error(broken)
		}
	})
}

// exact lists the windows, of some, that were not reported with all requests of n VMs.
func (r *region) exact(from, to Window, want map[string]uint64) string {
	var wrong []string
	for w := from; w < to; w++ {
		if got, _, _ := r.platform.reported(w); !maps.Equal(got.Counts, want) {
			wrong = append(wrong, fmt.Sprint(w-from, ": ", got.Counts))
		}
	}
	return strings.Join(wrong, ", ")
}
