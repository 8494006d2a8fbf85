package loadshare

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/loadshare/sharepb"
)

// MemberTimeout is how long no datagram of a registered VM may arrive before it counts as
// unresponsive. It is longer than a change of collectors takes.
const MemberTimeout = 2 * time.Second

// Member is a VM that is responsive.
type Member struct{ Name, Zone string }

// PrecedesFor reports whether m comes before o in the order of the VMs for a hash (rendezvous
// hashing). All VMs compute the same order, the orders for two hashes are independent, and a VM that
// joins or leaves does not change the order of the others.
func (m Member) PrecedesFor(hash uint64, o Member) bool {
	return cmp.Or(cmp.Compare(m.weight(hash), o.weight(hash)), cmp.Compare(m.Name, o.Name)) > 0
}

// weight returns the sort key of a VM for a hash. The hash is mixed in after the name's.
func (m Member) weight(hash uint64) uint64 {
	h := xxhash.Sum64String(m.Name) ^ hash
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Membership lists the VMs of the region that this VM finds responsive.
type Membership struct {
	// Live lists the responsive VMs by name, this VM included. It must not be changed.
	Live []Member
	// Registered is the number of all registered VMs, this one included.
	Registered int
	// InSilentZones is the number of registered VMs in availability zones without a responsive VM.
	// These are more likely to be cut off than to have stopped.
	InSilentZones int
}

// Registered is a VM that is registered.
type Registered struct {
	Member
	// Silent is set if the VM is unresponsive.
	Silent bool
}

// Registered returns all registered VMs, this one included.
func (x *Exchange) Registered() []Registered {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.region.registered(clock.Now())
}

func (r *region) registered(now time.Time) []Registered {
	list := make([]Registered, len(r.everyone))
	unresponsive := r.unresponsiveFunc(now)
	allResponsive := r.allReportedResponsive(now)
	for i, m := range r.everyone {
		list[i] = Registered{Member: m, Silent: !allResponsive && m.Name != r.self.Name && unresponsive(Peer{Name: m.Name, Zone: m.Zone})}
	}
	return list
}

// Membership returns the current membership.
func (x *Exchange) Membership() Membership {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.region.membership(clock.Now())
}

func (r *region) membership(now time.Time) Membership {
	m := Membership{Registered: len(r.everyone)}
	unresponsive := r.unresponsiveFunc(now)
	if r.allReportedResponsive(now) {
		m.Live = r.everyone
		return m
	}
	live := map[string]bool{}
	for _, o := range r.everyone {
		if o.Name == r.self.Name || !unresponsive(Peer{Name: o.Name, Zone: o.Zone}) {
			m.Live = append(m.Live, o)
			live[o.Zone] = true
		}
	}
	for _, p := range r.peers {
		if !live[p.Zone] {
			m.InSilentZones++
		}
	}
	return m
}

// allReportedResponsive reports whether this VM hears of the others through its collector, and the
// collector reports no unresponsive one. Then there is nothing to look up for each VM.
func (r *region) allReportedResponsive(now time.Time) bool {
	report := r.unresponsiveInRegion
	return r.usesCollectors() && !r.isCollector(now) && now.Sub(report.receivedAt) < MemberTimeout && len(report.hashes) == 0
}

// unresponsiveFunc returns a function that reports whether a peer is unresponsive. In a large
// region, a VM receives datagrams only from some of the others: a collector from the VMs of its
// zone and the other collectors, a member from its collector.
func (r *region) unresponsiveFunc(now time.Time) func(Peer) bool {
	unresponsive := func(p Peer) bool { return now.Sub(r.lastSeen[p.Name]) >= MemberTimeout }
	switch {
	case !r.usesCollectors():
		return unresponsive
	case !r.isCollector(now):
		r.collectorSince = time.Time{}
		report := r.unresponsiveInRegion
		return func(p Peer) bool { return now.Sub(report.receivedAt) >= MemberTimeout || report.hashes[Hash(p.Name)] }
	}
	if r.collectorSince.IsZero() {
		r.collectorSince = now
	}
	return func(p Peer) bool {
		if p.Zone == r.self.Zone {
			// The members of a zone send to a new collector only once its predecessor is
			// unresponsive.
			return unresponsive(p) && now.Sub(r.collectorSince) >= MemberTimeout
		}
		report := r.unresponsiveByZone[p.Zone]
		return now.Sub(report.receivedAt) >= MemberTimeout || report.hashes[Hash(p.Name)]
	}
}

// unresponsiveReport holds the VMs that a collector found unresponsive, by the hash of their names.
type unresponsiveReport struct {
	receivedAt time.Time
	hashes     map[uint32]bool
}

func newUnresponsiveReport(now time.Time, load *sharepb.Load) unresponsiveReport {
	report := unresponsiveReport{receivedAt: now}
	if len(load.Silent) > 0 {
		report.hashes = make(map[uint32]bool, len(load.Silent))
		for _, hash := range load.Silent {
			report.hashes[hash] = true
		}
	}
	return report
}

// recordUnresponsive stores which VMs the collector of another zone, or the local one, finds
// unresponsive.
func (r *region) recordUnresponsive(now time.Time, load *sharepb.Load) {
	switch sameZone := load.Zone == r.self.Zone; {
	case load.NoWork:
	case sameZone && load.RegionSum:
		r.unresponsiveInRegion = newUnresponsiveReport(now, load)
	case !sameZone && load.ZoneSum:
		r.unresponsiveByZone[load.Zone] = newUnresponsiveReport(now, load)
	}
}

// unresponsiveRefresh is how often a collector determines the unresponsive VMs. The many datagrams
// in between repeat the last result.
const unresponsiveRefresh = 100 * time.Millisecond

// unresponsiveHashes returns the hashes of the unresponsive VMs that a collector reports: those of
// its zone or of the region.
func (r *region) unresponsiveHashes(now time.Time, scope loadScope) []uint32 {
	if scope == scopeVM {
		return nil
	}
	if now.Sub(r.unresponsiveAt) >= unresponsiveRefresh {
		r.unresponsiveAt, r.unresponsiveInZone, r.unresponsiveAll = now, nil, nil
		unresponsive := r.unresponsiveFunc(now)
		for _, p := range r.peers {
			if !unresponsive(p) {
				continue
			}
			r.unresponsiveAll = append(r.unresponsiveAll, Hash(p.Name))
			if p.Zone == r.self.Zone {
				r.unresponsiveInZone = append(r.unresponsiveInZone, Hash(p.Name))
			}
		}
	}
	if scope == scopeZone {
		return r.unresponsiveInZone
	}
	return r.unresponsiveAll
}
