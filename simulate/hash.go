package simulate

import (
	"cmp"
	"github.com/springweir/springweir/internal/splitmix"
	"slices"
)

// blockHashes returns the chained block hashes of a prompt of total tokens.
// Blocks within the first prefixTokens tokens are derived from prefixSeed, the
// others from promptSeed.
func blockHashes(prefixSeed uint64, prefixTokens int, promptSeed uint64, total int) []uint64 {
	out := make([]uint64, 0, total/blockTokens)
	h := uint64(0x9e3779b97f4a7c15)
	for i := 0; (i+1)*blockTokens <= total; i++ {
		content := promptSeed << 20
		if (i+1)*blockTokens <= prefixTokens {
			content = prefixSeed<<40 | 1
		}
		h = splitmix.Mix(h ^ splitmix.Mix(content+uint64(i)))
		out = append(out, h)
	}
	return out
}

// sortByTime sorts the requests by arrival time and assigns their IDs.
func (g *generator) sortByTime() {
	slices.SortStableFunc(g.requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	for i := range g.requests {
		g.requests[i].ID = i + 1
	}
}
