package contact

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/membership"
	"github.com/springweir/springweir/table"
)

// Peers calls the VMs of a roster. Implementations never retry a call and bound its duration.
type Peers interface {
	// Probe returns what the VM holds.
	Probe(ctx context.Context, vm VM) (Ack, error)
	// PushRoster sends a roster to the VM and returns what the VM then holds.
	PushRoster(ctx context.Context, vm VM, r Roster) (Ack, error)
}

// Authority returns table checks that hold only while this process holds the lease under which
// it reconciles the zone. The error means that it does not hold the lease.
type Authority interface {
	Checks() ([]table.Check, error)
}

// Reconciler reconciles the roster of one zone, under the zone's lease. Its state is lost with
// the process: a successor starts the removal delay of every exclusion again.
//
// Invariant: each write states facts that remain true as long as its checks hold. A write whose
// response was lost therefore needs no resolution: if it takes effect late it is still correct,
// and the next Step reads the current row.
type Reconciler struct {
	zone    string
	rows    table.Service
	peers   Peers
	members membership.List
	auth    Authority
	writeID func() string

	unresponsiveSince map[string]time.Time
	exclusions        map[string]exclusion
	// acks are the latest responses. lastProbe is when all VMs were last probed.
	acks      map[string]Ack
	lastProbe time.Time
	// stepStart is when the latest step started, even if it failed.
	stepStart time.Time
	// changed is set if the latest step changed the roster.
	changed bool
	// vmCount is the number of VMs on the roster in the latest step.
	vmCount time.Duration

	// mu guards suspects, the VMs that others could not reach. No other lock is taken while it
	// is held.
	mu       sync.Mutex
	suspects map[string]bool
	// suspected holds a token while there are suspects that Run has not yet handled.
	suspected chan struct{}
}

// NewReconciler returns the reconciler of a zone's roster. writeID returns a new ID on each
// call.
func NewReconciler(zone string, rows table.Service, peers Peers, members membership.List, auth Authority, writeID func() string) *Reconciler {
	return &Reconciler{
		zone: zone, rows: rows, peers: peers, members: members, auth: auth, writeID: writeID,
		unresponsiveSince: map[string]time.Time{},
		exclusions:        map[string]exclusion{},
		acks:              map[string]Ack{},
		suspects:          map[string]bool{},
		suspected:         make(chan struct{}, 1),
	}
}

