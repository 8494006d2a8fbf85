package loadshare

import (
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/springweir/springweir/duties/usage/usagepb"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/loadshare/sharepb"
)

// Usage holds the usage accounts of processes.
type Usage interface {
	// Due returns the changes to send in this round: those of this process and, if forward is set,
	// those received from the other VMs of the zone.
	Due(forward bool) []*usagepb.Account
	// Take merges an account received from another VM.
	Take(*usagepb.Account)
}

// usageReplicasPerZone is the number of VMs of a zone that hold replicas of its usage accounts: the
// collector and the VM that replaces it on failure.
const usageReplicasPerZone = 2

// UsageReplicas returns the VMs of all zones that hold replicas of usage accounts, except for this
// one.
func (x *Exchange) UsageReplicas() []Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.region.allUsageReplicas(clock.Now())
}

// sendUsage sends one round of account changes.
func (x *Exchange) sendUsage(conn *net.UDPConn) {
	if x.cfg.Usage == nil {
		return
	}
	now := clock.Now()
	x.mu.Lock()
	forward := x.region.isCollector(now)
	x.mu.Unlock()
	list := x.cfg.Usage.Due(forward)
	if len(list) == 0 {
		return
	}
	x.mu.Lock()
	to := x.region.usagePeers(now)
	loads := packAccounts(list)
	for _, load := range loads {
		x.setSender(load)
	}
	x.mu.Unlock()
	for _, load := range loads {
		x.sendLoad(conn, load, to)
	}
}

// packAccounts packs accounts into datagrams of bounded size.
func packAccounts(list []*usagepb.Account) []*sharepb.Load {
	var loads []*sharepb.Load
	size := maxDatagram
	for _, a := range list {
		n := proto.Size(a) + fieldOverhead
		if size+n > maxDatagram {
			loads, size = append(loads, &sharepb.Load{NoWork: true}), loadOverhead
		}
		last := loads[len(loads)-1]
		last.Accounts = append(last.Accounts, a)
		size += n
	}
	return loads
}

func (x *Exchange) handleUsage(load *sharepb.Load) {
	if x.cfg.Usage == nil {
		return
	}
	for _, a := range load.Accounts {
		x.cfg.Usage.Take(a)
	}
}

// usagePeers returns the recipients of account changes: in a small region the replicas of all
// zones, in a large one those of the local zone, whose collector forwards the changes to the other
// collectors.
func (r *region) usagePeers(now time.Time) []Peer {
	switch {
	case !r.usesCollectors():
		return r.allUsageReplicas(now)
	case r.isCollector(now):
		return append(r.usageReplicas(r.self.Zone, now), r.otherCollectors(now)...)
	}
	return r.usageReplicas(r.self.Zone, now)
}

func (r *region) allUsageReplicas(now time.Time) []Peer {
	var list []Peer
	for zone := range r.zones {
		list = append(list, r.usageReplicas(zone, now)...)
	}
	return list
}

// usageReplicas returns the VMs of a zone that hold replicas, except for this VM: the collector and
// the VM after it in collector order.
func (r *region) usageReplicas(zone string, now time.Time) []Peer {
	collector := r.collector(zone, now).Name
	var list []Peer
	n := 0
	for _, p := range r.zones[zone] {
		if n == usageReplicasPerZone || n == 0 && p.Name != collector {
			continue
		}
		if n++; p.Name != r.self.Name {
			list = append(list, p)
		}
	}
	return list
}
