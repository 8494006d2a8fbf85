package settings

import "slices"

// Origin identifies the source of an effective value.
type Origin struct {
	// Section is the section that sets the value; the zero Section means the built-in default.
	Section Section
	// Line is the line number, starting from one, or zero for a built-in value.
	Line int
}

// BuiltIn reports whether the value is the key's built-in default.
func (o Origin) BuiltIn() bool { return o.Section == Section{} }

// String returns the section in brackets, or built-in.
func (o Origin) String() string {
	if o.BuiltIn() {
		return "built-in"
	}
	return "[" + o.Section.String() + "]"
}

// Effective returns the effective value of a key for a section, and its origin. A section for one
// zone (such as a pool in a zone) need not be in the text if the general section and the zone are.
// The error is *NoSuchError.
func (t *Tree) Effective(scope Section, key string) (Value, Origin, error) {
	k, found := Lookup(scope.Kind, key)
	if !found || !t.doc.exists(scope) {
		return Value{}, Origin{}, &NoSuchError{Section: scope, Key: key}
	}
	v, origin := t.doc.effective(k, t.doc.chain(scope))
	return v, origin, nil
}

// exists reports whether a section is in the text; a section for one zone exists if the general
// section and the zone do.
func (d *document) exists(s Section) bool {
	if s.Kind == Defaults {
		return true
	}
	_, found := d.sections[Section{Kind: s.Kind, Name: s.Name}]
	if s.Zone != "" {
		_, zoneFound := d.sections[Section{Kind: ZoneKind, Name: s.Zone}]
		found = found && zoneFound
	}
	return found
}

// effective looks up a key along a chain of sections.
func (d *document) effective(k *Key, chain []Section) (Value, Origin) {
	if k.NotInherited {
		chain = chain[:1]
	}
	for _, s := range chain {
		if e, found := d.value(s, k.Name); found && allowedIn(k, s) {
			return e.parsed, Origin{Section: s, Line: e.line + 1}
		}
	}
	return defaultValues[k], Origin{}
}

// allowedIn reports whether the key may be set in the section. It also distinguishes keys along a
// chain that have the same name but different meanings.
func allowedIn(k *Key, s Section) bool {
	return slices.Contains(k.Kinds, s.Kind) && (s.Zone == "" || !(k.NotInherited || k.AllZones))
}

// chain returns the sections from which a scope inherits its values, the most specific first. It is
// the only definition of the inheritance order.
func (d *document) chain(s Section) []Section {
	switch s.Kind {
	case PoolKind, ServiceKind:
		return append(d.lineage(s), d.zoneChain(s.Zone)...)
	case EndpointKind:
		return append([]Section{s}, d.chain(d.owner(s))...)
	case OrgKind:
		return append(d.lineage(s), Section{Kind: Defaults})
	case ZoneKind:
		return d.zoneChain(s.Name)
	case RegionKind, ModelKind:
		return []Section{s, {Kind: Defaults}}
	case EntryKind, ControllerKind:
		return []Section{s, {Kind: ProcessKind}}
	}
	return []Section{s}
}

// lineage returns a section and its parents. If s has a zone, each is preceded by its section for
// that zone.
func (d *document) lineage(s Section) []Section {
	var out []Section
	seen := map[string]bool{}
	for name := s.Name; name != "" && !seen[name]; {
		seen[name] = true
		if s.Zone != "" {
			out = append(out, Section{Kind: s.Kind, Name: name, Zone: s.Zone})
		}
		general := Section{Kind: s.Kind, Name: name}
		out = append(out, general)
		parent, _ := d.value(general, "parent")
		name = parent.value
	}
	return out
}

// zoneChain returns the sections of a zone: the zone, its region and the defaults. An empty zone
// has only the defaults.
func (d *document) zoneChain(zone string) []Section {
	var out []Section
	if zone != "" {
		s := Section{Kind: ZoneKind, Name: zone}
		out = append(out, s)
		if region, found := d.value(s, "region"); found {
			out = append(out, Section{Kind: RegionKind, Name: region.value})
		}
	}
	return append(out, Section{Kind: Defaults})
}

// owner returns the section of an endpoint's pool or service for the endpoint's zone.
func (d *document) owner(s Section) Section {
	zone, _ := d.value(s, "zone")
	if pool, found := d.value(s, "pool"); found {
		return Section{Kind: PoolKind, Name: pool.value, Zone: zone.value}
	}
	service, _ := d.value(s, "service")
	return Section{Kind: ServiceKind, Name: service.value, Zone: zone.value}
}
