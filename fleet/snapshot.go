package fleet

import (
	"slices"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/prefix"
	"github.com/springweir/springweir/weightstore"
)

// pageSize is the number of endpoint pointers copied when one endpoint changes.
const pageSize = 32

type page [pageSize]*Endpoint

// Snapshot is the immutable state of one zone. Its methods take no lock.
//
// Invariant: groups contains only slots of endpoints that are Available.
type Snapshot struct {
	// Zone is the zone of the endpoints.
	Zone string
	// EntryVMs is the number of live entry VMs in the zone, at least one.
	EntryVMs int
	// Prefix is the index of the engines' prefix caches. It is never nil.
	Prefix *prefix.Index
	// Zones are the summaries of the other zones.
	Zones []ZoneSummary

	pages  []*page
	size   int
	groups map[GroupKey][]prefix.Slot
}

// Len returns the number of slots, including empty ones.
func (s *Snapshot) Len() int { return s.size }

// At returns the endpoint in slot, or nil if the slot is empty.
func (s *Snapshot) At(slot prefix.Slot) *Endpoint {
	if int(slot) >= s.size {
		return nil
	}
	return s.pages[slot/pageSize][slot%pageSize]
}

// Group returns the slots of the available endpoints of a group. The caller must not modify the
// result.
func (s *Snapshot) Group(key GroupKey) []prefix.Slot { return s.groups[key] }

// Engines returns the slots of the available engines in role that have a loaded.
func (s *Snapshot) Engines(a weightstore.Artifact, role engine.Role) []prefix.Slot {
	return s.groups[GroupKey{Kind: Engine, Artifact: a, Role: role}]
}

// Endpoints returns all endpoints in slot order. It is meant for planning and status pages; routing
// decisions use groups.
func (s *Snapshot) Endpoints() []*Endpoint {
	all := make([]*Endpoint, 0, s.size)
	for slot := range s.size {
		if e := s.At(prefix.Slot(slot)); e != nil {
			all = append(all, e)
		}
	}
	return all
}

// with returns a copy of s with the changed endpoints in their slots. It copies only the affected
// pages, and rebuilds the groups only if a group may have changed.
func (s *Snapshot) with(changed ...*Endpoint) *Snapshot {
	next := *s
	next.pages = slices.Clone(s.pages)
	regroup := false
	for _, e := range changed {
		old := s.At(e.Slot)
		regroup = regroup || old == nil || groupChanged(old, e)
		next.put(s, e.Slot, e)
	}
	if regroup {
		next.regroup()
	}
	return &next
}

// put stores e in slot, copying the page unless it has already been copied from base.
func (s *Snapshot) put(base *Snapshot, slot prefix.Slot, e *Endpoint) {
	n := int(slot) / pageSize
	for len(s.pages) <= n {
		s.pages = append(s.pages, new(page))
	}
	if n < len(base.pages) && s.pages[n] == base.pages[n] {
		fresh := *s.pages[n]
		s.pages[n] = &fresh
	}
	s.pages[n][slot%pageSize] = e
	s.size = max(s.size, int(slot)+1)
}

func groupChanged(old, e *Endpoint) bool {
	return old.Available() != e.Available() || old.Role != e.Role || old.Service != e.Service ||
		old.Kind != e.Kind || !slices.Equal(old.Loaded, e.Loaded)
}

func (s *Snapshot) regroup() {
	s.groups = make(map[GroupKey][]prefix.Slot)
	for _, e := range s.Endpoints() {
		if e.Available() {
			s.group(e)
		}
	}
}

func (s *Snapshot) group(e *Endpoint) {
	if e.Kind == Service {
		s.addMember(GroupKey{Kind: Service, Service: e.Service}, e.Slot)
		return
	}
	for _, a := range e.Loaded {
		s.addMember(GroupKey{Kind: Engine, Artifact: a, Role: e.Role}, e.Slot)
		if a.Version != "" {
			a.Version = ""
			s.addMember(GroupKey{Kind: Engine, Artifact: a, Role: e.Role}, e.Slot)
		}
	}
}

// addMember adds slot to a group once: an engine with two versions of a model is one member.
func (s *Snapshot) addMember(key GroupKey, slot prefix.Slot) {
	members := s.groups[key]
	if n := len(members); n > 0 && members[n-1] == slot {
		return
	}
	s.groups[key] = append(members, slot)
}
