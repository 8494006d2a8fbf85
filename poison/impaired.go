package poison

import (
	"sync"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/relay"
)

// impairment is how long after the crash of an endpoint of a small group equal requests are kept together: longer
// than it takes to replace the endpoint.
const impairment = 10 * time.Second

// impairedServices holds the services of which an endpoint of a small group has crashed, and when. It is safe for
// concurrent use; mu is a leaf lock.
type impairedServices struct {
	mu        sync.Mutex
	crashedAt map[string]time.Time
}

// add records a crash.
func (s *impairedServices) add(service string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashedAt == nil {
		s.crashedAt = map[string]time.Time{}
	}
	s.crashedAt[service] = now
}

// contains reports whether an endpoint of a service has crashed within the time of impairment.
func (s *impairedServices) contains(service string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, crashed := s.crashedAt[service]
	return crashed && now.Sub(at) <= impairment
}

// noteImpaired records the crash of an endpoint if it belongs to a small group.
func (g *Guard) noteImpaired(e *directory.Endpoint) {
	if g.inSmallGroup(e) {
		g.impaired.add(e.Service, g.now())
	}
}

// unknown returns the suspicion against a request that is suspected of no crash: none, unless its service is
// impaired and no equal request had a complete response recently. Copies of it may run at the same time on any VM, of
// which nothing will be known until the first has crashed its endpoint. Those that run on this VM are known.
func (g *Guard) unknown(r *relay.Request, id Identity, impaired bool) relay.Suspicion {
	if !impaired || g.runs.exonerated(g.runs.completed.fingerprint(r)) {
		return relay.Suspicion{}
	}
	return relay.Suspicion{Unknown: true, Key: id.Key.placementKey(), CopiesOn: g.runs.equalRunsOn(r)}
}
