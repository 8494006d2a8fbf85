package placement

import (
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
)

// minCopy is the least amount of tokens that are worth copying from another engine: a
// move costs some tenths of a millisecond of both links, which few tokens' prefill does
// not.
const minCopy = 512

// reuse says which of a prompt's first tokens an engine need not prefill.
type reuse struct {
	// tokens are held, by the engine itself or by copyFrom.
	tokens int
	// copyFrom is nil when the engine takes what it holds itself.
	copyFrom *directory.Endpoint
	// copying is how long the copy takes.
	copying time.Duration
}

// holder is an engine and how many leading tokens of the prompt it holds.
type holder struct {
	engine *directory.Endpoint
	tokens int
}

// holders are the engines that hold most of one prompt: of all zones, and of each.
type holders struct {
	most   holder
	byZone map[string]holder
}

// reuseOn says what an engine need not prefill: what it holds, or what another one
// holds beyond that. Copying is some thirty times as fast as prefilling anew.
func (d *decision) reuseOn(e *directory.Endpoint, chunks []chunk) reuse {
	own := reuse{tokens: d.engineBook(e).cache.cached(chunks)}
	if len(chunks) == 0 {
		return own
	}
	h := d.findHolders(chunks)
	best := own
	for _, other := range []holder{h.byZone[e.Zone], h.most} {
		if other.engine == nil || other.engine == e || other.tokens-own.tokens < minCopy || other.tokens <= best.tokens {
			continue
		}
		best = reuse{tokens: other.tokens, copyFrom: other.engine, copying: d.moveTime(other.engine, e, other.tokens-own.tokens)}
	}
	return best
}

// findHolders looks at the caches of all usable engines once for a decision.
func (d *decision) findHolders(chunks []chunk) *holders {
	if d.holders != nil {
		return d.holders
	}
	h := &holders{byZone: map[string]holder{}}
	for _, role := range []engine.Role{engine.Prefill, engine.Decode} {
		for _, e := range d.role(role) {
			found := holder{e, d.engineBook(e).cache.copyable(d.now, chunks)}
			if found.tokens > h.byZone[e.Zone].tokens {
				h.byZone[e.Zone] = found
			}
			if found.tokens > h.most.tokens {
				h.most = found
			}
		}
	}
	d.holders = h
	return h
}
