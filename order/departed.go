package order

import (
	"slices"
	"sync"
	"time"

	"github.com/springweir/springweir/membership"
)

// DefaultAbsence is how long a VM that this process never saw on the membership
// list must be missing from it before it counts as gone. It has to be longer
// than the list lags.
const DefaultAbsence = time.Minute

// maxAbsent bounds the VMs that are remembered as missing.
const maxAbsent = 1024

// MembershipRemovals tells which VMs have left for good, from the membership list. A
// process that started after a VM had left never sees it listed; it takes the
// VM for gone once it has been missing for Absence. This is sound because a VM
// contends for a lease only once it sees itself listed (Listed), so a name that
// stands among an order's senders was on the list before. It is not for the VMs
// of engines (Config.EngineRemoved).
type MembershipRemovals struct {
	Watcher *membership.Watcher
	// Absence is DefaultAbsence if zero.
	Absence time.Duration

	// mu guards missing, the time since which each VM asked about is missing.
	mu      sync.Mutex
	missing map[string]time.Time
}

var _ Removals = (*MembershipRemovals)(nil)

// Listed tells whether the VM is on the list as last read. It is meant for
// lease.Config.Eligible.
func (d *MembershipRemovals) Listed(vm string) bool {
	return listed(d.Watcher.Snapshot(), vm)
}

// Removed implements Removals.
func (d *MembershipRemovals) Removed(vm string) bool {
	snapshot := d.Watcher.Snapshot()
	if d.Watcher.Removed(vm) {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !snapshot.Loaded() || listed(snapshot, vm) {
		delete(d.missing, vm)
		return false
	}
	since, ok := d.missing[vm]
	if !ok {
		d.note(vm, snapshot.ReadAt)
		return false
	}
	absence := d.Absence
	if absence == 0 {
		absence = DefaultAbsence
	}
	// The reads' own times count: a list that can't be read proves nothing.
	return snapshot.ReadAt.Sub(since) >= absence
}

// note notes that vm is missing, with d.mu held. Forgetting one only makes the
// wait longer.
func (d *MembershipRemovals) note(vm string, at time.Time) {
	if d.missing == nil || len(d.missing) >= maxAbsent {
		d.missing = make(map[string]time.Time)
	}
	d.missing[vm] = at
}

func listed(s membership.Snapshot, vm string) bool {
	return slices.ContainsFunc(s.VMs, func(have membership.VM) bool { return have.Name == vm })
}
