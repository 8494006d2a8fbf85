package simulate

import (
	"math/rand/v2"
	"time"
)

// Trace holds the requests and the faults of one measurement.
type Trace struct {
	Name     string
	Length   time.Duration
	Requests []Request
	Faults   []Fault
}

// FaultKind is the type of a fault.
type FaultKind int

// Kinds of faults.
const (
	// CrashEngine aborts every job of an engine, which restarts empty after
	// Fault.For.
	CrashEngine FaultKind = iota + 1
	// PartitionZone disconnects a zone from the other zones and the platform.
	PartitionZone
	// FreezeReports suspends all load reports.
	FreezeReports
)

// Fault is injected at At and lasts for For.
type Fault struct {
	Kind FaultKind
	At   time.Duration
	For  time.Duration
	// Zone and Engine are the indexes of the affected zone and of the engine
	// within it.
	Zone, Engine int
}

// ratePoint is a rate in requests per second at a point in time. Rates between
// points are interpolated linearly.
type ratePoint struct {
	at   time.Duration
	rate float64
}

// stream is one kind of request with its rate over time.
type stream struct {
	kind requestKind
	rate []ratePoint
}

// rateAt returns the interpolated rate at t.
func (s stream) rateAt(t time.Duration) float64 {
	last := s.rate[0]
	for _, p := range s.rate {
		if p.at > t {
			share := float64(t-last.at) / float64(p.at-last.at)
			return last.rate + share*(p.rate-last.rate)
		}
		last = p
	}
	return last.rate
}

// recipe describes how to generate a trace.
type recipe struct {
	name    string
	length  time.Duration
	streams []stream
	faults  []Fault
	// load is a factor on every rate.
	load float64
}

const (
	// zones and enginesPerZone define a fleet of twelve engines.
	zones          = 3
	enginesPerZone = 4
	// organisations is the number of organisations in a trace.
	organisations = 30
	// maxPastedPrompts is the number of recent prompts of an organisation that
	// a follow-up can refer to.
	maxPastedPrompts = 4
)

// generator generates the requests of one trace.
type generator struct {
	rng      *rand.Rand
	length   time.Duration
	requests []Request
	// pastedPrompts holds the most recent prompts of each organisation.
	pastedPrompts [organisations][]pastedPrompt
	nextSeed      uint64
}

// pastedPrompt is a prompt that a later request can extend.
type pastedPrompt struct {
	tokens int
	seed   uint64
	zone   int
}

// build generates the trace for a seed, with Poisson arrivals at the configured
// rates.
func (r recipe) build(seed uint64) *Trace {
	g := &generator{rng: rand.New(rand.NewPCG(seed, seed^0x5bd1e995)), length: r.length}
	step := 100 * time.Millisecond
	for t := time.Duration(0); t < r.length; t += step {
		for _, s := range r.streams {
			g.arrivals(s, t, step, r.load*s.rateAt(t))
		}
	}
	g.sortByTime()
	return &Trace{Name: r.name, Length: r.length, Requests: g.requests, Faults: r.faults}
}

// arrivals generates the requests of s in one time step.
func (g *generator) arrivals(s stream, from, step time.Duration, rate float64) {
	at := from
	for {
		at += time.Duration(g.rng.ExpFloat64() / max(rate, 1e-9) * float64(time.Second))
		if at >= from+step {
			return
		}
		g.add(s.kind, at)
	}
}

// add generates one request.
func (g *generator) add(k requestKind, at time.Duration) {
	org := g.rng.IntN(organisations)
	p := g.prompt(k, org)
	output := k.outputLow + g.rng.IntN(k.outputHigh-k.outputLow+1)
	g.requests = append(g.requests, Request{
		At:           at,
		Zone:         p.zone,
		Draw:         g.rng.Uint32(),
		Organisation: org,
		Priority:     k.priority,
		Prompt:       k.shared + p.tokens,
		Output:       output,
		MaxTokens:    2 * k.outputHigh,
		Deadline:     k.deadline,
		Hashes:       blockHashes(uint64(org)<<8|uint64(k.priority), k.shared, p.seed, k.shared+p.tokens),
	})
}

// prompt draws a new prompt or extends an earlier one. A follow-up comes from
// the same caller, whom the load balancer keeps in the same zone.
func (g *generator) prompt(k requestKind, org int) pastedPrompt {
	earlier := g.pastedPrompts[org]
	if len(earlier) > 0 && g.rng.Float64() < k.followUps {
		p := earlier[g.rng.IntN(len(earlier))]
		p.tokens += blockTokens
		return p
	}
	g.nextSeed++
	p := pastedPrompt{
		tokens: k.promptLow + g.rng.IntN(k.promptHigh-k.promptLow+1),
		seed:   g.nextSeed,
		zone:   g.rng.IntN(zones),
	}
	if k.followUps > 0 {
		earlier = append(earlier, p)
		g.pastedPrompts[org] = earlier[max(0, len(earlier)-maxPastedPrompts):]
	}
	return p
}
