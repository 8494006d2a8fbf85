package contact

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/springweir/springweir/internal/clock"
)

// probe probes the VMs whose state is uncertain, or all VMs when the periodic probe is due or
// one VM is about to be excluded. The latest responses of the other VMs stay valid meanwhile:
// they only prevent exclusions by a reconciler that is itself partitioned, and safety does not
// depend on their age. A VM that is about to be removed is not probed: it is removed whether or
// not it responds, and waiting for it would delay the removal.
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

// oneUnresponsive reports whether exactly one VM was unresponsive in earlier rounds and can be
// excluded if it still is. With two, no exclusion can follow (see excludeUnresponsive).
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

// uncertainVMs returns the VMs that did not respond, are excluded, are suspected, or do not yet
// follow the timeout rule.
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

// recordUnresponsive records which VMs did not respond to probes that started at probeStart.
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

// unresponsiveFor returns how long each unresponsive VM has not responded.
func (rc *Reconciler) unresponsiveFor(now time.Time) map[string]time.Duration {
	durations := map[string]time.Duration{}
	for name, since := range rc.unresponsiveSince {
		durations[name] = now.Sub(since)
	}
	return durations
}
