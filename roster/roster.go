// Package roster tracks the VMs of this system. Each registers in the platform's store when it
// starts; the other VMs discover it there or from its datagrams.
package roster

import (
	"context"
	crand "crypto/rand"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
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
	// feedWait is how long a request for changes waits. A starting VM announces itself to the
	// others by datagrams, so nothing depends on a short wait.
	feedWait = 10 * time.Second
	// checkInterval is the mean time between two checks for rows to write or remove.
	checkInterval = 30 * time.Second
	// retryInterval is the mean time between two attempts while the store is unavailable.
	retryInterval = time.Second
	// refreshInterval is how often a VM rewrites its row. A row not rewritten for three intervals
	// belongs to a VM that no longer exists; with some 900 VMs replaced a day at the target size,
	// such rows would soon make up most of what is read.
	refreshInterval = 10 * time.Minute
	staleAfter      = 3 * refreshInterval
	// callTimeout bounds one call to the store.
	callTimeout = time.Second
	// rewriteDelayPerRow is the time per lost row over which the VMs spread their writes, because
	// hundreds at once exceed what the store accepts. maxRewriteDelay limits the total.
	rewriteDelayPerRow = 4 * time.Millisecond
	maxRewriteDelay    = 1200 * time.Millisecond
	// rewriteGrace is how long a VM whose row the store has lost stays listed. Live VMs rewrite
	// their rows within two seconds.
	rewriteGrace = 4 * time.Second
)

// VM is the row in which a VM registers.
type VM struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Address is where the VM receives datagrams of package loadshare (host:port).
	Address string `json:"address"`
	// Capacity orders the VMs of a zone as collectors of package loadshare.
	Capacity int `json:"strength"`
	// Boot is a random ID drawn at each start.
	Boot string `json:"boot"`
}

// NewBoot returns a random ID for one start of a process.
func NewBoot() string { return crand.Text() }

// Roster keeps this VM registered and tracks the other VMs. It is safe for concurrent use; no other
// lock is taken while mu is held.
type Roster struct {
	rows     table.Service
	feed     table.Feed
	self     VM
	onChange func([]VM)
	// staleTimeout is the time after which an unchanged row is removed. It is randomised per VM, so
	// that one VM removes a row before all others try.
	staleTimeout time.Duration
	// listed is closed once the table was read.
	listed   chan struct{}
	listOnce sync.Once
	// complete is set before onChange is called with the table's VMs for the first time.
	complete atomic.Bool
	// firstStart is set once this VM has written the first row under its name.
	firstStart atomic.Bool
	// rewriteWithin holds an element while a rewrite of the local row is requested: the time within
	// which to write it.
	rewriteWithin chan time.Duration

	mu     sync.Mutex
	others map[string]VM
	// lost holds the VMs that stay listed although the store has lost their rows, with the time of
	// the loss.
	lost map[string]time.Time
	// lastWritten is when the local row was last written.
	lastWritten time.Time
	// observedRows holds the current version of each row and since when it is current.
	observedRows map[string]observedRow
}

// observedRow is a row's version and when this VM first read it. Rows contain no timestamps because
// the clocks of VMs differ.
type observedRow struct {
	version table.Version
	since   time.Time
}

// New returns an empty roster. It writes to rows and follows the table through feed. onChange is
// called with all other VMs when they may have changed.
func New(rows table.Service, feed table.Feed, self VM, onChange func([]VM)) *Roster {
	return &Roster{
		rows: rows, feed: feed, self: self, onChange: onChange, others: map[string]VM{},
		observedRows: map[string]observedRow{}, staleTimeout: staleAfter + rand.N(refreshInterval), listed: make(chan struct{}),
		rewriteWithin: make(chan time.Duration, 1), lost: map[string]time.Time{},
	}
}

// Listed returns a channel that is closed once the other VMs were read from the table.
func (r *Roster) Listed() <-chan struct{} { return r.listed }

// Complete reports whether the other VMs were read from the table. Before that, only those are known that have
// announced themselves.
func (r *Roster) Complete() bool { return r.complete.Load() }

// FirstStart reports whether no earlier start of this VM is known to the store. It is false until the VM has registered.
func (r *Roster) FirstStart() bool { return r.firstStart.Load() }

