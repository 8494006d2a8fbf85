// Package routing selects the endpoints for a request: filters exclude the endpoints that cannot
// serve it, scorers predict the cost of each candidate, and the cheapest candidate is selected.
//
// Decide is a pure function of a snapshot, a request and a source of random numbers. It considers a
// bounded number of candidates (those that hold the longest cached prefixes and a random sample),
// so its cost does not grow with the fleet.
package routing

import (
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/prefix"
	"github.com/springweir/springweir/weightstore"
)

// Request describes a request to be routed.
type Request struct {
	// Artifact is the requested model, adapter and version. An empty version accepts any. It is
	// unused when Service is set.
	Artifact weightstore.Artifact
	// Service is the name of the called service. It is empty for a generation.
	Service string
	// PromptTokens is the length of the prompt, including generated text to resume after.
	PromptTokens int
	// OutputTokens is the expected length of the response.
	OutputTokens int
	// PrefixHashes are the prompt's chained block hashes (prefix.Hashes).
	PrefixHashes []uint64
	Priority     engine.Priority
	// Now and Deadline are on the clock of the snapshot. A Deadline of zero means none.
	Now, Deadline time.Duration
	// Tried lists the names of the endpoints that must not be used again.
	Tried []string
	// FromOtherZone is set on a request forwarded by another zone. It must not leave this zone
	// again.
	FromOtherZone bool
	// NoTrial excludes half-open endpoints. It is set for calls that must not be repeated elsewhere
	// if the trial fails.
	NoTrial bool
	// Prefilled is set when the KV cache of the prompt is ready to be imported. The request then
	// needs an engine of the local zone that decodes.
	Prefilled bool
}

// Decision is the destination of a request: endpoints of the local zone or another zone.
type Decision struct {
	// Endpoint serves the request. It is nil when Zone is set.
	Endpoint *fleet.Endpoint
	// PrefillEndpoint computes the prompt and transfers its KV cache to Endpoint. It is nil when
	// Endpoint does both.
	PrefillEndpoint *fleet.Endpoint
	// Zone is the other availability zone that the request is forwarded to, if any.
	Zone string
	// CachedTokens is the number of prompt tokens expected to be cached on the engine that
	// prefills.
	CachedTokens int
	// Queue is the predicted wait at the endpoints before processing starts.
	Queue time.Duration
	// TTFT, PerToken and Completion are the predicted time to the first token, time between tokens,
	// and time to the complete response.
	TTFT, PerToken, Completion time.Duration
	// Cost is the compared cost, in seconds.
	Cost float64
	// Considered is the number of candidates scored.
	Considered int
	// Trial is set when Endpoint or PrefillEndpoint is half-open (see package health).
	Trial bool
}

// Config configures a Router.
type Config struct {
	// RandomCandidates is the number of random candidates of each role (power of k choices).
	RandomCandidates int
	// PrefixCandidates is the number of candidates selected for their cached prefix, at most
	// maxHits.
	PrefixCandidates int
	// Disaggregate allows prefill and decode on different engines.
	Disaggregate bool
	// ColocateOnDecode allows decode engines to prefill short prompts themselves.
	ColocateOnDecode bool
	Costs            Costs
	Filters          []Filter
	Scorers          []WeightedScorer
	Spill            SpillConfig
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		RandomCandidates: 4,
		PrefixCandidates: 4,
		Disaggregate:     true,
		ColocateOnDecode: true,
		Costs:            DefaultCosts(),
		Filters:          DefaultFilters(),
		Scorers:          DefaultScorers(),
		Spill:            DefaultSpill(),
	}
}

// Router makes routing decisions with one configuration. It is immutable and safe for concurrent
// use.
type Router struct{ cfg Config }

// New returns a router.
func New(cfg Config) *Router { return &Router{cfg: cfg} }

// Rand is the subset of the methods of rand.Rand (math/rand/v2) that a decision uses.
type Rand interface {
	Uint64() uint64
	IntN(n int) int
}

// Decide selects the destination of r. Its errors are of type *NoEndpointError.
func (ro *Router) Decide(s *fleet.Snapshot, r *Request, rng Rand) (Decision, error) {
	local, err := ro.decideLocal(s, r, rng)
	if r.Prefilled {
		return local, err
	}
	remote, spilled := ro.spill(s, r, local, err == nil, rng)
	if spilled {
		return remote, nil
	}
	return local, err
}

