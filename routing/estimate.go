package routing

import (
	"math"
	"time"

	"github.com/springweir/springweir/costs"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/prefix"
)

// Costs holds the assumed speeds of an engine and the limits within which load reports are trusted.
type Costs struct {
	costs.Engine
	// PeerWorkFactor estimates the unreported work of each other entry VM of the zone (up to
	// maxPeers of them) at an engine, as a multiple of the local unreported work.
	PeerWorkFactor float64
	// MaxReportAge is the age from which a load report is ignored.
	MaxReportAge time.Duration
}

// DefaultCosts returns the default costs.
func DefaultCosts() Costs {
	return Costs{
		Engine:         costs.Defaults(),
		PeerWorkFactor: 0.25,
		MaxReportAge:   5 * time.Second,
	}
}

// Stage is the stage of a request's work that an engine performs.
type Stage uint8

// Stages of a request.
const (
	// Colocated is prefill and decode on the same engine.
	Colocated Stage = iota
	// PrefillStage computes the KV cache of the prompt.
	PrefillStage
	// DecodeStage imports that KV cache and generates the output.
	DecodeStage
)

// Estimate is the predicted cost of serving a request on an engine, or on a pair of engines.
type Estimate struct {
	// Endpoint serves the request. It is nil if there is no candidate.
	Endpoint *fleet.Endpoint
	// PrefillEndpoint computes the prompt for Endpoint. It is nil unless the stages run on a pair
	// of engines.
	PrefillEndpoint *fleet.Endpoint
	Stage           Stage
	// Load is the estimated load of Endpoint.
	Load EstimatedLoad
	// CachedTokens is the number of prompt tokens expected to be in the engine's prefix cache.
	CachedTokens int
	// Queue, Prefill and Transfer are the durations before the first decode step: waiting,
	// computing the prompt and importing its KV cache.
	Queue, Prefill, Transfer time.Duration
	// PerToken is the duration of one decode step.
	PerToken time.Duration
	// OutputSteps is the number of decode steps.
	OutputSteps int
	// Cost is the weighted sum of the scores, in seconds.
	Cost float64
}

// TTFT returns the predicted time to the first token.
func (e *Estimate) TTFT() time.Duration { return e.Queue + e.Prefill + e.Transfer + e.PerToken }

// Completion returns the predicted time to the complete response.
func (e *Estimate) Completion() time.Duration {
	return e.TTFT() + time.Duration(max(0, e.OutputSteps-1))*e.PerToken
}

// stepTime returns the duration of a decode step of n sequences with context tokens in total.
func (c *Costs) stepTime(n, context int) time.Duration {
	if n == 0 {
		return 0
	}
	perContext := time.Duration(c.StepPerContext * float64(context))
	return c.StepBase + time.Duration(min(n, c.MaxBatch))*c.StepPerSequence + perContext
}

// prefillTime returns the time to compute tokens of prompt. On an engine that also decodes, the
// prompt is processed in chunks, each of which waits for a decode step.
func (c *Costs) prefillTime(tokens int, role engine.Role, step time.Duration) time.Duration {
	compute := seconds(float64(tokens) / c.PrefillRate)
	if role == engine.Prefill || tokens <= 0 {
		return max(0, compute)
	}
	chunks := float64(tokens) / float64(c.chunkSize(role))
	return compute + time.Duration(chunks*float64(step))
}

// chunkSize returns the number of prompt tokens per step of an engine of the role.
func (c *Costs) chunkSize(role engine.Role) int {
	if role == engine.Decode {
		return c.DecodeChunk
	}
	return c.MixedChunk
}

// interference returns the part of a decode step spent on the prompts of other requests. A prefill
// queue of eight chunks is treated as never empty.
func (c *Costs) interference(role engine.Role, waiting int) time.Duration {
	chunk := c.chunkSize(role)
	occupancy := min(1, float64(waiting)/float64(8*chunk))
	return seconds(occupancy * float64(chunk) / c.PrefillRate)
}

// capacityWait returns the wait for cache memory or a slot in the batch. Both are released as
// running requests complete: with n of them evenly spread over their decode phase, the k-th
// completes after k/(n+1) of the time of a response.
func (c *Costs) capacityWait(a EstimatedLoad, tokens, output int, step time.Duration) time.Duration {
	n := float64(min(a.Requests, c.MaxBatch))
	completions := max(0, float64(a.Requests+1-c.MaxBatch))
	if shortfall := a.KVUsed + tokens - a.KVTotal; a.KVTotal > 0 && shortfall > 0 {
		perRequest := float64(a.KVUsed) / max(1, n)
		completions = max(completions, math.Ceil(float64(shortfall)/max(1, perRequest)))
	}
	return time.Duration(completions / (n + 1) * float64(output) * float64(step))
}

// estimate predicts the cost of a stage of the request on e.
func (d *decider) estimate(e *fleet.Endpoint, stage Stage) Estimate {
	c := &d.cfg.Costs
	load := d.estimateLoad(e)
	cached := d.cachedTokens(e)
	out := &d.scratch
	*out = Estimate{Endpoint: e, Stage: stage, Load: load, CachedTokens: cached}
	step := c.stepTime(load.Requests, load.ContextTokens)
	if stage != DecodeStage {
		out.Queue = c.prefillTime(load.PromptTokens, e.Role, step)
		out.Prefill = c.prefillTime(d.r.PromptTokens-cached, e.Role, step)
	} else {
		out.Transfer = c.transferTime(d.r.PromptTokens)
	}
	if stage != PrefillStage {
		out.OutputSteps = max(1, d.r.OutputTokens)
		out.PerToken = c.stepTime(load.Requests+1, load.ContextTokens+d.r.PromptTokens)
		out.PerToken += c.interference(e.Role, load.PromptTokens)
		out.Queue += c.capacityWait(load, d.r.PromptTokens+d.r.OutputTokens, out.OutputSteps, out.PerToken)
	}
	for _, s := range d.cfg.Scorers {
		out.Cost += s.Weight * s.Scorer.Score(c, out, d.r)
	}
	return *out
}

// transferTime returns the time to transfer the KV cache of tokens.
func (c *Costs) transferTime(tokens int) time.Duration {
	return c.MoveLatency + seconds(float64(tokens)/c.MoveRate)
}

// cachedTokens returns the number of prompt tokens expected to be cached on e. The last token is
// always computed. If the cache view of e has a gap, half of the tokens are counted.
func (d *decider) cachedTokens(e *fleet.Endpoint) int {
	hit := d.chain.Depth(e.Slot)
	tokens := min(hit.Blocks*prefix.BlockTokens, d.r.PromptTokens-1)
	if hit.Uncertain {
		tokens /= 2
	}
	return max(0, tokens)
}

// combine returns the estimate of a pair from the estimates of its two stages.
func combine(prefill, decode Estimate, r *Request) Estimate {
	out := decode
	out.PrefillEndpoint = prefill.Endpoint
	out.CachedTokens = prefill.CachedTokens
	out.Queue = prefill.Queue + decode.Queue
	out.Prefill = prefill.Prefill
	out.Cost = prefill.Cost + decode.Cost
	return out
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
