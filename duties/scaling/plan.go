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

// Zone is what there is of a service in a zone.
type Zone struct {
	Count
	// Coming are revocable endpoints that were ordered and may still be starting.
	Coming int
}

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
	return Settings{Floor: 0.1, Spare: 2, Insured: 1, Calm: 2 * time.Second}
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

// Plan returns what is wanted in each zone, given what there is now.
func (p *Planner) Plan(now time.Time, scale *routes.Scale, have map[string]Zone) map[string]Count {
	zones := byPrice(scale, have)
	want := map[string]Count{}
	spare := p.spare(scale, len(zones))
	for _, zone := range zones {
		h := have[zone]
		// Room is never made for more ordinary ones by taking others away.
		want[zone] = Count{Revocable: max(min(h.Revocable, spare), min(spare, scale.Max-h.Ordinary))}
	}
	p.spread(scale, zones, have, want, p.ordinary(now, scale, have))
	return want
}

// ordinary is how many ordinary endpoints there should be in all zones together. Those that revocable
// ones are to replace go only once these serve; none are added for what is about to serve.
func (p *Planner) ordinary(now time.Time, scale *routes.Scale, have map[string]Zone) int {
	there := 0
	serving, expected := map[string]int{}, map[string]int{}
	for zone, h := range have {
		there += h.Ordinary
		serving[zone] = h.Revocable
		expected[zone] = h.Revocable + h.Coming
	}
	enough := p.needed(scale, serving)
	if there <= enough {
		p.enough = time.Time{}
		return max(there, p.needed(scale, expected))
	}
	if p.enough.IsZero() {
		p.enough = now
	}
	if now.Sub(p.enough) < p.set.Calm {
		return there
	}
	return enough
}

// needed is how many ordinary endpoints are needed beside revocable ones, given by zone.
func (p *Planner) needed(scale *routes.Scale, revocable map[string]int) int {
	all, most, zones := 0, 0, 0
	for _, n := range revocable {
		all += n
		most = max(most, n)
		if n > 0 {
			zones++
		}
	}
	needed := max(p.part(p.set.Floor), p.base-all, scale.Min*len(revocable))
	if zones > 1 {
		needed = max(needed, p.part(p.set.Insured)-(all-most))
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
func (p *Planner) spread(scale *routes.Scale, zones []string, have map[string]Zone, want map[string]Count, number int) {
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

// byPrice returns the zones, the cheapest first.
func byPrice(scale *routes.Scale, have map[string]Zone) []string {
	var zones []string
	for zone := range have {
		zones = append(zones, zone)
	}
	slices.SortFunc(zones, func(a, b string) int {
		return cmp.Or(cmp.Compare(scale.ZonePrices[a], scale.ZonePrices[b]), cmp.Compare(a, b))
	})
	return zones
}
