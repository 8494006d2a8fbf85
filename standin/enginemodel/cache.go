package enginemodel

// CacheChange is one block stored in or evicted from the prefix cache.
type CacheChange struct {
	Hash   uint64
	Stored bool
}

const none = int32(-1)

// node is a cached block in a doubly linked list ordered by last use. prev and next
// are indexes into cache.nodes, or none.
type node struct {
	hash       uint64
	prev, next int32
}

// cache is the prefix cache: an LRU cache of block hashes. It records changes only if
// record is set.
type cache struct {
	index   map[uint64]int32
	nodes   []node
	free    []int32
	newest  int32
	oldest  int32
	record  bool
	changes []CacheChange
}

func newCache(record bool) *cache {
	return &cache{index: make(map[uint64]int32), newest: none, oldest: none, record: record}
}

// match returns the number of leading hashes that are cached and marks them as used.
// It touches them in reverse order, so that the later blocks of a prompt are evicted first.
func (c *cache) match(hashes []uint64) int {
	n := 0
	for n < len(hashes) {
		if _, ok := c.index[hashes[n]]; !ok {
			break
		}
		n++
	}
	for i := n - 1; i >= 0; i-- {
		c.touch(c.index[hashes[i]])
	}
	return n
}

// store adds the hashes and evicts the least recently used blocks, so that the cache
// holds at most maxBlocks blocks.
func (c *cache) store(hashes []uint64, maxBlocks int) {
	hashes = hashes[:min(len(hashes), maxBlocks)]
	for i := len(hashes) - 1; i >= 0; i-- {
		if slot, ok := c.index[hashes[i]]; ok {
			c.touch(slot)
			continue
		}
		c.add(hashes[i])
	}
	c.shrink(maxBlocks)
}

// shrink evicts the least recently used blocks until at most maxBlocks remain.
func (c *cache) shrink(maxBlocks int) {
	for len(c.index) > max(maxBlocks, 0) {
		slot := c.oldest
		hash := c.nodes[slot].hash
		c.unlink(slot)
		delete(c.index, hash)
		c.free = append(c.free, slot)
		c.recordChange(hash, false)
	}
}

func (c *cache) add(hash uint64) {
	slot := int32(len(c.nodes))
	if n := len(c.free); n > 0 {
		slot = c.free[n-1]
		c.free = c.free[:n-1]
	} else {
		c.nodes = append(c.nodes, node{})
	}
	c.nodes[slot].hash = hash
	c.index[hash] = slot
	c.link(slot)
	c.recordChange(hash, true)
}

func (c *cache) touch(slot int32) {
	if c.newest == slot {
		return
	}
	c.unlink(slot)
	c.link(slot)
}

func (c *cache) link(slot int32) {
	n := &c.nodes[slot]
	n.prev, n.next = none, c.newest
	if c.newest != none {
		c.nodes[c.newest].prev = slot
	}
	c.newest = slot
	if c.oldest == none {
		c.oldest = slot
	}
}

func (c *cache) unlink(slot int32) {
	n := c.nodes[slot]
	if n.prev != none {
		c.nodes[n.prev].next = n.next
	} else {
		c.newest = n.next
	}
	if n.next != none {
		c.nodes[n.next].prev = n.prev
	} else {
		c.oldest = n.prev
	}
}

func (c *cache) recordChange(hash uint64, stored bool) {
	if c.record {
		c.changes = append(c.changes, CacheChange{Hash: hash, Stored: stored})
	}
}
