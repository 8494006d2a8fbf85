package admission

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/springweir/springweir/failure"
)

// OrganisationLimit is the limit of one organisation over all nodes of all zones.
type OrganisationLimit struct {
	// TokensPerSecond limits the rate of cost (prompt tokens plus weighted output tokens). Zero
	// means no limit.
	TokensPerSecond float64
	// Concurrent limits the number of requests that run at the same time. Zero means no limit.
	Concurrent int
}

// LimitsConfig configures Limits.
type LimitsConfig struct {
	// Slack is the multiple of its even share of a limit that a node may use, because the load
	// balancer does not spread an organisation evenly.
	Slack float64
	// Burst is the duration whose tokens may be used at once.
	Burst time.Duration
	// MinBurst is the lower bound of the burst of a node, as cost.
	MinBurst float64
	// MaxIdle is the number of tracked organisations from which idle ones are evicted.
	MaxIdle int
}

// DefaultLimits returns the default configuration.
func DefaultLimits() LimitsConfig {
	return LimitsConfig{Slack: 1.5, Burst: 5 * time.Second, MinBurst: 32_000, MaxIdle: 8192}
}

// Limits enforces the limits of the organisations. The nodes share each limit without
// communication: the share of a node is limit / nodes * Slack.
//
// Error bound: over any duration t all nodes together admit at most Slack*limit*t +
// nodes*max(MinBurst, Burst*share) of cost, and at most Slack*limit + nodes concurrent requests (a
// share is rounded up to a whole request). An organisation whose callers all connect to one node is
// limited to the share of that node: Slack/nodes of its limit.
//
// Limits is safe for concurrent use. Lock order: Limits.mu is taken under Controller.mu, and no
// other lock is taken under Limits.mu.
type Limits struct {
	mu     sync.Mutex
	cfg    LimitsConfig
	nodes  int
	limits func(organisation string) OrganisationLimit
	orgs   map[string]*organisation
}

type organisation struct {
	limit   OrganisationLimit
	bucket  *rate.Limiter
	running int
}

// NewLimits returns limits that get the limit of each organisation from the function limits.
func NewLimits(cfg LimitsConfig, limits func(organisation string) OrganisationLimit) *Limits {
	return &Limits{cfg: cfg, nodes: 1, limits: limits, orgs: make(map[string]*organisation)}
}

// SetNodes sets the number of live nodes in all zones, which share the limits, and applies changed
// limits.
func (l *Limits) SetNodes(now time.Duration, nodes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes = max(1, nodes)
	for name, o := range l.orgs {
		o.limit = l.limits(name)
		at := toTime(now)
		o.bucket.SetLimitAt(at, l.rate(o.limit))
		o.bucket.SetBurstAt(at, l.burst(o.limit))
	}
}

func (l *Limits) share(limit float64) float64 {
	return min(limit, limit*l.cfg.Slack/float64(l.nodes))
}

func (l *Limits) rate(o OrganisationLimit) rate.Limit {
	if o.TokensPerSecond <= 0 {
		return rate.Inf
	}
	return rate.Limit(l.share(o.TokensPerSecond))
}

func (l *Limits) burst(o OrganisationLimit) int {
	return int(max(l.cfg.MinBurst, l.share(o.TokensPerSecond)*l.cfg.Burst.Seconds()))
}

// lookup returns the state of an organisation and creates it if necessary.
func (l *Limits) lookup(now time.Duration, name string) *organisation {
	o := l.orgs[name]
	if o == nil {
		l.evictIdle(now)
		limit := l.limits(name)
		o = &organisation{limit: limit, bucket: rate.NewLimiter(l.rate(limit), l.burst(limit))}
		l.orgs[name] = o
	}
	return o
}

// evictIdle removes organisations without running requests whose token buckets are full, once
// MaxIdle organisations are tracked.
func (l *Limits) evictIdle(now time.Duration) {
	if len(l.orgs) < l.cfg.MaxIdle {
		return
	}
	for name, o := range l.orgs {
		full := o.bucket.TokensAt(toTime(now)) >= float64(o.bucket.Burst())
		if o.running == 0 && (full || o.bucket.Limit() == rate.Inf) {
			delete(l.orgs, name)
		}
	}
}

// charge charges the cost of a request to its organisation. A request larger than the burst is
// charged the whole burst, so that it is delayed but not refused permanently.
func (l *Limits) charge(now time.Duration, w *Work, cost float64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.lookup(now, w.Organisation)
	at := toTime(now)
	tokens := min(int(math.Ceil(cost)), o.bucket.Burst())
	reservation := o.bucket.ReserveN(at, tokens)
	if delay := reservation.DelayFrom(at); delay > 0 {
		reservation.CancelAt(at)
		return refusal(failure.OrganisationLimit, delay, "the organisation is over its rate of tokens")
	}
	return nil
}

// belowConcurrencyLimit reports whether another request of the organisation may run.
func (l *Limits) belowConcurrencyLimit(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.orgs[name]
	if o == nil || o.limit.Concurrent <= 0 {
		return true
	}
	return o.running < int(math.Ceil(l.share(float64(o.limit.Concurrent))))
}

func (l *Limits) started(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.orgs[name]; o != nil {
		o.running++
	}
}

// Done records the end of a request that was sent.
func (l *Limits) Done(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.orgs[name]; o != nil && o.running > 0 {
		o.running--
	}
}

// toTime converts a monotonic duration to the time.Time that package rate requires.
func toTime(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }
