package admission

import (
	"context"
	"sync"
	"time"

	"github.com/springweir/springweir/failure"
)

// reevaluateInterval is the interval at which non-empty queues are evaluated, in addition to the
// evaluations triggered by changes.
const reevaluateInterval = 10 * time.Millisecond

// Controller runs the queues of a process. A request waits in Admit until it is sent, refused or
// cancelled by its caller. A refusal is returned immediately.
//
// Lock order: Controller.mu, then Limits.mu, then the locks taken by Predictor and Commit.
// Controller.mu is not held while a request waits.
type Controller struct {
	cfg     Config
	limits  *Limits
	predict Predictor
	commit  Commit
	now     func() time.Duration

	mu       sync.Mutex
	queues   map[string]*Queue
	timer    *time.Timer
	stopping bool
}

// Grant permits sending one request. Release must be called when the request has ended.
type Grant struct {
	// Plan is the plan of the prediction that led to the grant.
	Plan any
	// Waited is the time spent in the queue.
	Waited time.Duration

	once    sync.Once
	release func()
}

// Release marks the request as ended. Further calls have no effect.
func (g *Grant) Release() { g.once.Do(g.release) }

// result is the outcome sent to a waiting request.
type result struct {
	plan any
	err  error
}

// NewController returns a controller. commit may be nil. now is the monotonic clock of the
// snapshots.
func NewController(cfg Config, limits *Limits, predict Predictor, commit Commit, now func() time.Duration) *Controller {
	if commit == nil {
		commit = func(time.Duration, *Work, any) {}
	}
	return &Controller{
		cfg:     cfg,
		limits:  limits,
		predict: predict,
		commit:  commit,
		now:     now,
		queues:  make(map[string]*Queue),
	}
}

// Admit waits until w may be sent. Its errors are of type *failure.Request or come from the
// Predictor. They implement failure.Coded, and the request was not run. A grant may be returned
// even if ctx has just ended; it must be released in any case.
func (c *Controller) Admit(ctx context.Context, w Work) (*Grant, error) {
	it, err := c.enqueue(w)
	if err != nil {
		return nil, countRefusal(w.class(), err)
	}
	v := c.wait(ctx, it)
	if v.err != nil {
		return nil, countRefusal(w.class(), v.err)
	}
	waited := c.now() - it.Arrived
	observeWait(w.class(), waited)
	release := func() {
		c.limits.Done(w.Organisation)
		c.Reevaluate()
	}
	return &Grant{Plan: v.plan, Waited: waited, release: release}, nil
}

func (c *Controller) enqueue(w Work) (*Item, error) {
	now := c.now()
	prediction, err := c.predict(now, &w)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping {
		return nil, stoppingError()
	}
	q := c.queues[w.Model]
	if q == nil {
		q = NewQueue(c.cfg, c.limits)
		c.queues[w.Model] = q
	}
	it, displaced, err := q.Offer(now, w, prediction.ServiceTime)
	if err != nil {
		return nil, err
	}
	it.Waiter = make(chan result, 1)
	if displaced != nil {
		deliver(displaced, result{err: refusal(failure.QueueFull, q.retryAfter(0), "a more urgent request took the place")})
	}
	c.dispatchQueue(now, q)
	c.scheduleReevaluation()
	return it, nil
}

// deliver sends the result to a request that has left its queue. It never blocks, because the
// channel has a buffer of one and each request receives a single result.
func deliver(it *Item, v result) { it.Waiter.(chan result) <- v }

func (c *Controller) wait(ctx context.Context, it *Item) result {
	results := it.Waiter.(chan result)
	timer := time.NewTimer(it.LatestStart - c.now())
	defer timer.Stop()
	select {
	case v := <-results:
		return v
	case <-ctx.Done():
		disconnected := refusal(failure.CallerGone, 0, "the caller went away")
		disconnected.Cause = ctx.Err()
		return c.withdraw(it, disconnected)
	case <-timer.C:
		return c.withdraw(it, c.lateError(it))
	}
}

// withdraw removes a request from its queue. If the request has been granted concurrently, the
// grant is returned, because Commit has already recorded it and the caller of Admit has to release
// it.
func (c *Controller) withdraw(it *Item, reason *failure.Request) result {
	c.mu.Lock()
	waiting := c.queues[it.Work.Model].Cancel(c.now(), it)
	c.mu.Unlock()
	if waiting {
		return result{err: reason}
	}
	return <-it.Waiter.(chan result)
}

// lateError returns the refusal of a request whose latest start has passed.
func (c *Controller) lateError(it *Item) *failure.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queues[it.Work.Model].lateError()
}

// Reevaluate evaluates all queues. It is called when a snapshot has changed.
func (c *Controller) Reevaluate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for _, q := range c.queues {
		c.dispatchQueue(now, q)
	}
	c.scheduleReevaluation()
}

// dispatchQueue sends or refuses the requests of q that are due.
func (c *Controller) dispatchQueue(now time.Duration, q *Queue) {
	q.Dispatch(now, c.predict, func(it *Item, prediction Prediction, err error) {
		if err == nil {
			c.commit(now, &it.Work, prediction.Plan)
		}
		deliver(it, result{plan: prediction.Plan, err: err})
	})
}

// scheduleReevaluation starts the timer of the next evaluation if any request is waiting.
func (c *Controller) scheduleReevaluation() {
	for _, q := range c.queues {
		if q.Len() == 0 {
			continue
		}
		if c.timer == nil {
			c.timer = time.AfterFunc(reevaluateInterval, c.Reevaluate)
		} else {
			c.timer.Reset(reevaluateInterval)
		}
		return
	}
}

// Stop refuses all waiting requests and all later calls of Admit.
func (c *Controller) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
	now := c.now()
	for _, q := range c.queues {
		for len(q.active) > 0 {
			it := q.active[0].items[0]
			q.Cancel(now, it)
			deliver(it, result{err: stoppingError()})
		}
	}
}

func stoppingError() *failure.Request {
	return refusal(failure.Stopping, time.Second, "this VM is stopping")
}

// Waiting returns the number of waiting requests in all queues.
func (c *Controller) Waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, q := range c.queues {
		n += q.Len()
	}
	return n
}
