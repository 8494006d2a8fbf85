package placement

import "github.com/springweir/springweir/engine"

// direct is the best engine that prefills and decodes, of a few drawn at random.
func (d *decision) direct(chunks []chunk, tokens int) option {
	var best option
	for _, e := range d.drawn(d.role(engine.Decode)) {
		k := d.engineBook(e)
		open := d.p.books.open(k)
		reused := d.reuseOn(e, chunks)
		uncached := max(1, tokens-reused.tokens)
		if !d.try.Whole && open.prefillTokens+uncached > d.p.tuning.DirectTokens {
			continue
		}
		first := d.linkWait() + d.sendTime() + d.wayTo(e) + reused.copying + k.speed.time(open.prefillTokens+uncached) + d.decodeWait(e, open, tokens)
		best = sooner(best, option{serve: e, copyFrom: reused.copyFrom, uncached: uncached, first: first})
	}
	return best
}
