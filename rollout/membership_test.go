package rollout_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/rollout"
)

// A VM that leaves for a planned shutdown blocks no change and is soon off the roster, in zones
// of one to three VMs.
func TestLeave(t *testing.T) {
	for _, zone := range []int{1, 2, 3} {
		runInBubble(t, func(t *testing.T) {
			f := newFleet(t, zone, "a", "b")
			startAndConfigure(f)
			left := make(chan error)
			go func() { left <- f.Nodes["a0"].Syncer.Leave(f.ctx) }()
			time.Sleep(time.Second)
			f.awaitAccepted(f.put("while a0 leaves"), acceptanceTarget)
			if err := <-left; err != nil {
				t.Fatal(err)
			}
			f.Kill("a0")
			f.awaitAccepted(f.put("without a0"), acceptanceTarget)
			f.reportViolations()
		})
	}
}

// Creating a zone does not make an accepted version pending again.
func TestNewZone(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		f := newFleet(t, 3, "a")
		v := startAndConfigure(f)
		f.Zones = append(f.Zones, "n")
		f.Add("n0", "n")
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			if !f.accepted(v) {
				t.Fatal("an accepted version is pending again")
			}
		}
		if f.Nodes["n0"].Member.Allow() != nil {
			t.Error("the new zone does not serve")
		}
	})
}

// Before any VM has joined, a version is pending and no zone is reported. A version that was
// accepted stays accepted after all VMs are removed.
func TestNoVMs(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		f := newFleet(t, 0)
		v := f.put("first")
		s, err := f.Store.Status(f.ctx, v)
		if err != nil {
			t.Fatal(err)
		}
		want := rollout.Status{Version: v, Pending: []rollout.ZoneStatus{{}}}
		if diff := cmp.Diff(want, s); diff != "" {
			t.Errorf("status (-want +got):\n%s", diff)
		}
		f.Zones = []string{"a"}
		f.Add("a0", "a")
		f.awaitAccepted(v, acceptanceTarget)
		f.StartControllers()
		time.Sleep(time.Minute)
		f.Kill("a0")
		f.List.Remove("a0")
		time.Sleep(time.Minute)
		if got := f.roster("a").VMs; len(got) != 0 {
			t.Errorf("VMs left on the roster: %v", got)
		}
		if !f.accepted(v) || f.accepted(f.put("second")) {
			t.Error("with all VMs removed, the first version must be accepted and the second pending")
		}
	})
}

// A zone whose VMs are all removed is swept by the reconcilers of the other zones.
func TestZoneRemoved(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		f := newFleet(t, 1, "a", "b")
		startAndConfigure(f)
		time.Sleep(time.Minute)
		f.Kill("b0")
		f.PartitionControllers("b0", true)
		f.List.Remove("b0")
		f.awaitAccepted(f.put("without b"), time.Minute)
	})
}

// Two VMs that are added and removed while the membership list is unavailable block changes
// until they have been unresponsive for contact.UnlistedTimeout, not permanently.
func TestUnlistedVMsRemoved(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		f := newFleet(t, 3, "a")
		startAndConfigure(f)
		f.List.SetDown(true)
		f.Add("x1", "a")
		f.Add("x2", "a")
		f.checkFor(30 * time.Second)
		f.Remove("x1")
		f.Remove("x2")
		f.checkFor(contact.UnlistedTimeout - time.Minute)
		f.List.SetDown(false)
		v := f.put("edit")
		f.checkFor(30 * time.Second)
		if f.accepted(v) {
			t.Error("accepted without VMs that may be alive")
		}
		f.awaitAccepted(v, time.Minute)
		f.reportViolations()
	})
}
