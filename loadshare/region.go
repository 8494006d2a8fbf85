package loadshare

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/springweir/springweir/loadshare/sharepb"
)

const (
	// directPeers is the number of peers up to which every VM sends to every other directly. Beyond
	// it, the number of datagrams would grow with the square of the number of VMs.
	directPeers = 15
	// CollectorTimeout is how long a collector may be unresponsive before the next VM of the zone
	// replaces it. It spans several rounds, so that single lost datagrams have no effect.
	CollectorTimeout = 400 * time.Millisecond
	// maxPlacedPerRound bounds the prompts that a collector sends in one round: about three
	// datagrams, as many as the work takes. Routing decisions depend on the work, so it must not
	// wait behind the prompts of a burst.
	maxPlacedPerRound = 120
)

// region tracks the VMs of the region and determines the messages of each round and their
// recipients. In a large region, the VMs of a zone report to one of them, the collector. It adds up
// their work, and sends the zone's total to the collectors of the other zones and the total of all
// zones to the VMs of its own. The traffic to a VM thus grows with the number of endpoints, not of
// VMs or zones. When collectors sent the total of each zone separately, a burst became known to the
// VMs of a large region 120 to 300 ms late, since five times as much data went over the collectors'
// links.
//
// The collector is the first responsive VM of a zone, in an order that is the same on all VMs.
// There is no agreement protocol: a VM that considers itself the collector acts as one, and the
// newer of two totals applies.
type region struct {
	self  Peer
	peers []Peer
	// everyone lists all VMs by name, this one included.
	everyone []Member
	// zones holds the VMs of each zone in collector order, including this VM.
	zones map[string][]Peer
	// lastSeen is when the last datagram of a VM arrived. awaitedSince is when a VM was first
	// considered as a collector after that.
	lastSeen, awaitedSince map[string]time.Time
	// members holds the loads of the other VMs of the local zone, and otherZones the totals sent by
	// the collectors of the other zones.
	members, otherZones loadAggregate
	// nextZoneRound is when this VM, as a collector, next sends to its zone. pendingPlaced holds
	// the prompts of the region that it has not yet sent there.
	nextZoneRound time.Time
	pendingPlaced []*sharepb.Placed
	// zonePaces holds the paces of the zone that this VM, as a collector, has not yet sent to the other
	// collectors, and regionPaces those of the region that it has not yet sent to its zone.
	zonePaces, regionPaces paceQueue
	// unresponsiveByZone holds the unresponsive VMs of the other zones as reported by their
	// collectors, and unresponsiveInRegion those of the region as reported by the local collector.
	// collectorSince is when this VM became the collector.
	unresponsiveByZone   map[string]unresponsiveReport
	unresponsiveInRegion unresponsiveReport
	collectorSince       time.Time
	// unresponsiveInZone and unresponsiveAll are the hashes of the unresponsive VMs of the local
	// zone and of the region, determined at unresponsiveAt.
	unresponsiveInZone, unresponsiveAll []uint32
	unresponsiveAt                      time.Time
	// lastRank is the rank determined at rankedAt among rankedPeers others, and rankedSince when one was first asked for.
	lastRank, rankedPeers int
	rankedAt, rankedSince time.Time
}

func newRegion(self Peer) region {
	return region{
		self: self, everyone: []Member{{self.Name, self.Zone}}, zones: map[string][]Peer{self.Zone: {self}},
		lastSeen: map[string]time.Time{}, awaitedSince: map[string]time.Time{}, members: newLoadAggregate(), otherZones: newLoadAggregate(),
		unresponsiveByZone: map[string]unresponsiveReport{},
	}
}

func (r *region) setPeers(peers []Peer) {
	r.peers = peers
	r.everyone = []Member{{r.self.Name, r.self.Zone}}
	for _, p := range peers {
		r.everyone = append(r.everyone, Member{p.Name, p.Zone})
	}
	slices.SortFunc(r.everyone, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	r.zones = map[string][]Peer{r.self.Zone: {r.self}}
	for _, p := range peers {
		r.zones[p.Zone] = append(r.zones[p.Zone], p)
	}
	for _, list := range r.zones {
		sortByCapacity(list)
	}
}

// sortByCapacity sorts VMs into collector order: by descending capacity, then by name.
func sortByCapacity(list []Peer) {
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.Capacity != b.Capacity {
			return a.Capacity > b.Capacity
		}
		return a.Name < b.Name
	})
}

