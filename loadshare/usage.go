package loadshare

import (
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/springweir/springweir/duties/usage/usagepb"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/loadshare/sharepb"
)

// Usage holds what processes counted.
type Usage interface {
	// Pending returns the changes to tell in this round: the own, and, with forward, those that the
	// other VMs of the zone have told.
	Due(forward bool) []*usagepb.Account
	// Take takes in what another VM told.
	Take(*usagepb.Account)
}

// keepersPerZone is the number of VMs of a zone that hold its accounts: the collector and the one
// that takes its place if it is gone.
const keepersPerZone = 2

// UsageReplicas returns the VMs of all zones that hold accounts, but for this one.
func (x *Exchange) UsageReplicas() []Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.region.allKeepers(clock.Now())
}

// tellUsage sends one round of changes of accounts.
func (x *Exchange) tellUsage(conn *net.UDPConn) {
	if x.cfg.Usage == nil {
		return
	}
	now := clock.Now()
	x.mu.Lock()
	forward := x.region.collects(now)
	x.mu.Unlock()
	list := x.cfg.Usage.Due(forward)
	if len(list) == 0 {
		return
	}
	x.mu.Lock()
	to := x.region.usagePeers(now)
	loads := packAccounts(list)
	for _, load := range loads {
		x.address(load)
	}
	x.mu.Unlock()
	for _, load := range loads {
		x.sendOne(conn, load, to)
	}
}

// packAccounts puts accounts into as few datagrams as take them.
func packAccounts(list []*usagepb.Account) []*sharepb.Load {
	var loads []*sharepb.Load
	size := maxDatagram
	for _, a := range list {
		n := proto.Size(a) + fieldHead
		if size+n > maxDatagram {
			loads, size = append(loads, &sharepb.Load{NoWork: true}), loadHead
		}
		last := loads[len(loads)-1]
		last.Accounts = append(last.Accounts, a)
		size += n
	}
	return loads
}

func (x *Exchange) takeUsage(load *sharepb.Load) {
	if x.cfg.Usage == nil {
		return
	}
	for _, a := range load.Accounts {
		x.cfg.Usage.Take(a)
	}
}

// usagePeers are the VMs to tell of accounts: in a small region the keepers of all zones, in a large
// one those of the own zone, which pass it on to the collectors of the others.
func (r *region) usagePeers(now time.Time) []Peer {
	switch {
	case !r.collected():
		return r.allKeepers(now)
	case r.collects(now):
		return append(r.keepers(r.self.Zone, now), r.otherCollectors(now)...)
	}
	return r.keepers(r.self.Zone, now)
}

func (r *region) allKeepers(now time.Time) []Peer {
	var list []Peer
	for zone := range r.zones {
		list = append(list, r.keepers(zone, now)...)
	}
	return list
}

// keepers are the collector of a zone and those that come after it, but for the own VM.
func (r *region) keepers(zone string, now time.Time) []Peer {
	collector := r.collector(zone, now).Name
	var list []Peer
	n := 0
	for _, p := range r.zones[zone] {
		if n == keepersPerZone || n == 0 && p.Name != collector {
			continue
		}
		if n++; p.Name != r.self.Name {
			list = append(list, p)
		}
	}
	return list
}
