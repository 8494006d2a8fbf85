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

func (c Count) all() int { return c.Ordinary + c.Revocable }

// Settings bound a Planner.
type Settings struct {
	// Floor is the part of the base that is kept of ordinary endpoints.
	Floor float64
	// Spare is how many revocable endpoints are wanted, as a part of the base.
	Spare float64
	// Calm is how long there must have been enough without an ordinary endpoint before it goes.
	Calm time.Duration
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{Floor: 0.2, Spare: 2, Calm: 3 * time.Second}
}

// Planner says how many endpoints of a service there should be. It belongs to one goroutine.
type Planner struct {
	set Settings
	// base is the number that must not be fallen below.
	base int
	// enough is since when there were enough without some of the ordinary ones; zero if there are
	// not.
	enough time.Time
}

// NewPlanner returns a planner of a service that needs base endpoints.
func NewPlanner(set Settings, base int) *Planner { return &Planner{set: set, base: base} }

// Plan returns what is wanted in each zone, given what serves there now.
func (p *Planner) Plan(now time.Time, scale *routes.Scale, have map[string]Count) map[string]Count {
	zones := p.byPrice(scale, have)
	want := map[string]Count{}
	floor := max(scale.Min, ceilDiv(int(math.Ceil(p.set.Floor*float64(p.base))), len(zones)))
	spare := 0
	if scale.RevocablePrice > 0 && scale.RevocablePrice < 1 {
		spare = ceilDiv(int(math.Ceil(p.set.Spare*float64(p.base))), len(zones))
	}
	needed := max(p.base-safe(have), floor*len(zones))
	for _, zone := range zones {
		share := max(floor, ceilDiv(needed, len(zones)))
		want[zone] = Count{Ordinary: min(share, scale.Max)}
	}
	p.slowly(now, have, want)
	for _, zone := range zones {
		w := want[zone]
		w.Revocable = max(0, min(spare, scale.Max-max(w.Ordinary, have[zone].Ordinary)))
		want[zone] = w
	}
	return want
}

// safe is how many revocable endpoints are left when all those of one zone are taken away.
func safe(have map[string]Count) int {
	all, most := 0, 0
	for _, c := range have {
		all += c.Revocable
		most = max(most, c.Revocable)
	}
	return all - most
}

// slowly keeps ordinary endpoints that are there until they have not been needed for a while.
func (p *Planner) slowly(now time.Time, have, want map[string]Count) {
	more := false
	for zone, w := range want {
		more = more || have[zone].Ordinary > w.Ordinary
	}
	switch {
	case !more:
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
func (p *Planner) byPrice(scale *routes.Scale, have map[string]Count) []string {
	var zones []string
	for zone := range have {
		zones = append(zones, zone)
	}
	slices.SortFunc(zones, func(a, b string) int {
		return cmp.Or(cmp.Compare(scale.ZonePrices[a], scale.ZonePrices[b]), cmp.Compare(a, b))
	})
	return zones
}

func ceilDiv(a, b int) int { return (a + b - 1) / max(1, b) }
