package placement

import (
	"slices"

	"github.com/springweir/springweir/directory"
)

// cacheIndex lists the engines that cache each part of a prompt, so that the holders of a prefix are
// found without a search of all engines.
type cacheIndex map[uint32][]*endpointLoad

func (x cacheIndex) add(part uint32, e *endpointLoad) { x[part] = append(x[part], e) }

func (x cacheIndex) remove(part uint32, e *endpointLoad) {
	list := x[part]
	i := slices.Index(list, e)
	switch {
	case i < 0:
	case len(list) == 1:
		delete(x, part)
	default:
		list[i] = list[len(list)-1]
		list[len(list)-1] = nil
		x[part] = list[:len(list)-1]
	}
}

// removeAll removes an engine whose cache is no longer known.
func (x cacheIndex) removeAll(e *endpointLoad) {
	if e.cache == nil {
		return
	}
	for part := range e.cache.parts {
		x.remove(part, e)
	}
}

// cacheHolders returns those of the engines, which are sorted by ID, that cache a prefix of more than
// the given number of tokens, in the same order.
func (d *decision) cacheHolders(engines []*directory.Endpoint, chunks []chunk, tokens int) []*directory.Endpoint {
	var list []*directory.Endpoint
	snapshot := d.p.directory.Snapshot()
	for _, load := range d.p.loads.caches[partBeyond(chunks, tokens)] {
		e := snapshot.Endpoint(load.id)
		if e != nil && load.cache.cachedTokens(chunks) > tokens && isIn(engines, e) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *directory.Endpoint) int { return a.CompareID(b.ID) })
	return list
}

// partBeyond returns the part that every engine holds that caches a prefix of more than the given
// number of tokens, or zero if there is no such prefix.
func partBeyond(chunks []chunk, tokens int) uint32 {
	for _, c := range chunks {
		if tokens -= c.tokens; tokens < 0 {
			return c.id
		}
	}
	return 0
}
