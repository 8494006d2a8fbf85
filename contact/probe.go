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
func (k *Reconciler) probe(ctx context.Context, r Roster) {
	ask := k.inDoubt(r)
	turn := time.Duration(len(r.VMs)) * probeSpacing
	if clock.Since(k.probed) >= turn || k.oneSilent(r) {
		k.probed = clock.Now()
		ask = r.VMs
	}
	settled := k.settled(r)
	ask = slices.DeleteFunc(slices.Clone(ask), func(vm VM) bool { return settled[vm.Name] })
	acks := Collect(ctx, ask, k.peers.Probe)
	for _, vm := range ask {
		delete(k.acks, vm.Name)
	}
	maps.Copy(k.acks, acks)
}

// oneSilent tells that a single VM was silent in an earlier round, and can be
// shunned if it still is. With two, no shunning can follow (see shunSilent).
func (k *Reconciler) oneSilent(r Roster) bool {
	silent, can := 0, false
	for _, vm := range r.VMs {
		if _, is := k.silentSince[vm.Name]; is {
			silent++
			can = vm.HasTimeout && !vm.Excluded()
		}
	}
	return silent == 1 && can
}

// inDoubt returns the VMs that did not answer, are shunned, are suspected, or
// have yet to follow the lapse rule.
func (k *Reconciler) inDoubt(r Roster) []VM {
	k.mu.Lock()
	defer k.mu.Unlock()
	var vms []VM
	for _, vm := range r.VMs {
		_, answered := k.acks[vm.Name]
		unruled := !vm.HasTimeout && r.TimeoutSince != 0
		if !answered || vm.Excluded() || unruled || k.suspects[vm.Name] {
			vms = append(vms, vm)
		}
	}
	clear(k.suspects)
	return vms
}

// noteSilent notes which VMs did not answer probes that began at asked.
func (k *Reconciler) noteSilent(r Roster, asked time.Time) {
	since := map[string]time.Time{}
	for _, vm := range r.VMs {
		if _, answered := k.acks[vm.Name]; answered {
			continue
		}
		since[vm.Name] = asked
		if earlier, known := k.silentSince[vm.Name]; known {
			since[vm.Name] = earlier
		}
	}
	k.silentSince = since
}

// silent returns how long each silent VM has not answered.
func (k *Reconciler) silent(now time.Time) map[string]time.Duration {
	silent := map[string]time.Duration{}
	for name, since := range k.silentSince {
		silent[name] = now.Sub(since)
	}
	return silent
}
