// Package roster knows the VMs of this system: each registers itself in the
// platform's store when it starts, and the others learn of it there or from its
// own datagrams.
package roster

import (
	"context"
	crand "crypto/rand"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/table"
)

// Table is the table in which VMs register, by name.
const Table = "springweir-vms"

const (
	// feedWait is how long a question for changes waits. A VM that starts tells the
	// others of itself by datagrams, so that nothing hangs on it.
	feedWait = 10 * time.Second
	// checkInterval is the mean time between two looks for rows to write or remove.
	checkInterval = 30 * time.Second
	// retryInterval is the mean time between two tries while the store is away.
	retryInterval = time.Second
	// refreshInterval is how often a VM writes its row again. A row that is not, for
	// three such periods, is of a VM that is gone; at the size to come, with some 900
	// VMs replaced a day, such rows would soon fill what is read.
	refreshInterval = 10 * time.Minute
	staleAfter      = 3 * refreshInterval
	// callTimeout bounds one call to the store.
	callTimeout = time.Second
	// rewriteDelayPerRow is the time for each row that the store has lost, over which the VMs spread
	// their writes: hundreds at once are more than it takes. rewriteWithin bounds it.
	rewriteDelayPerRow = 4 * time.Millisecond
	maxRewriteDelay    = 1200 * time.Millisecond
	// rewriteGrace is how long a VM counts whose row the store has lost. All are back within
	// two seconds, if their VMs live.
	rewriteGrace = 4 * time.Second
)

// VM is one VM of the system.
type VM struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Address is where it takes datagrams of package loadshare (host:port).
	Address string `json:"address"`
	// Capacity orders the VMs of a zone as collectors of package loadshare.
	Capacity int `json:"strength"`
	// Boot is drawn at each start.
	Boot string `json:"boot"`
}

// NewBoot draws the name of one start of a process.
func NewBoot() string { return crand.Text() }

// Roster keeps this VM registered and knows the others. It is safe for
// concurrent use; mu is a leaf.
type Roster struct {
	rows     table.Service
	feed     table.Feed
	self     VM
	onChange func([]VM)
	// staleTimeout is after which time a row counts as left behind. It differs from VM to
	// VM, so that one removes a row before all others try.
	staleTimeout time.Duration
	// listed is closed once the table was read.
	listed   chan struct{}
	listOnce sync.Once
	// rewriteWithin holds an element when the own row is to be written again: the time within which.
	rewriteWithin chan time.Duration

	mu     sync.Mutex
	others map[string]VM
	// lost are the VMs that count although the store has lost their rows, and since when.
	lost map[string]time.Time
	// lastWritten is when the own row was last lastWritten.
	lastWritten time.Time
	// observedRows are the rows as they stand, and since when each does.
	observedRows map[string]observedRow
}

// observedRow is a row's version and when this VM first read it. Clocks of VMs differ,
// so no time stands in the rows.
type observedRow struct {
	version table.Version
	since   time.Time
}

// New returns a roster that knows nothing yet. It writes to rows and follows the table
// by feed. onChange is called with all other VMs when they may have changed.
func New(rows table.Service, feed table.Feed, self VM, onChange func([]VM)) *Roster {
	return &Roster{
		rows: rows, feed: feed, self: self, onChange: onChange, others: map[string]VM{},
		observedRows: map[string]observedRow{}, staleTimeout: staleAfter + rand.N(refreshInterval), listed: make(chan struct{}),
		rewriteWithin: make(chan time.Duration, 1), lost: map[string]time.Time{},
	}
}

// Listed is closed once the other VMs are known.
func (r *Roster) Listed() <-chan struct{} { return r.listed }

// Run registers this VM and follows the others until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	var group errgroup.Group
	group.Go(func() error { r.maintainRow(ctx); return nil })
	group.Go(func() error { r.follow(ctx); return nil })
	_ = group.Wait() // neither part fails
}

// maintainRow writes this VM's row, again now and then, and removes those left behind.
func (r *Roster) maintainRow(ctx context.Context) {
	for ctx.Err() == nil && !r.register(ctx) {
		loop.Sleep(ctx, loop.Jitter(retryInterval))
	}
	for r.waitForCheck(ctx, loop.Jitter(checkInterval)) {
		for r.refreshDue() && !r.register(ctx) && loop.Sleep(ctx, loop.Jitter(retryInterval)) {
			continue
		}
		for _, row := range r.staleRows() {
			r.remove(ctx, row)
		}
	}
}

// waitForCheck waits for some time, or for less if the own row was lost. It tells whether ctx goes on.
func (r *Roster) waitForCheck(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	case within := <-r.rewriteWithin:
		return loop.Sleep(ctx, rand.N(within))
	}
}

// scheduleRewrite has the own row written again, as one of so many. The caller holds mu.
func (r *Roster) scheduleRewrite(count int) {
	r.lastWritten = time.Time{}
	select {
	case r.rewriteWithin <- min(time.Duration(count)*rewriteDelayPerRow, maxRewriteDelay):
	default: // it is under way
	}
}

// refreshDue tells whether the own row is to be written again.
func (r *Roster) refreshDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return clock.Since(r.lastWritten) > refreshInterval
}

// register writes this VM's row. It is written without a condition: only the
// newest start of a VM writes it, and a stale address costs a few datagrams.
func (r *Roster) register(ctx context.Context) bool {
	value, err := json.Marshal(r.self)
	if err != nil {
		klog.ErrorS(err, "roster: this VM cannot be written down")
		return true
	}
	ctx, cancel := clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = r.rows.Commit(ctx, table.Txn{Writes: []table.Write{{Key: rowKey(r.self.Name), Value: value}}})
	if err != nil {
		klog.InfoS("roster: row not written", "err", err)
		return false
	}
	klog.InfoS("roster: row written", "vm", r.self.Name)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastWritten = clock.Now()
	return true
}

func rowKey(name string) table.Key { return table.Key{Table: Table, Row: name} }

// staleRows returns the rows that nobody has written for long.
func (r *Roster) staleRows() []table.Check {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []table.Check
	for name, s := range r.observedRows {
		if name != r.self.Name && clock.Since(s.since) > r.staleTimeout {
			list = append(list, table.Check{Key: rowKey(name), Version: s.version})
		}
	}
	return list
}

// remove drops a row that was left behind. One that is written again meanwhile stays: it
// has another version then.
func (r *Roster) remove(ctx context.Context, row table.Check) {
	ctx, cancel := clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := r.rows.Commit(ctx, table.Txn{Checks: []table.Check{row}, Writes: []table.Write{{Key: row.Key, Delete: true}}})
	klog.InfoS("roster: removed a VM that is gone", "vm", row.Key.Row, "version", row.Version.String(), "err", err)
}

// Add takes in a VM that told of itself.
func (r *Roster) Add(vm VM) {
	r.mu.Lock()
	known := r.others[vm.Name]
	if vm.Name == r.self.Name || known.Address == vm.Address {
		r.mu.Unlock()
		return
	}
	r.others[vm.Name] = vm
	r.mu.Unlock()
	klog.InfoS("roster: VM learned", "vm", vm.Name, "zone", vm.Zone, "address", vm.Address)
	r.onChange(r.Others())
}

// Others returns the other VMs, in no order.
func (r *Roster) Others() []VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]VM, 0, len(r.others))
	for _, vm := range r.others {
		list = append(list, vm)
	}
	return list
}
