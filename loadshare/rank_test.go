package loadshare

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/loadshare/sharepb"
)

// All VMs compute the same order, in which the zones alternate and VMs are sorted by capacity.
func TestRank(t *testing.T) {
	var all []Peer
	for zone, n := range map[string]int{"a": 3, "b": 1, "c": 4} {
		for i := range n {
			all = append(all, Peer{Name: fmt.Sprint(zone, i), Zone: zone, Capacity: 10 * i})
		}
	}
	order := make([]string, len(all))
	for _, self := range all {
		r := newRegion(self)
		r.setPeers(slices.DeleteFunc(slices.Clone(all), func(p Peer) bool { return p.Name == self.Name }))
		order[r.rank(time.Now())] = self.Name
	}
	if diff := cmp.Diff([]string{"a2", "b0", "c3", "a1", "c2", "a0", "c1", "c0"}, order); diff != "" {
		t.Error(diff)
	}
}

// Guards against duties that nobody does for as long as the rows of lost VMs stay: those kept the first ranks.
func TestRankLeavesOutLostVMs(t *testing.T) {
	for _, n := range []int{3, 30} { // VMs of a zone, without collectors and with them
		var others []Peer
		for _, zone := range []string{"a", "b", "c"} {
			for i := range n {
				others = append(others, Peer{Name: fmt.Sprint(zone, i), Zone: zone, Capacity: 10 + i})
			}
		}
		r := newRegion(Peer{Name: "a-self", Zone: "a", Capacity: 10 + n - 2}) // second of its zone
		r.setPeers(others)
		now := time.Now()
		last := r.rank(now)
		if last != 3 {
			t.Errorf("rank %d at the start", last)
		}
		now = now.Add(MemberTimeout + rankRefresh)
		if got := r.rank(now); got != last {
			t.Errorf("rank %d while no VM is heard, want %d", got, last)
		}
		// All others but b0 are lost.
		for range 30 {
			now = now.Add(rankRefresh)
			r.record(now, &sharepb.Load{Vm: "b0", Zone: "b", ZoneSum: r.usesCollectors()})
			r.isCollector(now)
			r.rank(now)
		}
		if got := r.rank(now); got != 0 {
			t.Errorf("%d VMs a zone: rank %d although only b0 is heard", n, got)
		}
		if r.usesCollectors() {
			continue
		}
		r.record(now, &sharepb.Load{Vm: others[n-1].Name, Zone: "a"})
		if got := r.rank(now.Add(rankRefresh)); got != 2 {
			t.Errorf("rank %d once a stronger VM is back", got)
		}
	}
}
