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
	"github.com/springweir/springweir/memory"
	"github.com/springweir/springweir/retry"
	"github.com/springweir/springweir/routing"
	"github.com/springweir/springweir/settings"
	"github.com/springweir/springweir/settings/tuning"
)

// upstream holds the components of one pool or service: its queue, its router, its retries
// and the health of its endpoints.
type upstream struct {
	// settings are the settings that the upstream was created from.
	settings  upstreamSettings
	dispatch  *dispatcher
	admitter  *admitter
	forwarder *forward.Forwarder
	// open counts the accepted requests. It is incremented under upstreams.mu, and only
	// while the upstream is the newest of its name.
	open sync.WaitGroup
}

// upstreamSettings are the settings of a pool or service that an upstream depends on.
type upstreamSettings struct {
	Retry    settings.Retry
	Queues   settings.Queues
	Spill    settings.Spill
	Ejection settings.Ejection
	// Engine holds the assumed speeds of a pool's engines; zero for a service.
	Engine costs.Engine
	// FirstToken and BetweenTokens are the timeouts for an engine's first token and between
	// tokens; zero selects the defaults.
	FirstToken, BetweenTokens time.Duration
}

// upstreams holds an upstream for each pool and service of the active settings tree. It
// implements caller.Forwarder and is safe for concurrent use.
//
// Lock order: mu, then the locks of the upstreams' health.
//
// An upstream whose settings change is replaced. Requests that it has accepted finish on
// it, while new ones use the new upstream. Both share the same health state, so that a
// change of settings does not discard what was observed about the endpoints.
type upstreams struct {
	common *common
	limits *admission.Limits
	claims *claim.Store
	// responses bounds the responses of all services that are being read.
	responses *memory.Budget

	mu     sync.RWMutex
	byName map[string]*upstream
	// retired holds the replaced upstreams that still have requests.
	retired map[*upstream]bool
	// upstreamNames maps each endpoint to the name of its upstream.
	upstreamNames map[string]string
	// byModel maps a base model to its pool's upstream.
	byModel map[string]*upstream
}

func newUpstreams(c *common, limits *admission.Limits, claims *claim.Store) *upstreams {
	responses := memory.NewBudget(memory.LimitsOf(memory.DefaultVM).Responses, nil)
	return &upstreams{common: c, limits: limits, claims: claims, responses: responses, byName: map[string]*upstream{}, retired: map[*upstream]bool{}}
}

// poolUpstream and serviceUpstream return the names of upstreams.
func poolUpstream(pool string) string       { return "pool " + pool }
func serviceUpstream(service string) string { return serviceQueuePrefix + service }

// applyView replaces the upstreams by those of a view. Upstreams with unchanged settings
// are reused.
func (u *upstreams) applyView(v *configView) {
	u.mu.Lock()
	defer u.mu.Unlock()
	next := map[string]*upstream{}
	for _, pool := range v.tree.Pools() {
		zoneSettings := pool.ForZone(v.zone)
		next[poolUpstream(pool.Name)] = u.reuseOrCreate(poolUpstream(pool.Name), upstreamSettings{
			Retry: zoneSettings.Retry, Queues: zoneSettings.Queues, Spill: zoneSettings.Spill, Ejection: zoneSettings.Ejection,
			Engine: tuning.Engine(zoneSettings.Roles), FirstToken: zoneSettings.FirstTokenTimeout, BetweenTokens: zoneSettings.BetweenTokensTimeout,
		})
	}
	for _, svc := range v.tree.Services() {
		zoneSettings := svc.ForZone(v.zone)
		next[serviceUpstream(svc.Name)] = u.reuseOrCreate(serviceUpstream(svc.Name), upstreamSettings{
			Retry: zoneSettings.Retry, Queues: zoneSettings.Queues, Ejection: zoneSettings.Ejection,
		})
	}
	u.retire(next)
	u.removeMovedEndpoints(v, next)
	u.byName = next
	u.byModel = map[string]*upstream{}
	for model, pool := range v.pools {
		u.byModel[model] = next[poolUpstream(pool.Name)]
	}
}

// retire retains the replaced upstreams until they are idle. The caller holds mu.
func (u *upstreams) retire(next map[string]*upstream) {
	for name, old := range u.byName {
		if next[name] == old {
			continue
		}
		u.retired[old] = true
		go u.dropWhenIdle(old)
	}
}

// dropWhenIdle drops a replaced upstream once its requests have ended.
func (u *upstreams) dropWhenIdle(old *upstream) {
	old.open.Wait()
	old.forwarder.Wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.retired, old)
}

