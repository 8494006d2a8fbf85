package entry

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/springweir/springweir/admission"
	"github.com/springweir/springweir/claim"
	"github.com/springweir/springweir/costs"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/retry"
	"github.com/springweir/springweir/routing"
	"github.com/springweir/springweir/settings"
	"github.com/springweir/springweir/settings/tuning"
)

// upstream is all that is set for one pool or service: its queue, its router, its
// retries and the health of its endpoints.
type upstream struct {
	// from is the settings that it was made from.
	from      upstreamSettings
	dispatch  *dispatcher
	admitter  *admitter
	forwarder *forward.Forwarder
	// open counts the requests that it has taken. It grows under upstreams.mu, and
	// only while the upstream is the newest of its name.
	open sync.WaitGroup
}

// upstreamSettings are the settings of a pool or a service that make up an upstream.
type upstreamSettings struct {
	Retry    settings.Retry
	Queues   settings.Queues
	Spill    settings.Spill
	Ejection settings.Ejection
	// Engine is the assumed speeds of a pool's engines; zero for a service.
	Engine costs.Engine
	// FirstToken and BetweenTokens are how long an engine may be silent; zero
	// takes the defaults.
	FirstToken, BetweenTokens time.Duration
}

// upstreams holds an upstream for each pool and service of the tree in force. It
// implements caller.Forwarder and is safe for concurrent use.
//
// Lock order: mu, then those of the upstreams' health.
//
// An upstream whose settings change is replaced. Requests that it has taken finish
// there, while new ones take the new upstream, which goes on with the same health:
// what is known of the endpoints is not lost by a change of settings.
type upstreams struct {
	common *common
	limits *admission.Limits
	claims *claim.Store

	mu     sync.RWMutex
	byName map[string]*upstream
	// retired holds the replaced upstreams that have requests.
	retired map[*upstream]bool
	// homes maps each endpoint to the name of its upstream.
	homes map[string]string
	// pools maps a base model to its pool's upstream.
	pools map[string]*upstream
}

func newUpstreams(c *common, limits *admission.Limits, claims *claim.Store) *upstreams {
	return &upstreams{common: c, limits: limits, claims: claims, byName: map[string]*upstream{}, retired: map[*upstream]bool{}}
}

// poolUpstream and serviceUpstream name the upstreams.
func poolUpstream(pool string) string       { return "pool " + pool }
func serviceUpstream(service string) string { return serviceQueue + service }

// follow makes the upstreams those of a view. Upstreams whose settings stay the same stay.
func (u *upstreams) follow(v *view) {
	u.mu.Lock()
	defer u.mu.Unlock()
	next := map[string]*upstream{}
	for _, pool := range v.tree.Pools() {
		set := pool.ForZone(v.zone)
		next[poolUpstream(pool.Name)] = u.keepOrMake(poolUpstream(pool.Name), upstreamSettings{
			Retry: set.Retry, Queues: set.Queues, Spill: set.Spill, Ejection: set.Ejection,
			Engine: tuning.Engine(set.Roles), FirstToken: set.FirstTokenTimeout, BetweenTokens: set.BetweenTokensTimeout,
		})
	}
	for _, svc := range v.tree.Services() {
		set := svc.ForZone(v.zone)
		next[serviceUpstream(svc.Name)] = u.keepOrMake(serviceUpstream(svc.Name), upstreamSettings{
			Retry: set.Retry, Queues: set.Queues, Ejection: set.Ejection,
		})
	}
	u.retire(next)
	u.settle(v, next)
	u.byName = next
	u.pools = map[string]*upstream{}
	for model, pool := range v.pools {
		u.pools[model] = next[poolUpstream(pool.Name)]
	}
}

// retire keeps the upstreams that are replaced until they are idle. The caller holds mu.
func (u *upstreams) retire(next map[string]*upstream) {
	for name, old := range u.byName {
		if next[name] == old {
			continue
		}
		u.retired[old] = true
		go u.forget(old)
	}
}

// forget drops a replaced upstream once its requests have ended.
func (u *upstreams) forget(old *upstream) {
	old.open.Wait()
	old.forwarder.Wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.retired, old)
}

// settle takes endpoints out of the health of upstreams that they have left: one
// that is gone must not count as a healthy peer of those that stay. The caller
// holds mu.
func (u *upstreams) settle(v *view, next map[string]*upstream) {
	homes := map[string]string{}
	for _, e := range v.endpoints() {
		homes[e.Name] = homeOf(e)
	}
	for name, home := range u.homes {
		if upstream := next[home]; upstream != nil && homes[name] != home {
			upstream.dispatch.health.remove(name)
		}
	}
	u.homes = homes
}

