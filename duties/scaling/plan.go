package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/springweir/springweir/routes"
)

// Count is a number of endpoints of each kind.
type Count struct{ Ordinary, Revocable int }

// Settings bound a Planner.
type Settings struct {
	// Floor is the part of the base that is kept of ordinary endpoints, whatever there is of others.
	Floor float64
	// Spare is how many revocable endpoints are wanted, as a part of the base.
	Spare float64
	// Insured is the part of the base that is to be left when all revocable endpoints of any one zone
	// are taken away.
	Insured float64
	// Calm is for how long an ordinary endpoint must not have been needed before it goes.
	Calm time.Duration
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{Floor: 0.2, Spare: 2, Insured: 0.8, Calm: 2 * time.Second}
}

// Planner says how many endpoints of a service there should be: as many revocable ones as are of use,
// since they cost a part of the others, and ordinary ones for what these do not make up. It belongs
// to one goroutine.
type Planner struct {
	set Settings
	// base is the number of endpoints that there must be.
	base int
	// enough is since when some ordinary endpoints are not needed; zero if all are.
	enough time.Time
}

// NewPlanner returns a planner of a service that needs base endpoints.
func NewPlanner(set Settings, base int) *Planner { return &Planner{set: set, base: base} }

// Plan returns what is wanted in each zone, given what serves there now.
func (p *Planner) Plan(now time.Time, scale *routes.Scale, have map[string]Count) map[string]Count {
	zones := byPrice(scale, have)
	want := map[string]Count{}
	spare := p.spare(scale, len(zones))
	for _, zone := range zones {
		h := have[zone]
		// Room is never made for more ordinary ones by taking others away.
		want[zone] = Count{Revocable: max(min(h.Revocable, spare), min(spare, scale.Max-h.Ordinary))}
	}
	p.spread(scale, zones, have, want, p.ordinary(scale, have))
	p.keep(now, have, want)
	return want
}

// ordinary is how many ordinary endpoints are needed in all zones together.
func (p *Planner) ordinary(scale *routes.Scale, have map[string]Count) int {
	revocable, most, zones := 0, 0, 0
	for _, c := range have {
		revocable += c.Revocable
		most = max(most, c.Revocable)
		if c.Revocable > 0 {
			zones++
		}
	}
	needed := max(p.part(p.set.Floor), p.base-revocable, scale.Min*len(have))
	if zones > 1 {
		needed = max(needed, p.part(p.set.Insured)-(revocable-most))
	}
	return needed
}

// part is a part of the base, rounded up.
func (p *Planner) part(of float64) int { return int(math.Ceil(of * float64(p.base))) }

// spare is how many revocable endpoints are wanted in each zone. There must be room beside them for
// the ordinary ones that make up for those of a zone.
func (p *Planner) spare(scale *routes.Scale, zones int) int {
	if scale.RevocablePrice <= 0 || scale.RevocablePrice >= 1 {
		return 0
	}
	wanted := (p.part(p.set.Spare) + zones - 1) / zones
	if zones == 1 {
		return max(0, min(wanted, scale.Max-p.base))
	}
	return max(0, min(wanted, (scale.Max*zones-p.base)/(zones-1)))
}

// spread gives ordinary endpoints to the zones by turns, the cheapest first, as far as there is room.
func (p *Planner) spread(scale *routes.Scale, zones []string, have, want map[string]Count, number int) {
	for given := true; given && number > 0; {
		given = false
		for _, zone := range zones {
			w := want[zone]
			if number == 0 || w.Ordinary+have[zone].Revocable >= scale.Max {
				continue
			}
			w.Ordinary++
			number--
			want[zone], given = w, true
		}
	}
}

// keep keeps ordinary endpoints that are there until they have not been needed for a while.
func (p *Planner) keep(now time.Time, have, want map[string]Count) {
	unneeded := false
	for zone, w := range want {
		unneeded = unneeded || have[zone].Ordinary > w.Ordinary
	}
	switch {
	case !unneeded:
		p.enough = time.Time{}
		return
	case p.enough.IsZero():
		p.enough = now
	}
	if now.Sub(p.enough) >= p.set.Calm {
		return
	}
	for zone, w := range want {
		w.Ordinary = max(w.Ordinary, have[zone].Ordinary)
		want[zone] = w
	}
}

// byPrice returns the zones, the cheapest first.
func byPrice(scale *routes.Scale, have map[string]Count) []string {
	var zones []string
	for zone := range have {
		zones = append(zones, zone)
	}
	slices.SortFunc(zones, func(a, b string) int {
		return cmp.Or(cmp.Compare(scale.ZonePrices[a], scale.ZonePrices[b]), cmp.Compare(a, b))
	})
	return zones
}
