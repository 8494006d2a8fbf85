package placement

import (
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/splitmix"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/loadshare/sharepb"
	"github.com/springweir/springweir/pace"
)

// loadTracker holds the load of all endpoints, from this VM and from its peers. It is not safe for
// concurrent use; the Planner's lock guards it.
type loadTracker struct {
	byID   map[string]*endpointLoad
	byHash map[uint32]*endpointLoad
	// working holds the tracked endpoints with local work, and refused those with consecutive
	// refusals or failed connections. Reports are made of these, so their cost does not grow with the number of endpoints.
	working, refused map[*endpointLoad]bool
	// down holds the tracked endpoints that were found down.
	down map[*endpointLoad]bool
	// caches lists the engines by the parts that they cache.
	caches cacheIndex
	// unregistered holds the IDs of tracked endpoints that were deregistered.
	unregistered map[string]bool
	peers        map[source]peerLoad
	// peerWork is the total work of the other VMs, by the hash of the endpoint's incarnation.
	peerWork map[uint32]work
	// changing holds the role changes that another VM has ordered, by roleChangeID, and the time
	// until which each is assumed without a further report.
	changing map[uint32]time.Time
	// reportInterval is the time between two reports of one source, as a moving average over all
	// sources; zero until a source has reported twice.
	reportInterval time.Duration
	// collected is set if the reports are sums that a collector sends.
	collected bool
	// pendingPlaced are the prompts sent to engines since the last report.
	pendingPlaced []*sharepb.Placed
	// paces holds the relative speeds of the endpoints.
	paces *pace.Tracker
}

// maxPendingPlaced bounds the placed prompts kept for the next report; the oldest are dropped.
const maxPendingPlaced = 256

func newLoadTracker() *loadTracker {
	return &loadTracker{byID: map[string]*endpointLoad{}, byHash: map[uint32]*endpointLoad{}, working: map[*endpointLoad]bool{}, refused: map[*endpointLoad]bool{}, down: map[*endpointLoad]bool{}, caches: cacheIndex{}, unregistered: map[string]bool{}, peers: map[source]peerLoad{}, peerWork: map[uint32]work{}, changing: map[uint32]time.Time{}, paces: pace.New(pace.Config{})}
}

// inFlight returns the work of all VMs at an endpoint.
func (t *loadTracker) inFlight(e *endpointLoad) work {
	w := e.local
	w.add(t.peerWork[e.hash])
	return w
}

// get returns the load of an endpoint. A newer incarnation than the tracked one gets a new, empty
// entry; requests in flight at the previous incarnation are subtracted from the old entry when they
// end. An older incarnation gets an entry that is not stored.
func (t *loadTracker) get(e *directory.Endpoint) *endpointLoad {
	tracked := t.byID[e.ID]
	if tracked != nil && tracked.startedAt == e.StartedAt {
		return tracked
	}
	fresh := &endpointLoad{id: e.ID, startedAt: e.StartedAt, hash: loadshare.Hash(e.Incarnation())}
	if tracked != nil && tracked.startedAt > e.StartedAt {
		return fresh
	}
	if tracked != nil {
		t.forget(tracked)
	}
	t.byID[e.ID] = fresh
	t.byHash[fresh.hash] = fresh
	return fresh
}

// forget removes a tracked endpoint.
func (t *loadTracker) forget(e *endpointLoad) {
	delete(t.byID, e.id)
	delete(t.byHash, e.hash)
	delete(t.working, e)
	delete(t.refused, e)
	delete(t.down, e)
	t.paces.Forget(e.hash)
	t.caches.removeAll(e)
	if e.cache != nil {
		e.cache.onAdd, e.cache.onEvict = nil, nil
	}
}

// addLocal adds work of this VM to an endpoint, and subLocal removes it.
func (t *loadTracker) addLocal(e *endpointLoad, w work) {
	e.local.add(w)
	t.updateWorking(e)
}

func (t *loadTracker) subLocal(e *endpointLoad, w work) {
	e.local.sub(w)
	t.updateWorking(e)
}

func (t *loadTracker) updateWorking(e *endpointLoad) {
	if t.byID[e.id] == e && e.local != (work{}) {
		t.working[e] = true
	} else {
		delete(t.working, e)
	}
}

// recordDown records that an endpoint was found down.
func (t *loadTracker) recordDown(e *endpointLoad) {
	if t.byID[e.id] == e {
		t.down[e] = true
	}
}

// recordRefusal pauses an endpoint that has refused a request.
func (t *loadTracker) recordRefusal(now time.Time, e *endpointLoad, code failure.Reason) {
	e.recordRefusal(now, code)
	t.recordPaused(e)
}

// recordUnreachable pauses an endpoint to which this VM could not connect.
func (t *loadTracker) recordUnreachable(now time.Time, e *endpointLoad) {
	e.recordUnreachable(now)
	t.recordPaused(e)
}

func (t *loadTracker) recordPaused(e *endpointLoad) {
	if t.byID[e.id] == e {
		t.refused[e] = true
	}
}

// getEngine returns the load of an engine, with a cache model of kvTokens tokens.
func (t *loadTracker) getEngine(e *directory.Endpoint, kvTokens int) *endpointLoad {
	load := t.get(e)
	if load.cache == nil {
		load.cache = newCacheModel(kvTokens)
		if t.byID[load.id] == load {
			load.cache.onAdd = func(part uint32) { t.caches.add(part, load) }
			load.cache.onEvict = func(part uint32) { t.caches.remove(part, load) }
		}
	}
	return load
}

// update applies a change of an endpoint's registration.
func (t *loadTracker) update(c directory.Change) {
	if c.New == nil {
		t.unregistered[c.ID] = true
		return
	}
	delete(t.unregistered, c.ID)
	t.get(c.New)
	if c.Old != nil && c.Old.Role != c.New.Role {
		t.roleChanged(c.ID)
	}
}

