package loadshare

import (
	"slices"
	"sort"
	"time"

	"github.com/springweir/springweir/loadshare/sharepb"
)

const (
	// directPeers is the number of peers up to which every VM tells every other.
	// Beyond it the datagrams of all to all would grow with the square of the VMs.
	directPeers = 15
	// CollectorTimeout is how long a collector may be silent before the next VM of
	// the zone takes its place: some rounds, so that lost datagrams do not count.
	CollectorTimeout = 400 * time.Millisecond
	// placedRound is the most prompts that are told in one round of a collector: some
	// three datagrams, as many as the work takes. Work is what choices hang on, so it
	// must not wait behind the prompts of a burst.
	placedRound = 120
)

// region is the part of an Exchange that knows whom to tell what. In a large region
// the VMs of a zone tell one of them, the collector. It adds up their work and tells the
// sum to the collectors of the other zones, and the sum of all zones to its own. So what a
// VM hears grows with the endpoints, not with the VMs or the zones: told the sum of each
// zone by itself, VMs of a large region heard of a burst 120 to 300 ms late, since five
// times as much went over the collectors' links.
//
// The collector is the first of a zone's VMs, in an order that all know, that is
// not silent. Nothing is agreed on: a VM that takes itself for the collector acts
// as one, and of two sums the newer counts.
type region struct {
	self  Peer
	peers []Peer
	// zones are the VMs of each zone, in the order of collectors; the own zone's
	// hold this VM.
	zones map[string][]Peer
	// heardAt is when a VM was last heard itself, and reliedAt when it was first
	// taken for a collector since then.
	heardAt, reliedAt map[string]time.Time
	// members are what the own zone's other VMs told, and others what the collectors of
	// the other zones did.
	members, others memberLoads
	// nextRound is when this VM, as a collector, next tells its zone, and placed are the
	// prompts of the region that it has not told it yet.
	nextRound time.Time
	placed    []*sharepb.Placed
	// silentZones are the silent VMs of the other zones, as their collectors told, and silentRegion
	// those of the region, as the own collector did. collectsSince is since when this VM collects.
	silentZones   map[string]silence
	silentRegion  silence
	collectsSince time.Time
	// silentOwn and silentAll are the silent VMs of the own zone and of the region, as told, looked
	// for at silentAt.
	silentOwn, silentAll []uint32
	silentAt             time.Time
}

func newRegion(self Peer) region {
	return region{
		self: self, zones: map[string][]Peer{self.Zone: {self}},
		heardAt: map[string]time.Time{}, reliedAt: map[string]time.Time{}, members: newMemberLoads(), others: newMemberLoads(),
		silentZones: map[string]silence{},
	}
}

func (r *region) setPeers(peers []Peer) {
	r.peers = peers
	r.zones = map[string][]Peer{r.self.Zone: {r.self}}
	for _, p := range peers {
		r.zones[p.Zone] = append(r.zones[p.Zone], p)
	}
	for _, list := range r.zones {
		sortByStrength(list)
	}
}

// sortByStrength puts VMs into the order of collectors.
func sortByStrength(list []Peer) {
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.Capacity != b.Capacity {
			return a.Capacity > b.Capacity
		}
		return a.Name < b.Name
	})
}

// collected tells whether the region is large enough for collectors.
func (r *region) collected() bool { return len(r.peers) > directPeers }

// collects tells whether this VM is its zone's collector.
func (r *region) collects(now time.Time) bool {
	return r.collected() && r.collector(r.self.Zone, now).Name == r.self.Name
}

// scope is whose work a message tells.
type scope int

const (
	// ofVM is a VM's own work.
	ofVM scope = iota
	// ofZone is that of all VMs of a zone.
	ofZone
	// ofRegion is that of all VMs of the region.
	ofRegion
)

// message is one report for some peers.
type message struct {
	report Report
	of     scope
	to     []Peer
}

