package routing

import (
	"slices"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/prefix"
)

// cheapest returns the candidate of the given role with the lowest cost for a stage, or an Estimate
// without an endpoint.
func (d *decider) cheapest(stage Stage, role engine.Role) Estimate {
	var best Estimate
	consider := func(e *fleet.Endpoint) {
		best = cheaper(best, d.estimate(e, stage))
	}
	for _, hit := range d.hits[:d.nhits] {
		e := d.s.At(hit.Slot)
		if e != nil && e.Available() && e.Role == role && serves(e, d.r) && d.passesFilters(e) {
			d.considered++
			consider(e)
		}
	}
	d.sample(d.s.Engines(d.r.Artifact, role), consider)
	return best
}

// serves reports whether e has loaded the artifact that r requests.
func serves(e *fleet.Endpoint, r *Request) bool {
	for _, a := range e.Loaded {
		if a.Model != r.Artifact.Model || a.Adapter != r.Artifact.Adapter {
			continue
		}
		if r.Artifact.Version == "" || r.Artifact.Version == a.Version {
			return true
		}
	}
	return false
}

// sample calls f for up to RandomCandidates random members that pass the filters. If none of the
// random draws passes, it scans the whole group from a random position, so that a usable member is
// found whenever there is one.
func (d *decider) sample(members []prefix.Slot, f func(*fleet.Endpoint)) {
	if len(members) <= d.cfg.RandomCandidates {
		for _, slot := range members {
			d.visit(slot, f)
		}
		return
	}
	if !d.drawRandom(members, f) {
		d.scan(members, f)
	}
}

// drawRandom draws a bounded number of members without replacement, using Floyd's algorithm, and
// reports whether any of them was usable.
func (d *decider) drawRandom(members []prefix.Slot, f func(*fleet.Endpoint)) bool {
	var buf [4 * maxHits]int
	drawn := buf[:0]
	usable := 0
	draws := min(len(members), cap(buf), 3*d.cfg.RandomCandidates)
	for i := len(members) - draws; i < len(members) && usable < d.cfg.RandomCandidates; i++ {
		index := d.rng.IntN(i + 1)
		if slices.Contains(drawn, index) {
			index = i
		}
		drawn = append(drawn, index)
		if d.visit(members[index], f) {
			usable++
		}
	}
	return usable > 0
}

// scan visits all members from a random position up to the first usable one.
func (d *decider) scan(members []prefix.Slot, f func(*fleet.Endpoint)) {
	start := d.rng.IntN(len(members))
	for i := range members {
		if d.visit(members[(start+i)%len(members)], f) {
			return
		}
	}
}

// visit calls f if the endpoint in slot passes the filters, and reports whether it does.
func (d *decider) visit(slot prefix.Slot, f func(*fleet.Endpoint)) bool {
	e := d.s.At(slot)
	if !d.passesFilters(e) {
		return false
	}
	d.considered++
	f(e)
	return true
}

func (d *decider) passesFilters(e *fleet.Endpoint) bool {
	for _, f := range d.cfg.Filters {
		if !f.Accept(e, d.r) {
			return false
		}
	}
	return true
}

// cheaper returns the cheaper of two estimates. An estimate without an endpoint never wins over one
// that has an endpoint.
func cheaper(a, b Estimate) Estimate {
	if a.Endpoint == nil || b.Endpoint != nil && b.Cost < a.Cost {
		return b
	}
	return a
}
