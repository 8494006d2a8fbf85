package share

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/peer/entrypb"
)

func zoneOf(n int) contact.Roster {
	r := contact.Roster{}
	for i := range n {
		name := fmt.Sprintf("vm-%03d", i)
		r = r.Join("z", name, name)
	}
	return r
}

func engines(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("engine-%03d", i)
	}
	return names
}

func TestEveryEngineHasOneFirstPoller(t *testing.T) {
	r := zoneOf(63)
	maxLoad := 0
	load := map[string]int{}
	for _, e := range engines(400) {
		first := 0
		for _, vm := range r.Names() {
			if ShouldPoll(r, vm, e, 0) {
				first++
				load[vm]++
				maxLoad = max(maxLoad, load[vm])
			}
		}
		if first != 1 {
			t.Errorf("%s has %d first pollers", e, first)
		}
	}
	if maxLoad > 20 {
		t.Errorf("one VM polls %d of 400 engines", maxLoad)
	}
}

// Rosters that differ in one VM assign only that VM's engines differently, and the next VM
// in rank takes over polling when reports stop arriving.
func TestPollingWithStaleRosterAndFailedVM(t *testing.T) {
	old := zoneOf(8)
	removed := old.Names()[3]
	now := old
	now.VMs = old.Except(removed)
	for _, e := range engines(100) {
		for _, vm := range now.Names() {
			if ShouldPoll(old, vm, e, 0) && !ShouldPoll(now, vm, e, 0) {
				t.Errorf("%s no longer polls %s although it is still on the roster", vm, e)
			}
		}
		if !ShouldPoll(old, removed, e, 0) {
			continue
		}
		fallbacks := 0
		for _, vm := range now.Names() {
			if ShouldPoll(old, vm, e, TakeoverAge) {
				fallbacks++
			}
		}
		if fallbacks != 1 {
			t.Errorf("%d VMs take over polling of %s, want 1", fallbacks, e)
		}
	}
}

func TestPartnerSkipsExcluded(t *testing.T) {
	r := zoneOf(5)
	r.VMs[1].ExcludedAt = 1
	for turn := range 10 {
		vm, ok := Partner(r, "vm-000", turn)
		if !ok || vm.Name == "vm-000" || vm.Excluded() {
			t.Errorf("turn %d: partner %q", turn, vm.Name)
		}
	}
	if _, ok := Partner(zoneOf(1), "vm-000", 0); ok {
		t.Error("the only VM has a partner")
	}
}

func report(name string, incarnation uint32, seq uint64) Report {
	return Report{
		Endpoint: Hash(name), Identity: incarnation, Role: engine.Decode, Leaving: true,
		Load: engine.Load{Waiting: 2, Running: 30, WaitingTokens: 6400, DecodeTokens: 128000, KVUsed: 192000, AgeMillis: 120, Sequence: seq},
	}
}

// After PullsPerRound pulls, every VM has received every report exactly once.
func TestReportsReachAll(t *testing.T) {
	for _, n := range []int{2, 3, 8, 63, 64} {
		r := zoneOf(n)
		stores := map[string]*ReportStore{}
		for i, name := range r.Names() {
			stores[name] = NewReportStore(name)
			stores[name].Publish([]Report{report(fmt.Sprint(i), 1, 1)})
		}
		transferred := 0
		for turn := range PullsPerRound(n) {
			pulled := map[string][]*entrypb.Batch{}
			for _, name := range r.Names() {
				vm, _ := Partner(r, name, turn)
				pulled[name] = stores[vm.Name].NewerBatches(r, stores[name].VersionVector(r))
			}
			for name, batches := range pulled {
				stores[name].Merge(r, batches)
				transferred += len(batches)
			}
		}
		for name, store := range stores {
			if got := len(store.Reports()); got != n {
				t.Errorf("%d VMs: %s has %d reports", n, name, got)
			}
		}
		if transferred != n*(n-1) {
			t.Errorf("%d VMs: %d batches moved, %d needed", n, transferred, n*(n-1))
		}
	}
}

func TestMerge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := zoneOf(3)
		a, b, c := NewReportStore("vm-000"), NewReportStore("vm-001"), NewReportStore("vm-002")
		a.Publish([]Report{report("e", 1, 7), report("f", 1, 9)})
		time.Sleep(time.Second)
		b.Publish([]Report{report("e", 1, 6), report("f", 2, 1)})
		c.Merge(r, a.NewerBatches(r, nil))
		c.Merge(r, b.NewerBatches(r, nil))
		time.Sleep(time.Second)
		e := report("e", 1, 7)
		e.Load.AgeMillis = 2120
		f := report("f", 2, 1)
		f.Load.AgeMillis = 1120
		want := map[uint32]Report{e.Endpoint: e, f.Endpoint: f}
		if diff := cmp.Diff(want, c.Reports()); diff != "" {
			t.Errorf("reports (-want +got):\n%s", diff)
		}
		// A restarted process continues from the batch number that its peers have.
		restarted := NewReportStore("vm-000")
		restarted.Merge(r, c.NewerBatches(r, nil))
		restarted.Publish([]Report{report("e", 1, 8)})
		c.Merge(r, restarted.NewerBatches(r, c.VersionVector(r)))
		if got := c.Reports()[e.Endpoint].Load.Sequence; got != 8 {
			t.Errorf("after a restart of the poller: sequence %d", got)
		}
		before := c.VersionVector(r)
		c.Merge(r, []*entrypb.Batch{{Poller: 9}, {Number: 99, Engine: []uint32{1}}})
		if diff := cmp.Diff(before, c.VersionVector(r)); diff != "" {
			t.Errorf("stored a malformed batch:\n%s", diff)
		}
		// A number that has wrapped around the two bytes is still newer.
		for range 70_000 {
			restarted.Publish([]Report{report("e", 1, 9)})
			if len(restarted.NewerBatches(r, c.VersionVector(r))) == 0 {
				t.Fatal("a newer batch is considered older")
			}
			c.Merge(r, restarted.NewerBatches(r, c.VersionVector(r)))
		}
	})
}