// messages returns what to tell now, given the VM's own report.
func (r *region) messages(now time.Time, own Report) []message {
	switch {
	case !r.collected():
		return []message{{report: own, of: ofVM, to: r.peers}}
	case !r.collects(now):
		return []message{{report: own, of: ofVM, to: []Peer{r.collector(r.self.Zone, now)}}}
	}
	zone, others := r.members.sum(now, own), r.others.sum(now, Report{})
	r.keepPlaced(zone.Placed, others.Placed)
	list := []message{{report: zone, of: ofZone, to: r.otherCollectors(now)}}
	if now.Before(r.nextRound) {
		return list
	}
	all := zone.plus(others)
	n := min(len(r.placed), placedRound)
	all.Placed, r.placed = r.placed[:n:n], r.placed[n:]
	for _, p := range r.zoneMates() {
		list = append(list, message{report: r.members.without(all, p.Name), of: ofRegion, to: []Peer{p}})
	}
	return list
}

// keepPlaced keeps prompts for the next round; the oldest are dropped.
func (r *region) keepPlaced(lists ...[]*sharepb.Placed) {
	r.placed = append(r.placed, slices.Concat(lists...)...)
	r.placed = r.placed[max(0, len(r.placed)-maxPlaced):]
}

// before returns the VMs of the own zone that come before this one, in the order of
// collectors and from the collector on, at most n.
func (r *region) before(now time.Time, n int) []Peer {
	if !r.collected() {
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

// elsewhere returns the collectors of the other zones, or, in a small region, the strongest of the
// VMs that are not silent, at most n.
func (r *region) elsewhere(now time.Time, n int) []Peer {
	if r.collected() {
		list := r.otherCollectors(now)
		return list[:min(n, len(list))]
	}
	list := slices.DeleteFunc(slices.Clone(r.peers), func(p Peer) bool { return !r.alive(p.Name, now) })
	sortByStrength(list)
	return list[:min(n, len(list))]
}

// rank is the own VM's place among all: by the place in its zone, then by the zone.
func (r *region) rank() int {
	own := slices.IndexFunc(r.zones[r.self.Zone], func(p Peer) bool { return p.Name == r.self.Name })
	rank := 0
	for zone, list := range r.zones {
		rank += min(len(list), own)
		if zone < r.self.Zone && len(list) > own {
			rank++
		}
	}
	return rank
}

// otherCollectors are those of the other zones.
func (r *region) otherCollectors(now time.Time) []Peer {
	var list []Peer
	for zone := range r.zones {
		if zone != r.self.Zone {
			list = append(list, r.collector(zone, now))
		}
	}
	return list
}

// zoneMates are the other VMs of the own zone.
func (r *region) zoneMates() []Peer {
	var list []Peer
	for _, p := range r.zones[r.self.Zone] {
		if p.Name != r.self.Name {
			list = append(list, p)
		}
	}
	return list
}

// collector returns the first VM of a zone that is not silent, or its first.
func (r *region) collector(zone string, now time.Time) Peer {
	list := r.zones[zone]
	for _, p := range list {
		if p.Name == r.self.Name || r.alive(p.Name, now) {
			return p
		}
	}
	return list[0]
}

// alive tells whether a VM was heard lately, or has not been relied on for long
// enough to say.
func (r *region) alive(name string, now time.Time) bool {
	if now.Sub(r.heardAt[name]) < CollectorTimeout {
		return true
	}
	since, relied := r.reliedAt[name]
	if !relied {
		r.reliedAt[name] = now
		return true
	}
	return now.Sub(since) < CollectorTimeout
}

// heard notes a datagram that a VM made itself.
func (r *region) heard(now time.Time, load *sharepb.Load) {
	r.heardAt[load.Vm] = now
	delete(r.reliedAt, load.Vm)
	r.hearSilence(now, load)
	if !r.collected() || load.RegionSum {
		return
	}
	switch own := load.Zone == r.self.Zone; {
	case own && !load.ZoneSum:
		r.members.take(now, load)
	case !own && load.ZoneSum:
		r.others.take(now, load)
	}
}

// counts tells whether a load is to be taken in: every load in a small region; for a
// collector those of its zone's VMs and the sums of the other zones; for the others their
// collector's sum of the region, in which all else is contained.
func (r *region) counts(now time.Time, load *sharepb.Load) bool {
	own := load.Zone == r.self.Zone
	switch {
	case !r.collected():
		return true
	case !r.collects(now):
		return own && load.RegionSum
	}
	return !load.RegionSum && own != load.ZoneSum
}