// forgetUnregistered removes the endpoints that were deregistered and have no local work.
func (t *loadTracker) forgetUnregistered() {
	for id := range t.unregistered {
		e := t.byID[id]
		if e != nil && e.local != (work{}) {
			continue
		}
		if e != nil {
			t.forget(e)
		}
		delete(t.unregistered, id)
	}
}

// roleChangeTTL is how long an engine is assumed to be changing its role after the last report of
// it: a change takes three seconds and is visible one second later. The VM that ordered it may fail
// meanwhile, and an engine that refuses looks idle: without this, the other VMs sent it up to 100
// requests until its row changed, all of which failed.
const roleChangeTTL = 4 * time.Second

// roleChangeID identifies a role change by the hash of the engine's incarnation and the role that it ends. A
// report of the change that arrives after the row of the new role thus has no effect.
func roleChangeID(incarnation uint32, role engine.Role) uint32 {
	return uint32(splitmix.Mix(uint64(incarnation)<<32 | uint64(loadshare.Hash(string(role)))))
}

// changesRole reports whether another VM has ordered the engine to change its role.
func (t *loadTracker) changesRole(now time.Time, e *directory.Endpoint) bool {
	if len(t.changing) == 0 {
		return false
	}
	return now.Before(t.changing[roleChangeID(t.get(e).hash, e.Role)])
}

// loadSet is a set of tracked endpoints by ID. Decisions use it for the few endpoints in some state,
// instead of looking up each of thousands.
type loadSet map[string]*endpointLoad

func (s loadSet) add(e *endpointLoad) { s[e.id] = e }

// get returns the member of the set that tracks an endpoint, or nil.
func (s loadSet) get(e *directory.Endpoint) *endpointLoad {
	if len(s) == 0 {
		return nil
	}
	if load := s[e.ID]; load != nil && load.startedAt == e.StartedAt {
		return load
	}
	return nil
}

// refusingPeers returns the endpoints that another VM lists as refusing.
func (t *loadTracker) refusingPeers() loadSet {
	set := loadSet{}
	for _, p := range t.peers {
		for _, hash := range p.refusing {
			if e := t.byHash[hash]; e != nil {
				set.add(e)
			}
		}
	}
	return set
}

// paused returns the endpoints that are paused after a refusal.
func (t *loadTracker) paused(now time.Time) loadSet {
	set := loadSet{}
	for e := range t.refused {
		if now.Before(e.pausedUntil) {
			set.add(e)
		}
	}
	return set
}

// downNow returns the endpoints that were found down.
func (t *loadTracker) downNow(now time.Time) loadSet {
	set := loadSet{}
	for e := range t.down {
		if e.down(now) {
			set.add(e)
		}
	}
	return set
}

// roleChanged clears the pause of an engine whose role has changed.
func (t *loadTracker) roleChanged(id string) {
	if e := t.byID[id]; e != nil {
		e.pausedUntil, e.refusals, e.unreachable = time.Time{}, 0, 0
	}
}

// refusing returns the hashes of the endpoints that are paused after refusing this VM more than
// once.
func (t *loadTracker) refusing(now time.Time) []uint32 {
	var list []uint32
	for e := range t.refused {
		switch {
		case now.Before(e.pausedUntil) && e.refusals > 1:
			list = append(list, e.hash)
		case e.refusals == 0 && e.unreachable == 0:
			delete(t.refused, e)
		}
	}
	return list
}

func workToProto(endpoint uint32, w work) *sharepb.Work {
	return &sharepb.Work{
		Endpoint:      endpoint,
		PrefillTokens: uint32(max(0, w.prefill.tokens)), PrefillMegaPairs: uint32(max(0, w.prefill.megaPairs)),
		Runs: uint32(max(0, w.running)), KvTokens: uint32(max(0, w.kvTokens)),
		ServiceUs: uint32(max(0, w.serviceUS)),
	}
}

func workFromProto(w *sharepb.Work) work {
	return work{
		prefill:  prefillWork{tokens: int(w.PrefillTokens), megaPairs: int(w.PrefillMegaPairs)},
		kvTokens: int(w.KvTokens), running: int(w.Runs), serviceUS: int(w.ServiceUs),
	}
}

func chunksFromProto(p *sharepb.Placed) []chunk {
	chunks := make([]chunk, len(p.Part))
	for i, id := range p.Part {
		chunks[i] = chunk{id: id, tokens: int(p.Tokens[i])}
	}
	return chunks
}

// recordPlaced records that an engine was sent a prompt whose prefill ends at readyAt, and queues
// it for the next report.
func (t *loadTracker) recordPlaced(e *endpointLoad, chunks []chunk, readyAt time.Time) {
	if e.cache == nil || len(chunks) == 0 {
		return
	}
	e.cache.insert(chunks, readyAt)
	p := &sharepb.Placed{Endpoint: e.hash}
	for _, c := range chunks {
		p.Part = append(p.Part, c.id)
		p.Tokens = append(p.Tokens, uint32(c.tokens))
	}
	if len(t.pendingPlaced) >= maxPendingPlaced {
		t.pendingPlaced = t.pendingPlaced[1:]
	}
	t.pendingPlaced = append(t.pendingPlaced, p)
}

// takeReport returns the local work, and the prompts placed since the previous call.
func (t *loadTracker) takeReport() ([]*sharepb.Work, []*sharepb.Placed) {
	var reported []*sharepb.Work
	for e := range t.working {
		reported = append(reported, workToProto(e.hash, e.local))
	}
	placed := t.pendingPlaced
	t.pendingPlaced = nil
	return reported, placed
}
