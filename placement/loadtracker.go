package placement

import (
	"maps"
	"sync/atomic"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/splitmix"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/loadshare/sharepb"
)

// work is the total of the requests in flight at one endpoint.
type work struct {
	// prefill is the prefill still to be done. kvTokens is the cache memory reserved for the
	// running requests, in tokens.
	prefill  prefillWork
	kvTokens int
	running  int
}

func (w *work) add(o work) {
	w.prefill = w.prefill.plus(o.prefill)
	w.kvTokens += o.kvTokens
	w.running += o.running
}

func (w *work) sub(o work) {
	w.prefill = w.prefill.minus(o.prefill)
	w.kvTokens -= o.kvTokens
	w.running -= o.running
}

// endpointLoad is this VM's state of one incarnation of an endpoint, beyond its registration.
type endpointLoad struct {
	id        string
	startedAt int64
	hash      uint32
	local     work
	// cache is nil for endpoints that are not engines.
	cache *cacheModel
	// downAt is when the endpoint was found to accept no more connections; zero if it was not, or if
	// it has served a request that was sent since.
	downAt time.Time
	// pausedUntil is the end of the pause after a refusal, and refusals counts consecutive ones.
	pausedUntil time.Time
	refusals    int
	// unreachable counts consecutive attempts for which this VM could not connect.
	unreachable int
	// heardAt is when the endpoint last sent this VM a response or an event, in nanoseconds since the
	// planner's start: steps of the clock do not affect it.
	heardAt atomic.Int64
}

// recordHeard records that the endpoint has sent something. It takes no lock, since each event of a
// stream calls it.
func (e *endpointLoad) recordHeard(sinceStart time.Duration) { e.heardAt.Store(int64(sinceStart)) }

// heardSince reports whether the endpoint has sent something after a time since the planner's start.
func (e *endpointLoad) heardSince(sinceStart time.Duration) bool {
	return e.heardAt.Load() > int64(sinceStart)
}

const (
	// minPause is the pause after a first refusal. It doubles with each consecutive one, up to
	// maxPause: a full endpoint may have capacity soon, one that changes its role refuses for
	// seconds.
	minPause = 25 * time.Millisecond
	maxPause = 800 * time.Millisecond
	// peerRefusals is the number of refusals assumed for an endpoint that a peer reports as
	// refusing. The first refusal that this VM receives then starts a longer pause, so that the VMs
	// do not all retry the endpoint whenever one of them does.
	peerRefusals = 4
	// wrongIncarnationPause is the pause of an endpoint whose incarnation differs from its row; a
	// new row arrives within about one second.
	wrongIncarnationPause = time.Second
)

// recordRefusal pauses the endpoint. One that has another incarnation or role than its row shows is
// paused until the row is likely to be updated.
func (e *endpointLoad) recordRefusal(now time.Time, code failure.Reason) {
	pause := pauseAfter(e.refusals)
	if code == failure.WrongIncarnation {
		pause = wrongIncarnationPause
	}
	e.pausedUntil = now.Add(pause)
	e.refusals++
}

// recordUnreachable pauses the endpoint for this VM only: others may reach it.
func (e *endpointLoad) recordUnreachable(now time.Time) {
	e.pausedUntil = now.Add(pauseAfter(e.unreachable))
	e.unreachable++
}

// pauseAfter returns the pause after the given number of consecutive failures.
func pauseAfter(failures int) time.Duration { return min(minPause<<min(failures, 8), maxPause) }

// source identifies what one report covers: a segment of the work of a VM, or of the sum of a zone
// or the region. A sum has the same source whichever VM collected it.
type source struct {
	vm, zone string
	region   bool
	segment  uint32
}

func sourceOf(load *sharepb.Load) source {
	switch {
	case load.RegionSum:
		return source{region: true, segment: load.Segment}
	case load.ZoneSum:
		return source{zone: load.Zone, segment: load.Segment}
	}
	return source{vm: load.Vm, segment: load.Segment}
}

// peerLoad is the last report of a source.
type peerLoad struct {
	work       []*sharepb.Work
	refusing   []uint32
	receivedAt time.Time
}

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
	// pendingPlaced are the prompts sent to engines since the last report.
	pendingPlaced []*sharepb.Placed
}

