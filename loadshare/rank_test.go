package loadshare

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
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
		order[r.rank()] = self.Name
	}
	if diff := cmp.Diff([]string{"a2", "b0", "c3", "a1", "c2", "a0", "c1", "c0"}, order); diff != "" {
		t.Error(diff)
	}
}
