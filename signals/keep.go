package signals

import (
	"time"

	"github.com/springweir/springweir/directory"
)

// keepIdle is how long the state of an endpoint is kept after its last signal. All VMs keep it far longer
// than news takes, so that the versions of a limit go on from where they were.
const keepIdle = 10 * time.Minute

// idle tells whether the endpoint has sent no signal for long.
func (s *state) idle(now time.Time) bool {
	return !s.limit.limited && now.Sub(s.limit.versionAt) > keepIdle && now.Sub(s.backoff.until) > keepIdle
}

// keepUnknown is how long signals of an endpoint are kept that is not registered: its row may be on
// its way.
const keepUnknown = 10 * time.Second

// Retain forgets endpoints that are gone or have started again, and names those that have registered since
// another VM published signals of them.
func (b *Tracker) Retain(snapshot *directory.Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.states) == 0 {
		return
	}
	live := map[uint64]*directory.Endpoint{}
	for _, e := range snapshot.All() {
		live[Hash(e)] = e
	}
	now := b.now()
	for endpoint, s := range b.states {
		e := live[endpoint]
		gone := e == nil && (s.id != "" || now.Sub(s.touched) > keepUnknown)
		switch {
		case gone || s.idle(now):
			delete(b.states, endpoint)
		case e != nil && s.id == "":
			b.bind(endpoint, s, e)
		}
	}
	b.noteKnown()
}
