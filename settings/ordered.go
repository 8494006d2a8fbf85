package settings

import "fmt"

// orderedPair is a pair of keys; the value of low must not exceed that of high.
type orderedPair struct{ low, high string }

var orderedPairs = []orderedPair{
	{"retry-backoff", "retry-backoff-limit"},
	{"eject-time", "eject-time-limit"},
	{"deadline-interactive", "deadline-limit"},
	{"deadline-standard", "deadline-limit"},
	{"deadline-batch", "deadline-limit"},
}

// checkOrdered compares the effective values of each pair in every scope, because values that are
// valid in a pool and in its zone may be invalid in combination.
func checkOrdered(d *document) {
	type report struct {
		line int
		key  string
	}
	reported := map[report]bool{}
	for _, scope := range d.scopes() {
		chain := d.chain(scope)
		for _, p := range orderedPairs {
			low, found := Lookup(scope.Kind, p.low)
			if !found {
				continue
			}
			high, _ := Lookup(scope.Kind, p.high)
			lowValue, lowOrigin := d.effective(low, chain)
			highValue, highOrigin := d.effective(high, chain)
			if lowValue.number <= highValue.number {
				continue
			}
			// At least one of them is set, because the built-in values are ordered.
			key, origin := low, lowOrigin
			if origin.BuiltIn() {
				key, origin = high, highOrigin
			}
			r := report{origin.Line, key.Name}
			if !reported[r] {
				reported[r] = true
				text := fmt.Sprintf("%s = %s (%s) and %s = %s (%s) for [%s]", low.Name, lowValue.text, lowOrigin, high.Name, highValue.text, highOrigin, scope)
				d.problem(origin.Line-1, origin.Section.String(), key.Name, Clash, text, fmt.Sprintf("%s at most %s", low.Name, high.Name))
			}
		}
	}
}

// scopes returns every general section, and each pool and service for each zone.
func (d *document) scopes() []Section {
	var zones []string
	for _, s := range d.order {
		if s.Kind == ZoneKind {
			zones = append(zones, s.Name)
		}
	}
	var out []Section
	for _, s := range d.order {
		if s.Zone != "" {
			continue
		}
		out = append(out, s)
		if s.Kind.perZone() {
			for _, zone := range zones {
				out = append(out, Section{Kind: s.Kind, Name: s.Name, Zone: zone})
			}
		}
	}
	return out
}