// usesCollectors reports whether the region is large enough for collectors.
func (r *region) usesCollectors() bool { return len(r.peers) > directPeers }

// isCollector reports whether this VM is its zone's collector.
func (r *region) isCollector(now time.Time) bool {
	return r.usesCollectors() && r.collector(r.self.Zone, now).Name == r.self.Name
}

// loadScope is the set of VMs whose work a message covers.
type loadScope int

const (
	// scopeVM is a single VM.
	scopeVM loadScope = iota
	// scopeZone is all VMs of a zone.
	scopeZone
	// scopeRegion is all VMs of the region.
	scopeRegion
)

// message is a report and its recipients.
type message struct {
	report Report
	scope  loadScope
	to     []Peer
}

// messages returns the messages to send now, given the local report.
func (r *region) messages(now time.Time, local Report) []message {
	switch {
	case !r.usesCollectors():
		return []message{{report: local, scope: scopeVM, to: r.peers}}
	case !r.isCollector(now):
		return []message{{report: local, scope: scopeVM, to: []Peer{r.collector(r.self.Zone, now)}}}
	}
	zone, otherZones := r.members.sum(now, local), r.otherZones.sum(now, Report{})
	r.queuePlaced(zone.Placed, otherZones.Placed)
	r.zonePaces.add(zone.Paces)
	r.regionPaces.add(zone.Paces)
	r.regionPaces.add(otherZones.Paces)
	zone.Paces = r.zonePaces.take(now)
	list := []message{{report: zone, scope: scopeZone, to: r.otherCollectors(now)}}
	if now.Before(r.nextZoneRound) {
		return list
	}
	all := zone.plus(otherZones)
	n := min(len(r.pendingPlaced), maxPlacedPerRound)
	all.Placed, r.pendingPlaced = r.pendingPlaced[:n:n], r.pendingPlaced[n:]
	all.Paces = r.regionPaces.take(now)
	for _, p := range r.zonePeers() {
		list = append(list, message{report: r.members.without(all, p.Name), scope: scopeRegion, to: []Peer{p}})
	}
	return list
}

// queuePlaced queues prompts for the next round; beyond maxPlaced the oldest are dropped.
func (r *region) queuePlaced(lists ...[]*sharepb.Placed) {
	r.pendingPlaced = append(r.pendingPlaced, slices.Concat(lists...)...)
	r.pendingPlaced = r.pendingPlaced[max(0, len(r.pendingPlaced)-maxPlaced):]
}

// precedingPeers returns at most n VMs of the local zone that precede this one in collector order,
// starting with the current collector.
func (r *region) precedingPeers(now time.Time, n int) []Peer {
	if !r.usesCollectors() {
		return nil
	}
	collector := r.collector(r.self.Zone, now).Name
	var list []Peer
	for _, p := range r.zones[r.self.Zone] {
		if p.Name == r.self.Name || len(list) == n {
			break
		}
		if len(list) > 0 || p.Name == collector {
			list = append(list, p)
		}
	}
	return list
}

// peersOutsideZone returns at most n VMs: the collectors of the other zones or, in a small region,
// the peers with the highest capacity, responsive ones first: the others may merely not be heard.
func (r *region) peersOutsideZone(now time.Time, n int) []Peer {
	if r.usesCollectors() {
		list := r.otherCollectors(now)
		return list[:min(n, len(list))]
	}
	var alive, silent []Peer
	for _, p := range r.peers {
		if r.presumedAlive(p.Name, now) {
			alive = append(alive, p)
		} else {
			silent = append(silent, p)
		}
	}
	sortByCapacity(alive)
	sortByCapacity(silent)
	list := append(alive, silent...)
	return list[:min(n, len(list))]
}

// rankRefresh is how often the rank is determined.
const rankRefresh = 200 * time.Millisecond

