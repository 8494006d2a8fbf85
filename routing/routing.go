// Package routing chooses the endpoints for a request: filters leave out what
// cannot serve it, scorers predict what each candidate would cost, and the
// cheapest of a few candidates is picked.
//
// Decide is a pure function of a snapshot, a request and a source of random
// numbers. It looks at a bounded number of candidates (those that hold the
// longest prefixes and a random few), so its cost does not grow with the fleet.
package routing

import (
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/prefix"
	"github.com/springweir/springweir/weightstore"
)

// Request is what a decision needs to know of a request.
type Request struct {
	// Artifact is the model, adapter and version asked for; an empty version
	// takes any. It is unused when Service is set.
	Artifact weightstore.Artifact
	// Service names the plain service called; empty for a generation.
	Service string
	// PromptTokens is the length of the prompt and of any text to resume after.
	PromptTokens int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	// PrefixHashes are the prompt's chained block hashes (prefix.Hashes).
	PrefixHashes []uint64
	Priority     engine.Priority
	// Now and Deadline are by the snapshot's clock; zero Deadline means none.
	Now, Deadline time.Duration
	// Tried are the names of endpoints not to use again.
	Tried []string
	// FromOtherZone is set on a request that came from another zone: it may not leave
	// this one again.
	FromOtherZone bool
	// NoTrial keeps the request off half-open endpoints: it is set on calls that
	// may not be repeated elsewhere when the trial fails.
	NoTrial bool
	// Prefilled is set when the prompt's KV cache waits for an importer: an engine of the own zone
	// is wanted that decodes.
	Prefilled bool
}

// Decision is where to send a request.
type Decision struct {
	// Endpoint answers the request. It is nil when Zone is set.
	Endpoint *fleet.Endpoint
	// PrefillEndpoint computes the prompt and hands its KV cache to Endpoint; nil when
	// Endpoint does both.
	PrefillEndpoint *fleet.Endpoint
	// Zone is the other zone whose entries should take the request, if any.
	Zone string
	// CachedTokens is the part of the prompt thought to be cached where it is prefilled.
	CachedTokens int
	// Queue is the predicted wait at the endpoints before the request is begun.
	Queue time.Duration
	// TTFT, PerToken and Completion are the predicted times to the first token,
	// between tokens, and to the whole answer.
	TTFT, PerToken, Completion time.Duration
	// Cost is what was compared, in seconds.
	Cost float64
	// Considered is the number of candidates scored.
	Considered int
	// Trial is set when Endpoint or PrefillEndpoint is half-open (see package health).
	Trial bool
}

// Config holds the choices of a Router.
type Config struct {
	// RandomCandidates is the number of random candidates of each kind (power of k choices).
	RandomCandidates int
	// PrefixCandidates is the number of candidates taken for their cached prefix.
	PrefixCandidates int
	// Disaggregate allows prefill and decode on different engines.
	Disaggregate bool
	// ColocateOnDecode allows decode engines to prefill short prompts themselves.
	ColocateOnDecode bool
	Costs            Costs
	Filters          []Filter
	Scorers          []Weighted
	Spill            SpillConfig
}

// DefaultConfig returns the defaults.
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

// Router decides with one configuration. It is immutable and safe for concurrent use.
type Router struct{ cfg Config }

// New returns a router.
func New(cfg Config) *Router { return &Router{cfg: cfg} }

// Rand is the part of math/rand/v2's Rand that a decision uses.
type Rand interface {
	Uint64() uint64
	IntN(n int) int
}

// Decide chooses where r goes. Errors are *NoEndpointError.
func (ro *Router) Decide(s *fleet.Snapshot, r *Request, rng Rand) (Decision, error) {
	local, err := ro.local(s, r, rng)
	if r.Prefilled {
		return local, err
	}
	zone, spills := ro.spill(s, r, local, err == nil, rng)
	if spills {
		return zone, nil
	}
	return local, err
}

// local chooses in the own zone.
func (ro *Router) local(s *fleet.Snapshot, r *Request, rng Rand) (Decision, error) {
	d := &decider{Router: ro, s: s, r: r, rng: rng}
	if r.Service != "" {
		return d.service()
	}
	return d.generation()
}

// decider is the state of one decision.
type decider struct {
	*Router
	s     *fleet.Snapshot
	r     *Request
	rng   Rand
	chain prefix.Chain
	hits  [maxHits]prefix.Hit
	nhits int
	seen  int
	// elsewhere remembers what others returned, for the three roles at most.
	elsewhere  [3]roleWork
	nelsewhere int
	// scratch is the estimate being scored, kept here so that it is not
	// allocated for each candidate.
	scratch Estimate
}

// maxHits bounds Config.PrefixCandidates.
const maxHits = 16

func (d *decider) generation() (Decision, error) {
	d.chain = d.s.Prefix.Chain(d.r.PrefixHashes)
	limit := min(d.cfg.PrefixCandidates, maxHits)
	d.nhits = len(d.chain.Best(d.hits[:0], limit, d.rng.Uint64()))

	best := d.whole()
	if d.r.Prefilled {
		best = d.importer()
	}
	if best.Endpoint == nil {
		return Decision{}, d.refusal()
	}
	return d.decision(best), nil
}

// whole returns the best engine, or pair of them, for a prompt that nobody has prefilled.
func (d *decider) whole() Estimate {
	best := d.best(Whole, engine.Mixed)
	if d.cfg.ColocateOnDecode {
		best = cheaper(best, d.best(Whole, engine.Decode))
	}
	if d.cfg.Disaggregate {
		best = cheaper(best, d.pair())
	}
	return best
}

// importer returns the best engine to import a prompt's KV cache and decode.
func (d *decider) importer() Estimate {
	return cheaper(d.best(DecodeHalf, engine.Decode), d.best(DecodeHalf, engine.Mixed))
}

// pair returns the best pair of a prefill and a decode engine. The cost of a
// pair is the sum of what each half costs (the move depends on the decode
// engine alone), so the best halves are the best pair.
func (d *decider) pair() Estimate {
	first := d.best(PrefillHalf, engine.Prefill)
	if first.Endpoint == nil {
		return Estimate{}
	}
	second := d.importer()
	if second.Endpoint == nil {
		return Estimate{}
	}
	return join(first, second, d.r)
}

func (d *decider) decision(e Estimate) Decision {
	out := Decision{
		Endpoint:     e.Endpoint,
		CachedTokens: e.Cached,
		Queue:        e.Queue,
		TTFT:         e.TTFT(),
		PerToken:     e.PerToken,
		Completion:   e.Completion(),
		Cost:         e.Cost,
		Considered:   d.seen,
		Trial:        e.Endpoint.Health.HalfOpen(d.r.Now),
	}
	if e.First != nil {
		out.PrefillEndpoint = e.First
		out.Trial = out.Trial || e.First.Health.HalfOpen(d.r.Now)
	}
	return out
}

// service picks the endpoint with the least own work in flight among a few.
func (d *decider) service() (Decision, error) {
	var best *fleet.Endpoint
	members := d.s.Group(fleet.GroupKey{Kind: fleet.Service, Service: d.r.Service})
	d.sample(members, func(e *fleet.Endpoint) {
		if best == nil || e.LocalWork.InFlight.Requests < best.LocalWork.InFlight.Requests {
			best = e
		}
	})
	if best == nil {
		return Decision{}, d.refusal()
	}
	return Decision{Endpoint: best, Considered: d.seen, Trial: best.Health.HalfOpen(d.r.Now)}, nil
}
