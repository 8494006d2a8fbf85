package enginemodel

import (
	"slices"
	"time"
)

// heldKV is the cache of a prefilled job, retained until it is imported elsewhere.
type heldKV struct {
	id      JobID
	tokens  int
	expires time.Duration
}

// hold retains the cache of a prefilled job for KVHold and ends the job.
func (e *Engine) hold(j *job) {
	e.held = append(e.held, heldKV{id: j.ID, tokens: j.reservedTokens(), expires: e.clock + e.params.KVHold})
	delete(e.jobs, j.ID)
	e.recycle(j)
}

// ReleaseKV frees the retained cache of a prefilled job and reports whether it was still
// retained. A cache that is not released is freed after KVHold.
func (e *Engine) ReleaseKV(now time.Duration, id JobID) bool {
	e.advance(now)
	at := slices.IndexFunc(e.held, func(h heldKV) bool { return h.id == id })
	if at < 0 {
		return false
	}
	e.kvUsed -= e.held[at].tokens
	e.held = slices.Delete(e.held, at, at+1)
	e.interrupt(now)
	return true
}

func (e *Engine) releaseExpired() {
	n := 0
	for n < len(e.held) && e.held[n].expires <= e.clock {
		e.kvUsed -= e.held[n].tokens
		n++
	}
	e.held = slices.Delete(e.held, 0, n)
}

// addImport inserts the job into importing, which is ordered by importedAt.
func (e *Engine) addImport(j *job) {
	at, _ := slices.BinarySearchFunc(e.importing, j.importedAt, func(o *job, t time.Duration) int {
		if o.importedAt <= t {
			return -1
		}
		return 1
	})
	e.importing = slices.Insert(e.importing, at, j)
}

func (e *Engine) queueArrivedImports() {
	n := 0
	for n < len(e.importing) && e.importing[n].importedAt <= e.clock {
		e.push(e.importing[n])
		n++
	}
	e.importing = slices.Delete(e.importing, 0, n)
}

// cacheCapacity returns the number of prefix blocks that fit beside the running jobs.
// Blocks of a running prompt count twice, in the job and in the cache, so the model
// underestimates the available memory.
func (e *Engine) cacheCapacity() int {
	return (e.params.KVTokens - e.kvUsed) / e.params.BlockTokens
}

// TakeCacheChanges returns the blocks stored and evicted since the last call. It returns
// nothing unless Params.RecordCache is set.
func (e *Engine) TakeCacheChanges() []CacheChange {
	out := e.cache.changes
	e.cache.changes = nil
	return out
}

// CachedBlocks returns all cached hashes in unspecified order.
func (e *Engine) CachedBlocks() []uint64 {
	out := make([]uint64, 0, len(e.cache.index))
	for h := range e.cache.index {
		out = append(out, h)
	}
	return out
}

// CachedTokens returns the number of tokens in the leading hashes that are cached. It does
// not mark them as used.
func (e *Engine) CachedTokens(hashes []uint64) int {
	n := 0
	for n < len(hashes) {
		if _, ok := e.cache.index[hashes[n]]; !ok {
			break
		}
		n++
	}
	return n * e.params.BlockTokens
}