// rank returns this VM's position among the VMs: by the position within the zone, then by zone. VMs that have not been heard
// of for MemberTimeout are left out, unless no other VM is heard at all.
func (r *region) rank(now time.Time) int {
	if r.rankedAt.IsZero() {
		r.rankedSince = now
	}
	if r.rankedAt.IsZero() || now.Sub(r.rankedAt) >= rankRefresh || r.rankedPeers != len(r.peers) {
		r.lastRank, r.rankedAt, r.rankedPeers = r.rankAmong(r.ranked(now)), now, len(r.peers)
	}
	return r.lastRank
}

// ranked returns the VMs that have a rank, by zone and in collector order.
func (r *region) ranked(now time.Time) map[string][]Peer {
	if now.Sub(r.rankedSince) < MemberTimeout || r.allReportedResponsive(now) {
		return r.zones
	}
	unresponsive := r.unresponsiveFunc(now)
	zones, others := map[string][]Peer{}, 0
	for zone, list := range r.zones {
		for _, p := range list {
			if p.Name == r.self.Name {
				zones[zone] = append(zones[zone], p)
			} else if !unresponsive(p) {
				zones[zone] = append(zones[zone], p)
				others++
			}
		}
	}
	if others == 0 {
		return r.zones
	}
	return zones
}

// rankAmong returns this VM's position among VMs in collector order.
func (r *region) rankAmong(zones map[string][]Peer) int {
	position := slices.IndexFunc(zones[r.self.Zone], func(p Peer) bool { return p.Name == r.self.Name })
	rank := 0
	for zone, list := range zones {
		rank += min(len(list), position)
		if zone < r.self.Zone && len(list) > position {
			rank++
		}
	}
	return rank
}

// otherCollectors returns the collectors of the other zones.
func (r *region) otherCollectors(now time.Time) []Peer {
	var list []Peer
	for zone := range r.zones {
		if zone != r.self.Zone {
			list = append(list, r.collector(zone, now))
		}
	}
	return list
}

// zonePeers returns the other VMs of the local zone.
func (r *region) zonePeers() []Peer {
	var list []Peer
	for _, p := range r.zones[r.self.Zone] {
		if p.Name != r.self.Name {
			list = append(list, p)
		}
	}
	return list
}

// collector returns the first responsive VM of a zone, or its first VM if none is responsive.
func (r *region) collector(zone string, now time.Time) Peer {
	list := r.zones[zone]
	for _, p := range list {
		if p.Name == r.self.Name || r.presumedAlive(p.Name, now) {
			return p
		}
	}
	return list[0]
}

// presumedAlive reports whether a VM was seen within CollectorTimeout, or has been awaited for less
// than that.
func (r *region) presumedAlive(name string, now time.Time) bool {
	if now.Sub(r.lastSeen[name]) < CollectorTimeout {
		return true
	}
	since, awaited := r.awaitedSince[name]
	if !awaited {
		r.awaitedSince[name] = now
		return true
	}
	return now.Sub(since) < CollectorTimeout
}

// record stores the contents of a datagram and when its sender was last seen.
func (r *region) record(now time.Time, load *sharepb.Load) {
	r.lastSeen[load.Vm] = now
	delete(r.awaitedSince, load.Vm)
	r.recordUnresponsive(now, load)
	if !r.usesCollectors() || load.RegionSum {
		return
	}
	switch sameZone := load.Zone == r.self.Zone; {
	case sameZone && !load.ZoneSum:
		r.members.record(now, load)
	case !sameZone && load.ZoneSum:
		r.otherZones.record(now, load)
	}
}

// accepts reports whether a load is passed on to OnLoad. A small region accepts every load. A
// collector accepts the loads of its zone's VMs and the totals of the other zones. Other VMs accept
// only their collector's total of the region, which contains everything else.
func (r *region) accepts(now time.Time, load *sharepb.Load) bool {
	sameZone := load.Zone == r.self.Zone
	switch {
	case !r.usesCollectors():
		return true
	case !r.isCollector(now):
		return sameZone && load.RegionSum
	}
	return !load.RegionSum && sameZone != load.ZoneSum
}
