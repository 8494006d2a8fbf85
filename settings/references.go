package settings

import (
	"fmt"
	"strings"
)

// checkReferences checks the references between sections: the sections referred to must exist, and
// references between sections of the same kind must not form cycles.
func checkReferences(d *document) {
	for _, s := range d.order {
		b := d.sections[s]
		d.checkZoneSection(b)
		for _, e := range b.entries {
			k, found := Lookup(s.Kind, e.name)
			if !found || k.References == "" {
				continue
			}
			d.checkNames(b, k, e)
			if k.NotInherited && k.References == s.Kind {
				d.checkCycle(b, k, e)
			}
		}
	}
}

// checkZoneSection checks that the general section and the zone of a section for one zone exist.
func (d *document) checkZoneSection(b *block) {
	s := b.section
	if s.Zone == "" {
		return
	}
	for _, need := range []Section{{Kind: s.Kind, Name: s.Name}, {Kind: ZoneKind, Name: s.Zone}} {
		if _, found := d.sections[need]; !found {
			d.problem(b.line, s.String(), "", Dangling, fmt.Sprintf("there is no [%s]", need), fmt.Sprintf("a section [%s], or %s", need, d.describeKnown(need.Kind)))
		}
	}
}

// checkNames checks that the sections that an entry refers to exist.
func (d *document) checkNames(b *block, k *Key, e entry) {
	names := e.parsed.list
	if k.Type == Name {
		names = []string{e.parsed.text}
	}
	for _, name := range names {
		need := Section{Kind: k.References, Name: name}
		if _, found := d.sections[need]; name != "" && !found {
			d.problem(e.line, b.section.String(), k.Name, Dangling, fmt.Sprintf("there is no [%s]", need), d.describeKnown(k.References))
		}
	}
}

// checkCycle follows a key from section to section of the same kind. A cycle is reported at each of
// its members, because any of them may be the mistake.
func (d *document) checkCycle(b *block, k *Key, from entry) {
	path := []string{b.section.Name}
	seen := map[string]bool{b.section.Name: true}
	for next := from.value; next != ""; {
		path = append(path, next)
		if next == b.section.Name {
			d.problem(from.line, b.section.String(), k.Name, Cycle, strings.Join(path, " -> "), "a chain that ends")
			return
		}
		if seen[next] {
			return
		}
		seen[next] = true
		e, _ := d.value(Section{Kind: k.References, Name: next}, k.Name)
		next = e.value
	}
}

// maxListed is the maximum number of names that a problem lists.
const maxListed = 8

// describeKnown describes the valid references to a kind by listing the names of its sections.
func (d *document) describeKnown(kind Kind) string {
	var names []string
	for _, s := range d.order {
		if s.Kind != kind || s.Zone != "" {
			continue
		}
		if len(names) == maxListed {
			names = append(names, "...")
			break
		}
		names = append(names, s.Name)
	}
	if len(names) == 0 {
		return fmt.Sprintf("a %s (the tree has none)", kind)
	}
	return fmt.Sprintf("a %s such as %s", kind, strings.Join(names, ", "))
}

// checkEndpoints checks that each endpoint belongs to either a pool or a service, and that its
// replacement is valid.
func checkEndpoints(d *document) {
	for _, s := range d.order {
		if s.Kind != EndpointKind {
			continue
		}
		b := d.sections[s]
		_, pool := b.find("pool")
		_, service := b.find("service")
		if pool == service {
			d.problem(b.line, s.String(), "pool", Clash, "an endpoint belongs to a pool or to a service", "exactly one of pool and service")
			continue
		}
		d.checkReplacement(b)
	}
}

// checkReplacement checks that an endpoint's replacement has the same pool or service and zone, and
// is not leaving itself.
func (d *document) checkReplacement(b *block) {
	e, found := b.find("replace-by")
	if !found || e.value == "" {
		return
	}
	next := Section{Kind: EndpointKind, Name: e.value}
	if d.owner(next) != d.owner(b.section) {
		d.problem(e.line, b.section.String(), "replace-by", Clash, fmt.Sprintf("%s belongs to [%s]", next.Name, d.owner(next)), fmt.Sprintf("an endpoint of [%s]", d.owner(b.section)))
	}
	// Once the endpoint itself is leaving, it has been replaced and replace-by has no effect.
	if _, leaves := d.leavingKey(b.section); leaves {
		return
	}
	if key, leaves := d.leavingKey(next); leaves {
		d.problem(e.line, b.section.String(), "replace-by", Clash, fmt.Sprintf("%s has %s = yes", next.Name, key), "an endpoint that stays")
	}
}

// leavingKey returns the key that marks an endpoint as leaving, if any.
func (d *document) leavingKey(endpoint Section) (string, bool) {
	for _, key := range []string{"drain", "withdrawn"} {
		if v, set := d.value(endpoint, key); set && v.parsed.Bool() {
			return key, true
		}
	}
	return "", false
}

// checkDistinct reports values that must be unique but are set in several sections, and pairs of
// values that are out of order.
func checkDistinct(d *document) {
	seen := map[string]Section{}
	for _, s := range d.order {
		for _, key := range []string{"address", "key-hashes"} {
			e, found := d.value(s, key)
			if !found {
				continue
			}
			for _, value := range append(e.parsed.List(), e.parsed.text) {
				d.checkUnique(seen, s, key, e, value)
			}
		}
	}
	checkOrdered(d)
}

// checkUnique reports a value that another section has already set for the key, and records it in
// seen.
func (d *document) checkUnique(seen map[string]Section, s Section, key string, e entry, value string) {
	if value == "" {
		return
	}
	id := key + "=" + value
	if first, taken := seen[id]; taken && first != s {
		d.problem(e.line, s.String(), key, Clash, fmt.Sprintf("%s stands also in [%s]", value, first), "a value of its own")
		return
	}
	seen[id] = s
}
