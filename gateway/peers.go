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
	g.budgets.setVMs(len(vms) + 1)
}

// memberPeriod is how often the signals are told which VMs are there.
const memberPeriod = 100 * time.Millisecond

// followMembers keeps the shares of rate limits in step with the VMs that are there.
func (g *Gateway) followMembers(ctx context.Context) {
	loop.Every(ctx, memberPeriod, func() { g.signals.SetMembers(g.exchange.Membership()) })
}

// heardNews takes in what is told to all VMs.
func (g *Gateway) heardNews(n loadshare.Announcement) {
	g.guard.Receive(n)
	g.signals.Receive(n.Signals)
}

// heard takes in another VM's datagram.
func (g *Gateway) heard(load *sharepb.Load) {
	if load.Leaving && !load.ZoneSum && !load.RegionSum {
		load.Work = nil // what it still does ends soon, and it takes nothing new
	}
	g.roster.Add(roster.VM{Name: load.Vm, Zone: load.Zone, Capacity: int(load.Strength), Address: load.Address})
	g.planner.ReceiveLoad(load)
}
