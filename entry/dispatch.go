package entry

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/leaving"
	"github.com/springweir/springweir/routing"
	"github.com/springweir/springweir/weightstore"
	"github.com/springweir/springweir/withhold"
)

const (
	// maxDecisions bounds how often a routing decision is repeated because the chosen
	// endpoint was withheld, leaving or on trial when it was to be acquired.
	maxDecisions = 8
	// defaultRetryAfter is the retry delay sent with rejections for transient reasons.
	defaultRetryAfter = time.Second
)

// common holds the state that the dispatchers of all pools and services share.
type common struct {
	start       time.Time
	cat         *catalogue
	store       *fleet.Store
	gate        *withhold.Gate
	member      *contact.Member
	leavingSet  *leaving.Set
	clients     *clients
	zones       *remoteZones
	demand      *demandTracker
	provisional provisionalReservations
	// announce informs the zone's other entries that an endpoint reported that it is
	// leaving.
	announce func(ctx context.Context, endpoint, incarnation string)
}

// dispatcher executes routing decisions for package forward. It decides on the newest
// snapshot, then acquires the gate's reservation, the health ticket and the load
// reservation in that order, and releases them when the attempt ends. It is safe for
// concurrent use and has no lock.
type dispatcher struct {
	*common
	router *routing.Router
	health *healthFeed
}

// now returns the time since start, which is the clock of snapshots and health.
func (c *common) now() time.Duration { return clock.Since(c.start) }

// Route implements forward.Router.
func (d *dispatcher) Route(_ context.Context, w *forward.Work, a forward.Attempt) (forward.Plan, error) {
	for range maxDecisions {
		decision, err := d.decide(d.now(), w, a)
		if err != nil {
			return forward.Plan{}, err
		}
		if decision.Zone != "" {
			return d.planSpill(w, decision)
		}
		plan, unavailable, err := d.acquire(w, a, decision)
		if err != nil {
			return forward.Plan{}, err
		}
		if unavailable == "" {
			d.provisional.release(d.common, w.ID)
			return plan, nil
		}
		a.Tried = append(a.Tried[:len(a.Tried):len(a.Tried)], unavailable)
	}
	return forward.Plan{}, noEndpoint(nil)
}

// artifactOf returns the artifact that an attempt requires. Once the caller has received
// tokens, the version is the one that computed them.
func artifactOf(w *forward.Work, a forward.Attempt) weightstore.Artifact {
	return weightstore.Artifact{Model: w.Model, Adapter: w.Adapter, Version: cmp.Or(a.Version, w.Version)}
}

// decide gets a decision for w from the router.
func (d *dispatcher) decide(now time.Duration, w *forward.Work, a forward.Attempt) (routing.Decision, error) {
	r := &routing.Request{
		Artifact:      artifactOf(w, a),
		Service:       w.Service,
		PromptTokens:  w.PromptTokens + a.Emitted,
		OutputTokens:  max(1, d.demand.expectedOutput(w)-a.Emitted),
		PrefixHashes:  w.PrefixHashes,
		Priority:      w.Priority,
		Now:           now,
		Tried:         a.Tried,
		FromOtherZone: w.FromOtherZone,
		NoTrial:       notRepeatable(w),
		Prefilled:     a.Prefilled,
	}
	if !w.Deadline.IsZero() {
		r.Deadline = w.Deadline.Sub(d.start)
	}
	decision, err := d.router.Decide(d.store.Snapshot(), r, globalRand{})
	routing.CountDecision(decision, err)
	if err != nil {
		return decision, noEndpoint(err)
	}
	return decision, nil
}

// notRepeatable reports whether w is a call that must not be sent again after a failure.
func notRepeatable(w *forward.Work) bool { return w.Service != "" && !w.Repeatable }

func noEndpoint(cause error) *failure.Request {
	return &failure.Request{
		Code: failure.NoEndpoint, Ran: failure.NotRun, RetryAfter: defaultRetryAfter,
		Message: "no endpoint can take the request now", Cause: cause,
	}
}

