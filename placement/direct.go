package placement

import (
	"slices"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
)

// bestDirect returns the best engine of a random sample to both prefill and decode.
func (d *decision) bestDirect(chunks []chunk, tokens int) option {
	prefillersUp := d.prefillersUp()
	var best option
	for _, e := range d.sample(d.enginesWithRole(engine.Decode)) {
		o := d.predictPrefill(e, chunks, tokens)
		inFlight := d.p.loads.inFlight(d.p.loads.get(e))
		if !d.mayPrefillDirectly(inFlight.prefill.tokens, o.uncached, prefillersUp) {
			continue
		}
		wait := d.decodeWait(e, inFlight, tokens)
		o.firstEvent += wait
		o.queueing += wait
		o.balancePenalty = d.balancePenalty(e, inFlight.running)
		best = earlier(best, o)
	}
	return best
}

// mayPrefillDirectly reports whether an engine that decodes may prefill a prompt, given the tokens
// that are still to be prefilled there and those of the prompt. While no engine that prefills is up,
// it prefills one longer prompt at a time, also after short ones, and short ones after that: refusing these
// prompts would leave it idle, and several longer ones would delay its streams for too long. An engine that
// has just become one that decodes may still have longer ones to prefill.
func (d *decision) mayPrefillDirectly(open, uncached int, prefillersUp bool) bool {
	if d.prior.Colocated || open+uncached <= d.p.tuning.DirectTokens {
		return true
	}
	return min(open, uncached) <= d.p.tuning.DirectTokens && !prefillersUp
}

// prefillersUp reports whether an engine that prefills for the software under consideration is up,
// whether or not it accepts this request now.
func (d *decision) prefillersUp() bool {
	return slices.ContainsFunc(d.p.directory.Snapshot().Service(d.req.Service), func(e *directory.Endpoint) bool {
		return e.Role == engine.Prefill && (d.software == nil || e.Software() == *d.software) && d.p.isUp(e, d.changing)
	})
}
