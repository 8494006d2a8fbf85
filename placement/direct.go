package placement

import (
	"time"

	"github.com/springweir/springweir/engine"
)

// direct is the best engine that prefills and decodes, of a few drawn at random.
func (d *decision) direct(chunks []chunk, tokens int) option {
	var best option
	for _, e := range d.drawn(d.role(engine.Decode)) {
		o := d.prefillOn(e, chunks, tokens)
		open := d.p.books.open(d.p.books.of(e))
		if !d.try.Colocated && open.prefill.tokens+o.uncached > d.p.tuning.DirectTokens {
			continue
		}
		wait := d.decodeWait(e, open, tokens)
		o.first += wait
		o.wait += wait
		o.spread = time.Duration(open.runs) * perRun
		best = sooner(best, o)
	}
	return best
}