// homeOf is the name of an endpoint's upstream.
func homeOf(e settings.Endpoint) string {
	if e.IsEngine() {
		return poolUpstream(e.Pool)
	}
	return serviceUpstream(e.Service)
}

// keepOrMake returns the upstream of that name, made anew if its settings changed.
// The caller holds mu.
func (u *upstreams) keepOrMake(name string, set upstreamSettings) *upstream {
	old := u.byName[name]
	if old != nil && reflect.DeepEqual(old.from, set) {
		return old
	}
	cfg := routing.DefaultConfig()
	cfg.Spill = tuning.Spill(set.Spill)
	if set.Engine != (costs.Engine{}) {
		cfg.Costs.Engine = set.Engine
	}
	d := &dispatcher{common: u.common, router: routing.New(cfg), health: u.health(old, set.Ejection)}
	admitter := newAdmitter(d, tuning.Admission(set.Queues), u.limits)
	return &upstream{from: set, dispatch: d, admitter: admitter, forwarder: forward.New(forward.Config{
		Router:            d,
		Admitter:          admitter,
		Claims:            u.claims,
		Budgets:           retry.NewBudgets(tuning.RetryLimits(set.Retry)),
		Backoff:           tuning.Backoff(set.Retry),
		MaxAttempts:       set.Retry.Attempts,
		FirstFrameTimeout: set.FirstToken,
		MaxFrameGap:       set.BetweenTokens,
	})}
}

// health is the health of an upstream that takes old's place; old may be nil.
func (u *upstreams) health(old *upstream, set settings.Ejection) *healthFeed {
	if old == nil {
		return newHealthFeed(u.common.store, tuning.Health(set))
	}
	feed := old.dispatch.health
	feed.configure(tuning.Health(set))
	return feed
}

// take returns the upstream that w takes, or nil. Its open count must be lowered
// when the request has ended.
func (u *upstreams) take(w *forward.Work) *upstream {
	u.mu.RLock()
	defer u.mu.RUnlock()
	upstream := u.pools[w.Model]
	if w.Service != "" {
		upstream = u.byName[serviceUpstream(w.Service)]
	}
	if upstream != nil {
		upstream.open.Add(1)
	}
	return upstream
}

// noUpstream refuses a request for what the newest tree no longer has.
func noUpstream(w *forward.Work) *failure.Request {
	f := &failure.Request{Code: failure.NoSuchModel, Ran: failure.NotRun, Message: "no pool serves the model any more"}
	if w.Service != "" {
		f.Code, f.Message = failure.NoSuchService, "the service is no longer there"
	}
	return f
}

// Generate implements caller.Forwarder.
func (u *upstreams) Generate(ctx context.Context, w *forward.Work, sink forward.Sink) (forward.Summary, error) {
	upstream := u.take(w)
	if upstream == nil {
		return forward.Summary{}, noUpstream(w)
	}
	defer upstream.open.Done()
	return upstream.forwarder.Generate(ctx, w, sink)
}

// Call implements caller.Forwarder.
func (u *upstreams) Call(ctx context.Context, w *forward.Work) (*forward.Response, error) {
	upstream := u.take(w)
	if upstream == nil {
		return nil, noUpstream(w)
	}
	defer upstream.open.Done()
	return upstream.forwarder.Call(ctx, w)
}

// track tells an endpoint's health tracker of the endpoint's incarnation. Its
// group, within which it may not be the last ejected, is its upstream and role.
func (u *upstreams) track(name, incarnation string, role engine.Role) {
	v := u.common.cat.current.Load()
	if v == nil {
		return
	}
	e, found := v.tree.Endpoint(name)
	if !found {
		return
	}
	if feed := u.healthOf(homeOf(e)); feed != nil {
		feed.set(name, incarnation, string(role))
	}
}

// healthOf returns the health of an upstream's endpoints, or nil.
func (u *upstreams) healthOf(name string) *healthFeed {
	u.mu.RLock()
	defer u.mu.RUnlock()
	upstream := u.byName[name]
	if upstream == nil {
		return nil
	}
	return upstream.dispatch.health
}

// all returns the upstreams, replaced ones that have requests included.
func (u *upstreams) all() []*upstream {
	u.mu.RLock()
	defer u.mu.RUnlock()
	list := make([]*upstream, 0, len(u.byName)+len(u.retired))
	for _, upstream := range u.byName {
		list = append(list, upstream)
	}
	for upstream := range u.retired {
		list = append(list, upstream)
	}
	return list
}

// waiting is the number of requests that wait in all queues.
func (u *upstreams) waiting() int {
	n := 0
	for _, upstream := range u.all() {
		n += upstream.admitter.ctl.Waiting()
	}
	return n
}

// wait returns once no message of the forwarders is under way.
func (u *upstreams) wait() {
	for _, upstream := range u.all() {
		upstream.forwarder.Wait()
	}
}
