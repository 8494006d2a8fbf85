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

// specRefresh is how often the endpoints' specs are compared with the signals
// that an endpoint leaves. It is part of the 3 s in which new work must stop.
const specRefresh = 250 * time.Millisecond

// specs gives the fleet the endpoints of the tree in force, with the newest
// signals that they leave. It is safe for concurrent use.
//
// Lock order: mu, then the locks of the fleet's store, the upstreams and the
// clients. The view is read under mu, so that an older one never comes last.
type specs struct {
	common    *common
	upstreams *upstreams

	mu sync.Mutex
	// from and list are the view and the specs that were given last.
	from *view
	list []fleet.Spec
	// words are the services' own.
	words serviceWords
}

// run refreshes until ctx ends.
func (s *specs) run(ctx context.Context) {
	loop.Every(ctx, specRefresh, s.refresh)
}

// refresh takes over what has changed.
func (s *specs) refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.common.cat.current.Load()
	if v == nil {
		return
	}
	list := s.list
	if v != s.from {
		list = specsOf(v)
	}
	for _, spec := range list {
		if spec.Kind == fleet.Service {
			s.words.expire(s.common, spec.Name)
		}
	}
	list = signalled(list, s.common.leave)
	if v != s.from || !slices.Equal(list, s.list) {
		s.give(list)
		s.from, s.list = v, list
	}
	for _, spec := range s.list {
		s.common.store.SetWithheld(spec.Name, s.common.gate.Withheld(spec.Name))
	}
}

// give hands over a changed list. An upstream that a new view made has to be told of
// its services here; it hears of engines from their reports.
func (s *specs) give(list []fleet.Spec) {
	named := make(map[string]bool, len(list))
	for _, spec := range list {
		named[spec.Name] = true
		if spec.Kind == fleet.Service {
			s.upstreams.track(spec.Name, spec.Address, "")
		}
	}
	s.common.store.SetSpecs(list)
	s.common.clients.retain(named)
}

// specsOf returns the zone's endpoints by name, as the tree has them.
func specsOf(v *view) []fleet.Spec {
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

// signalled returns the list with the newest signals. It is the same list if
// they are as before. The tree's own signal is in leave as well.
func signalled(list []fleet.Spec, leave *leaving.Set) []fleet.Spec {
	next := list
	for i, spec := range list {
		_, leaves := leave.Leaving(spec.Name)
		if leaves == spec.Leaving {
			continue
		}
		if &next[0] == &list[0] {
			next = slices.Clone(list)
		}
		next[i].Leaving = leaves
	}
	return next
}
