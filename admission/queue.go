package admission

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/springweir/springweir/failure"
)

// idleFlowsPerSlot is the number of flows kept for each slot of the queue before idle flows are
// evicted.
const idleFlowsPerSlot = 4

// Queue holds the waiting requests of one model. It is not safe for concurrent use.
//
// Order: each organisation and class is a flow. The flow whose first item has the earliest virtual
// finish time is next (self-clocked fair queueing). Backlogged flows thus receive cost in
// proportion to their weights, and a short request precedes a long one that arrived at the same
// time. Flows at their concurrency limit are skipped.
//
// Invariants: at most Config.MaxQueue items wait; active contains only flows with items; virtual
// never decreases while any request waits.
type Queue struct {
	cfg          Config
	limits       *Limits
	active       []*flow
	flows        map[flowKey]*flow
	virtual      float64
	waiting      int
	byOrg        map[string]int
	lastSequence uint64
	drain        drainRate
}

// NewQueue returns an empty queue. The queues of several models share the limits.
func NewQueue(cfg Config, limits *Limits) *Queue {
	return &Queue{
		cfg:    cfg,
		limits: limits,
		flows:  make(map[flowKey]*flow),
		byOrg:  make(map[string]int),
		drain:  newDrainRate(&cfg),
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiting }

// Offer queues w, or refuses it immediately with a *failure.Request. serviceTime is the predicted
// time from sending to the complete response. If the queue is full, a waiting request of a lower
// class is removed and returned as displaced; the caller has to refuse it.
func (q *Queue) Offer(now time.Duration, w Work, serviceTime time.Duration) (it, displaced *Item, err error) {
	q.drain.advance(now, q.waiting > 0)
	it = q.newItem(now, w, serviceTime)
	wait := q.predictWait(it)
	if it.LatestStart < now || now+wait+seconds(q.cfg.Margin*wait.Seconds()) > it.LatestStart {
		after := q.retryAfter(now + wait - it.LatestStart)
		return nil, nil, refusal(failure.DeadlineUnreachable, after, "the answer cannot be whole by the deadline")
	}
	if q.byOrg[w.Organisation] >= q.cfg.MaxPerOrganisation {
		return nil, nil, refusal(failure.QueueFull, q.retryAfter(wait), "the organisation's queue is full")
	}
	if q.waiting >= q.cfg.MaxQueue {
		displaced = q.displace(w.class())
		if displaced == nil {
			return nil, nil, refusal(failure.QueueFull, q.retryAfter(wait), "the queue is full")
		}
	}
	if err := q.limits.charge(now, &it.Work, it.cost); err != nil {
		if displaced != nil {
			q.insert(displaced)
		}
		return nil, nil, err
	}
	q.insert(it)
	return it, displaced, nil
}

func (q *Queue) newItem(now time.Duration, w Work, serviceTime time.Duration) *Item {
	q.lastSequence++
	it := &Item{Work: w, Arrived: now, cost: w.cost(&q.cfg), sequence: q.lastSequence, index: -1}
	it.sortKey = now + time.Duration(it.cost*float64(q.cfg.DelayPerCost))
	it.LatestStart = now + q.cfg.MaxWait
	if w.Deadline != 0 {
		it.LatestStart = w.Deadline - serviceTime
	}
	it.flow = q.flowFor(&it.Work)
	return it
}

func (q *Queue) flowFor(w *Work) *flow {
	key := flowKey{w.Organisation, w.class()}
	f := q.flows[key]
	if f == nil {
		f = &flow{key: key} // Stored by insert, so that a refused request leaves no flow.
	}
	f.weight = w.weight(&q.cfg)
	return f
}

func (q *Queue) insert(it *Item) {
	if len(it.flow.items) == 0 {
		it.flow.start = max(it.flow.start, q.virtual)
		q.active = append(q.active, it.flow)
		q.flows[it.flow.key] = it.flow
	}
	it.flow.push(it)
	q.waiting++
	q.byOrg[it.Work.Organisation]++
}

// predictWait returns the predicted wait of an item. Until it is sent, each other flow receives its
// share by weight, but no more than the cost it has waiting.
func (q *Queue) predictWait(it *Item) time.Duration {
	aheadInFlow := it.flow.ahead(it.sortKey)
	ahead := aheadInFlow
	for _, f := range q.active {
		if f != it.flow {
			ahead += min(f.cost, (aheadInFlow+it.cost)*f.weight/it.flow.weight)
		}
	}
	return seconds(ahead / q.drain.rate())
}

// retryAfter returns the delay after which a refused caller should retry if excess has to drain
// first. It is spread by the sequence number, so that refused callers do not all retry at the same
// time.
func (q *Queue) retryAfter(excess time.Duration) time.Duration {
	_, spread := math.Modf(float64(q.lastSequence) * math.Phi)
	return max(q.cfg.MinRetryAfter, excess) + seconds(spread*q.cfg.MinRetryAfter.Seconds())
}

// displace removes and returns the newest request of the lowest class below class, or nil if there
// is none.
func (q *Queue) displace(class int) *Item {
	var victim *Item
	for _, f := range q.active {
		if f.key.class <= class {
			continue
		}
		for _, it := range f.items {
			if victim == nil || it.displacedBefore(victim) {
				victim = it
			}
		}
	}
	if victim != nil {
		q.dequeue(victim)
	}
	return victim
}

// displacedBefore reports whether it is displaced before o: the lower class first, then the newer
// request.
func (it *Item) displacedBefore(o *Item) bool {
	if it.flow.key.class != o.flow.key.class {
		return it.flow.key.class > o.flow.key.class
	}
	return it.sequence > o.sequence
}

// Head returns the request to send next, or nil if none may be sent.
func (q *Queue) Head() *Item {
	heads := q.heads(1)
	if len(heads) == 0 {
		return nil
	}
	return heads[0]
}

// heads returns the first items of up to n flows that may run, in order of virtual finish time.
func (q *Queue) heads(n int) []*Item {
	var first []*flow
	for _, f := range q.active {
		if !q.limits.belowConcurrencyLimit(f.key.organisation) {
			continue
		}
		position := sort.Search(len(first), func(i int) bool { return first[i].finish() > f.finish() })
		first = slices.Insert(first, position, f)
		first = first[:min(n, len(first))]
	}
	items := make([]*Item, len(first))
	for i, f := range first {
		items[i] = f.items[0]
	}
	return items
}

// Send removes the head from the queue and counts it as running. The caller must call Limits.Done
// when it has ended.
func (q *Queue) Send(now time.Duration, head *Item) {
	q.drain.advance(now, true)
	q.drain.sent(head.cost)
	q.virtual = max(q.virtual, head.flow.start)
	head.flow.start = head.flow.finish()
	q.limits.started(head.Work.Organisation)
	q.dequeue(head)
}

// Cancel removes a request whose caller has disconnected or whose latest start has passed. It
// reports whether the request was still waiting.
func (q *Queue) Cancel(now time.Duration, it *Item) bool {
	if !it.waiting() {
		return false
	}
	q.drain.advance(now, true)
	q.dequeue(it)
	return true
}

func (q *Queue) dequeue(it *Item) {
	f := it.flow
	f.remove(it)
	q.waiting--
	if q.byOrg[it.Work.Organisation]--; q.byOrg[it.Work.Organisation] == 0 {
		delete(q.byOrg, it.Work.Organisation)
	}
	if len(f.items) == 0 {
		q.deactivate(f)
	}
	if q.waiting == 0 || len(q.flows) > idleFlowsPerSlot*q.cfg.MaxQueue {
		q.evictIdleFlows()
	}
}

func (q *Queue) deactivate(f *flow) {
	for i, o := range q.active {
		if o == f {
			q.active[i] = q.active[len(q.active)-1]
			q.active = q.active[:len(q.active)-1]
			return
		}
	}
}

// evictIdleFlows removes idle flows: all of them if no request waits, otherwise those whose last
// request has finished in virtual time.
func (q *Queue) evictIdleFlows() {
	for key, f := range q.flows {
		if len(f.items) == 0 && (q.waiting == 0 || f.start <= q.virtual) {
			delete(q.flows, key)
		}
	}
	if q.waiting == 0 {
		q.virtual = 0
	}
}

// drainRate measures the cost per second that leaves the queue while requests wait, as an
// exponential moving average.
type drainRate struct {
	timeConstant float64
	updatedAt    time.Duration
	cost         float64
	backlogged   float64
}

func newDrainRate(cfg *Config) drainRate {
	timeConstant := cfg.RateTimeConstant.Seconds()
	return drainRate{timeConstant: timeConstant, cost: cfg.InitialRate * timeConstant, backlogged: timeConstant}
}

// advance accounts for the time passed since the last call. Only time with a backlog counts.
func (d *drainRate) advance(now time.Duration, backlog bool) {
	elapsed := (now - d.updatedAt).Seconds()
	d.updatedAt = now
	if !backlog || elapsed <= 0 {
		return
	}
	decay := math.Exp(-elapsed / d.timeConstant)
	d.cost *= decay
	d.backlogged = d.backlogged*decay + elapsed
}

func (d *drainRate) sent(cost float64) { d.cost += cost }

func (d *drainRate) rate() float64 { return max(1, d.cost/d.backlogged) }

func seconds(s float64) time.Duration {
	return time.Duration(min(s, math.MaxInt32) * float64(time.Second))
}
