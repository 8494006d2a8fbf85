package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/loadshare/sharepb"
)

// work is an amount of open requests at one endpoint.
type work struct {
	// prefill is not yet done, kvTokens are held in its cache memory for requests
	// that run.
	prefill  amount
	kvTokens int
	runs     int
}

func (w *work) add(o work) {
	w.prefill = w.prefill.plus(o.prefill)
	w.kvTokens += o.kvTokens
	w.runs += o.runs
}

func (w *work) sub(o work) {
	w.prefill = w.prefill.minus(o.prefill)
	w.kvTokens -= o.kvTokens
	w.runs -= o.runs
}

// book is what this VM knows of one endpoint beyond its registration.
type book struct {
	id   string
	born int64
	hash uint32
	own  work
	// cache is nil for an endpoint that is no engine.
	cache *cacheModel
	// pausedUntil is until when the endpoint is left alone because it refused, and
	// refusals counts those in a row.
	pausedUntil time.Time
	refusals    int
}

const (
	// pauseMin is how long an endpoint is left alone after a refusal. It doubles
	// with each further one up to pauseMax: one that is full may have room soon,
	// one that is changing its role is away for seconds.
	pauseMin = 25 * time.Millisecond
	pauseMax = 800 * time.Millisecond
	// sharedRefusals are the refusals in a row that count for a VM that was told of them:
	// its own first one then leaves the endpoint alone for longer, so that the VMs do not
	// all try it again each time that one of them does.
	sharedRefusals = 4
	// pauseWrong is how long one that is not what its row says is left alone: a row
	// follows within about a second.
	pauseWrong = time.Second
)

// refused leaves the endpoint alone for a while. One that is another than was meant, or
// has another role, stays so until its row shows it.
func (b *book) refused(now time.Time, code failure.Reason) {
	pause := min(pauseMin<<min(b.refusals, 8), pauseMax)
	if code == failure.WrongIncarnation {
		pause = pauseWrong
	}
	b.pausedUntil = now.Add(pause)
	b.refusals++
}

// source names what was told together: a part of the work of a VM, or of a zone's or the
// region's VMs, whoever collected it.
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

// peerLoad is what a source last told.
type peerLoad struct {
	work     []*sharepb.Work
	refusing []uint32
	at       time.Time
}

// books holds the books of all endpoints. It is not safe for concurrent use: the
// Planner's lock guards it.
type books struct {
	byID   map[string]*book
	byHash map[uint32]*book
	peers  map[source]peerLoad
	// others is the work of the other VMs together, by the endpoint's hash.
	others map[uint32]work
	// changing are the engines that some VM has ordered to change their role, and until
	// when that is believed without news of it.
	changing map[uint32]time.Time
	// newsGap is the time between two reports of one source, averaged over all sources
	// and some of their last reports; zero until there were two.
	newsGap time.Duration
	// placed are the prompts given to engines since they were last told.
	placed []*sharepb.Placed
}

// maxPlaced bounds the prompts kept to be told; the oldest are forgotten.
const maxPlaced = 256

func newBooks() *books {
	return &books{byID: map[string]*book{}, byHash: map[uint32]*book{}, peers: map[source]peerLoad{}, others: map[uint32]work{}, changing: map[uint32]time.Time{}}
}

// open is the work of all VMs at an endpoint.
func (b *books) open(k *book) work {
	w := k.own
	w.add(b.others[k.hash])
	return w
}

// of returns the book of an endpoint. A start after the known one gets a new book: it
// holds nothing of what the one before was given, and the work that is still open there
// is given back to the old book. A start before the known one gets a book that nobody
// else sees.
func (b *books) of(e *directory.Endpoint) *book {
	k := b.byID[e.ID]
	if k != nil && k.born == e.StartedAt {
		return k
	}
	fresh := &book{id: e.ID, born: e.StartedAt, hash: loadshare.Hash(e.Incarnation())}
	if k != nil && k.born > e.StartedAt {
		return fresh
	}
	if k != nil {
		delete(b.byHash, k.hash)
	}
	b.byID[e.ID] = fresh
	b.byHash[fresh.hash] = fresh
	return fresh
}

// engine returns the book of an engine, with the model of its cache of so many tokens.
func (b *books) engine(e *directory.Endpoint, kvTokens int) *book {
	k := b.of(e)
	if k.cache == nil {
		k.cache = newCacheModel(kvTokens)
	}
	return k
}

// keep forgets endpoints that are gone and have no open work.
func (b *books) keep(s *directory.Snapshot) {
	for id, k := range b.byID {
		if s.Endpoint(id) == nil && k.own == (work{}) {
			delete(b.byID, id)
			delete(b.byHash, k.hash)
		}
	}
}

// heard takes in a peer's work.
func (b *books) heard(now time.Time, load *sharepb.Load) {
	if !load.NoWork {
		b.replace(now, sourceOf(load), load)
	}
}

