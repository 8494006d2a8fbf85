package routing

// Scorer computes the cost of a candidate, in seconds. The scores of the two stages of a pair are
// added, so a scorer must be additive over the stages.
type Scorer interface {
	// Name identifies the scorer in settings and logs.
	Name() string
	// Score returns the cost of serving r as estimated by e.
	Score(c *Costs, e *Estimate, r *Request) float64
}

// WeightedScorer is a scorer and its weight in the sum.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// DefaultScorers returns the default scorers and weights. `make policy` compares them with
// alternatives; see docs/POLICY.md.
func DefaultScorers() []WeightedScorer {
	return []WeightedScorer{
		{TimeToFirstToken{}, 1},
		{DecodeTime{}, 1},
		{Interference{}, 0.3},
	}
}

// TimeToFirstToken scores the predicted time to the first token.
type TimeToFirstToken struct{}

// Name implements Scorer.
func (TimeToFirstToken) Name() string { return "first-token" }

// Score implements Scorer.
func (TimeToFirstToken) Score(_ *Costs, e *Estimate, _ *Request) float64 {
	return e.TTFT().Seconds()
}

// DecodeTime scores the predicted time from the first token to the last.
type DecodeTime struct{}

// Name implements Scorer.
func (DecodeTime) Name() string { return "tokens" }

// Score implements Scorer.
func (DecodeTime) Score(_ *Costs, e *Estimate, _ *Request) float64 {
	return (e.Completion() - e.TTFT()).Seconds()
}

// Interference scores the delay that the request causes to other requests on the engine: its
// prefill delays every sequence that is decoding there, and its sequence lengthens each of their
// steps.
type Interference struct{}

// Name implements Scorer.
func (Interference) Name() string { return "disturbance" }

// Score implements Scorer.
func (Interference) Score(c *Costs, e *Estimate, r *Request) float64 {
	affected := float64(min(e.Load.Requests, c.MaxBatch))
	cost := 0.0
	if e.Stage != DecodeStage {
		cost += affected * float64(r.PromptTokens-e.CachedTokens) / c.PrefillRate
	}
	if e.Stage != PrefillStage {
		stepIncrease := c.StepPerSequence.Seconds() + c.StepPerContext*1e-9*float64(r.PromptTokens)
		cost += affected * stepIncrease * float64(e.OutputSteps)
	}
	return cost
}