// decideLocal selects endpoints of the local zone.
func (ro *Router) decideLocal(s *fleet.Snapshot, r *Request, rng Rand) (Decision, error) {
	d := &decider{Router: ro, s: s, r: r, rng: rng}
	if r.Service != "" {
		return d.decideService()
	}
	return d.decideGeneration()
}

// decider is the state of one decision.
type decider struct {
	*Router
	s          *fleet.Snapshot
	r          *Request
	rng        Rand
	chain      prefix.Chain
	hits       [maxHits]prefix.Hit
	nhits      int
	considered int
	// peerWorkByRole caches the results of peerWork, one for each of the three roles at most.
	peerWorkByRole [3]roleWork
	npeerWork      int
	// scratch is the estimate being scored. It is a field to avoid an allocation for each
	// candidate.
	scratch Estimate
}

// maxHits bounds Config.PrefixCandidates.
const maxHits = 16

func (d *decider) decideGeneration() (Decision, error) {
	d.chain = d.s.Prefix.Chain(d.r.PrefixHashes)
	limit := min(d.cfg.PrefixCandidates, maxHits)
	d.nhits = len(d.chain.Best(d.hits[:0], limit, d.rng.Uint64()))

	best := d.cheapestPlan()
	if d.r.Prefilled {
		best = d.cheapestDecoder()
	}
	if best.Endpoint == nil {
		return Decision{}, d.noEndpointError()
	}
	return d.newDecision(best), nil
}

// cheapestPlan returns the cheapest engine, or pair of engines, for a prompt that has not been
// prefilled.
func (d *decider) cheapestPlan() Estimate {
	best := d.cheapest(Colocated, engine.Mixed)
	if d.cfg.ColocateOnDecode {
		best = cheaper(best, d.cheapest(Colocated, engine.Decode))
	}
	if d.cfg.Disaggregate {
		best = cheaper(best, d.cheapestPair())
	}
	return best
}

// cheapestDecoder returns the cheapest engine to import the KV cache of a prompt and decode.
func (d *decider) cheapestDecoder() Estimate {
	return cheaper(d.cheapest(DecodeStage, engine.Decode), d.cheapest(DecodeStage, engine.Mixed))
}

// cheapestPair returns the cheapest pair of a prefill and a decode engine. The cost of a pair is
// the sum of the costs of its stages (the transfer depends on the decode engine alone), so each
// stage can be selected separately.
func (d *decider) cheapestPair() Estimate {
	prefill := d.cheapest(PrefillStage, engine.Prefill)
	if prefill.Endpoint == nil {
		return Estimate{}
	}
	decode := d.cheapestDecoder()
	if decode.Endpoint == nil {
		return Estimate{}
	}
	return combine(prefill, decode, d.r)
}

func (d *decider) newDecision(e Estimate) Decision {
	out := Decision{
		Endpoint:     e.Endpoint,
		CachedTokens: e.CachedTokens,
		Queue:        e.Queue,
		TTFT:         e.TTFT(),
		PerToken:     e.PerToken,
		Completion:   e.Completion(),
		Cost:         e.Cost,
		Considered:   d.considered,
		Trial:        e.Endpoint.Health.HalfOpen(d.r.Now),
	}
	if e.PrefillEndpoint != nil {
		out.PrefillEndpoint = e.PrefillEndpoint
		out.Trial = out.Trial || e.PrefillEndpoint.Health.HalfOpen(d.r.Now)
	}
	return out
}

// decideService selects the endpoint with the fewest local requests in flight from a random sample.
func (d *decider) decideService() (Decision, error) {
	var best *fleet.Endpoint
	members := d.s.Group(fleet.GroupKey{Kind: fleet.Service, Service: d.r.Service})
	d.sample(members, func(e *fleet.Endpoint) {
		if best == nil || e.LocalWork.InFlight.Requests < best.LocalWork.InFlight.Requests {
			best = e
		}
	})
	if best == nil {
		return Decision{}, d.noEndpointError()
	}
	return Decision{Endpoint: best, Considered: d.considered, Trial: best.Health.HalfOpen(d.r.Now)}, nil
}
