package controller

import (
	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/membership"
	"github.com/springweir/springweir/peer/share"
)

// rank returns this VM's rank among the contenders for a pool's lease. Only the first few poll the
// lease frequently (see lease.Config).
func (c *Controller) rank(pool string) int {
	return contenderRank(c.members.Snapshot().VMs, c.process.Zone, c.process.VM, pool)
}

// contenderRank ranks a VM by rendezvous hashing over the zone's entry VMs on the membership list,
// excluding other VMs that are leaving. The order differs between pools, which spreads their leases
// over the VMs. A VM that is not on the list, or not yet, ranks first: polling too often is better
// than never.
func contenderRank(listed []membership.VM, zone, vm, pool string) int {
	var zoneVMs contact.Roster
	for _, v := range listed {
		if v.Kind == membership.Entry && v.Zone == zone && (!v.Leaving || v.Name == vm) {
			zoneVMs.VMs = append(zoneVMs.VMs, contact.VM{Name: v.Name})
		}
	}
	return max(0, share.Rank(zoneVMs, vm, pool))
}
