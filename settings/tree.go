package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// Tree is the operators' validated settings with inheritance resolved.
type Tree struct {
	doc           *document
	fleet         FleetSettings
	zones         []Zone
	pools         []Pool
	services      []Service
	endpoints     []Endpoint
	organisations []Organisation
	models        []Model
	byHash        map[string]*Organisation
}

// ParseTree parses and validates the operators' tree. The file name is used only in problems. The
// error is *InvalidError and holds every problem found.
func ParseTree(file string, text []byte) (*Tree, error) {
	doc := parseDocument(file, text)
	checkSections(doc, treeKinds)
	checkReferences(doc)
	if len(doc.problems) == 0 {
		checkEndpoints(doc)
		checkDistinct(doc)
	}
	if err := doc.invalid(); err != nil {
		return nil, err
	}
	return newTree(doc), nil
}

// Fleet returns the settings that apply to all zones together.
func (t *Tree) Fleet() FleetSettings { return t.fleet }

// Zones returns the availability zones, sorted by name.
func (t *Tree) Zones() []Zone { return slices.Clone(t.zones) }

// Pools returns the pools, sorted by name.
func (t *Tree) Pools() []Pool { return slices.Clone(t.pools) }

// Services returns the services, sorted by name.
func (t *Tree) Services() []Service { return slices.Clone(t.services) }

// Endpoints returns the endpoints, sorted by name.
func (t *Tree) Endpoints() []Endpoint { return slices.Clone(t.endpoints) }

// Organisations returns the organisations, sorted by name.
func (t *Tree) Organisations() []Organisation { return slices.Clone(t.organisations) }

// Models returns the models, sorted by name.
func (t *Tree) Models() []Model { return slices.Clone(t.models) }

// Pool returns a pool by name.
func (t *Tree) Pool(name string) (Pool, bool) {
	return find(t.pools, name, func(p Pool) string { return p.Name })
}

// Service returns a service by name.
func (t *Tree) Service(name string) (Service, bool) {
	return find(t.services, name, func(s Service) string { return s.Name })
}

// Endpoint returns an endpoint by name.
func (t *Tree) Endpoint(name string) (Endpoint, bool) {
	return find(t.endpoints, name, func(e Endpoint) string { return e.Name })
}

// Organisation returns an organisation by name.
func (t *Tree) Organisation(name string) (Organisation, bool) {
	return find(t.organisations, name, func(o Organisation) string { return o.Name })
}

// Model returns a model by name.
func (t *Tree) Model(name string) (Model, bool) {
	return find(t.models, name, func(m Model) string { return m.Name })
}

// OrganisationOf returns the organisation that an API key belongs to.
func (t *Tree) OrganisationOf(apiKey string) (Organisation, bool) {
	sum := sha256.Sum256([]byte(apiKey))
	o, found := t.byHash[hex.EncodeToString(sum[:])]
	if !found {
		return Organisation{}, false
	}
	return *o, true
}

// find looks up a name in a list that is sorted by name.
func find[T any](list []T, name string, nameOf func(T) string) (T, bool) {
	i, found := slices.BinarySearchFunc(list, name, func(item T, want string) int {
		return strings.Compare(nameOf(item), want)
	})
	if !found {
		var zero T
		return zero, false
	}
	return list[i], true
}
