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

// Peers asks the VMs of a roster. Implementations never repeat a call by
// themselves and bound its time.
type Peers interface {
	// Probe asks what the VM holds.
	Probe(ctx context.Context, vm VM) (Ack, error)
	// PushRoster hands the VM a roster and returns what it then holds.
	PushRoster(ctx context.Context, vm VM, r Roster) (Ack, error)
}

// Authority gives conditions that hold only while this process holds the
// lease under which it keeps the zone. The error says that it does not.
type Authority interface {
	Checks() ([]table.Check, error)
}

// Reconciler keeps the roster of one zone, under the zone's lease. Its state is
// lost with the process: a successor starts its own count for every shunning.
//
// Invariant: each write states facts that stay true as long as its checks
// hold. So a write whose answer was lost needs no settling: if it takes effect
// late it is still right, and the next Step reads what stands.
type Reconciler struct {
	zone    string
	rows    table.Service
	peers   Peers
	members membership.List
	auth    Authority
	writeID func() string

	unresponsiveSince map[string]time.Time
	exclusions        map[string]exclusion
	// acks are the newest answers. probed is when all VMs were last asked.
	acks      map[string]Ack
	lastProbe time.Time
	// looked is when the newest step began, also one that failed.
	stepStart time.Time
	// wrote tells that the newest step changed the roster.
	changed bool
	// vms is how many VMs it found there.
	vmCount time.Duration

	// mu guards suspects, the VMs that others could not reach. It is a leaf.
	mu       sync.Mutex
	suspects map[string]bool
	// suspected holds a token while there are suspects that Run has not seen.
	suspected chan struct{}
}

// NewReconciler returns the keeper of a zone's roster. writeID gives a new id for
// each call.
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

// Suspect has the keeper ask these VMs at once, as somebody could not reach
// them. It may be called from any goroutine.
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

// Limits of the keeper's rounds.
const (
	// minRound and maxRound bound the time between two rounds, unless something
	// is due sooner. A round asks only the VMs that are in doubt, except that
	// every VM is asked once in a while.
	minRoundInterval = time.Second
	maxRoundInterval = 4 * time.Second
	// roundSpacing is how much of it each VM takes up: the length of the roster
	// that a round reads grows with their number.
	roundIntervalPerVM = time.Second / 16
	// probeSpacing is how much time a probe of each VM takes up, so that the
	// probes of a large zone stay within the budget for control messages. A dead
	// VM that holds up a change is found sooner, by Suspect.
	probeIntervalPerVM = 2 * time.Second
	// sweepInterval is between two sweeps of the other zones.
	sweepInterval = 30 * time.Second
	// maxZones bounds the rosters read at once.
	maxZones = 1000
)

// Run keeps the roster until ctx ends.
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
			klog.Warningf("contact: roster of zone %s not kept: %v", rc.zone, err)
		}
		select {
		case <-ctx.Done():
		case <-rc.suspected:
		case <-time.After(rc.nextDelay(clock.Now())):
		}
	}
}

// pause returns the time until the next round: at once after a change, so that
// a shunning begins to settle, and in time for the next shunning or drop.
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
			return 0 // it passed while the round waited for answers
		}
		delay = minPositive(delay, due.Sub(now))
	}
	return delay
}

// sooner returns left if it lies between nothing and pause. What was due before
// has had its round.
func minPositive(delay, left time.Duration) time.Duration {
	if left > 0 && left < delay {
		return left
	}
	return delay
}

// Step probes VMs, decides, and writes what changed. The VMs learn the new
// roster from their peers.
//
// The order matters: the membership list is read after the roster, so that a
// VM that the roster shows as listed and the list lacks has been dropped since.
// What settles comes before the probes, which wait for VMs that hang.
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
	klog.Infof("contact: roster of zone %s revision %d: %v", rc.zone, next.Revision, next.Names())
	return nil
}

// Sweep drops VMs that are gone for good from the rosters of all other zones,
// which may have nobody left to keep them.
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
		klog.Infof("contact: roster of zone %s revision %d by sweep: %v", next.Zone, next.Revision, next.Names())
	}
	return nil
}

// list returns the names on the membership list, or nil when it is out of reach.
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