// maxPendingPlaced bounds the placed prompts kept for the next report; the oldest are dropped.
const maxPendingPlaced = 256

func newLoadTracker() *loadTracker {
	return &loadTracker{byID: map[string]*endpointLoad{}, byHash: map[uint32]*endpointLoad{}, working: map[*endpointLoad]bool{}, refused: map[*endpointLoad]bool{}, down: map[*endpointLoad]bool{}, caches: cacheIndex{}, unregistered: map[string]bool{}, peers: map[source]peerLoad{}, peerWork: map[uint32]work{}, changing: map[uint32]time.Time{}}
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

// receive records the work that a peer reported.
func (t *loadTracker) receive(now time.Time, load *sharepb.Load) {
	if !load.NoWork {
		t.replace(now, sourceOf(load), load)
	}
}

// replace replaces the previous report of a source, and drops segments that the source no longer
// uses: their endpoints are now in other segments.
func (t *loadTracker) replace(now time.Time, from source, load *sharepb.Load) {
	if last, ok := t.peers[from]; ok {
		t.reportInterval += (now.Sub(last.receivedAt) - t.reportInterval) / reportIntervalSamples
	}
	t.dropOverlapping(from.region)
	t.subtract(from)
	t.peers[from] = peerLoad{work: load.Work, refusing: load.Refusing, receivedAt: now}
	unused := from
	for unused.segment = load.Segments; unused.segment > 0; unused.segment++ {
		if _, ok := t.peers[unused]; !ok {
			break
		}
		t.subtract(unused)
	}
	for _, id := range load.Changing {
		t.changing[id] = now.Add(roleChangeTTL)
	}
	for _, hash := range load.Refusing {
		if e := t.byHash[hash]; e != nil {
			e.refusals = max(e.refusals, peerRefusals)
			t.refused[e] = true
		}
	}
	for _, w := range load.Work {
		sum := t.peerWork[w.Endpoint]
		sum.add(workFromProto(w))
		t.peerWork[w.Endpoint] = sum
	}
}

// dropOverlapping drops the sum of the region when a narrower report arrives, and narrower reports
// when the sum arrives. A VM receives one kind until its collector is replaced; keeping both would
// count work twice.
func (t *loadTracker) dropOverlapping(region bool) {
	for from := range t.peers {
		if from.region != region {
			t.subtract(from)
		}
	}
}

// reportIntervalSamples is the number of reports in the moving average of their interval: those of
// about 50 ms in a large region.
const reportIntervalSamples = 16

// subtract removes the last report of a source.
func (t *loadTracker) subtract(from source) {
	for _, w := range t.peers[from].work {
		sum := t.peerWork[w.Endpoint]
		sum.sub(workFromProto(w))
		if sum == (work{}) {
			delete(t.peerWork, w.Endpoint)
		} else {
			t.peerWork[w.Endpoint] = sum
		}
	}
	delete(t.peers, from)
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

// expire drops role changes and peer reports whose TTL has passed.
func (t *loadTracker) expire(now time.Time) {
	maps.DeleteFunc(t.changing, func(_ uint32, until time.Time) bool { return !now.Before(until) })
	for from, p := range t.peers {
		if now.Sub(p.receivedAt) > loadshare.TTL {
			t.subtract(from)
		}
	}
}

// oldestReportAge returns the age of the oldest report of a peer.
func (t *loadTracker) oldestReportAge(now time.Time) time.Duration {
	var oldest time.Duration
	for _, p := range t.peers {
		oldest = max(oldest, now.Sub(p.receivedAt))
	}
	return oldest
}

func workToProto(endpoint uint32, w work) *sharepb.Work {
	return &sharepb.Work{
		Endpoint:      endpoint,
		PrefillTokens: uint32(max(0, w.prefill.tokens)), PrefillMegaPairs: uint32(max(0, w.prefill.megaPairs)),
		Runs: uint32(max(0, w.running)), KvTokens: uint32(max(0, w.kvTokens)),
	}
}

func workFromProto(w *sharepb.Work) work {
	return work{
		prefill:  prefillWork{tokens: int(w.PrefillTokens), megaPairs: int(w.PrefillMegaPairs)},
		kvTokens: int(w.KvTokens), running: int(w.Runs),
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
