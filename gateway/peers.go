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

// setPeers takes in the other VMs: whom to tell of the own work, and among how
// many the retry budget is shared.
func (g *Gateway) setPeers(vms []roster.VM) {
	peers := make([]loadshare.Peer, 0, len(vms))
	for _, vm := range vms {
		address, err := netip.ParseAddrPort(vm.Address)
		if err != nil {
			klog.ErrorS(err, "gateway: VM without a usable address", "vm", vm.Name)
			continue
		}
		peers = append(peers, loadshare.Peer{Name: vm.Name, Zone: vm.Zone, Capacity: vm.Capacity, Address: address})
	}
	g.exchange.SetPeers(peers)
	g.budgets.setVMCount(len(vms) + 1)
}

// membershipInterval is how often the signals are told which VMs are there.
const membershipInterval = 100 * time.Millisecond

// updateMembership keeps the shares of rate limits in step with the VMs that are there.
func (g *Gateway) updateMembership(ctx context.Context) {
	loop.Every(ctx, membershipInterval, func() { g.signals.SetMembers(g.exchange.Membership()) })
}

// receiveAnnouncement takes in what is told to all VMs.
func (g *Gateway) receiveAnnouncement(n loadshare.Announcement) {
	g.guard.Receive(n)
	g.signals.Receive(n.Signals)
}

// receiveLoad takes in another VM's datagram.
func (g *Gateway) receiveLoad(load *sharepb.Load) {
	if load.Leaving && !load.ZoneSum && !load.RegionSum {
		load.Work = nil // what it still does ends soon, and it takes nothing new
	}
	g.roster.Add(roster.VM{Name: load.Vm, Zone: load.Zone, Capacity: int(load.Strength), Address: load.Address})
	g.planner.ReceiveLoad(load)
}