// removeMovedEndpoints removes endpoints from the health of upstreams that they no longer
// belong to: a removed endpoint must not count as a healthy peer of the remaining ones. The
// caller holds mu.
func (u *upstreams) removeMovedEndpoints(v *configView, next map[string]*upstream) {
	upstreamNames := map[string]string{}
	for _, e := range v.endpoints() {
		upstreamNames[e.Name] = upstreamNameOf(e)
	}
	for name, upstreamName := range u.upstreamNames {
		if upstream := next[upstreamName]; upstream != nil && upstreamNames[name] != upstreamName {
			upstream.dispatch.health.remove(name)
		}
	}
	u.upstreamNames = upstreamNames
}

// upstreamNameOf returns the name of an endpoint's upstream.
func upstreamNameOf(e settings.Endpoint) string {
	if e.IsEngine() {
		return poolUpstream(e.Pool)
	}
	return serviceUpstream(e.Service)
}

// reuseOrCreate returns the existing upstream of that name, or a new one if its settings
// changed. The caller holds mu.
func (u *upstreams) reuseOrCreate(name string, set upstreamSettings) *upstream {
	old := u.byName[name]
	if old != nil && reflect.DeepEqual(old.settings, set) {
		return old
	}
	cfg := routing.DefaultConfig()
	cfg.Spill = tuning.Spill(set.Spill)
	if set.Engine != (costs.Engine{}) {
		cfg.Costs.Engine = set.Engine
	}
	d := &dispatcher{common: u.common, router: routing.New(cfg), health: u.healthFor(old, set.Ejection)}
	admitter := newAdmitter(d, tuning.Admission(set.Queues), u.limits)
	return &upstream{settings: set, dispatch: d, admitter: admitter, forwarder: forward.New(forward.Config{
		Router:            d,
		Admitter:          admitter,
		Claims:            u.claims,
		Budgets:           retry.NewBudgets(tuning.RetryLimits(set.Retry)),
		Backoff:           tuning.Backoff(set.Retry),
		MaxAttempts:       set.Retry.Attempts,
		FirstFrameTimeout: set.FirstToken,
		MaxFrameGap:       set.BetweenTokens,
		Memory:            u.responses,
	})}
}

// healthFor returns the health of the upstream that replaces old, which may be nil.
func (u *upstreams) healthFor(old *upstream, set settings.Ejection) *healthFeed {
	if old == nil {
		return newHealthFeed(u.common.store, tuning.Health(set))
	}
	feed := old.dispatch.health
	feed.configure(tuning.Health(set))
	return feed
}

// acquire returns the upstream for w, or nil. The caller must call open.Done when the
// request has ended.
func (u *upstreams) acquire(w *forward.Work) *upstream {
	u.mu.RLock()
	defer u.mu.RUnlock()
	upstream := u.byModel[w.Model]
	if w.Service != "" {
		upstream = u.byName[serviceUpstream(w.Service)]
	}
	if upstream != nil {
		upstream.open.Add(1)
	}
	return upstream
}

// noUpstream returns the rejection of a request for a model or service that the newest tree
// no longer contains.
func noUpstream(w *forward.Work) *failure.Request {
	f := &failure.Request{Code: failure.NoSuchModel, Ran: failure.NotRun, Message: "no pool serves the model any more"}
	if w.Service != "" {
		f.Code, f.Message = failure.NoSuchService, "the service is no longer there"
	}
	return f
}

// Generate implements caller.Forwarder.
func (u *upstreams) Generate(ctx context.Context, w *forward.Work, sink forward.Sink) (forward.Summary, error) {
	upstream := u.acquire(w)
	if upstream == nil {
		return forward.Summary{}, noUpstream(w)
	}
	defer upstream.open.Done()
	return upstream.forwarder.Generate(ctx, w, sink)
}

// Call implements caller.Forwarder.
func (u *upstreams) Call(ctx context.Context, w *forward.Work) (*forward.Response, error) {
	upstream := u.acquire(w)
	if upstream == nil {
		return nil, noUpstream(w)
	}
	defer upstream.open.Done()
	return upstream.forwarder.Call(ctx, w)
}

// recordIncarnation sets an endpoint's incarnation in its health tracker. The endpoint's
// group, whose last member is never ejected, is its upstream and role.
func (u *upstreams) recordIncarnation(name, incarnation string, role engine.Role) {
	v := u.common.cat.current.Load()
	if v == nil {
		return
	}
	e, found := v.tree.Endpoint(name)
	if !found {
		return
	}
	if feed := u.healthOf(upstreamNameOf(e)); feed != nil {
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

// all returns the upstreams, including replaced ones that still have requests.
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

// waiting returns the number of requests waiting in all queues.
func (u *upstreams) waiting() int {
	n := 0
	for _, upstream := range u.all() {
		n += upstream.admitter.ctl.Waiting()
	}
	return n
}

// wait blocks until the forwarders have no messages in flight.
func (u *upstreams) wait() {
	for _, upstream := range u.all() {
		upstream.forwarder.Wait()
	}
}
