package routing

import (
	"math"
	"time"

	"github.com/springweir/springweir/costs"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/prefix"
)

// Costs are the assumed speeds of an engine, and how far reports are trusted.
type Costs struct {
	costs.Engine
	// PeerWorkFactor is how much unseen work each other entry of the zone, up to
	// maxOthers of them, is assumed to have at an engine, as a part of the own.
	PeerWorkFactor float64
	// MaxReportAge is the age from which a load report is no longer believed.
	MaxReportAge time.Duration
}

// DefaultCosts returns the defaults.
func DefaultCosts() Costs {
	return Costs{
		Engine:         costs.Defaults(),
		PeerWorkFactor: 0.25,
		MaxReportAge:   5 * time.Second,
	}
}

// Part is the part of a request's work that an engine would do.
type Part uint8

// The parts.
const (
	// Whole is prefill and decode on one engine.
	Whole Part = iota
	// PrefillHalf ends with the prompt's KV cache.
	PrefillHalf
	// DecodeHalf starts by importing it.
	DecodeHalf
)

// Estimate is what serving a request on an engine is predicted to cost.
type Estimate struct {
	// Endpoint serves the request; nil means that there is none.
	Endpoint *fleet.Endpoint
	// First prefills for Endpoint in a pair.
	First *fleet.Endpoint
	Part  Part
	// Load is the engine's load as assumed, reports and own work together.
	Load Assumed
	// Cached is the part of the prompt thought to be cached.
	Cached int
	// Queue, Prefill and Move are the times before the first step of decode.
	Queue, Prefill, Move time.Duration
	// PerToken is the time of one step.
	PerToken time.Duration
	// Output is the number of steps.
	Output int
	// Cost is the weighted sum of the scorers, in seconds.
	Cost float64
}

// TTFT is the predicted time to the first token.
func (e *Estimate) TTFT() time.Duration { return e.Queue + e.Prefill + e.Move + e.PerToken }

// Completion is the predicted time to the whole answer.
func (e *Estimate) Completion() time.Duration {
	return e.TTFT() + time.Duration(max(0, e.Output-1))*e.PerToken
}

// step is the time of one decode step of n sequences over context tokens.
func (c *Costs) step(n, context int) time.Duration {
	if n == 0 {
		return 0
	}
	perContext := time.Duration(c.StepPerContext * float64(context))
	return c.StepBase + time.Duration(min(n, c.MaxBatch))*c.StepPerSequence + perContext
}

// prefill is the time to compute tokens. Beside decoding sequences they go in
// chunks, each of which waits for a decode step.
func (c *Costs) prefill(tokens int, role engine.Role, step time.Duration) time.Duration {
	alone := seconds(float64(tokens) / c.PrefillRate)
	if role == engine.Prefill || tokens <= 0 {
		return max(0, alone)
	}
	chunks := float64(tokens) / float64(c.chunk(role))
	return alone + time.Duration(chunks*float64(step))
}

func (c *Costs) chunk(role engine.Role) int {
	if role == engine.Decode {
		return c.DecodeChunk
	}
	return c.MixedChunk
}

// interference is the part of a decode step spent on other requests' prompts.
// A queue of eight chunks counts as one that is seldom empty.
func (c *Costs) interference(role engine.Role, waiting int) time.Duration {
	chunk := c.chunk(role)
	busy := min(1, float64(waiting)/float64(8*chunk))
	return seconds(busy * float64(chunk) / c.PrefillRate)
}

// room is the wait for cache memory or a place in the batch. Both come free as
// running requests end; with n of them at even distances from their end, the
// k-th ends after k/(n+1) of an answer.
func (c *Costs) room(a Assumed, need, output int, step time.Duration) time.Duration {
	n := float64(min(a.Requests, c.MaxBatch))
	ends := max(0, float64(a.Requests+1-c.MaxBatch))
	if missing := a.KVUsed + need - a.KVTotal; a.KVTotal > 0 && missing > 0 {
		each := float64(a.KVUsed) / max(1, n)
		ends = max(ends, math.Ceil(float64(missing)/max(1, each)))
	}
	return time.Duration(ends / (n + 1) * float64(output) * float64(step))
}

// estimate predicts what part of the request costs on e.
func (d *decider) estimate(e *fleet.Endpoint, part Part) Estimate {
	c := &d.cfg.Costs
	load := d.load(e)
	cached := d.cached(e)
	out := &d.scratch
	*out = Estimate{Endpoint: e, Part: part, Load: load, Cached: cached}
	step := c.step(load.Requests, load.ContextTokens)
	if part != DecodeHalf {
		out.Queue = c.prefill(load.PromptTokens, e.Role, step)
		out.Prefill = c.prefill(d.r.PromptTokens-cached, e.Role, step)
	} else {
		out.Move = c.move(d.r.PromptTokens)
	}
	if part != PrefillHalf {
		out.Output = max(1, d.r.OutputTokens)
		out.PerToken = c.step(load.Requests+1, load.ContextTokens+d.r.PromptTokens)
		out.PerToken += c.interference(e.Role, load.PromptTokens)
		out.Queue += c.room(load, d.r.PromptTokens+d.r.OutputTokens, out.Output, out.PerToken)
	}
	for _, s := range d.cfg.Scorers {
		out.Cost += s.Weight * s.Scorer.Score(c, out, d.r)
	}
	return *out
}

func (c *Costs) move(tokens int) time.Duration {
	return c.MoveLatency + seconds(float64(tokens)/c.MoveRate)
}

// cached is the part of the prompt thought to be cached on e. The last token is
// always computed. A view with a gap counts for half.
func (d *decider) cached(e *fleet.Endpoint) int {
	hit := d.chain.Depth(e.Slot)
	tokens := min(hit.Blocks*prefix.BlockTokens, d.r.PromptTokens-1)
	if hit.Uncertain {
		tokens /= 2
	}
	return max(0, tokens)
}

// join makes a pair's estimate of its halves.
func join(first, second Estimate, r *Request) Estimate {
	out := second
	out.First = first.Endpoint
	out.Cached = first.Cached
	out.Queue = first.Queue + second.Queue
	out.Prefill = first.Prefill
	out.Cost = first.Cost + second.Cost
	return out
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
