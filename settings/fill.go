package settings

import (
	"cmp"
	"reflect"
	"slices"
	"strings"
	"time"
)

// newTree computes the effective values of a validated document.
func newTree(d *document) *Tree {
	t := &Tree{doc: d, byHash: map[string]*Organisation{}}
	fill(d, Section{Kind: Defaults}, &t.fleet)
	for _, s := range d.order {
		if s.Zone == "" {
			t.add(s)
		}
	}
	sortByName(t.zones, func(z Zone) string { return z.Name })
	sortByName(t.pools, func(p Pool) string { return p.Name })
	sortByName(t.services, func(s Service) string { return s.Name })
	sortByName(t.endpoints, func(e Endpoint) string { return e.Name })
	sortByName(t.organisations, func(o Organisation) string { return o.Name })
	sortByName(t.models, func(m Model) string { return m.Name })
	t.fillZones()
	for i := range t.organisations {
		for _, hash := range t.organisations[i].KeyHashes {
			t.byHash[hash] = &t.organisations[i]
		}
	}
	return t
}

func sortByName[T any](list []T, nameOf func(T) string) {
	slices.SortFunc(list, func(a, b T) int { return cmp.Compare(nameOf(a), nameOf(b)) })
}

func (t *Tree) add(s Section) {
	switch s.Kind {
	case ZoneKind:
		zone := Zone{Name: s.Name}
		fill(t.doc, s, &zone)
		t.zones = append(t.zones, zone)
	case PoolKind:
		pool := Pool{Name: s.Name}
		fill(t.doc, s, &pool)
		t.pools = append(t.pools, pool)
	case ServiceKind:
		service := Service{Name: s.Name}
		fill(t.doc, s, &service)
		t.services = append(t.services, service)
	case EndpointKind:
		endpoint := Endpoint{Name: s.Name}
		fill(t.doc, s, &endpoint)
		endpoint.VM = cmp.Or(endpoint.VM, s.Name)
		t.endpoints = append(t.endpoints, endpoint)
	case OrgKind:
		organisation := Organisation{Name: s.Name}
		fill(t.doc, s, &organisation)
		t.organisations = append(t.organisations, organisation)
	case ModelKind:
		model := Model{Name: s.Name}
		fill(t.doc, s, &model)
		model.Adapters = t.adapters(s)
		t.models = append(t.models, model)
	}
}

func (t *Tree) adapters(model Section) []Adapter {
	var out []Adapter
	e, _ := t.doc.value(model, "adapters")
	for _, item := range e.parsed.list {
		name, version, _ := strings.Cut(item, "@")
		out = append(out, Adapter{Name: name, Version: version})
	}
	return out
}

// fillZones computes the values of each pool and service in each zone.
func (t *Tree) fillZones() {
	for i := range t.pools {
		p := &t.pools[i]
		p.byZone = map[string]PoolSettings{}
		for _, zone := range t.zones {
			var v PoolSettings
			fill(t.doc, Section{Kind: PoolKind, Name: p.Name, Zone: zone.Name}, &v)
			p.byZone[zone.Name] = v
		}
	}
	for i := range t.services {
		s := &t.services[i]
		s.byZone = map[string]ServiceSettings{}
		for _, zone := range t.zones {
			var v ServiceSettings
			fill(t.doc, Section{Kind: ServiceKind, Name: s.Name, Zone: zone.Name}, &v)
			s.byZone[zone.Name] = v
		}
	}
}

// fill sets the fields with a key tag of the struct that target points to, including those of
// nested structs, to the effective values of a scope.
func fill(d *document, scope Section, target any) {
	fillStruct(d, scope.Kind, d.chain(scope), reflect.ValueOf(target).Elem())
}

func fillStruct(d *document, kind Kind, chain []Section, target reflect.Value) {
	for i := range target.NumField() {
		field := target.Type().Field(i)
		name, tagged := field.Tag.Lookup("key")
		switch {
		case tagged:
			// Process has the keys of both kinds of process, and each kind lacks some.
			if k, found := Lookup(kind, name); found {
				v, _ := d.effective(k, chain)
				setField(target.Field(i), v)
			}
		case field.IsExported() && field.Type.Kind() == reflect.Struct:
			fillStruct(d, kind, chain, target.Field(i))
		}
	}
}

var durationType = reflect.TypeFor[time.Duration]()

func setField(field reflect.Value, v Value) {
	switch {
	case field.Type() == durationType:
		field.SetInt(int64(v.Duration()))
	case field.CanInt():
		field.SetInt(v.Int())
	case field.CanFloat():
		field.SetFloat(v.Float())
	case field.Kind() == reflect.Bool:
		field.SetBool(v.Bool())
	case field.Kind() == reflect.String:
		field.SetString(v.Text())
	case field.Kind() == reflect.Slice:
		field.Set(reflect.ValueOf(v.List()))
	}
}
