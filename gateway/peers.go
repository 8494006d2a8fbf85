package gateway

import (
	"context"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/loadshare/sharepb"
	"github.com/springweir/springweir/roster"
)

// setPeers updates the other VMs: the recipients of this VM's load reports and the number of VMs
// that share the retry budget.
func (g *Gateway) setPeers(vms []roster.VM) {
	peers := make([]loadshare.Peer, 0, len(vms))
	addresses := make(map[string]string, len(vms))
	for _, vm := range vms {
		address, err := netip.ParseAddrPort(vm.Address)
		if err != nil {
			klog.ErrorS(err, "gateway: VM has an invalid address", "vm", vm.Name)
			continue
		}
		peers = append(peers, loadshare.Peer{Name: vm.Name, Zone: vm.Zone, Capacity: vm.Capacity, Address: address})
		addresses[vm.Name] = vm.Address
	}
	g.exchange.SetPeers(peers)
	g.quota.SetAddresses(addresses)
	g.peerAddresses.Store(&addresses)
	if g.roster.Complete() {
		g.budgets.setVMCount(len(vms)+1, g.roster.FirstStart())
	}
}

// membershipInterval is how often those who share limits receive the current members.
const membershipInterval = 100 * time.Millisecond

// updateMembership keeps the shares of limits in line with the VMs that are present.
func (g *Gateway) updateMembership(ctx context.Context) {
	loop.Every(ctx, membershipInterval, func() {
		members := g.exchange.Membership()
		g.signals.SetMembers(members)
		g.quota.SetMembers(members)
	})
}

// receiveAnnouncement handles an announcement sent to all VMs.
func (g *Gateway) receiveAnnouncement(announcement loadshare.Announcement) {
	g.guard.Receive(announcement)
	g.signals.Receive(announcement.Signals)
}

// receiveLoad handles another VM's load datagram.
func (g *Gateway) receiveLoad(load *sharepb.Load) {
	if load.Leaving && !load.ZoneSum && !load.RegionSum {
		load.Work = nil // its remaining work ends soon, and it accepts no new requests
	}
	g.roster.Add(roster.VM{Name: load.Vm, Zone: load.Zone, Capacity: int(load.Strength), Address: load.Address})
	g.reach.ReceiveImpaired(load.Impaired)
	g.planner.ReceiveLoad(load)
}
