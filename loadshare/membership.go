package loadshare

import (
	"cmp"
	"slices"
	"time"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/loadshare/sharepb"
)

// MemberTimeout is how long a registered VM may be unheard before it counts as silent. It is longer
// than a change of collectors takes.
const MemberTimeout = 2 * time.Second

// Member is a VM that was heard lately.
type Member struct{ Name, Zone string }

// Membership is which VMs of the region this one knows to be there.
type Membership struct {
	// Live are those heard lately, this VM included, by name.
	Live []Member
	// Registered is the number of all registered VMs, this one included.
	Registered int
}

// Membership returns the VMs that are there now.
func (x *Exchange) Membership() Membership {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.region.membership(clock.Now())
}

func (r *region) membership(now time.Time) Membership {
	m := Membership{Live: []Member{{r.self.Name, r.self.Zone}}, Registered: len(r.peers) + 1}
	silent := r.silentPeers(now)
	for _, p := range r.peers {
		if !silent(p) {
			m.Live = append(m.Live, Member{p.Name, p.Zone})
		}
	}
	slices.SortFunc(m.Live, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return m
}

// silentPeers returns what tells which of the other VMs are silent. In a large region a VM hears
// only some of them itself: a collector those of its zone and the other collectors, a member its
// collector.
func (r *region) silentPeers(now time.Time) func(Peer) bool {
	unheard := func(p Peer) bool { return now.Sub(r.heardAt[p.Name]) >= MemberTimeout }
	switch {
	case !r.collected():
		return unheard
	case !r.collects(now):
		r.collectsSince = time.Time{}
		report := r.silentRegion
		return func(p Peer) bool { return now.Sub(report.at) >= MemberTimeout || report.names[Hash(p.Name)] }
	}
	if r.collectsSince.IsZero() {
		r.collectsSince = now
	}
	return func(p Peer) bool {
		if p.Zone == r.self.Zone {
			// The members of a zone turn to a new collector only when the one before it is silent.
			return unheard(p) && now.Sub(r.collectsSince) >= MemberTimeout
		}
		report := r.silentZones[p.Zone]
		return now.Sub(report.at) >= MemberTimeout || report.names[Hash(p.Name)]
	}
}

// silence is which VMs a collector found silent, by the hash of their names.
type silence struct {
	at    time.Time
	names map[uint32]bool
}

func silenceOf(now time.Time, load *sharepb.Load) silence {
	s := silence{at: now}
	if len(load.Silent) > 0 {
		s.names = make(map[uint32]bool, len(load.Silent))
		for _, name := range load.Silent {
			s.names[name] = true
		}
	}
	return s
}

// hearSilence takes in which VMs another collector, or the own one, finds silent.
func (r *region) hearSilence(now time.Time, load *sharepb.Load) {
	switch own := load.Zone == r.self.Zone; {
	case load.NoWork:
	case own && load.RegionSum:
		r.silentRegion = silenceOf(now, load)
	case !own && load.ZoneSum:
		r.silentZones[load.Zone] = silenceOf(now, load)
	}
}

// silentRefresh is how often a collector looks anew which VMs are silent: its datagrams are many.
const silentRefresh = 100 * time.Millisecond

// silentHashes are the silent VMs as a collector tells them: those of its zone, or of the region.
func (r *region) silentHashes(now time.Time, of scope) []uint32 {
	if of == ofVM {
		return nil
	}
	if now.Sub(r.silentAt) >= silentRefresh {
		r.silentAt, r.silentOwn, r.silentAll = now, nil, nil
		silent := r.silentPeers(now)
		for _, p := range r.peers {
			if !silent(p) {
				continue
			}
			r.silentAll = append(r.silentAll, Hash(p.Name))
			if p.Zone == r.self.Zone {
				r.silentOwn = append(r.silentOwn, Hash(p.Name))
			}
		}
	}
	if of == ofZone {
		return r.silentOwn
	}
	return r.silentAll
}
