package directory

import (
	"cmp"
	"maps"
	"slices"
)

// Snapshot is an immutable view of all endpoints.
type Snapshot struct {
	byID      map[string]*Endpoint
	byService map[string][]*Endpoint
	// inZone counts the usable endpoints by zone, and inGroup by group.
	inZone  map[string]int
	inGroup map[Group]int
	changes []Change
}

// Change is an endpoint that differs between two consecutive snapshots.
type Change struct {
	ID string
	// Old is nil for an endpoint that was added, and New for one that was removed.
	Old, New *Endpoint
}

// Changes returns the differences from the previous snapshot in unspecified order.
func (s *Snapshot) Changes() []Change { return s.changes }

// UsableInZone returns the number of usable endpoints in a zone.
func (s *Snapshot) UsableInZone(zone string) int { return s.inZone[zone] }

// Zones returns the number of usable endpoints of each zone that has any. The caller must not change
// the map.
func (s *Snapshot) Zones() map[string]int { return s.inZone }

// UsableInGroups returns the number of usable endpoints of each group. The caller must not change the
// map.
func (s *Snapshot) UsableInGroups() map[Group]int { return s.inGroup }

// Endpoint returns an endpoint by ID, or nil.
func (s *Snapshot) Endpoint(id string) *Endpoint { return s.byID[id] }

// Service returns the usable endpoints of a service, sorted by ID. The caller must not change the
// slice.
func (s *Snapshot) Service(name string) []*Endpoint { return s.byService[name] }

// Len returns the number of endpoints, including those that are draining.
func (s *Snapshot) Len() int { return len(s.byID) }

// All returns every endpoint in unspecified order.
func (s *Snapshot) All() []*Endpoint {
	return slices.Collect(maps.Values(s.byID))
}

// with returns the next snapshot. Apart from copying, its cost is that of the changes.
func (s *Snapshot) with(changes []Change) *Snapshot {
	next := &Snapshot{byID: cloneMap(s.byID), byService: cloneMap(s.byService), inZone: cloneMap(s.inZone), inGroup: cloneMap(s.inGroup), changes: changes}
	removed := map[string]map[string]bool{}
	added := map[string][]*Endpoint{}
	for _, c := range changes {
		if c.Old != nil && c.Old.Usable() {
			next.count(c.Old, -1)
			if removed[c.Old.Service] == nil {
				removed[c.Old.Service] = map[string]bool{}
			}
			removed[c.Old.Service][c.ID] = true
		}
		if c.New == nil {
			delete(next.byID, c.ID)
			continue
		}
		next.byID[c.ID] = c.New
		if c.New.Usable() {
			next.count(c.New, 1)
			added[c.New.Service] = append(added[c.New.Service], c.New)
		}
	}
	for service, ids := range removed {
		next.byService[service] = merge(s.byService[service], ids, added[service])
	}
	for service, list := range added {
		if removed[service] == nil {
			next.byService[service] = merge(s.byService[service], nil, list)
		}
	}
	return next
}

// count adds n to the counts of a usable endpoint's zone and group.
func (s *Snapshot) count(e *Endpoint, n int) {
	addCount(s.inZone, e.Zone, n)
	addCount(s.inGroup, e.Group(), n)
}

// addCount adds to a count, which is removed when it becomes zero.
func addCount[K comparable](counts map[K]int, key K, n int) {
	if counts[key] += n; counts[key] == 0 {
		delete(counts, key)
	}
}

// merge returns a list that is sorted by ID, without the removed endpoints and with the added ones.
func merge(list []*Endpoint, removed map[string]bool, added []*Endpoint) []*Endpoint {
	slices.SortFunc(added, compareIDs)
	merged := make([]*Endpoint, 0, len(list)+len(added))
	for _, e := range list {
		if removed[e.ID] {
			continue
		}
		for len(added) > 0 && compareIDs(added[0], e) < 0 {
			merged, added = append(merged, added[0]), added[1:]
		}
		merged = append(merged, e)
	}
	return append(merged, added...)
}

func compareIDs(a, b *Endpoint) int { return a.CompareID(b.ID) }

// CompareID compares the endpoint's ID with another, as cmp.Compare does.
func (e *Endpoint) CompareID(id string) int { return cmp.Compare(e.ID, id) }

// cloneMap returns a copy of a map that is not nil.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}
