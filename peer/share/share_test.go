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
	most := 0
	load := map[string]int{}
	for _, e := range engines(400) {
		first := 0
		for _, vm := range r.Names() {
			if ShouldPoll(r, vm, e, 0) {
				first++
				load[vm]++
				most = max(most, load[vm])
			}
		}
		if first != 1 {
			t.Errorf("%s has %d first pollers", e, first)
		}
	}
	if most > 20 {
		t.Errorf("one VM polls %d of 400 engines", most)
	}
}

// Rosters that differ in a VM differ only in that VM's engines, and a gap is
// filled by the next in rank.
func TestStaleRosterAndGap(t *testing.T) {
	old := zoneOf(8)
	gone := old.Names()[3]
	now := old
	now.VMs = old.Except(gone)
	for _, e := range engines(100) {
		for _, vm := range now.Names() {
			if ShouldPoll(old, vm, e, 0) && !ShouldPoll(now, vm, e, 0) {
				t.Errorf("%s lost %s though it stayed", vm, e)
			}
		}
		if !ShouldPoll(old, gone, e, 0) {
			continue
		}
		fill := 0
		for _, vm := range now.Names() {
			if ShouldPoll(old, vm, e, TakeoverAge) {
				fill++
			}
		}
		if fill != 1 {
			t.Errorf("%d VMs fill the gap of %s", fill, e)
		}
	}
}

func TestPartnerSkipsShunned(t *testing.T) {
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

// After as many pulls as PullsPerRound says, everybody has every report, once.
func TestReportsReachAll(t *testing.T) {
	for _, n := range []int{2, 3, 8, 63, 64} {
		r := zoneOf(n)
		books := map[string]*ReportStore{}
		for i, name := range r.Names() {
			books[name] = NewReportStore(name)
			books[name].Publish([]Report{report(fmt.Sprint(i), 1, 1)})
		}
		moved := 0
		for turn := range PullsPerRound(n) {
			pulled := map[string][]*entrypb.Batch{}
			for _, name := range r.Names() {
				vm, _ := Partner(r, name, turn)
				pulled[name] = books[vm.Name].NewerBatches(r, books[name].VersionVector(r))
			}
			for name, b := range pulled {
				books[name].Merge(r, b)
				moved += len(b)
			}
		}
		for name, b := range books {
			if got := len(b.Reports()); got != n {
				t.Errorf("%d VMs: %s has %d reports", n, name, got)
			}
		}
		if moved != n*(n-1) {
			t.Errorf("%d VMs: %d batches moved, %d needed", n, moved, n*(n-1))
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
		// A process that restarts goes on from the number that its peers hold.
		anew := NewReportStore("vm-000")
		anew.Merge(r, c.NewerBatches(r, nil))
		anew.Publish([]Report{report("e", 1, 8)})
		c.Merge(r, anew.NewerBatches(r, c.VersionVector(r)))
		if got := c.Reports()[e.Endpoint].Load.Sequence; got != 8 {
			t.Errorf("after a restart of the poller: sequence %d", got)
		}
		held := c.VersionVector(r)
		c.Merge(r, []*entrypb.Batch{{Poller: 9}, {Number: 99, Engine: []uint32{1}}})
		if diff := cmp.Diff(held, c.VersionVector(r)); diff != "" {
			t.Errorf("took a malformed batch:\n%s", diff)
		}
		// A number that has gone round the two bytes is still newer.
		for range 70_000 {
			anew.Publish([]Report{report("e", 1, 9)})
			if len(anew.NewerBatches(r, c.VersionVector(r))) == 0 {
				t.Fatal("a newer batch is taken for an older one")
			}
			c.Merge(r, anew.NewerBatches(r, c.VersionVector(r)))
		}
	})
}