// acquire acquires everything that a decision requires. It returns the name of an endpoint
// that could not be acquired in unavailable, or an error if this VM may not start any work.
func (d *dispatcher) acquire(w *forward.Work, a forward.Attempt, decision routing.Decision) (plan forward.Plan, unavailable string, err error) {
	newAttempt := &attempt{d: d, id: a.ID, work: w}
	if decision.PrefillEndpoint != nil {
		if unavailable, err = newAttempt.acquire(decision.PrefillEndpoint, prefillWork(w, decision)); unavailable != "" || err != nil {
			newAttempt.abandon()
			return forward.Plan{}, unavailable, err
		}
	}
	if unavailable, err = newAttempt.acquire(decision.Endpoint, d.serveWork(w, a.Emitted, decision)); unavailable != "" || err != nil {
		newAttempt.abandon()
		return forward.Plan{}, unavailable, err
	}
	plan = forward.Plan{Target: d.target(decision.Endpoint), Version: versionFor(decision.Endpoint, artifactOf(w, a)), Observer: newAttempt, Recheck: newAttempt.recheck}
	if decision.PrefillEndpoint != nil {
		target := d.target(decision.PrefillEndpoint)
		plan.PrefillTarget = &target
		plan.PrefillObserver = prefillObserver{newAttempt}
	}
	return plan, "", nil
}

// versionFor returns the version to request from an endpoint: the wanted one, or the loaded
// one if any version is acceptable.
func versionFor(e *fleet.Endpoint, wanted weightstore.Artifact) string {
	if wanted.Version != "" {
		return wanted.Version
	}
	for _, loaded := range e.Loaded {
		if loaded.Model == wanted.Model && loaded.Adapter == wanted.Adapter {
			return loaded.Version
		}
	}
	return ""
}

// prefillWork returns the work of w at a prefill engine.
func prefillWork(w *forward.Work, decision routing.Decision) fleet.Work {
	return fleet.Work{Requests: 1, PromptTokens: max(0, w.PromptTokens-decision.CachedTokens)}
}

// serveWork returns the work of w at the engine that generates the response. The context
// grows with the response, so half of the remaining expected output is included.
func (c *common) serveWork(w *forward.Work, emitted int, decision routing.Decision) fleet.Work {
	remaining := max(0, c.demand.expectedOutput(w)-emitted)
	work := fleet.Work{Requests: 1, ContextTokens: w.PromptTokens + emitted + remaining/2}
	if decision.PrefillEndpoint == nil {
		work.PromptTokens = max(0, w.PromptTokens+emitted-decision.CachedTokens)
	}
	return work
}

func (d *dispatcher) target(e *fleet.Endpoint) forward.Target {
	t := forward.Target{Name: e.Name, Pool: retryBudgetName(e), Zone: e.Zone}
	if e.Kind == fleet.Engine {
		t.Engine = d.clients.engine(e.Name, e.Address)
	} else {
		t.Service = d.clients.service(e.Name, e.Address)
	}
	return t
}

// retryBudgetName returns the name of the retry budget that attempts at an endpoint draw
// on.
func retryBudgetName(e *fleet.Endpoint) string {
	if e.Kind == fleet.Engine {
		return "pool " + e.Pool
	}
	return "service " + e.Service
}

// planSpill plans an attempt at an entry of another zone.
func (d *dispatcher) planSpill(w *forward.Work, decision routing.Decision) (forward.Plan, error) {
	if err := d.member.Allow(); err != nil {
		return forward.Plan{}, newWorkForbidden(err)
	}
	peer, found := d.zones.spillTarget(decision.Zone)
	if !found {
		return forward.Plan{}, noEndpoint(nil)
	}
	// Routing reads the remaining budget of the zone from the snapshot.
	d.store.RecordSpill(decision.Zone, w.PromptTokens)
	return forward.Plan{Target: forward.Target{
		Name: peer.name, Pool: "zone " + decision.Zone, Zone: decision.Zone, Peer: peer.target,
	}}, nil
}

// newWorkForbidden returns the rejection for when no new work may be started.
func newWorkForbidden(cause error) *failure.Request {
	return &failure.Request{
		Code: failure.ReasonOf(cause), Ran: failure.NotRun, RetryAfter: defaultRetryAfter,
		Message: "no new work may be sent there now", Cause: cause,
	}
}

// globalRand is the random source of the runtime. It is safe for concurrent use.
type globalRand struct{}

// Uint64 implements routing.Rand.
func (globalRand) Uint64() uint64 { return rand.Uint64() }

// IntN implements routing.Rand.
func (globalRand) IntN(n int) int { return rand.IntN(n) }
