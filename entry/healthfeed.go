package entry

import (
	"sync"
	"time"

	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/health"
)

// healthFeed tracks the health of an upstream's endpoints and publishes changes to the
// snapshots. Calls about one endpoint may also change another, because the last healthy
// endpoint of a group is put back into service. It is safe for concurrent use.
//
// Lock order: mu, then the lock of the tracker or of the store. Changes are taken and
// published under mu, so that an older status never overwrites a newer one.
type healthFeed struct {
	tracker *health.Tracker
	store   *fleet.Store
	mu      sync.Mutex
}

func newHealthFeed(store *fleet.Store, cfg health.Config) *healthFeed {
	return &healthFeed{store: store, tracker: health.NewTracker(cfg)}
}

func (f *healthFeed) configure(cfg health.Config) {
	f.tracker.Configure(cfg)
	f.publish()
}

func (f *healthFeed) set(name, incarnation, group string) {
	f.tracker.Set(name, incarnation, []string{group})
	f.publish()
}

func (f *healthFeed) remove(name string) {
	f.tracker.Remove(name)
	f.publish()
}

func (f *healthFeed) begin(now time.Duration, name string) (health.Ticket, bool) {
	ticket, ok := f.tracker.Begin(now, name)
	f.publish()
	return ticket, ok
}

func (f *healthFeed) end(now time.Duration, ticket health.Ticket, result health.Result) {
	f.tracker.End(now, ticket, result)
	f.publish()
}

func (f *healthFeed) publish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, change := range f.tracker.TakeChanges() {
		f.store.SetHealth(change.Endpoint, change.Status)
	}
}
