// Package leaving records which endpoints are about to stop. Three independent signals report this,
// and each is sufficient: the operators' tree, the platform's membership list, and the endpoint
// itself. No signal depends on the availability of another.
package leaving

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/springweir/springweir/membership"
)

// ListPollInterval is the time between two reads of the membership list by an entry, and
// EndpointPollInterval the time between two polls of an endpoint by the entry responsible for it.
// When an endpoint reports that it is leaving, all entries of the zone are notified at once, so
// that each signal stops new requests within MaxStopDelay of becoming visible.
const (
	ListPollInterval     = 1500 * time.Millisecond
	EndpointPollInterval = time.Second
	MaxStopDelay         = 3 * time.Second
)

// Signal is the source that reports an endpoint as leaving.
type Signal string

// The signals. If several apply to an endpoint, Leaving returns the first of these.
const (
	// SignalTree is a drain, replacement or withdrawal in the operators' tree.
	SignalTree Signal = "tree"
	// SignalList is the platform's membership list.
	SignalList Signal = "membership-list"
	// SignalEndpoint is the endpoint's own report.
	SignalEndpoint Signal = "endpoint"
)

// Set combines the three signals. It is safe for concurrent use; Leaving takes no lock.
//
// Invariant: union is the union of the three maps, replaced under mu with each change.
type Set struct {
	union atomic.Pointer[map[string]Signal]

	// mu guards the fields below. It is a leaf in the lock order.
	mu   sync.Mutex
	tree map[string]bool
	list map[string]bool
	// listed holds all endpoints that have ever been in the membership list.
	listed map[string]bool
	// reported holds, for each endpoint that reported that it is leaving, the incarnation that did
	// so.
	reported map[string]string
}

// NewSet returns a set without leaving endpoints.
func NewSet() *Set {
	s := &Set{listed: map[string]bool{}, reported: map[string]string{}}
	s.union.Store(&map[string]Signal{})
	return s
}

// Leaving reports whether the endpoint is leaving, and by which signal.
func (s *Set) Leaving(endpoint string) (Signal, bool) {
	signal, ok := (*s.union.Load())[endpoint]
	return signal, ok
}

// SetTree replaces the endpoints marked as leaving in the tree.
func (s *Set) SetTree(endpoints []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tree = map[string]bool{}
	for _, name := range endpoints {
		s.tree[name] = true
	}
	s.updateUnion()
}

// SetList applies a membership list. An endpoint that was in an earlier list and no longer is
// counts as leaving. While the list is unavailable, the state of the last list remains.
func (s *Set) SetList(vms []membership.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = map[string]bool{}
	present := map[string]bool{}
	for _, vm := range vms {
		if vm.Kind != membership.Endpoint {
			continue
		}
		present[vm.Name] = true
		s.listed[vm.Name] = true
		if vm.Leaving {
			s.list[vm.Name] = true
		}
	}
	for name := range s.listed {
		if !present[name] {
			s.list[name] = true
		}
	}
	s.updateUnion()
}

// Record records an endpoint's report about itself. It returns true if the report changes the
// endpoint to leaving and has to be forwarded to the zone. A new incarnation is a restart: the
// endpoint is available again unless it reports that it is leaving.
func (s *Set) Record(endpoint, incarnation string, leaving bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous, known := s.reported[endpoint]
	switch {
	case leaving && known && previous == incarnation:
		return false
	case leaving:
		s.reported[endpoint] = incarnation
	case known && previous != incarnation:
		delete(s.reported, endpoint)
	default:
		return false
	}
	s.updateUnion()
	return leaving
}

// updateUnion rebuilds the union. The caller holds mu.
func (s *Set) updateUnion() {
	union := map[string]Signal{}
	for name := range s.reported {
		union[name] = SignalEndpoint
	}
	for name := range s.list {
		union[name] = SignalList
	}
	for name := range s.tree {
		union[name] = SignalTree
	}
	s.union.Store(&union)
}
