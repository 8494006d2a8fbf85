package controller

import (
	"fmt"
	"testing"

	"github.com/springweir/springweir/membership"
)

// entryVMs returns n entries of zone a, an endpoint of zone a and an entry of zone b.
func entryVMs(n int) []membership.VM {
	vms := []membership.VM{
		{Name: "engine", Kind: membership.Endpoint, Zone: "a"},
		{Name: "other", Kind: membership.Entry, Zone: "b"},
	}
	for i := range n {
		vms = append(vms, membership.VM{Name: fmt.Sprintf("vm-%02d", i), Kind: membership.Entry, Zone: "a"})
	}
	return vms
}

func TestRanksAreUnique(t *testing.T) {
	const vms = 63
	list := entryVMs(vms)
	first := map[string]bool{}
	for pool := range 28 {
		taken := map[int]bool{}
		for i := range vms {
			name := fmt.Sprintf("vm-%02d", i)
			rank := contenderRank(list, "a", name, fmt.Sprintf("pool-%d", pool))
			taken[rank] = true
			if rank == 0 {
				first[name] = true
			}
		}
		if len(taken) != vms {
			t.Fatalf("pool %d: %d ranks for %d VMs", pool, len(taken), vms)
		}
	}
	if len(first) < 14 {
		t.Errorf("%d VMs rank first for 28 pools, want them spread", len(first))
	}
}

func TestRankFollowsMembership(t *testing.T) {
	list := entryVMs(3)
	ranks := map[int]string{}
	for i := range 3 {
		name := fmt.Sprintf("vm-%02d", i)
		ranks[contenderRank(list, "a", name, "p")] = name
	}
	for i := range list {
		list[i].Leaving = list[i].Name == ranks[0]
	}
	for _, c := range []struct {
		name string
		list []membership.VM
		vm   string
		want int
	}{
		{"the one before it leaves", list, ranks[1], 0},
		{"it leaves itself", list, ranks[0], 0},
		{"two before it, one leaves", list, ranks[2], 1},
		{"not on the list", list, "vm-new", 0},
		{"no list", nil, ranks[2], 0},
	} {
		if got := contenderRank(c.list, "a", c.vm, "p"); got != c.want {
			t.Errorf("%s: rank %d, want %d", c.name, got, c.want)
		}
	}
}
