package prefix

// merged returns s with deltas (sorted by hash, owner, order) applied and the old pairs of cleared
// owners removed. The last delta of a pair takes precedence.
func (s *shard) merged(deltas []delta, cleared map[Slot]bool) *shard {
	out := &shard{
		hashes: make([]uint64, 0, len(s.hashes)+len(deltas)),
		owners: make([]Slot, 0, len(s.hashes)+len(deltas)),
	}
	i := 0
	for j, d := range deltas {
		if j+1 < len(deltas) && deltas[j+1].hash == d.hash && deltas[j+1].slot == d.slot {
			continue
		}
		for i < len(s.hashes) && s.precedes(i, d) {
			out.appendPair(s, i, cleared)
			i++
		}
		if i < len(s.hashes) && s.hashes[i] == d.hash && s.owners[i] == d.slot {
			i++
		}
		if d.stored {
			out.hashes = append(out.hashes, d.hash)
			out.owners = append(out.owners, d.slot)
		}
	}
	for ; i < len(s.hashes); i++ {
		out.appendPair(s, i, cleared)
	}
	return out
}

// precedes reports whether the pair at i sorts before the pair of d.
func (s *shard) precedes(i int, d delta) bool {
	return s.hashes[i] < d.hash || s.hashes[i] == d.hash && s.owners[i] < d.slot
}

// appendPair appends the pair at index i of from unless its owner is cleared.
func (s *shard) appendPair(from *shard, i int, cleared map[Slot]bool) {
	if cleared[from.owners[i]] {
		return
	}
	s.hashes = append(s.hashes, from.hashes[i])
	s.owners = append(s.owners, from.owners[i])
}

// resample removes the pairs that are not sampled at the current level.
func (ix *Index) resample() {
	ix.pairs = 0
	for i, s := range ix.shards {
		out := &shard{}
		for j, h := range s.hashes {
			if ix.sampled(h) {
				out.hashes = append(out.hashes, h)
				out.owners = append(out.owners, s.owners[j])
			}
		}
		ix.shards[i] = out
		ix.pairs += len(out.hashes)
	}
}
