package contact

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/clock"
)

// settle is a shunning that every other VM has acknowledged.
type exclusion struct {
	excludedAt     uint64
	acknowledgedAt time.Time
	// instances are the processes that acknowledged it, by VM.
	instances map[string]uint64
	// over is set once the settling time has passed without a restart of them.
	confirmed bool
}

// settle has the others acknowledge each shunning that still needs it, and looks
// whether those whose time has passed have settled. A VM that joins meanwhile
// joins on a roster that already shuns the VM.
//
// Why the second look: until its permission has ended, the shunned VM may be the
// one from which a process that restarts learns its state. The two would vouch
// for each other. If the processes that acknowledged are still the same, there
// was none, and from now on the shunned VM, which may not serve, misleads nobody.
func (rc *Reconciler) trackExclusions(ctx context.Context, r Roster) {
	for _, vm := range r.VMs {
		s := rc.exclusions[vm.Name]
		switch {
		case !vm.Excluded():
		case s.excludedAt != vm.ExcludedAt:
			rc.beginExclusion(ctx, r, vm)
		case !s.confirmed && rc.stepStart.Sub(s.acknowledgedAt) >= RemovalDelay:
			rc.finishExclusion(ctx, r, vm)
		}
	}
}

// beginSettle has the others acknowledge that vm is shunned.
func (rc *Reconciler) beginExclusion(ctx context.Context, r Roster, vm VM) {
	instances := map[string]uint64{}
	var mu sync.Mutex
	push := func(ctx context.Context, other VM) (Ack, error) {
		ack, err := rc.pushRoster(ctx, other, r)
		mu.Lock()
		defer mu.Unlock()
		instances[other.Name] = ack.Instance
		return ack, err
	}
	sufficient := func(a Ack) bool { return a.Roster >= r.Revision }
	if err := ConfirmStable(ctx, r.Except(vm.Name), push, push, sufficient); err != nil {
		klog.Infof("contact: shunning of %s waits: %v", vm.Name, err)
		return
	}
	// Counted from after the last answer, on the monotonic clock.
	rc.exclusions[vm.Name] = exclusion{excludedAt: vm.ExcludedAt, acknowledgedAt: clock.Now(), instances: instances}
}

// endSettle looks whether those who acknowledged it still run. If one has
// restarted, the shunning settles anew; one that does not answer is asked again.
func (rc *Reconciler) finishExclusion(ctx context.Context, r Roster, vm VM) {
	s := rc.exclusions[vm.Name]
	acks := Collect(ctx, r.Except(vm.Name), rc.peers.Probe)
	for _, other := range r.Except(vm.Name) {
		before, acknowledged := s.instances[other.Name]
		if !acknowledged {
			continue // it has joined since
		}
		ack, responded := acks[other.Name]
		if !responded {
			klog.Infof("contact: shunning of %s waits: no answer from %s", vm.Name, other.Name)
			return
		}
		if ack.Instance != before {
			klog.Infof("contact: shunning of %s begins anew: %s has restarted", vm.Name, other.Name)
			delete(rc.exclusions, vm.Name)
			return
		}
	}
	s.confirmed = true
	rc.exclusions[vm.Name] = s
}

// settled names the VMs whose shunning has settled.
func (rc *Reconciler) removable(r Roster) map[string]bool {
	done := map[string]bool{}
	for _, vm := range r.VMs {
		s := rc.exclusions[vm.Name]
		if vm.Excluded() && s.excludedAt == vm.ExcludedAt && s.confirmed {
			done[vm.Name] = true
		}
	}
	return done
}

// shun makes sure that the VM holds the roster. Most have it from their peers.
func (rc *Reconciler) pushRoster(ctx context.Context, vm VM, r Roster) (Ack, error) {
	ack, err := rc.peers.Probe(ctx, vm)
	if err != nil || ack.Roster >= r.Revision {
		return ack, err
	}
	return rc.peers.PushRoster(ctx, vm, r)
}
