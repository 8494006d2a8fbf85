package enginemodel

import (
	"sort"
	"time"
)

// plan is a series of equal steps: in each, the same sequences decode and the same number
// of prompt tokens is prefilled. Only the last step may finish a job or a prompt, so a plan
// of any length is applied at once.
type plan struct {
	start time.Duration
	steps int
	// decoders is the number of decoding sequences; contextTokens is the sum of their
	// contexts at the start.
	decoders      int
	contextTokens int
	// prefillTokens is the number of prompt tokens of each step.
	prefillTokens int
	// fixed is the part of a step's duration that is independent of the context, in
	// nanoseconds.
	fixed float64
	// perContext is Params.StepPerContext.
	perContext float64
}

// endOfStep returns the time at which k steps are complete. The context grows by one token
// per sequence and step, so its sum over the steps has a closed form.
func (p *plan) endOfStep(k int) time.Duration {
	n := float64(k)
	grown := float64(p.decoders) * n * (n - 1) / 2
	sum := n*float64(p.contextTokens) + grown
	return p.start + time.Duration(n*p.fixed+p.perContext*sum)
}

// stepsDone returns the number of steps completed at now.
func (p *plan) stepsDone(now time.Duration) int {
	return sort.Search(p.steps, func(k int) bool { return p.endOfStep(k+1) > now })
}

// truncate ends the plan after the step in progress at now.
func (p *plan) truncate(now time.Duration) {
	p.steps = min(p.steps, p.stepsDone(now)+1)
}

// newPlan returns the plan that starts at the clock; it has no steps if no job can run.
func (e *Engine) newPlan() plan {
	p := plan{
		start:         e.clock,
		decoders:      len(e.decoding),
		contextTokens: e.contextTokens,
		perContext:    e.params.StepPerContext,
	}
	chunk := e.params.maxPrefillTokens(e.role, p.decoders)
	p.prefillTokens = min(chunk, e.prefillLeft())
	if p.decoders == 0 && p.prefillTokens == 0 {
		return plan{}
	}
	p.fixed = float64(p.prefillTokens) / e.params.PrefillRate * float64(time.Second)
	if p.decoders > 0 {
		p.fixed += float64(e.params.StepBase)
		p.fixed += float64(p.decoders) * float64(e.params.StepPerSequence)
	}
	p.steps = e.equalSteps(p.prefillTokens)
	if len(e.importing) > 0 {
		p.truncate(e.importing[0].importedAt)
	}
	if len(e.waiting) > 0 && len(e.held) > 0 {
		p.truncate(e.held[0].expires)
	}
	return p
}

// equalSteps returns the number of equal steps until a job or prompt may finish, at least 1.
func (e *Engine) equalSteps(prefill int) int {
	steps := int(^uint(0) >> 1)
	if prefill > 0 {
		steps = max(1, e.prefilling[0].toPrefill/prefill)
	}
	for _, j := range e.decoding {
		if j.EveryToken || j.firstToken == 0 {
			return 1
		}
		steps = min(steps, j.OutputTokens-j.produced)
	}
	return max(1, steps)
}

func (e *Engine) prefillLeft() int {
	n := 0
	for _, j := range e.prefilling {
		n += j.toPrefill
	}
	return n
}

// apply applies the steps of the plan and clears it.
func (e *Engine) apply() {
	p := e.plan
	e.plan = plan{}
	if p.steps == 0 {
		return
	}
	e.clock = p.endOfStep(p.steps)
	e.applyDecode(p)
	e.applyPrefill(p.prefillTokens * p.steps)
}

func (e *Engine) applyDecode(p plan) {
	firstEnd := p.endOfStep(1)
	lastStep := e.clock - p.endOfStep(p.steps-1)
	kept := e.decoding[:0]
	for _, j := range e.decoding {
		if j.cancelled {
			e.contextTokens -= j.contextTokens()
			e.drop(j)
			continue
		}
		first := j.firstToken == 0
		j.recordTokens(p.steps, firstEnd, e.clock, lastStep)
		e.contextTokens += p.steps
		if e.reportToken(j, first) {
			e.contextTokens -= j.contextTokens()
			continue
		}
		kept = append(kept, j)
	}
	clear(e.decoding[len(kept):])
	e.decoding = kept
}

// reportToken emits the events for a job's latest token and reports whether it was the last.
func (e *Engine) reportToken(j *job, first bool) bool {
	if first {
		e.emitEvent(j.event(FirstToken, e.clock))
	} else if j.EveryToken {
		e.emitEvent(j.event(Token, e.clock))
	}
	if j.produced < j.OutputTokens {
		return false
	}
	e.emitEvent(j.event(Finished, e.clock))
	e.drop(j)
	return true
}

func (e *Engine) applyPrefill(tokens int) {
	kept := e.prefilling[:0]
	for _, j := range e.prefilling {
		if j.cancelled {
			e.drop(j)
			continue
		}
		part := min(tokens, j.toPrefill)
		tokens -= part
		j.toPrefill -= part
		if j.toPrefill > 0 {
			kept = append(kept, j)
			continue
		}
		e.finishPrefill(j)
	}
	clear(e.prefilling[len(kept):])
	e.prefilling = kept
}

// finishPrefill completes a prompt, whose last step also generates the next response token.
func (e *Engine) finishPrefill(j *job) {
	e.cache.store(j.Hashes, e.cacheCapacity())
	if j.PrefillOnly {
		e.emitEvent(j.event(Prefilled, e.clock))
		e.hold(j)
		return
	}
	j.recordTokens(1, e.clock, e.clock, 0)
	if e.reportToken(j, true) {
		return
	}
	e.decoding = append(e.decoding, j)
	e.contextTokens += j.contextTokens()
}
