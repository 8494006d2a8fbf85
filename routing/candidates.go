package routing

import (
	"slices"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/prefix"
)

// best returns the cheapest candidate of a role for a part of the work, or an
// estimate without endpoint.
func (d *decider) best(part Part, role engine.Role) Estimate {
	var best Estimate
	consider := func(e *fleet.Endpoint) {
		best = cheaper(best, d.estimate(e, part))
	}
	for _, hit := range d.hits[:d.nhits] {
		e := d.s.At(hit.Slot)
		if e != nil && e.Available() && e.Role == role && serves(e, d.r) && d.keep(e) {
			d.seen++
			consider(e)
		}
	}
	d.sample(d.s.Engines(d.r.Artifact, role), consider)
	return best
}

// serves tells whether e has loaded what r asks for.
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

// sample calls f for RandomCandidates random members that pass the filters. When the
// draws find none, it walks the whole group from a random place, so that a
// usable member is found if there is one.
func (d *decider) sample(members []prefix.Slot, f func(*fleet.Endpoint)) {
	if len(members) <= d.cfg.RandomCandidates {
		for _, slot := range members {
			d.offer(slot, f)
		}
		return
	}
	if !d.draw(members, f) {
		d.walk(members, f)
	}
}

// draw makes a bounded number of draws without replacement, and tells whether
// any was usable. It is Floyd's algorithm over the first draws.
func (d *decider) draw(members []prefix.Slot, f func(*fleet.Endpoint)) bool {
	var buf [4 * maxHits]int
	drawn := buf[:0]
	usable := 0
	draws := min(len(members), cap(buf), 3*d.cfg.RandomCandidates)
	for i := len(members) - draws; i < len(members) && usable < d.cfg.RandomCandidates; i++ {
		at := d.rng.IntN(i + 1)
		if slices.Contains(drawn, at) {
			at = i
		}
		drawn = append(drawn, at)
		if d.offer(members[at], f) {
			usable++
		}
	}
	return usable > 0
}

func (d *decider) walk(members []prefix.Slot, f func(*fleet.Endpoint)) {
	start := d.rng.IntN(len(members))
	for i := range members {
		if d.offer(members[(start+i)%len(members)], f) {
			return
		}
	}
}

func (d *decider) offer(slot prefix.Slot, f func(*fleet.Endpoint)) bool {
	e := d.s.At(slot)
	if !d.keep(e) {
		return false
	}
	d.seen++
	f(e)
	return true
}

func (d *decider) keep(e *fleet.Endpoint) bool {
	for _, f := range d.cfg.Filters {
		if !f.Keep(e, d.r) {
			return false
		}
	}
	return true
}

// cheaper returns the cheaper of two estimates; one without endpoint loses.
func cheaper(a, b Estimate) Estimate {
	if a.Endpoint == nil || b.Endpoint != nil && b.Cost < a.Cost {
		return b
	}
	return a
}
