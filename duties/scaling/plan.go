package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/springweir/springweir/routes"
)

// Count holds the number of endpoints of each kind. Revocable endpoints can be reclaimed by the
// platform, ordinary ones cannot.
type Count struct{ Ordinary, Revocable int }

// Zone holds the endpoints of a service in one availability zone.
type Zone struct {
	Count
	// Starting counts revocable endpoints that were ordered and may still be starting, and StartingOrdinary ordinary ones.
	Starting, StartingOrdinary int
	// Unavailable reports that the platform has recently refused to start revocable endpoints.
	Unavailable bool
}

// Settings holds the limits of a Planner.
type Settings struct {
	// OrdinaryFloor is the fraction of the base that is always kept as ordinary endpoints.
	OrdinaryFloor float64
	// RevocableTarget is the desired number of revocable endpoints, as a multiple of the base.
	RevocableTarget float64
	// ZoneLossReserve is the fraction of the base that must remain when all revocable endpoints of
	// any one zone are reclaimed.
	ZoneLossReserve float64
	// LostFraction is the fraction of the base below which the service counts as lost: ordinary endpoints that are starting
	// are not cancelled then for revocable ones that are starting too, and may be reclaimed before they serve.
	LostFraction float64
	// ScaleInDelay is how long ordinary endpoints must be surplus before they are removed.
	ScaleInDelay time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{OrdinaryFloor: 0.1, RevocableTarget: 2, ZoneLossReserve: 1, LostFraction: 0.5, ScaleInDelay: 2 * time.Second}
}

// Planner computes how many endpoints a service should have in each zone: as many revocable
// endpoints as are useful, because they cost a fraction of the price, and ordinary ones for the
// rest. It must be used by one goroutine only.
type Planner struct {
	settings Settings
	// base is the minimum number of endpoints in all zones together.
	base int
	// held is the need that the plan follows; zero while there is no forecast.
	held need
	// surplusSince is the time since which there have been more ordinary endpoints than required;
	// zero if there is no surplus.
	surplusSince time.Time
}

// NewPlanner returns a planner for a service with the given base.
func NewPlanner(s Settings, base int) *Planner { return &Planner{settings: s, base: base} }

// Plan returns the target counts of each zone, given the current ones and a forecast. Without a
// forecast they are those for the base.
func (p *Planner) Plan(now time.Time, scale *routes.Scale, current map[string]Zone, f Forecast) map[string]Count {
	zones := zonesByPrice(scale, current)
	r := p.require(scale, len(zones), f)
	target := map[string]Count{}
	for i, zone := range zones {
		counts, perZone := current[zone], r.perZone
		if i >= len(zones)-r.reduced {
			perZone--
		}
		// Revocable endpoints are never removed to make room for ordinary ones.
		revocable := max(min(counts.Revocable, perZone), min(perZone, scale.Max-counts.Ordinary))
		target[zone] = Count{Revocable: max(revocable, counts.Revocable-r.release)}
	}
	p.distribute(scale, zones, current, target, p.ordinaryTarget(now, scale, current, target, r))
	for zone, counts := range target {
		counts.Ordinary = max(counts.Ordinary, current[zone].Ordinary-r.release)
		target[zone] = counts
	}
	return target
}

// ordinaryTarget returns the number of ordinary endpoints wanted in all zones together. Ordinary
// endpoints are removed only after the revocable ones that replace them are serving; none are added
// in place of revocable ones that are still starting. By demand, none are added in place of revocable
// ones that are about to be ordered, unless the platform has refused these.
func (p *Planner) ordinaryTarget(now time.Time, scale *routes.Scale, current map[string]Zone, target map[string]Count, r requirement) int {
	total, starting, all := 0, 0, 0
	serving, expected := map[string]int{}, map[string]int{}
	for zone, counts := range current {
		total += counts.Ordinary
		starting += counts.StartingOrdinary
		all += counts.Ordinary + counts.Revocable
		serving[zone] = counts.Revocable
		expected[zone] = counts.Revocable + counts.Starting
		if r.byDemand && !counts.Unavailable {
			expected[zone] = max(expected[zone], target[zone].Revocable)
		}
	}
	required := r.ordinary(scale, serving)
	if total <= required {
		p.surplusSince = time.Time{}
		wanted := max(total, r.ordinary(scale, expected))
		if all < p.ofBase(p.settings.LostFraction) {
			wanted = max(wanted, min(total+starting, required))
		}
		return wanted
	}
	if p.surplusSince.IsZero() {
		p.surplusSince = now
	}
	if now.Sub(p.surplusSince) < p.settings.ScaleInDelay {
		return total
	}
	return required
}

// ofBase returns a fraction of the base, rounded up.
func (p *Planner) ofBase(fraction float64) int { return int(math.Ceil(fraction * float64(p.base))) }

// distribute assigns number ordinary endpoints to the zones round-robin, cheapest zone first, up to
// each zone's maximum.
func (p *Planner) distribute(scale *routes.Scale, zones []string, current map[string]Zone, target map[string]Count, number int) {
	for assigned := true; assigned && number > 0; {
		assigned = false
		for _, zone := range zones {
			counts := target[zone]
			if number == 0 || counts.Ordinary+current[zone].Revocable >= scale.Max {
				continue
			}
			counts.Ordinary++
			number--
			target[zone], assigned = counts, true
		}
	}
}

// zonesByPrice returns the zones sorted by price, cheapest first.
func zonesByPrice(scale *routes.Scale, current map[string]Zone) []string {
	var zones []string
	for zone := range current {
		zones = append(zones, zone)
	}
	slices.SortFunc(zones, func(a, b string) int {
		return cmp.Or(cmp.Compare(scale.ZonePrices[a], scale.ZonePrices[b]), cmp.Compare(a, b))
	})
	return zones
}
