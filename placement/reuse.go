package placement

import (
	"slices"
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

// findHolders searches the usable engines that cache any of the prompt, once per decision. Of engines
// that cache equally much, those that prefill come first, then those with lower IDs.
func (d *decision) findHolders(chunks []chunk) *holders {
	if d.holders != nil {
		return d.holders
	}
	h := &holders{byZone: map[string]holder{}}
	// Who holds a later part usually holds all before it, so the search ends at the last part that is
	// held in every zone.
	for k := len(chunks) - 1; k >= 0 && !d.heldInAllZones(h, prefixLength(chunks[:k+1])); k-- {
		for _, load := range d.p.loads.caches[chunks[k].id] {
			h.consider(d, load, chunks)
		}
	}
	for _, found := range h.byZone {
		if h.largest.engine == nil || found.precedes(h.largest) {
			h.largest = found
		}
	}
	d.holders = h
	return h
}

// heldInAllZones reports whether each zone with usable endpoints has a holder of that many tokens.
func (d *decision) heldInAllZones(h *holders, tokens int) bool {
	for zone := range d.p.directory.Snapshot().Zones() {
		if h.byZone[zone].tokens < tokens {
			return false
		}
	}
	return true
}

// prefixLength returns the number of tokens of consecutive parts.
func prefixLength(chunks []chunk) int {
	n := 0
	for _, c := range chunks {
		n += c.tokens
	}
	return n
}

// consider records an engine as the holder of its zone if it caches more than the one found so far.
func (h *holders) consider(d *decision, load *endpointLoad, chunks []chunk) {
	e := d.p.directory.Snapshot().Endpoint(load.id)
	if e == nil || e.StartedAt != load.startedAt {
		return
	}
	found := holder{e, load.cache.copyableTokens(d.now, chunks)}
	if soFar := h.byZone[e.Zone]; found.tokens == 0 || soFar.engine != nil && !found.precedes(soFar) {
		return
	}
	if isIn(d.enginesWithRole(e.Role), e) {
		h.byZone[e.Zone] = found
	}
}

// precedes reports whether a holder is preferred to another one.
func (h holder) precedes(o holder) bool {
	if h.tokens != o.tokens {
		return h.tokens > o.tokens
	}
	if prefills := h.engine.Role == engine.Prefill; prefills != (o.engine.Role == engine.Prefill) {
		return prefills
	}
	return h.engine.ID < o.engine.ID
}

// isIn reports whether a list that is sorted by ID contains an endpoint.
func isIn(list []*directory.Endpoint, e *directory.Endpoint) bool {
	i, found := slices.BinarySearchFunc(list, e.ID, (*directory.Endpoint).CompareID)
	return found && list[i].StartedAt == e.StartedAt
}
