package admission

import (
	"context"
	"sync"
	"time"

	"github.com/springweir/springweir/failure"
)

// repump is how often a queue that is not empty is looked at again, besides
// when something is known to have changed.
const repump = 10 * time.Millisecond

// Controller runs the queues of a process. A request waits in Admit until it is
// sent, given up or its caller goes; what is given up is answered at once.
//
// Lock order: Controller.mu, then Limits.mu, then what Predictor and Commit
// take. It is never held while waiting.
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

// Grant lets one request be sent. Release must be called when it has ended.
type Grant struct {
	// Plan is the Plan of the outlook on which it was granted.
	Plan any
	// Waited is the time in the queue.
	Waited time.Duration

	once    sync.Once
	release func()
}

// Release ends the request. Calling it again does nothing.
func (g *Grant) Release() { g.once.Do(g.release) }

// verdict is what a waiting request is told.
type verdict struct {
	plan any
	err  error
}

// NewController returns a controller. Commit may be nil. Now is the monotonic
// clock of the snapshots.
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

// Admit waits until w may be sent. Its errors are Coded, and the request was not
// run: *failure.Request, or what the Predictor returned. A grant may be returned
// although ctx has just ended; it must be released all the same.
func (c *Controller) Admit(ctx context.Context, w Work) (*Grant, error) {
	it, err := c.offer(w)
	if err != nil {
		return nil, counted(w.class(), err)
	}
	v := c.wait(ctx, it)
	if v.err != nil {
		return nil, counted(w.class(), v.err)
	}
	waited := c.now() - it.Arrived
	observeWait(w.class(), waited)
	release := func() {
		c.limits.Done(w.Organisation)
		c.Kick()
	}
	return &Grant{Plan: v.plan, Waited: waited, release: release}, nil
}

func (c *Controller) offer(w Work) (*Item, error) {
	now := c.now()
	outlook, err := c.predict(now, &w)
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
	it, displaced, err := q.Offer(now, w, outlook.ServiceTime)
	if err != nil {
		return nil, err
	}
	it.Waiter = make(chan verdict, 1)
	if displaced != nil {
		tell(displaced, verdict{err: refuse(failure.QueueFull, q.retryAfter(0), "a more urgent request took the place")})
	}
	c.pump(now, q)
	c.arm()
	return it, nil
}

// tell gives a request that has left its queue its verdict. It never blocks:
// the channel holds the only one.
func tell(it *Item, v verdict) { it.Waiter.(chan verdict) <- v }

func (c *Controller) wait(ctx context.Context, it *Item) verdict {
	granted := it.Waiter.(chan verdict)
	timer := time.NewTimer(it.LatestStart - c.now())
	defer timer.Stop()
	select {
	case v := <-granted:
		return v
	case <-ctx.Done():
		gone := refuse(failure.CallerGone, 0, "the caller went away")
		gone.Cause = ctx.Err()
		return c.giveUp(it, gone)
	case <-timer.C:
		return c.giveUp(it, c.late(it))
	}
}

// giveUp takes a request out of its queue. If it was sent at the same moment the
// grant stands, because Commit has recorded it: its owner releases it.
func (c *Controller) giveUp(it *Item, why *failure.Request) verdict {
	c.mu.Lock()
	waiting := c.queues[it.Work.Model].Cancel(c.now(), it)
	c.mu.Unlock()
	if waiting {
		return verdict{err: why}
	}
	return <-it.Waiter.(chan verdict)
}

func (c *Controller) late(it *Item) *failure.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queues[it.Work.Model].lateError()
}

// Kick looks at all queues again. It is called when a snapshot shows news.
func (c *Controller) Kick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for _, q := range c.queues {
		c.pump(now, q)
	}
	c.arm()
}

// pump sends and gives up what it is time for.
func (c *Controller) pump(now time.Duration, q *Queue) {
	q.Pump(now, c.predict, func(it *Item, outlook Prediction, err error) {
		if err == nil {
			c.commit(now, &it.Work, outlook.Plan)
		}
		tell(it, verdict{plan: outlook.Plan, err: err})
	})
}

// arm looks again soon while anything waits.
func (c *Controller) arm() {
	for _, q := range c.queues {
		if q.Len() == 0 {
			continue
		}
		if c.timer == nil {
			c.timer = time.AfterFunc(repump, c.Kick)
		} else {
			c.timer.Reset(repump)
		}
		return
	}
}

// Stop refuses what waits and all that comes.
func (c *Controller) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
	now := c.now()
	for _, q := range c.queues {
		for len(q.active) > 0 {
			it := q.active[0].items[0]
			q.Cancel(now, it)
			tell(it, verdict{err: stoppingError()})
		}
	}
}

func stoppingError() *failure.Request {
	return refuse(failure.Stopping, time.Second, "this VM is stopping")
}

// Waiting returns the number of waiting requests of all queues.
func (c *Controller) Waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, q := range c.queues {
		n += q.Len()
	}
	return n
}
