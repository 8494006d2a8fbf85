package admission

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/springweir/springweir/failure"
)

// maxIdleFlows is how many flows are kept for each place in the queue.
const maxIdleFlows = 4

// Queue holds the waiting requests of one model. It is not safe for concurrent use.
//
// Order: each organisation and class is a flow. The flow whose first item would
// end earliest in virtual time goes next (self-clocked fair queueing), so that
// backlogged flows get cost in proportion to their weights and a short request
// goes before a long one that came at the same time. Flows at their concurrency
// limit are passed over.
//
// Invariants: at most Config.MaxQueue items wait; a flow without items has no
// place in active; virtual never goes back while anything waits.
type Queue struct {
	cfg     Config
	limits  *Limits
	active  []*flow
	flows   map[flowKey]*flow
	virtual float64
	waiting int
	byOrg   map[string]int
	orders  uint64
	drain   drain
}

// NewQueue returns an empty queue. Queues of several models share the limits.
func NewQueue(cfg Config, limits *Limits) *Queue {
	return &Queue{
		cfg:    cfg,
		limits: limits,
		flows:  make(map[flowKey]*flow),
		byOrg:  make(map[string]int),
		drain:  newDrain(&cfg),
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiting }

// Offer queues w, or refuses it at once with a *failure.Request. Service is its
// predicted time from sending to the whole answer. A request of a lower class
// may have to make room; it is returned as displaced and has been given up.
func (q *Queue) Offer(now time.Duration, w Work, service time.Duration) (it, displaced *Item, err error) {
	q.drain.advance(now, q.waiting > 0)
	it = q.newItem(now, w, service)
	wait := q.predict(it)
	if it.LatestStart < now || now+wait+seconds(q.cfg.Margin*wait.Seconds()) > it.LatestStart {
		after := q.retryAfter(now + wait - it.LatestStart)
		return nil, nil, refuse(failure.DeadlineUnreachable, after, "the answer cannot be whole by the deadline")
	}
	if q.byOrg[w.Organisation] >= q.cfg.MaxPerOrganisation {
		return nil, nil, refuse(failure.QueueFull, q.retryAfter(wait), "the organisation's queue is full")
	}
	if q.waiting >= q.cfg.MaxQueue {
		displaced = q.displace(w.class())
		if displaced == nil {
			return nil, nil, refuse(failure.QueueFull, q.retryAfter(wait), "the queue is full")
		}
	}
	if err := q.limits.take(now, &it.Work, it.cost); err != nil {
		if displaced != nil {
			q.insert(displaced)
		}
		return nil, nil, err
	}
	q.insert(it)
	return it, displaced, nil
}

func (q *Queue) newItem(now time.Duration, w Work, service time.Duration) *Item {
	q.orders++
	it := &Item{Work: w, Arrived: now, cost: w.cost(&q.cfg), order: q.orders, index: -1}
	it.key = now + time.Duration(it.cost*float64(q.cfg.DelayPerCost))
	it.LatestStart = now + q.cfg.MaxWait
	if w.Deadline != 0 {
		it.LatestStart = w.Deadline - service
	}
	it.flow = q.flowOf(&it.Work)
	return it
}

func (q *Queue) flowOf(w *Work) *flow {
	key := flowKey{w.Organisation, w.class()}
	f := q.flows[key]
	if f == nil {
		f = &flow{key: key} // insert keeps it; a refused request leaves nothing behind.
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

// predict is how long it would wait: by the time it is sent, each other flow
// has had its share by weight, but no more than it has waiting.
func (q *Queue) predict(it *Item) time.Duration {
	own := it.flow.ahead(it.key)
	ahead := own
	for _, f := range q.active {
		if f != it.flow {
			ahead += min(f.cost, (own+it.cost)*f.weight/it.flow.weight)
		}
	}
	return seconds(ahead / q.drain.rate())
}

// retryAfter is when to come back if excess has to drain first. The spread by
// order keeps refused callers from coming back together.
func (q *Queue) retryAfter(excess time.Duration) time.Duration {
	_, spread := math.Modf(float64(q.orders) * math.Phi)
	return max(q.cfg.MinRetryAfter, excess) + seconds(spread*q.cfg.MinRetryAfter.Seconds())
}

// displace gives up the newest request of the lowest class below class.
func (q *Queue) displace(class int) *Item {
	var victim *Item
	for _, f := range q.active {
		if f.key.class <= class {
			continue
		}
		for _, it := range f.items {
			if victim == nil || it.worse(victim) {
				victim = it
			}
		}
	}
	if victim != nil {
		q.take(victim)
	}
	return victim
}

func (it *Item) worse(o *Item) bool {
	if it.flow.key.class != o.flow.key.class {
		return it.flow.key.class > o.flow.key.class
	}
	return it.order > o.order
}

// Head returns the request to send next, or nil when nothing may be sent.
func (q *Queue) Head() *Item {
	heads := q.heads(1)
	if len(heads) == 0 {
		return nil
	}
	return heads[0]
}

// heads returns the first items of up to n flows that may run, in order.
func (q *Queue) heads(n int) []*Item {
	var first []*flow
	for _, f := range q.active {
		if !q.limits.mayRun(f.key.organisation) {
			continue
		}
		at := sort.Search(len(first), func(i int) bool { return first[i].end() > f.end() })
		first = slices.Insert(first, at, f)
		first = first[:min(n, len(first))]
	}
	items := make([]*Item, len(first))
	for i, f := range first {
		items[i] = f.items[0]
	}
	return items
}

// Send takes the head out of the queue and counts it as running. The caller
// calls Limits.Done when it has ended.
func (q *Queue) Send(now time.Duration, head *Item) {
	q.drain.advance(now, true)
	q.drain.sent(head.cost)
	q.virtual = max(q.virtual, head.flow.start)
	head.flow.start = head.flow.end()
	q.limits.start(head.Work.Organisation)
	q.take(head)
}

// Cancel takes a request out whose caller went away or whose latest start has
// passed. It tells whether the request was still waiting.
func (q *Queue) Cancel(now time.Duration, it *Item) bool {
	if !it.waiting() {
		return false
	}
	q.drain.advance(now, true)
	q.take(it)
	return true
}

func (q *Queue) take(it *Item) {
	f := it.flow
	f.remove(it)
	q.waiting--
	if q.byOrg[it.Work.Organisation]--; q.byOrg[it.Work.Organisation] == 0 {
		delete(q.byOrg, it.Work.Organisation)
	}
	if len(f.items) == 0 {
		q.deactivate(f)
	}
	if q.waiting == 0 || len(q.flows) > maxIdleFlows*q.cfg.MaxQueue {
		q.purge()
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

// purge forgets idle flows: all when nothing waits, else those whose last
// request has ended in virtual time.
func (q *Queue) purge() {
	for key, f := range q.flows {
		if len(f.items) == 0 && (q.waiting == 0 || f.start <= q.virtual) {
			delete(q.flows, key)
		}
	}
	if q.waiting == 0 {
		q.virtual = 0
	}
}

// drain measures the cost a second that leaves the queue while it is not empty.
type drain struct {
	memory float64
	last   time.Duration
	cost   float64
	busy   float64
}

func newDrain(cfg *Config) drain {
	memory := cfg.RateTimeConstant.Seconds()
	return drain{memory: memory, cost: cfg.InitialRate * memory, busy: memory}
}

// advance lets time pass; only time with a backlog counts.
func (d *drain) advance(now time.Duration, backlog bool) {
	passed := (now - d.last).Seconds()
	d.last = now
	if !backlog || passed <= 0 {
		return
	}
	keep := math.Exp(-passed / d.memory)
	d.cost *= keep
	d.busy = d.busy*keep + passed
}

func (d *drain) sent(cost float64) { d.cost += cost }

func (d *drain) rate() float64 { return max(1, d.cost/d.busy) }

func seconds(s float64) time.Duration {
	return time.Duration(min(s, math.MaxInt32) * float64(time.Second))
}
