package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/leaving"
	"github.com/springweir/springweir/settings"
)

// specRefreshInterval is how often the endpoints' specs are updated with the leaving
// signals. It is part of the 3 s within which new work to a leaving endpoint must stop.
const specRefreshInterval = 250 * time.Millisecond

// specRefresher supplies the fleet with the endpoints of the active settings tree and their
// newest leaving signals. It is safe for concurrent use.
//
// Lock order: mu, then the locks of the fleet's store, the upstreams and the clients. The
// view is read under mu, so that an older view never overwrites a newer one.
type specRefresher struct {
	common    *common
	upstreams *upstreams

	mu sync.Mutex
	// applied and appliedSpecs are the view and the specs that were last applied.
	applied      *configView
	appliedSpecs []fleet.Spec
	// serviceLeaving holds the leaving times reported by service endpoints.
	serviceLeaving serviceLeavingTimes
}

// run refreshes until ctx ends.
func (s *specRefresher) run(ctx context.Context) {
	loop.Every(ctx, specRefreshInterval, s.refresh)
}

// refresh applies changes of the view, the leaving signals and the withheld endpoints.
func (s *specRefresher) refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.common.cat.current.Load()
	if v == nil {
		return
	}
	list := s.appliedSpecs
	if v != s.applied {
		list = specsOf(v)
	}
	for _, spec := range list {
		if spec.Kind == fleet.Service {
			s.serviceLeaving.expire(s.common, spec.Name)
		}
	}
	list = withLeaving(list, s.common.leavingSet)
	if v != s.applied || !slices.Equal(list, s.appliedSpecs) {
		s.apply(list)
		s.applied, s.appliedSpecs = v, list
	}
	for _, spec := range s.appliedSpecs {
		s.common.store.SetWithheld(spec.Name, s.common.gate.Withheld(spec.Name))
	}
}

// apply applies a changed list. The upstreams of a new view must be given their service
// endpoints here; they receive those of engines from the engines' reports.
func (s *specRefresher) apply(list []fleet.Spec) {
	listed := make(map[string]bool, len(list))
	for _, spec := range list {
		listed[spec.Name] = true
		if spec.Kind == fleet.Service {
			s.upstreams.recordIncarnation(spec.Name, spec.Address, "")
		}
	}
	s.common.store.SetSpecs(list)
	s.common.clients.retain(listed)
}

// specsOf returns the specs of the zone's endpoints in the tree, ordered by name.
func specsOf(v *configView) []fleet.Spec {
	var list []fleet.Spec
	for _, e := range v.endpoints() {
		list = append(list, specOf(e))
	}
	return list
}

func specOf(e settings.Endpoint) fleet.Spec {
	s := fleet.Spec{
		Name:    e.Name,
		Kind:    fleet.Service,
		Address: e.Address,
		Pool:    e.Pool,
		Zone:    e.Zone,
		Service: e.Service,
	}
	if e.IsEngine() {
		s.Kind = fleet.Engine
	}
	return s
}

// withLeaving returns the list with the newest leaving signals, which include the tree's
// own. It returns the same slice if nothing changed.
func withLeaving(list []fleet.Spec, leavingSet *leaving.Set) []fleet.Spec {
	updated := list
	for i, spec := range list {
		_, isLeaving := leavingSet.Leaving(spec.Name)
		if isLeaving == spec.Leaving {
			continue
		}
		if &updated[0] == &list[0] {
			updated = slices.Clone(list)
		}
		updated[i].Leaving = isLeaving
	}
	return updated
}
