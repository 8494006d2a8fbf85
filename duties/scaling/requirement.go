package scaling

import (
	"math"

	"github.com/springweir/springweir/routes"
)

// requirement is what a plan must meet, in endpoints.
type requirement struct {
	// floor is the number of ordinary endpoints that is always kept, total the number of endpoints of
	// both kinds, and reserve the number that must remain when all revocable endpoints of any one
	// zone are reclaimed.
	floor, total, reserve int
	// perZone is the desired number of revocable endpoints in each zone.
	perZone int
	// reduced is the number of zones, the dearest ones, that need one revocable endpoint less.
	reduced int
	// release is the greatest number of endpoints of a kind that a zone may lose by one plan.
	release int
	// byDemand reports whether the requirement is that of a forecast.
	byDemand bool
}

// releaseStep is the number of endpoints of a zone and kind that are released at a time because the
// load does not need them. Orders that remove endpoints are stopStepInterval apart. A step in each of
// four zones of 26 removes fewer endpoints than the loss of 17% that the load has at times.
const releaseStep = 4

// require returns the requirement of a forecast, or that of the base without one.
func (p *Planner) require(scale *routes.Scale, zones int, f Forecast) requirement {
	if !f.Known {
		p.held = need{}
		return p.requireBase(scale, zones)
	}
	p.held = p.held.follow(needOf(f, p.base), !f.Incomplete)
	r := p.requireNeed(scale, zones).atMost(p.requireBase(scale, zones))
	if f.Incomplete {
		r.release = 0
	}
	return r
}

// atMost bounds a requirement by that of the base. The platform charges for each endpoint, and one that is ordered in a
// burst serves only seconds later and with an empty cache.
func (r requirement) atMost(base requirement) requirement {
	r.total = min(r.total, base.total)
	if r.perZone > base.perZone {
		r.perZone, r.reduced = base.perZone, 0
	}
	return r
}

// requireBase returns the requirement of the base.
func (p *Planner) requireBase(scale *routes.Scale, zones int) requirement {
	return requirement{
		floor: p.ofBase(p.settings.OrdinaryFloor), total: p.base, reserve: p.ofBase(p.settings.ZoneLossReserve),
		perZone: perZone(scale, zones, ceilDiv(p.ofBase(p.settings.RevocableTarget), zones), p.base),
		release: math.MaxInt32,
	}
}

// requireNeed returns the requirement of the need that the plan follows. The floor is
// a fraction of its reserve; one ordinary endpoint in each zone keeps the zone in the plan when its revocable
// ones are reclaimed. The revocable endpoints of each zone suffice for the total, and for the reserve
// when a zone is lost with its ordinary endpoints too.
func (p *Planner) requireNeed(scale *routes.Scale, zones int) requirement {
	reserve := int(math.Ceil(p.settings.ZoneLossReserve * float64(p.held.reserve)))
	r := requirement{
		floor: max(int(math.Ceil(p.settings.OrdinaryFloor*float64(reserve))), zones*max(1, scale.Min)),
		total: max(p.held.total, reserve), reserve: reserve, release: releaseStep, byDemand: true,
	}
	revocable := ceilDiv(r.total-r.floor, zones)
	if zones > 1 {
		revocable = max(revocable, ceilDiv(reserve-(r.floor-ceilDiv(r.floor, zones)), zones-1))
	}
	r.perZone = r.withRoom(scale, zones, revocable, p.base)
	for r.perZone < revocable && zones > 1 && (zones-1)*r.perZone+r.floor-ceilDiv(r.floor, zones) < reserve {
		r.floor++ // ordinary endpoints, spread evenly, make up for revocable ones without room
	}
	r.reduced = r.surplus(zones)
	return r
}

// surplus returns the number of revocable endpoints, less than one for each zone, that neither the
// total nor the reserve needs.
func (r requirement) surplus(zones int) int {
	if r.perZone == 0 || zones < 2 {
		return 0
	}
	ofTotal := zones*r.perZone + r.floor - r.total
	ofReserve := (zones-1)*r.perZone + r.floor - ceilDiv(r.floor, zones) - r.reserve
	return max(0, min(ofTotal, ofReserve, zones-1))
}

// ordinary returns the number of ordinary endpoints required beside the given revocable endpoints per
// zone.
func (r requirement) ordinary(scale *routes.Scale, revocable map[string]int) int {
	total, largest, zones := 0, 0, 0
	for _, n := range revocable {
		total += n
		largest = max(largest, n)
		if n > 0 {
			zones++
		}
	}
	required := max(r.floor, r.total-total, scale.Min*len(revocable))
	if zones > 1 {
		required = max(required, r.reserve-(total-largest))
	}
	return required
}

// perZone bounds the desired number of revocable endpoints of each zone. It leaves room below the
// zones' maxima for the ordinary endpoints that replace the revocable ones of one zone, so that
// total endpoints remain.
func perZone(scale *routes.Scale, zones, desired, total int) int {
	if scale.RevocablePrice <= 0 || scale.RevocablePrice >= 1 {
		return 0
	}
	if zones == 1 {
		return max(0, min(desired, scale.Max-total))
	}
	return max(0, min(desired, (scale.Max*zones-total)/(zones-1)))
}

// withRoom bounds the desired number of revocable endpoints of each zone, so that the zones' maxima
// leave room for the ordinary endpoints that are required when those of one zone are reclaimed. Room
// is kept for no more than the base.
func (r requirement) withRoom(scale *routes.Scale, zones, desired, base int) int {
	if zones == 1 || scale.RevocablePrice <= 0 || scale.RevocablePrice >= 1 {
		return perZone(scale, zones, desired, r.total)
	}
	for n := min(desired, scale.Max); n > 0; n-- {
		ordinary := max(r.floor, min(r.total, base)-(zones-1)*n, min(r.reserve, base)-(zones-2)*n)
		if n+ceilDiv(ordinary, zones) <= scale.Max {
			return n
		}
	}
	return 0
}

// ceilDiv returns a/b, rounded up; at least zero.
func ceilDiv(a, b int) int { return max(0, a+b-1) / max(1, b) }
