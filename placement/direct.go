package placement

import (
	"time"

	"github.com/springweir/springweir/engine"
)

// bestDirect returns the best engine of a random sample to both prefill and decode.
func (d *decision) bestDirect(chunks []chunk, tokens int) option {
	var best option
	for _, e := range d.sample(d.enginesWithRole(engine.Decode)) {
		o := d.predictPrefill(e, chunks, tokens)
		inFlight := d.p.loads.inFlight(d.p.loads.get(e))
		if !d.prior.Colocated && inFlight.prefill.tokens+o.uncached > d.p.tuning.DirectTokens {
			continue
		}
		wait := d.decodeWait(e, inFlight, tokens)
		o.firstEvent += wait
		o.queueing += wait
		o.balancePenalty = time.Duration(inFlight.running) * perRunPenalty
		best = earlier(best, o)
	}
	return best
}
