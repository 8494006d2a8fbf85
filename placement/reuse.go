package placement

import (
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
)

// minCopyTokens is the smallest number of tokens worth copying from another engine: a copy occupies
// both links for some tenths of a millisecond, which the prefill of fewer tokens does not justify.
const minCopyTokens = 512

// reuse describes the prefix of a prompt that an engine need not prefill.
type reuse struct {
	// tokens is the length of the prefix, cached by the engine itself or by copyFrom.
	tokens int
	// copyFrom is nil if the prefix is cached by the engine itself.
	copyFrom *directory.Endpoint
	// copyTime is the predicted duration of the copy.
	copyTime time.Duration
}

// holder is an engine and the length of the prompt prefix that it caches.
type holder struct {
	engine *directory.Endpoint
	tokens int
}

// holders are the engines that cache the longest prefix of a prompt, of all zones and by zone.
type holders struct {
	largest holder
	byZone  map[string]holder
}

// reuseOn returns the prefix that an engine need not prefill: the one that it caches, or a longer
// one to be copied from another engine. Copying is about thirty times as fast as prefilling.
func (d *decision) reuseOn(e *directory.Endpoint, chunks []chunk) reuse {
	local := reuse{tokens: d.engineLoad(e).cache.cachedTokens(chunks)}
	if len(chunks) == 0 {
		return local
	}
	h := d.findHolders(chunks)
	best := local
	for _, other := range []holder{h.byZone[e.Zone], h.largest} {
		if other.engine == nil || other.engine == e || other.tokens-local.tokens < minCopyTokens || other.tokens <= best.tokens {
			continue
		}
		best = reuse{tokens: other.tokens, copyFrom: other.engine, copyTime: d.transferTime(other.engine, e, other.tokens-local.tokens)}
	}
	return best
}

// findHolders searches the caches of all usable engines, once per decision.
func (d *decision) findHolders(chunks []chunk) *holders {
	if d.holders != nil {
		return d.holders
	}
	h := &holders{byZone: map[string]holder{}}
	for _, role := range []engine.Role{engine.Prefill, engine.Decode} {
		for _, e := range d.enginesWithRole(role) {
			found := holder{e, d.engineLoad(e).cache.copyableTokens(d.now, chunks)}
			if found.tokens > h.byZone[e.Zone].tokens {
				h.byZone[e.Zone] = found
			}
			if found.tokens > h.largest.tokens {
				h.largest = found
			}
		}
	}
	d.holders = h
	return h
}