// Run registers this VM and follows the others until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	var group errgroup.Group
	group.Go(func() error { r.maintainRow(ctx); return nil })
	group.Go(func() error { r.follow(ctx); return nil })
	_ = group.Wait() // neither goroutine returns an error
}

// maintainRow writes this VM's row, refreshes it periodically, and removes stale rows of other VMs.
func (r *Roster) maintainRow(ctx context.Context) {
	r.registerStart(ctx)
	for r.waitForCheck(ctx, loop.Jitter(checkInterval)) {
		for r.refreshDue() && !r.register(ctx) && loop.Sleep(ctx, loop.Jitter(retryInterval)) {
			continue
		}
		for _, row := range r.staleRows() {
			r.remove(ctx, row)
		}
	}
}

// waitForCheck waits for d, or until a requested rewrite of the local row is due. It returns false
// if ctx ended.
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

// scheduleRewrite requests a rewrite of the local row, one of count lost rows. The caller holds mu.
func (r *Roster) scheduleRewrite(count int) {
	r.lastWritten = time.Time{}
	select {
	case r.rewriteWithin <- min(time.Duration(count)*rewriteDelayPerRow, maxRewriteDelay):
	default: // already requested
	}
}

// refreshDue reports whether the local row must be rewritten.
func (r *Roster) refreshDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return clock.Since(r.lastWritten) > refreshInterval
}

// registerStart writes this VM's row for the first time. A row that exists, of an earlier start or of a write whose
// response was lost, is replaced.
func (r *Roster) registerStart(ctx context.Context) {
	absent := []table.Check{{Key: rowKey(r.self.Name), Version: table.Absent}}
	for ctx.Err() == nil {
		err := r.writeRow(ctx, absent)
		var conflict *table.ConflictError
		switch {
		case err == nil:
			if len(absent) > 0 {
				r.firstStart.Store(true)
				r.onChange(r.Others())
			}
			return
		case errors.As(err, &conflict):
			absent = nil
		default:
			loop.Sleep(ctx, loop.Jitter(retryInterval))
		}
	}
}

// register writes this VM's row, unconditionally: only the newest start of a VM writes it, and a
// stale address costs only a few datagrams.
func (r *Roster) register(ctx context.Context) bool { return r.writeRow(ctx, nil) == nil }

// writeRow writes this VM's row if the checks hold.
func (r *Roster) writeRow(ctx context.Context, checks []table.Check) error {
	value, err := json.Marshal(r.self)
	if err != nil {
		klog.ErrorS(err, "roster: row of this VM cannot be encoded")
		return nil
	}
	ctx, cancel := clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = r.rows.Commit(ctx, table.Txn{Checks: checks, Writes: []table.Write{{Key: rowKey(r.self.Name), Value: value}}})
	if err != nil {
		klog.InfoS("roster: row not written", "err", err)
		return err
	}
	klog.InfoS("roster: row written", "vm", r.self.Name)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastWritten = clock.Now()
	return nil
}

func rowKey(name string) table.Key { return table.Key{Table: Table, Row: name} }

// staleRows returns the rows of other VMs that have not been rewritten for staleTimeout.
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

// remove deletes a stale row. A row rewritten meanwhile has another version and stays.
func (r *Roster) remove(ctx context.Context, row table.Check) {
	ctx, cancel := clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := r.rows.Commit(ctx, table.Txn{Checks: []table.Check{row}, Writes: []table.Write{{Key: row.Key, Delete: true}}})
	if err != nil {
		klog.InfoS("roster: row of a stale VM not removed", "vm", row.Key.Row, "version", row.Version.String(), "err", err)
		return
	}
	klog.InfoS("roster: removed a stale VM", "vm", row.Key.Row, "version", row.Version.String())
}

// Add records a VM that announced itself in a datagram.
func (r *Roster) Add(vm VM) {
	r.mu.Lock()
	existing := r.others[vm.Name]
	if vm.Name == r.self.Name || existing.Address == vm.Address {
		r.mu.Unlock()
		return
	}
	r.others[vm.Name] = vm
	r.mu.Unlock()
	klog.InfoS("roster: VM added", "vm", vm.Name, "zone", vm.Zone, "address", vm.Address)
	r.onChange(r.Others())
}

// Others returns the other VMs in unspecified order.
func (r *Roster) Others() []VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]VM, 0, len(r.others))
	for _, vm := range r.others {
		list = append(list, vm)
	}
	return list
}
