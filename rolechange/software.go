package rolechange

import (
	"math"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
)

// Engines of different software versions cannot continue each other's streams or import each other's KV
// caches. Each version therefore needs engines that decode, or its streams cannot go on, and its share of
// those that prefill.

const (
	// shortPatience is how long a software version must have too few engines that decode before one more is
	// ordered to: engines are often replaced by others of the same role, one after the other.
	shortPatience = time.Second
	// minSkew is the least deviation of a version from its share of the prefill engines, in engines, at
	// which one of its engines is moved. Each order takes an engine out of service for seconds.
	minSkew = 1.5
)

// softwareCounts holds the number of engines by role for each software version, once the pending changes
// are complete.
type softwareCounts map[directory.Software]RoleCounts

// total returns the number of engines by role over all versions.
func (s softwareCounts) total() RoleCounts {
	var all RoleCounts
	for _, counts := range s {
		all.Prefill += counts.Prefill
		all.Decode += counts.Decode
	}
	return all
}

// add counts an engine of a role.
func (s softwareCounts) add(software directory.Software, role engine.Role) {
	counts := s[software]
	if role == engine.Prefill {
		counts.Prefill++
	} else {
		counts.Decode++
	}
	s[software] = counts
}

// minDecodeOfVersion returns the least number of engines of a version that decode: two of three or more, so that
// streams go on when one of them leaves. While another takes its role, nothing decodes for the version.
func minDecodeOfVersion(total int) int {
	if total < 3 {
		return 1
	}
	return 2
}

// missing returns how many engines that decode a version lacks.
func (s softwareCounts) missing(software directory.Software) int {
	counts := s[software]
	return max(0, minDecodeOfVersion(counts.total())-counts.Decode)
}

// mayMove reports whether an engine of a software version may move to a role. Those that decode stay if the
// version has no more than it needs. A single version has the limits of a Balancer.
func (s softwareCounts) mayMove(software directory.Software, to engine.Role) bool {
	return to != engine.Prefill || len(s) == 1 || s[software].Decode > minDecodeOfVersion(s[software].total())
}

// deviation returns by how many prefill engines a version exceeds its share of want, the number for all
// versions together.
func (s softwareCounts) deviation(software directory.Software, want int) float64 {
	counts, n := s[software], s.total().total()
	return float64(counts.Prefill) - float64(want)*float64(counts.total())/float64(max(1, n))
}

// surplus returns by how many engines a version exceeds its share of those that do not have a role.
func (s softwareCounts) surplus(software directory.Software, want int, to engine.Role) float64 {
	if to == engine.Prefill {
		return -s.deviation(software, want)
	}
	return s.deviation(software, want)
}

// move counts an engine that moves to a role.
func (s softwareCounts) move(software directory.Software, to engine.Role) {
	counts := s[software]
	if to == engine.Prefill {
		s[software] = RoleCounts{Prefill: counts.Prefill + 1, Decode: counts.Decode - 1}
		return
	}
	s[software] = RoleCounts{Prefill: counts.Prefill - 1, Decode: counts.Decode + 1}
}

// short returns the software version that lacks most engines that decode, if one does.
func (s softwareCounts) short() (software directory.Software, found bool) {
	for candidate, counts := range s {
		if counts.Prefill > 0 && s.missing(candidate) > 0 && (!found || s.missing(candidate) > s.missing(software) || counts.Decode < s[software].Decode) {
			software, found = candidate, true
		}
	}
	return software, found
}

// skewed returns the software version that deviates most from its share of the prefill engines, and the
// role to which one of its engines has to move, if that is worth an order.
func (s softwareCounts) skewed(want int) (software directory.Software, to engine.Role, found bool) {
	largest := minSkew
	for candidate := range s {
		deviation := s.deviation(candidate, want)
		role := engine.Decode
		if deviation < 0 {
			role = engine.Prefill
		}
		if math.Abs(deviation) >= largest && s.mayMove(candidate, role) {
			software, to, found, largest = candidate, role, true, math.Abs(deviation)
		}
	}
	return software, to, found
}

// corrections is the state of the moves that are due to the software versions of a service.
type corrections struct {
	// shortSince is since when a version has had too few engines that decode; zero if none has.
	shortSince time.Time
	// decoded holds the versions that have had an engine that decodes, and so may have streams.
	decoded map[directory.Software]bool
	// skewedAt is when an engine was last moved because of its version's share.
	skewedAt time.Time
}

// record records which versions have engines that decode.
func (c *corrections) record(counts softwareCounts) {
	for software, n := range counts {
		if n.Decode > 0 {
			c.decoded[software] = true
		}
	}
	for software := range c.decoded {
		if _, present := counts[software]; !present {
			delete(c.decoded, software)
		}
	}
}

// correct returns the move of an engine whose software version has too few engines that decode or, if no other
// change is pending, too many or too few that prefill. A version that has lost its last engine that decodes gets
// one at once, since its streams wait for it.
func (c *Controller) correct(service string, engines []*directory.Endpoint, counts softwareCounts, want int) (move, bool) {
	state, now := c.corrections[service], c.cfg.Now()
	if state == nil {
		state = &corrections{decoded: map[directory.Software]bool{}}
		c.corrections[service] = state
	}
	state.record(counts)
	if len(counts) < 2 {
		return move{}, false
	}
	software, found := counts.short()
	if !found {
		state.shortSince = time.Time{}
		return c.correctSkew(state, engines, counts, want)
	}
	if state.shortSince.IsZero() {
		state.shortSince = now
	}
	streamsWait := counts[software].Decode == 0 && state.decoded[software]
	if !streamsWait && now.Sub(state.shortSince) < shortPatience {
		return move{}, false
	}
	return c.moveOf(software, engines, counts, want, engine.Decode)
}

// correctSkew returns the move of an engine whose software version has too many or too few that prefill.
func (c *Controller) correctSkew(state *corrections, engines []*directory.Endpoint, counts softwareCounts, want int) (move, bool) {
	now := c.cfg.Now()
	if len(c.Changing()) > 0 || now.Sub(state.skewedAt) < c.cfg.Balance.Pause {
		return move{}, false
	}
	software, to, found := counts.skewed(want)
	if !found {
		return move{}, false
	}
	state.skewedAt = now
	return c.moveOf(software, engines, counts, want, to)
}

// moveOf returns the move of an engine of a software version to a role.
func (c *Controller) moveOf(software directory.Software, engines []*directory.Endpoint, counts softwareCounts, want int, to engine.Role) (move, bool) {
	e := c.pick(ofSoftware(engines, software), counts, want, to)
	if e == nil {
		return move{}, false
	}
	klog.InfoS("rolechange: engine moves because of its software version", "service", software.Service, "endpoint", e.ID, "software", software.Version,
		"to", to, "prefill", counts[software].Prefill, "decode", counts[software].Decode)
	return move{e, to}, true
}

// ofSoftware returns the engines of a software version.
func ofSoftware(engines []*directory.Endpoint, software directory.Software) []*directory.Endpoint {
	var list []*directory.Endpoint
	for _, e := range engines {
		if e.Software() == software {
			list = append(list, e)
		}
	}
	return list
}
