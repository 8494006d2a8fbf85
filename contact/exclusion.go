package contact

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/clock"
)

// exclusion is an exclusion that every other VM has acknowledged.
type exclusion struct {
	excludedAt     uint64
	acknowledgedAt time.Time
	// instances are the processes that acknowledged it, by VM name.
	instances map[string]uint64
	// confirmed is set once RemovalDelay has passed without a restart of these processes.
	confirmed bool
}

// trackExclusions collects the acknowledgements of each new exclusion, and confirms those whose
// RemovalDelay has passed. A VM that joins in between joins on a roster that already excludes
// the VM.
//
// The confirmation is needed because until its permission has ended, the excluded VM may be the
// one from which a restarted process receives its state, and the two would then confirm each
// other as members. If the processes that acknowledged are still the same, there was no such
// restart; and from then on the excluded VM may not serve, so no restarted process can take its
// state from it.
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

// beginExclusion makes the other VMs acknowledge that vm is excluded.
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
		klog.Infof("contact: exclusion of %s is waiting: %v", vm.Name, err)
		return
	}
	// The delay counts from after the last response, on the monotonic clock.
	rc.exclusions[vm.Name] = exclusion{excludedAt: vm.ExcludedAt, acknowledgedAt: clock.Now(), instances: instances}
}

// finishExclusion checks that the processes that acknowledged the exclusion still run. If one
// has restarted, the exclusion starts again; one that does not respond is queried again by the
// next step.
func (rc *Reconciler) finishExclusion(ctx context.Context, r Roster, vm VM) {
	s := rc.exclusions[vm.Name]
	acks := Collect(ctx, r.Except(vm.Name), rc.peers.Probe)
	for _, other := range r.Except(vm.Name) {
		before, acknowledged := s.instances[other.Name]
		if !acknowledged {
			continue // joined after the acknowledgement
		}
		ack, responded := acks[other.Name]
		if !responded {
			klog.Infof("contact: exclusion of %s is waiting: no response from %s", vm.Name, other.Name)
			return
		}
		if ack.Instance != before {
			klog.Infof("contact: exclusion of %s starts again: %s has restarted", vm.Name, other.Name)
			delete(rc.exclusions, vm.Name)
			return
		}
	}
	s.confirmed = true
	rc.exclusions[vm.Name] = s
}

// removable returns the names of the VMs whose exclusion is confirmed.
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

// pushRoster ensures that the VM holds the roster. Most VMs have already received it from their
// peers.
func (rc *Reconciler) pushRoster(ctx context.Context, vm VM, r Roster) (Ack, error) {
	ack, err := rc.peers.Probe(ctx, vm)
	if err != nil || ack.Roster >= r.Revision {
		return ack, err
	}
	return rc.peers.PushRoster(ctx, vm, r)
}
