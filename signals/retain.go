package signals

import (
	"time"

	"github.com/springweir/springweir/directory"
)

// idleTTL is how long the state of an endpoint is kept after its last signal. All VMs keep it far
// longer than an update takes to reach them, so that a new limit continues its version numbers.
const idleTTL = 10 * time.Minute

// isIdle reports whether the endpoint has sent no signal for idleTTL.
func (s *endpointState) isIdle(now time.Time) bool {
	return !s.limit.limited && now.Sub(s.limit.versionAt) > idleTTL && now.Sub(s.backoff.until) > idleTTL
}

// unregisteredTTL is how long signals of an endpoint that is not registered here are kept, because
// its registration may still be in transit.
const unregisteredTTL = 10 * time.Second

// Retain removes the states of endpoints that were deregistered or restarted, and binds states
// received from other VMs to endpoints that have registered since.
func (t *Tracker) Retain(snapshot *directory.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.states) == 0 {
		return
	}
	registered := map[uint64]*directory.Endpoint{}
	for _, e := range snapshot.All() {
		registered[Hash(e)] = e
	}
	now := t.now()
	for hash, s := range t.states {
		e := registered[hash]
		removed := e == nil && (s.id != "" || now.Sub(s.updatedAt) > unregisteredTTL)
		switch {
		case removed || s.isIdle(now):
			delete(t.states, hash)
		case e != nil && s.id == "":
			t.bindEndpoint(hash, s, e)
		}
	}
	t.updateIDsWithState()
}
