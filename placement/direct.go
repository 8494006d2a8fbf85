package placement

import (
	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
)

// direct is the best engine that prefills and decodes, of a few drawn at random.
func (d *decision) direct(chunks []chunk, tokens int) option {
	var best option
	for _, e := range d.drawn(d.role(engine.Decode)) {
		k := d.engineBook(e)
		open := d.p.books.open(k)
		reused := d.reuseOn(e, chunks)
		uncached := max(1, tokens-reused.tokens)
		if !d.try.Whole && open.prefillTokens+uncached > d.directLimit(e, open) {
			continue
		}
		first := d.linkWait() + d.sendTime() + d.wayTo(e) + reused.copying + k.speed.time(open.prefillTokens+uncached) + d.decodeWait(e, open, tokens)
		best = sooner(best, option{serve: e, copyFrom: reused.copyFrom, uncached: uncached, first: first})
	}
	return best
}

// directLimit is the most prefill that may be open at an engine that decodes. Each
// step that prefills takes several times as long as one that only decodes, for all
// streams there and for imports that wait for their first step; so an engine with
// many of these prefills little, and one with few helps those that only prefill.
func (d *decision) directLimit(e *directory.Endpoint, open work) int {
	if float64(open.runs) < lightPart*float64(e.Slots) {
		return d.p.tuning.LightDirectTokens
	}
	return d.p.tuning.DirectTokens
}

// lightPart is the part of an engine's slots below which it has few requests, those
// included that still wait for their prefill elsewhere. Of a quarter, a half and
// all, a half served most (docs/design/platform.md).
const lightPart = 0.5
