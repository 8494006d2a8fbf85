package poison

import (
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/loadshare/sharepb"
	"github.com/springweir/springweir/relay"
)

const (
	// smallGroup is the size of a group of endpoints up to which the copies of a suspect are looked for:
	// the suspect may crash three endpoints before it is quarantined, and its copies as many again.
	smallGroup = 2 * quarantineThreshold
	// copyRetention is how long a copy is assumed to run after it was reported. A harmful request
	// usually crashes its endpoint as it begins.
	copyRetention = 2 * time.Second
	// maxCopies bounds the suspects of which copies are known; the oldest are evicted first.
	maxCopies = 256
)

// copyTracker holds the endpoints on which copies of suspects were running when an endpoint
// crashed, on any VM. It is safe for concurrent use; mu is a leaf lock.
type copyTracker struct {
	mu sync.Mutex
	// byKey holds the copies of each suspect: when they were reported, by the CrashID of their
	// endpoint.
	byKey map[Key]map[uint64]time.Time
	// order holds the keys, the oldest first.
	order []Key
}

func newCopyTracker() *copyTracker { return &copyTracker{byKey: map[Key]map[uint64]time.Time{}} }

// add records that a copy of a suspect runs on an endpoint.
func (c *copyTracker) add(k Key, endpoint uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byKey[k] == nil {
		if len(c.order) >= maxCopies {
			delete(c.byKey, c.order[0])
			c.order = c.order[1:]
		}
		c.byKey[k] = map[uint64]time.Time{}
		c.order = append(c.order, k)
	}
	c.byKey[k][endpoint] = now
}

// remove removes the copies of a request that was cleared.
func (c *copyTracker) remove(k Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byKey[k] == nil {
		return
	}
	delete(c.byKey, k)
	c.order = slices.DeleteFunc(c.order, func(other Key) bool { return other == k })
}

// on returns the IDs of those of the endpoints on which copies of a request run.
func (c *copyTracker) on(k Key, endpoints []*directory.Endpoint, now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	copies := c.byKey[k]
	if len(copies) == 0 {
		return nil
	}
	var ids []string
	for _, e := range endpoints {
		if reportedAt, running := copies[CrashID(e)]; running && now.Sub(reportedAt) <= copyRetention {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// inSmallGroup reports whether few endpoints can replace an endpoint.
func (g *Guard) inSmallGroup(e *directory.Endpoint) bool {
	n := 0
	for _, other := range g.cfg.Directory.Snapshot().Service(e.Service) {
		if other.Group() == e.Group() {
			n++
		}
	}
	return n <= smallGroup
}

// announceCopies tells all VMs which copies of the suspects of a crash run on this VM, if the
// endpoint belongs to a small group. Otherwise a retry that avoids the endpoint that crashed might
// take the last one on which no copy runs.
func (g *Guard) announceCopies(crashed *directory.Endpoint, suspects []Suspect) {
	if len(suspects) == 0 || !g.inSmallGroup(crashed) {
		return
	}
	var running []*sharepb.Copy
	suspected := suspectedKeys(suspects)
	for request, e := range g.runs.activeIn(crashed.Group()) {
		key, isCopy := copyOf(request, suspected)
		if !isCopy {
			continue
		}
		klog.InfoS("poison: copy of a suspect is running", "request", request.ID, "key", key.String(), "endpoint", e.ID, "crashed", crashed.ID)
		g.copies.add(key, CrashID(e), g.now())
		running = append(running, &sharepb.Copy{Key: key[:], Endpoint: CrashID(e)})
	}
	if len(running) > 0 {
		g.cfg.Broadcast(loadshare.Announcement{Copies: running})
	}
}

// suspectedKeys returns the keys of the suspects of a crash and of their parts.
func suspectedKeys(suspects []Suspect) map[Key]bool {
	keys := map[Key]bool{}
	for _, s := range suspects {
		keys[s.Key] = true
		for _, part := range s.Parts {
			keys[part.Key] = true
		}
	}
	return keys
}

// copyOf returns the key by which a request is a copy of a suspect: its own, or that of one of its parts.
func copyOf(r *relay.Request, suspected map[Key]bool) (Key, bool) {
	for _, part := range partKeys(r) {
		if suspected[part] {
			return part, true
		}
	}
	key := KeyOf(r)
	return key, suspected[key]
}

// receiveCopy records a copy that another VM announced.
func (g *Guard) receiveCopy(message *sharepb.Copy) {
	if key, ok := parseKey(message.Key); ok {
		g.copies.add(key, message.Endpoint, g.now())
	}
}

// awaitCopies waits until the other VMs have announced the copies that they run of a request whose
// endpoint has crashed, if the request is a suspect and the endpoint belongs to a small group.
func (g *Guard) awaitCopies(r *relay.Request, e *directory.Endpoint) {
	if !g.runs.isDown(e) || !g.inSmallGroup(e) {
		return
	}
	if g.ledger.Suspicion(IdentityOf(r)).Crashes == 0 {
		return
	}
	time.Sleep(g.cfg.PropagationDelay())
}