// Suspect makes the reconciler probe these VMs immediately, because another component could not
// reach them. It is safe for concurrent use.
func (rc *Reconciler) Suspect(names []string) {
	if len(names) == 0 {
		return
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	for _, name := range names {
		rc.suspects[name] = true
	}
	select {
	case rc.suspected <- struct{}{}:
	default:
	}
}

// Intervals and limits of the reconciler's rounds.
const (
	// minRoundInterval and maxRoundInterval bound the time between two rounds, unless an
	// exclusion or removal is due sooner. A round probes only the VMs whose state is uncertain,
	// apart from a periodic probe of all VMs.
	minRoundInterval = time.Second
	maxRoundInterval = 4 * time.Second
	// roundIntervalPerVM is the round interval per VM on the roster: a round reads the whole
	// roster, whose length grows with the number of VMs.
	roundIntervalPerVM = time.Second / 16
	// probeIntervalPerVM is the interval between probes of all VMs, per VM on the roster, so
	// that the probes of a large zone stay within the budget for control messages. A dead VM
	// that blocks a change is found sooner, through Suspect.
	probeIntervalPerVM = 2 * time.Second
	// sweepInterval is the time between two sweeps of the other zones.
	sweepInterval = 30 * time.Second
	// maxZones bounds the number of rosters read at once.
	maxZones = 1000
)

// Run reconciles the roster until ctx ends.
func (rc *Reconciler) Run(ctx context.Context) {
	var swept time.Time
	for ctx.Err() == nil {
		err := rc.Step(ctx)
		if err == nil && clock.Since(swept) >= sweepInterval {
			swept = clock.Now()
			err = rc.Sweep(ctx)
		}
		countStep(err)
		if err != nil {
			klog.Warningf("contact: reconciling the roster of zone %s failed: %v", rc.zone, err)
		}
		select {
		case <-ctx.Done():
		case <-rc.suspected:
		case <-time.After(rc.nextDelay(clock.Now())):
		}
	}
}

// nextDelay returns the time until the next round. It is zero after a change, so that the
// acknowledgement of an exclusion starts at once, and ends no later than the next exclusion or
// removal is due.
func (rc *Reconciler) nextDelay(now time.Time) time.Duration {
	if rc.changed {
		return 0
	}
	delay := min(max(rc.vmCount*roundIntervalPerVM, minRoundInterval), maxRoundInterval)
	if len(rc.unresponsiveSince) > 0 {
		delay = minRoundInterval
	}
	for _, since := range rc.unresponsiveSince {
		delay = minPositive(delay, since.Add(ExcludeAfter).Sub(now))
	}
	for _, s := range rc.exclusions {
		due := s.acknowledgedAt.Add(RemovalDelay)
		if due.After(rc.stepStart) && !due.After(now) {
			return 0 // it passed while the round waited for responses
		}
		delay = minPositive(delay, due.Sub(now))
	}
	return delay
}

// minPositive returns left if it lies between zero and delay, and otherwise delay. A deadline
// that has already passed was handled by an earlier round.
func minPositive(delay, left time.Duration) time.Duration {
	if left > 0 && left < delay {
		return left
	}
	return delay
}

// Step probes VMs, decides, and writes the roster if it changed. The VMs receive the new roster
// from their peers.
//
// The order matters. The membership list is read after the roster, so a VM that the roster
// marks as listed and the list lacks was removed from the list in between. Exclusions are
// tracked before the probes, which wait for VMs that hang.
func (rc *Reconciler) Step(ctx context.Context) error {
	rc.changed, rc.stepStart = false, clock.Now()
	checks, err := rc.auth.Checks()
	if err != nil {
		return err
	}
	rows, err := rc.rows.Get(ctx, Key(rc.zone))
	if err != nil {
		return eris.Wrap(err, "read roster")
	}
	old, err := Decode(rows[0].Value)
	if err != nil || len(old.VMs) == 0 {
		return err
	}
	rc.vmCount = time.Duration(len(old.VMs))
	listed := rc.listedNames(ctx)
	rc.trackExclusions(ctx, old)
	probeStart := clock.Now()
	rc.probe(ctx, old)
	rc.recordUnresponsive(old, probeStart)
	next, changed := Decide(old, Observed{
		Acks: rc.acks, UnresponsiveFor: rc.unresponsiveFor(clock.Now()),
		Removable: rc.removable(old), Listed: listed,
	})
	if !changed {
		return nil
	}
	next.WriteID = rc.writeID()
	checks = append(checks, table.Check{Key: Key(rc.zone), Version: rows[0].Version})
	write := table.Write{Key: Key(rc.zone), Value: next.Encode()}
	if _, err := rc.rows.Commit(ctx, table.Txn{Checks: checks, Writes: []table.Write{write}}); err != nil {
		return eris.Wrap(err, "write roster")
	}
	rc.changed = true
	countChange(old, next)
	klog.Infof("contact: updated the roster of zone %s to revision %d: %v", rc.zone, next.Revision, next.Names())
	return nil
}

// Sweep removes VMs that were deleted permanently from the rosters of all other zones, which
// may have no VM left to run a reconciler.
func (rc *Reconciler) Sweep(ctx context.Context) error {
	rows, err := rc.rows.Scan(ctx, Table, "", "", maxZones)
	if err != nil {
		return eris.Wrap(err, "read rosters")
	}
	listed := rc.listedNames(ctx)
	for _, row := range rows {
		old, err := Decode(row.Value)
		if err != nil || old.Zone == rc.zone {
			continue
		}
		next, changed := DecideSweep(old, Observed{Listed: listed})
		if !changed {
			continue
		}
		next.WriteID = rc.writeID()
		check := table.Check{Key: row.Key, Version: row.Version}
		write := table.Write{Key: row.Key, Value: next.Encode()}
		if _, err := rc.rows.Commit(ctx, table.Txn{Checks: []table.Check{check}, Writes: []table.Write{write}}); err != nil {
			return eris.Wrap(err, "write roster of another zone")
		}
		countChange(old, next)
		klog.Infof("contact: sweep updated the roster of zone %s to revision %d: %v", next.Zone, next.Revision, next.Names())
	}
	return nil
}

// listedNames returns the names on the membership list, or nil if the list is unavailable.
func (rc *Reconciler) listedNames(ctx context.Context) map[string]bool {
	vms, err := rc.members.VMs(ctx)
	if err != nil {
		return nil
	}
	names := make(map[string]bool, len(vms))
	for _, vm := range vms {
		names[vm.Name] = true
	}
	return names
}
