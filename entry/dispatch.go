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
	// maxRoutes bounds how often a decision is made anew because its endpoint
	// was withheld, leaving or on trial by the time it was to be used.
	maxRoutes = 8
	// comeBack is when to try again after a refusal that passes by itself.
	comeBack = time.Second
)

// common is what the dispatchers of all pools and services share.
type common struct {
	start       time.Time
	cat         *catalogue
	store       *fleet.Store
	gate        *withhold.Gate
	member      *contact.Member
	leave       *leaving.Set
	clients     *clients
	zones       *zoneBook
	expected    *expectations
	provisional provisional
	// announce tells the zone's other entries that an endpoint says it leaves.
	announce func(ctx context.Context, endpoint, incarnation string)
}

// dispatcher carries out routing decisions for package forward: it decides on
// the newest snapshot, then takes what the decision needs (the gate's hold, the
// health ticket, the reservation) in that order, and gives it back in the end.
// It is safe for concurrent use and holds no lock of its own.
type dispatcher struct {
	*common
	router *routing.Router
	health *healthFeed
}

// now is the clock of snapshots and health.
func (d *common) now() time.Duration { return clock.Since(d.start) }

// Route implements forward.Router.
func (d *dispatcher) Route(_ context.Context, w *forward.Work, a forward.Attempt) (forward.Plan, error) {
	for range maxRoutes {
		decision, err := d.decide(d.now(), w, a)
		if err != nil {
			return forward.Plan{}, err
		}
		if decision.Zone != "" {
			return d.elsewhere(w, decision)
		}
		plan, busy, err := d.take(w, a, decision)
		if err != nil {
			return forward.Plan{}, err
		}
		if busy == "" {
			d.provisional.drop(d.common, w.ID)
			return plan, nil
		}
		a.Tried = append(a.Tried[:len(a.Tried):len(a.Tried)], busy)
	}
	return forward.Plan{}, noEndpoint(nil)
}

// artifactOf is what has to be loaded for an attempt. Once the caller holds
// tokens it is the version that they were computed with.
func artifactOf(w *forward.Work, a forward.Attempt) weightstore.Artifact {
	return weightstore.Artifact{Model: w.Model, Adapter: w.Adapter, Version: cmp.Or(a.Version, w.Version)}
}

// decide asks the router.
func (d *dispatcher) decide(now time.Duration, w *forward.Work, a forward.Attempt) (routing.Decision, error) {
	r := &routing.Request{
		Artifact:      artifactOf(w, a),
		Service:       w.Service,
		PromptTokens:  w.PromptTokens + a.Emitted,
		OutputTokens:  max(1, d.expected.output(w)-a.Emitted),
		PrefixHashes:  w.PrefixHashes,
		Priority:      w.Priority,
		Now:           now,
		Tried:         a.Tried,
		FromOtherZone: w.FromOtherZone,
		NoTrial:       mayBeLost(w),
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

// mayBeLost tells whether w is a call that cannot be sent anew once it has failed.
func mayBeLost(w *forward.Work) bool { return w.Service != "" && !w.Repeatable }

func noEndpoint(cause error) *failure.Request {
	return &failure.Request{
		Code: failure.NoEndpoint, Ran: failure.NotRun, RetryAfter: comeBack,
		Message: "no endpoint can take the request now", Cause: cause,
	}
}

// take acquires all that a decision needs. It returns the name of the endpoint
// that could not be taken, or an error when this VM may take no work at all.
func (d *dispatcher) take(w *forward.Work, a forward.Attempt, decision routing.Decision) (plan forward.Plan, busy string, err error) {
	att := &attempt{d: d, id: a.ID, work: w}
	if decision.PrefillEndpoint != nil {
		if busy, err = att.acquire(decision.PrefillEndpoint, prefillShare(w, decision)); busy != "" || err != nil {
			att.abandon()
			return forward.Plan{}, busy, err
		}
	}
	if busy, err = att.acquire(decision.Endpoint, d.serveShare(w, a.Emitted, decision)); busy != "" || err != nil {
		att.abandon()
		return forward.Plan{}, busy, err
	}
	plan = forward.Plan{Target: d.target(decision.Endpoint), Version: versionOn(decision.Endpoint, artifactOf(w, a)), Observer: att, Recheck: att.recheck}
	if decision.PrefillEndpoint != nil {
		target := d.target(decision.PrefillEndpoint)
		plan.PrefillTarget = &target
		plan.PrefillObserver = prefillObserver{att}
	}
	return plan, "", nil
}

// versionOn is the version that an endpoint is asked for: the one wanted, or the
// one that it has where any will do.
func versionOn(e *fleet.Endpoint, want weightstore.Artifact) string {
	if want.Version != "" {
		return want.Version
	}
	for _, has := range e.Loaded {
		if has.Model == want.Model && has.Adapter == want.Adapter {
			return has.Version
		}
	}
	return ""
}

// prefillShare is the work of a prefill engine for w.
func prefillShare(w *forward.Work, decision routing.Decision) fleet.Work {
	return fleet.Work{Requests: 1, PromptTokens: max(0, w.PromptTokens-decision.CachedTokens)}
}

// serveShare is the work of the engine that answers w. The context grows with
// the answer, so half of what is still expected of it counts.
func (d *common) serveShare(w *forward.Work, emitted int, decision routing.Decision) fleet.Work {
	left := max(0, d.expected.output(w)-emitted)
	share := fleet.Work{Requests: 1, ContextTokens: w.PromptTokens + emitted + left/2}
	if decision.PrefillEndpoint == nil {
		share.PromptTokens = max(0, w.PromptTokens+emitted-decision.CachedTokens)
	}
	return share
}

func (d *dispatcher) target(e *fleet.Endpoint) forward.Target {
	t := forward.Target{Name: e.Name, Pool: budgetName(e), Zone: e.Zone}
	if e.Kind == fleet.Engine {
		t.Engine = d.clients.engine(e.Name, e.Address)
	} else {
		t.Service = d.clients.service(e.Name, e.Address)
	}
	return t
}

// budgetName is the retry budget that an endpoint draws on.
func budgetName(e *fleet.Endpoint) string {
	if e.Kind == fleet.Engine {
		return "pool " + e.Pool
	}
	return "service " + e.Service
}

// elsewhere plans an attempt at an entry of another zone.
func (d *dispatcher) elsewhere(w *forward.Work, decision routing.Decision) (forward.Plan, error) {
	if err := d.member.Allow(); err != nil {
		return forward.Plan{}, notAllowed(err)
	}
	peer, found := d.zones.entry(decision.Zone)
	if !found {
		return forward.Plan{}, noEndpoint(nil)
	}
	// Decisions see in the snapshot what is left of the room.
	d.store.RecordSpill(decision.Zone, w.PromptTokens)
	return forward.Plan{Target: forward.Target{
		Name: peer.name, Pool: "zone " + decision.Zone, Zone: decision.Zone, Peer: peer.target,
	}}, nil
}

// notAllowed is the refusal of a VM that may take no new work.
func notAllowed(cause error) *failure.Request {
	return &failure.Request{
		Code: failure.ReasonOf(cause), Ran: failure.NotRun, RetryAfter: comeBack,
		Message: "no new work may be sent there now", Cause: cause,
	}
}

// globalRand is the runtime's random source, which is safe for concurrent use.
type globalRand struct{}

// Uint64 implements routing.Rand.
func (globalRand) Uint64() uint64 { return rand.Uint64() }

// IntN implements routing.Rand.
func (globalRand) IntN(n int) int { return rand.IntN(n) }