// replace puts a load in the place of the one that its source told before, and drops
// segments that are no longer used: their endpoints now stand in others.
func (b *books) replace(now time.Time, from source, load *sharepb.Load) {
	if last, told := b.peers[from]; told {
		b.newsGap += (now.Sub(last.at) - b.newsGap) / newsGapMemory
	}
	b.dropOther(from.region)
	b.subtract(from)
	b.peers[from] = peerLoad{work: load.Work, refusing: load.Refusing, at: now}
	unused := from
	for unused.segment = load.Segments; unused.segment > 0; unused.segment++ {
		if _, told := b.peers[unused]; !told {
			break
		}
		b.subtract(unused)
	}
	for _, hash := range load.Changing {
		b.changing[hash] = now.Add(changeMemory)
	}
	for _, hash := range load.Refusing {
		if k := b.byHash[hash]; k != nil {
			k.refusals = max(k.refusals, sharedRefusals)
		}
	}
	for _, w := range load.Work {
		sum := b.others[w.Endpoint]
		sum.add(workOf(w))
		b.others[w.Endpoint] = sum
	}
}

// dropOther drops what the region's sum contains, or the sum: a VM hears one or the other,
// until another VM takes the place of its collector, and both would count work twice.
func (b *books) dropOther(region bool) {
	for from := range b.peers {
		if from.region != region {
			b.subtract(from)
		}
	}
}

// newsGapMemory is the number of reports that the average of their gaps goes by: those of
// some 50 ms in a large region.
const newsGapMemory = 16

// subtract takes what a source last told out of the books.
func (b *books) subtract(from source) {
	for _, w := range b.peers[from].work {
		sum := b.others[w.Endpoint]
		sum.sub(workOf(w))
		if sum == (work{}) {
			delete(b.others, w.Endpoint)
		} else {
			b.others[w.Endpoint] = sum
		}
	}
	delete(b.peers, from)
}

// changeMemory is how long an engine is taken to be changing its role after it was last
// told so: the change takes three seconds and is seen a second later. The VM that
// ordered it may be gone by then, and an engine that refuses looks idle: until its row
// changed, the others sent it up to 100 requests, each of which was lost.
const changeMemory = 4 * time.Second

// isChanging tells whether another VM has ordered the engine to change its role.
func (b *books) isChanging(now time.Time, k *book) bool { return now.Before(b.changing[k.hash]) }

// refusesOthers tells whether another VM finds that the endpoint keeps refusing.
func (b *books) refusesOthers(k *book) bool {
	for _, p := range b.peers {
		if slices.Contains(p.refusing, k.hash) {
			return true
		}
	}
	return false
}

// changed notes that an engine has another role now.
func (b *books) changed(id string) {
	if k := b.byID[id]; k != nil {
		delete(b.changing, k.hash)
		k.pausedUntil, k.refusals = time.Time{}, 0
	}
}

// refusing are the endpoints that have refused this VM more than once and are left
// alone for that.
func (b *books) refusing(now time.Time) []uint32 {
	var list []uint32
	for _, k := range b.byID {
		if k.refusals > 1 && now.Before(k.pausedUntil) {
			list = append(list, k.hash)
		}
	}
	return list
}

// expire forgets what peers told that have fallen silent.
func (b *books) expire(now time.Time) {
	maps.DeleteFunc(b.changing, func(_ uint32, until time.Time) bool { return !now.Before(until) })
	for from, p := range b.peers {
		if now.Sub(p.at) > loadshare.TTL {
			b.subtract(from)
		}
	}
}

// age is how old the oldest news of another VM is.
func (b *books) age(now time.Time) time.Duration {
	var oldest time.Duration
	for _, p := range b.peers {
		oldest = max(oldest, now.Sub(p.at))
	}
	return oldest
}

func toldOf(endpoint uint32, w work) *sharepb.Work {
	return &sharepb.Work{
		Endpoint:      endpoint,
		PrefillTokens: uint32(max(0, w.prefill.tokens)), PrefillMegaPairs: uint32(max(0, w.prefill.megaPairs)),
		Runs: uint32(max(0, w.runs)), KvTokens: uint32(max(0, w.kvTokens)),
	}
}

func workOf(w *sharepb.Work) work {
	return work{
		prefill:  amount{tokens: int(w.PrefillTokens), megaPairs: int(w.PrefillMegaPairs)},
		kvTokens: int(w.KvTokens), runs: int(w.Runs),
	}
}

func chunksOfPlaced(p *sharepb.Placed) []chunk {
	chunks := make([]chunk, len(p.Part))
	for i, id := range p.Part {
		chunks[i] = chunk{id: id, tokens: int(p.Tokens[i])}
	}
	return chunks
}

// place notes that an engine was given a prompt that it will have read at ready, to be
// told to the others.
func (b *books) place(k *book, chunks []chunk, ready time.Time) {
	if k.cache == nil || len(chunks) == 0 {
		return
	}
	k.cache.use(chunks, ready)
	p := &sharepb.Placed{Endpoint: k.hash}
	for _, c := range chunks {
		p.Part = append(p.Part, c.id)
		p.Tokens = append(p.Tokens, uint32(c.tokens))
	}
	if len(b.placed) >= maxPlaced {
		b.placed = b.placed[1:]
	}
	b.placed = append(b.placed, p)
}

// told returns the own work, and the prompts placed since the last call.
func (b *books) told() ([]*sharepb.Work, []*sharepb.Placed) {
	var list []*sharepb.Work
	for _, k := range b.byID {
		if k.own != (work{}) {
			list = append(list, toldOf(k.hash, k.own))
		}
	}
	placed := b.placed
	b.placed = nil
	return list, placed
}
