package order

import (
	"slices"
	"sync"
	"time"

	"github.com/springweir/springweir/membership"
)

// DefaultAbsence is how long a VM that this process never saw on the membership list must be
// missing from it before it counts as removed. It must exceed the lag of the list.
const DefaultAbsence = time.Minute

// maxMissing bounds the number of VMs recorded as missing.
const maxMissing = 1024

// MembershipRemovals implements Removals from the membership list. A process that started after
// a VM was removed never sees that VM listed, so it also counts a VM as removed once it has
// been missing for Absence. This is sound for senders of orders: a VM contends for a lease only
// once it sees itself listed (Listed), so each sender's name was on the list before. It is not
// sound for the VMs of engines (Config.EngineRemoved).
type MembershipRemovals struct {
	Watcher *membership.Watcher
	// Absence defaults to DefaultAbsence.
	Absence time.Duration

	// mu guards missing, which maps each queried VM that is not listed to the time since which
	// it has been missing.
	mu      sync.Mutex
	missing map[string]time.Time
}

var _ Removals = (*MembershipRemovals)(nil)

// Listed reports whether the VM is on the list as last read. It is meant for
// lease.Config.Eligible.
func (r *MembershipRemovals) Listed(vm string) bool {
	return listed(r.Watcher.Snapshot(), vm)
}

// Removed implements Removals.
func (r *MembershipRemovals) Removed(vm string) bool {
	snapshot := r.Watcher.Snapshot()
	if r.Watcher.Removed(vm) {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !snapshot.Loaded() || listed(snapshot, vm) {
		delete(r.missing, vm)
		return false
	}
	since, ok := r.missing[vm]
	if !ok {
		r.recordMissing(vm, snapshot.ReadAt)
		return false
	}
	absence := r.Absence
	if absence == 0 {
		absence = DefaultAbsence
	}
	// Elapsed time is measured between reads of the list, since a list that cannot be read
	// proves nothing.
	return snapshot.ReadAt.Sub(since) >= absence
}

// recordMissing records that vm is missing; the caller holds r.mu. Clearing the map when it is
// full only prolongs the wait of the VMs in it.
func (r *MembershipRemovals) recordMissing(vm string, at time.Time) {
	if r.missing == nil || len(r.missing) >= maxMissing {
		r.missing = make(map[string]time.Time)
	}
	r.missing[vm] = at
}

func listed(s membership.Snapshot, vm string) bool {
	return slices.ContainsFunc(s.VMs, func(entry membership.VM) bool { return entry.Name == vm })
}
