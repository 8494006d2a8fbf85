package contact

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/springweir/springweir/internal/clock"
)

// probe asks the VMs in doubt, or all of them when their turn has come or one
// is about to be shunned. The answers of the others stand meanwhile: they only
// guard against shunning by a keeper that is itself cut off, and no safety
// rests on their age. A VM that is about to be dropped is not asked: it is
// dropped whether it answers or not, and waiting for it would hold that up.
func (rc *Reconciler) probe(ctx context.Context, r Roster) {
	targets := rc.uncertainVMs(r)
	interval := time.Duration(len(r.VMs)) * probeIntervalPerVM
	if clock.Since(rc.lastProbe) >= interval || rc.oneUnresponsive(r) {
		rc.lastProbe = clock.Now()
		targets = r.VMs
	}
	removable := rc.removable(r)
	targets = slices.DeleteFunc(slices.Clone(targets), func(vm VM) bool { return removable[vm.Name] })
	acks := Collect(ctx, targets, rc.peers.Probe)
	for _, vm := range targets {
		delete(rc.acks, vm.Name)
	}
	maps.Copy(rc.acks, acks)
}

// oneSilent tells that a single VM was silent in an earlier round, and can be
// shunned if it still is. With two, no shunning can follow (see shunSilent).
func (rc *Reconciler) oneUnresponsive(r Roster) bool {
	unresponsive, excludable := 0, false
	for _, vm := range r.VMs {
		if _, is := rc.unresponsiveSince[vm.Name]; is {
			unresponsive++
			excludable = vm.HasTimeout && !vm.Excluded()
		}
	}
	return unresponsive == 1 && excludable
}

// inDoubt returns the VMs that did not answer, are shunned, are suspected, or
// have yet to follow the lapse rule.
func (rc *Reconciler) uncertainVMs(r Roster) []VM {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	var vms []VM
	for _, vm := range r.VMs {
		_, responded := rc.acks[vm.Name]
		timeoutPending := !vm.HasTimeout && r.TimeoutSince != 0
		if !responded || vm.Excluded() || timeoutPending || rc.suspects[vm.Name] {
			vms = append(vms, vm)
		}
	}
	clear(rc.suspects)
	return vms
}

// noteSilent notes which VMs did not answer probes that began at asked.
func (rc *Reconciler) recordUnresponsive(r Roster, probeStart time.Time) {
	since := map[string]time.Time{}
	for _, vm := range r.VMs {
		if _, responded := rc.acks[vm.Name]; responded {
			continue
		}
		since[vm.Name] = probeStart
		if earlier, known := rc.unresponsiveSince[vm.Name]; known {
			since[vm.Name] = earlier
		}
	}
	rc.unresponsiveSince = since
}

// silent returns how long each silent VM has not answered.
func (rc *Reconciler) unresponsiveFor(now time.Time) map[string]time.Duration {
	durations := map[string]time.Duration{}
	for name, since := range rc.unresponsiveSince {
		durations[name] = now.Sub(since)
	}
	return durations
}
