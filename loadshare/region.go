package loadshare

import (
	"sort"
	"time"

	"github.com/springweir/springweir/loadshare/sharepb"
)

const (
	// directPeers is the number of peers up to which every VM tells every other.
	// Beyond it the datagrams of all to all would grow with the square of the VMs.
	directPeers = 15
	// collectorTimeout is how long a collector may be silent before the next VM of
	// the zone takes its place: some rounds, so that lost datagrams do not count.
	collectorTimeout = 400 * time.Millisecond
)

// region is the part of an Exchange that knows whom to tell what. In a large region
// the VMs of a zone tell one of them, the collector. It adds up their work and tells
// the sum to its zone and to the collectors of the others; these pass it on to their
// zones. So what a VM hears grows with the endpoints and the zones, not with the VMs:
// the loads of 65 VMs, each told by itself, took a third of a link of 10 Mbit/s.
//
// The collector is the first of a zone's VMs, in an order that all know, that is
// not silent. Nothing is agreed on: a VM that takes itself for the collector acts
// as one, and of two sums of a zone the newer counts.
type region struct {
	self  Peer
	peers []Peer
	// zones are the VMs of each zone, in the order of collectors; the own zone's
	// hold this VM.
	zones map[string][]Peer
	// heardAt is when a VM was last heard itself, and reliedAt when it was first
	// taken for a collector since then.
	heardAt, reliedAt map[string]time.Time
	// members are what the own zone's other VMs told.
	members memberLoads
	// segments is the number of datagrams in which the own zone's collector last told
	// a sum, zero if this VM has heard none.
	segments uint32
}

func newRegion(self Peer) region {
	return region{
		self: self, zones: map[string][]Peer{self.Zone: {self}},
		heardAt: map[string]time.Time{}, reliedAt: map[string]time.Time{}, members: newMemberLoads(),
	}
}

func (r *region) setPeers(peers []Peer) {
	r.peers = peers
	r.zones = map[string][]Peer{r.self.Zone: {r.self}}
	for _, p := range peers {
		r.zones[p.Zone] = append(r.zones[p.Zone], p)
	}
	for _, list := range r.zones {
		sort.Slice(list, func(i, j int) bool {
			a, b := list[i], list[j]
			if a.Strength != b.Strength {
				return a.Strength > b.Strength
			}
			return a.Name < b.Name
		})
	}
}

// collected tells whether the region is large enough for collectors.
func (r *region) collected() bool { return len(r.peers) > directPeers }

// collects tells whether this VM is its zone's collector.
func (r *region) collects(now time.Time) bool {
	return r.collected() && r.collector(r.self.Zone, now).Name == r.self.Name
}

// collectorRound is the number of datagrams that a round of the own zone's collector
// takes, as far as this VM knows; zero where no other VM collects for it.
func (r *region) collectorRound(now time.Time) int {
	if !r.collected() || r.collects(now) {
		return 0
	}
	listeners := len(r.zones[r.self.Zone]) - 1 + len(r.zones) - 1
	return int(r.segments) * listeners
}

// message is one report for some peers.
type message struct {
	report  Report
	zoneSum bool
	to      []Peer
}

// messages returns what to tell this round, given the VM's own report.
func (r *region) messages(now time.Time, own Report) []message {
	switch {
	case !r.collected():
		return []message{{report: own, to: r.peers}}
	case !r.collects(now):
		return []message{{report: own, to: []Peer{r.collector(r.self.Zone, now)}}}
	}
	zone := r.members.sum(now, own)
	list := []message{{report: zone, zoneSum: true, to: r.otherCollectors(now)}}
	for _, p := range r.zoneMates() {
		list = append(list, message{report: r.members.without(zone, p.Name), zoneSum: true, to: []Peer{p}})
	}
	return list
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
	if now.Sub(r.heardAt[name]) < collectorTimeout {
		return true
	}
	since, relied := r.reliedAt[name]
	if !relied {
		r.reliedAt[name] = now
		return true
	}
	return now.Sub(since) < collectorTimeout
}

// heard notes a datagram that a VM made itself.
func (r *region) heard(now time.Time, load *sharepb.Load) {
	r.heardAt[load.Vm] = now
	delete(r.reliedAt, load.Vm)
	if load.ZoneSum && load.Zone == r.self.Zone && !load.NoWork {
		r.segments = load.Segments
	}
	if r.collected() && load.Zone == r.self.Zone && !load.ZoneSum {
		r.members.take(now, load)
	}
}

// passOn returns whom to pass a datagram on to that a VM of the zone made.
func (r *region) passOn(now time.Time, zone string) []Peer {
	if zone == r.self.Zone || !r.collects(now) {
		return nil
	}
	return r.zoneMates()
}

// counts tells whether a load is to be taken in. A collector has its zone's loads
// from the VMs themselves, so another's sum of them would count twice.
func (r *region) counts(now time.Time, load *sharepb.Load) bool {
	return !load.ZoneSum || load.Zone != r.self.Zone || !r.collects(now)
}
