package contact

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/clock"
)

// settle is a shunning that every other VM has acknowledged.
type settle struct {
	shunnedAt uint64
	since     time.Time
	// instances are the processes that acknowledged it, by VM.
	instances map[string]uint64
	// over is set once the settling time has passed without a restart of them.
	over bool
}

// settle has the others acknowledge each shunning that still needs it, and looks
// whether those whose time has passed have settled. A VM that joins meanwhile
// joins on a roster that already shuns the VM.
//
// Why the second look: until its permission has ended, the shunned VM may be the
// one from which a process that restarts learns its state. The two would vouch
// for each other. If the processes that acknowledged are still the same, there
// was none, and from now on the shunned VM, which may not serve, misleads nobody.
func (k *Reconciler) settle(ctx context.Context, r Roster) {
	for _, vm := range r.VMs {
		s := k.settles[vm.Name]
		switch {
		case !vm.Excluded():
		case s.shunnedAt != vm.ExcludedAt:
			k.beginSettle(ctx, r, vm)
		case !s.over && k.looked.Sub(s.since) >= RemovalDelay:
			k.endSettle(ctx, r, vm)
		}
	}
}

// beginSettle has the others acknowledge that vm is shunned.
func (k *Reconciler) beginSettle(ctx context.Context, r Roster, vm VM) {
	instances := map[string]uint64{}
	var mu sync.Mutex
	shun := func(ctx context.Context, other VM) (Ack, error) {
		ack, err := k.shun(ctx, other, r)
		mu.Lock()
		defer mu.Unlock()
		instances[other.Name] = ack.Instance
		return ack, err
	}
	enough := func(a Ack) bool { return a.Roster >= r.Revision }
	if err := ConfirmStable(ctx, r.Except(vm.Name), shun, shun, enough); err != nil {
		klog.Infof("contact: shunning of %s waits: %v", vm.Name, err)
		return
	}
	// Counted from after the last answer, on the monotonic clock.
	k.settles[vm.Name] = settle{shunnedAt: vm.ExcludedAt, since: clock.Now(), instances: instances}
}

// endSettle looks whether those who acknowledged it still run. If one has
// restarted, the shunning settles anew; one that does not answer is asked again.
func (k *Reconciler) endSettle(ctx context.Context, r Roster, vm VM) {
	s := k.settles[vm.Name]
	acks := Collect(ctx, r.Except(vm.Name), k.peers.Probe)
	for _, other := range r.Except(vm.Name) {
		before, acknowledged := s.instances[other.Name]
		if !acknowledged {
			continue // it has joined since
		}
		ack, answered := acks[other.Name]
		if !answered {
			klog.Infof("contact: shunning of %s waits: no answer from %s", vm.Name, other.Name)
			return
		}
		if ack.Instance != before {
			klog.Infof("contact: shunning of %s begins anew: %s has restarted", vm.Name, other.Name)
			delete(k.settles, vm.Name)
			return
		}
	}
	s.over = true
	k.settles[vm.Name] = s
}

// settled names the VMs whose shunning has settled.
func (k *Reconciler) settled(r Roster) map[string]bool {
	done := map[string]bool{}
	for _, vm := range r.VMs {
		s := k.settles[vm.Name]
		if vm.Excluded() && s.shunnedAt == vm.ExcludedAt && s.over {
			done[vm.Name] = true
		}
	}
	return done
}

// shun makes sure that the VM holds the roster. Most have it from their peers.
func (k *Reconciler) shun(ctx context.Context, vm VM, r Roster) (Ack, error) {
	ack, err := k.peers.Probe(ctx, vm)
	if err != nil || ack.Roster >= r.Revision {
		return ack, err
	}
	return k.peers.PushRoster(ctx, vm, r)
}
