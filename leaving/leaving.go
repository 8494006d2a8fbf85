// Package leaving tells which endpoints are about to stop. Three signals say
// so, any one enough: the operators' tree, the platform's membership list, and
// the endpoint itself. None of them needs another to be in reach.
package leaving

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/springweir/springweir/membership"
)

// ListPollInterval is how often each entry reads the membership list, and EndpointPollInterval
// how often each endpoint is asked by the entry that polls it. An endpoint that
// says it leaves is passed on at once to all entries of the zone, so each
// signal stops new work within MaxStopDelay of its being visible.
const (
	ListPollInterval     = 1500 * time.Millisecond
	EndpointPollInterval = time.Second
	MaxStopDelay         = 3 * time.Second
)

// Signal is what says that an endpoint is leaving.
type Signal string

// The signals.
const (
	// SignalTree is a drain, replacement or withdrawal in the operators' tree.
	SignalTree Signal = "tree"
	// SignalList is the platform's membership list.
	SignalList Signal = "membership-list"
	// SignalEndpoint is the endpoint itself.
	SignalEndpoint Signal = "endpoint"
)

// Set joins the three signals. It is safe for concurrent use; Leaving takes no
// lock.
//
// Invariant: joined is the union of the three maps, replaced under mu with
// each change.
type Set struct {
	joined atomic.Pointer[map[string]Signal]

	// mu guards all below. It is a leaf.
	mu   sync.Mutex
	tree map[string]bool
	list map[string]bool
	// listed holds the endpoints that the list has shown.
	listed map[string]bool
	// said holds the incarnation that each endpoint said is leaving.
	said map[string]string
}

// NewSet returns a set in which nothing is leaving.
func NewSet() *Set {
	s := &Set{listed: map[string]bool{}, said: map[string]string{}}
	s.joined.Store(&map[string]Signal{})
	return s
}

// Leaving tells whether the endpoint is leaving, and by which signal.
func (s *Set) Leaving(endpoint string) (Signal, bool) {
	signal, ok := (*s.joined.Load())[endpoint]
	return signal, ok
}

// SetTree takes over the endpoints that the tree in force marks.
func (s *Set) SetTree(endpoints []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tree = map[string]bool{}
	for _, name := range endpoints {
		s.tree[name] = true
	}
	s.join()
}

// SetList takes over a membership list that was read. An endpoint that the
// list had and has no more is gone. While the list is out of reach nothing is
// taken over, and what it said last stands.
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
	s.join()
}

// Record records what an endpoint said of itself, and returns whether that is
// news, to be passed on to the zone. A new incarnation is a new start: the
// endpoint came back and is leaving no more unless it says so again.
func (s *Set) Record(endpoint, incarnation string, leaving bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was, known := s.said[endpoint]
	switch {
	case leaving && known && was == incarnation:
		return false
	case leaving:
		s.said[endpoint] = incarnation
	case known && was != incarnation:
		delete(s.said, endpoint)
	default:
		return false
	}
	s.join()
	return leaving
}

// join rebuilds the union. The caller holds mu.
func (s *Set) join() {
	joined := map[string]Signal{}
	for name := range s.said {
		joined[name] = SignalEndpoint
	}
	for name := range s.list {
		joined[name] = SignalList
	}
	for name := range s.tree {
		joined[name] = SignalTree
	}
	s.joined.Store(&joined)
}
