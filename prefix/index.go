package prefix

import "github.com/springweir/springweir/internal/splitmix"

import "sort"

const (
	shardBits  = 10
	shardCount = 1 << shardBits
)

// Slot identifies an engine in the index. Package fleet allocates the slots.
type Slot = uint16

// Hit is an engine that holds the first Blocks blocks of a prompt.
type Hit struct {
	Slot   Slot
	Blocks int
	// Uncertain is set while the event stream of the engine has a gap.
	Uncertain bool
}

// Index is an immutable index of the prefix caches of all engines. Lookups take no lock.
//
// Invariant: each shard is sorted by (hash, owner) without duplicates, so the owners of a hash are
// contiguous and found by binary search.
type Index struct {
	// level is the sampling level: one hash in 2^level is kept.
	level     uint8
	shards    []*shard
	pairs     int
	uncertain map[Slot]bool
}

// shard stores hashes and owners in separate slices, so that a pair takes 10 bytes.
type shard struct {
	hashes []uint64
	owners []Slot
}

var emptyShard = &shard{}

func newIndex() *Index {
	ix := &Index{shards: make([]*shard, shardCount)}
	for i := range ix.shards {
		ix.shards[i] = emptyShard
	}
	return ix
}

// Pairs returns the number of (block, engine) pairs.
func (ix *Index) Pairs() int { return ix.pairs }

// Level returns the sampling level: one block in 2^Level is kept.
func (ix *Index) Level() int { return int(ix.level) }

// sampled reports whether the mixed hash m is kept at the current level.
func (ix *Index) sampled(m uint64) bool { return m&(1<<ix.level-1) == 0 }

// ownersOf returns the engines that hold the block with the mixed hash m.
func (ix *Index) ownersOf(m uint64) []Slot {
	s := ix.shards[m>>(64-shardBits)]
	lo := sort.Search(len(s.hashes), func(i int) bool { return s.hashes[i] >= m })
	hi := lo
	for hi < len(s.hashes) && s.hashes[hi] == m {
		hi++
	}
	return s.owners[lo:hi]
}

func containsSlot(run []Slot, slot Slot) bool {
	i := sort.Search(len(run), func(i int) bool { return run[i] >= slot })
	return i < len(run) && run[i] == slot
}

// Chain is the sequence of blocks of a prompt, prepared for several lookups.
type Chain struct {
	ix     *Index
	hashes []uint64
	// blocks contains the numbers of the sampled blocks, starting at one. It is nil if all blocks
	// are sampled.
	blocks []int32
}

// Chain prepares the chained hashes of a prompt (see Hashes) for lookups.
func (ix *Index) Chain(hashes []uint64) Chain {
	if ix.pairs == 0 {
		return Chain{ix: ix}
	}
	c := Chain{ix: ix, hashes: hashes}
	if ix.level == 0 {
		return c
	}
	c.blocks = make([]int32, 0, len(hashes)>>ix.level+1)
	for i, h := range hashes {
		if ix.sampled(splitmix.Mix(h)) {
			c.blocks = append(c.blocks, int32(i+1))
		}
	}
	return c
}

// size returns the number of sampled blocks.
func (c Chain) size() int {
	if c.ix.level == 0 {
		return len(c.hashes)
	}
	return len(c.blocks)
}

// block returns the number of the n-th sampled block. Both numbers start at one.
func (c Chain) block(n int) int {
	if c.ix.level == 0 {
		return n
	}
	return int(c.blocks[n-1])
}

// owners returns the engines that hold the n-th sampled block.
func (c Chain) owners(n int) []Slot {
	return c.ix.ownersOf(splitmix.Mix(c.hashes[c.block(n)-1]))
}

// Depth returns the number of leading blocks that the engine in slot is expected to hold.
func (c Chain) Depth(slot Slot) Hit {
	n := c.longestPrefix(func(run []Slot) bool { return containsSlot(run, slot) })
	if n == 0 {
		return Hit{Slot: slot}
	}
	return c.hit(slot, n)
}

// Best appends to hits up to limit engines that hold the longest prefixes, longest first. If more
// engines hold the same prefix than fit, offset selects the position in their list at which to
// start, so that different callers get different engines. It looks up O(log blocks) blocks,
// independent of the number of engines.
func (c Chain) Best(hits []Hit, limit int, offset uint64) []Hit {
	first := len(hits)
	for n := c.longestPrefix(func(run []Slot) bool { return len(run) > 0 }); n > 0; n /= 2 {
		run := c.owners(n)
		for i := range run {
			if len(hits)-first >= limit {
				return hits
			}
			slot := run[(uint64(i)+offset)%uint64(len(run))]
			if !contains(hits[first:], slot) {
				hits = append(hits, c.hit(slot, n))
			}
		}
	}
	return hits
}

func contains(hits []Hit, slot Slot) bool {
	for _, h := range hits {
		if h.Slot == slot {
			return true
		}
	}
	return false
}

func (c Chain) hit(slot Slot, n int) Hit {
	return Hit{Slot: slot, Blocks: c.block(n), Uncertain: c.ix.uncertain[slot]}
}

// longestPrefix returns the number of leading sampled blocks that accept accepts. A chained hash
// represents all preceding blocks and engines evict from the end of a chain, so accept is treated
// as monotone and evaluated by binary search. A missing entry in the index makes the result too
// short, and an eviction that has not been received makes it too long.
func (c Chain) longestPrefix(accept func(run []Slot) bool) int {
	return sort.Search(c.size(), func(i int) bool { return !accept(c.owners(i + 1)) })
}
