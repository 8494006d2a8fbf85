package prefix

import (
	"cmp"
	"slices"
	"sync"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/internal/splitmix"
)

// DefaultPairs is the default bound on the total number of (block, engine) pairs: 2 million pairs
// of 10 bytes take up to 20 MB.
const DefaultPairs = 2 << 20

// maxPending bounds the number of deltas buffered between two calls of Publish.
const maxPending = 64 << 10

// Views maintains an Index from the cache events of all engines. It is safe for concurrent use: mu
// guards every field, and no other lock is taken under it.
type Views struct {
	mu      sync.Mutex
	limit   int
	current *Index
	engines map[Slot]*engineView
	// pending contains the deltas that are not yet in current. cleared contains the slots whose
	// pairs in current are invalid. Invariant: all deltas of a cleared slot are newer than its
	// clearing.
	pending []delta
	cleared map[Slot]bool
	// lastOrder is the number of the last delta. The highest number of a pair takes precedence.
	lastOrder int
}

// engineView is the position in the event stream of one engine.
type engineView struct {
	incarnation string
	// next is the sequence of the next event. Zero requests a snapshot.
	next      uint64
	uncertain bool
}

type delta struct {
	hash   uint64
	slot   Slot
	stored bool
	order  int
}

// NewViews returns empty views that hold at most limit pairs.
func NewViews(limit int) *Views {
	return &Views{
		limit:   limit,
		current: newIndex(),
		engines: make(map[Slot]*engineView),
		cleared: make(map[Slot]bool),
	}
}

// Since returns the sequence from which to request the next events of the engine in slot. It is
// zero if a snapshot is required, because the engine is new or its stream has a gap.
func (v *Views) Since(slot Slot) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.engines[slot]
	if e == nil || e.uncertain {
		return 0
	}
	return e.next
}

// Apply applies the response of the engine in slot to a request for events from sequence since. A
// since of zero requests everything, so its response (a snapshot, or all events) replaces the
// current blocks. A batch of a new incarnation removes the blocks of the previous one. A gap in the
// sequence marks the engine as uncertain until everything has been requested again. Events that
// have already been applied are skipped.
func (v *Views) Apply(slot Slot, since uint64, batch engine.CacheEvents) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.engines[slot]
	if e == nil || e.incarnation != batch.Incarnation {
		v.clear(slot)
		e = &engineView{incarnation: batch.Incarnation, uncertain: since != 0}
		v.engines[slot] = e
	}
	complete := since == 0 || batch.Snapshot != nil
	if complete && batch.Next < e.next {
		return // A late response to an earlier request.
	}
	if complete {
		v.clear(slot)
		*e = engineView{incarnation: batch.Incarnation}
	}
	for _, h := range batch.Snapshot {
		v.addDelta(delta{hash: splitmix.Mix(h), slot: slot, stored: true})
	}
	v.applyEvents(slot, e, batch)
}

// applyEvents applies the events of a batch. Events in a batch with a snapshot either precede the
// snapshot or directly follow it.
func (v *Views) applyEvents(slot Slot, e *engineView, batch engine.CacheEvents) {
	for _, ev := range batch.Events {
		if ev.Sequence < e.next {
			continue
		}
		if e.next != 0 && ev.Sequence > e.next {
			e.uncertain = true
		}
		e.next = ev.Sequence + 1
		v.addDelta(delta{hash: splitmix.Mix(ev.Hash), slot: slot, stored: ev.Stored})
	}
	if e.next != 0 && batch.Next > e.next && batch.Snapshot == nil {
		e.uncertain = true
	}
	e.next = max(e.next, batch.Next)
}

// Forget removes all state of slot, so that the slot can be reused.
func (v *Views) Forget(slot Slot) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.engines, slot)
	v.clear(slot)
}

func (v *Views) clear(slot Slot) {
	v.pending = slices.DeleteFunc(v.pending, func(d delta) bool { return d.slot == slot })
	v.cleared[slot] = true
}

func (v *Views) addDelta(d delta) {
	if !v.current.sampled(d.hash) {
		return
	}
	v.lastOrder++
	d.order = v.lastOrder
	v.pending = append(v.pending, d)
	if len(v.pending) >= maxPending {
		v.flush()
	}
}

// Publish applies the pending deltas and returns the new index.
func (v *Views) Publish() *Index {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.flush()
	return v.current
}

func (v *Views) flush() {
	next := &Index{
		level:     v.current.level,
		shards:    slices.Clone(v.current.shards),
		uncertain: v.uncertainSlots(),
	}
	v.merge(next)
	v.enforceLimit(next)
	v.current = next
}

func (v *Views) uncertainSlots() map[Slot]bool {
	slots := make(map[Slot]bool)
	for slot, e := range v.engines {
		if e.uncertain {
			slots[slot] = true
		}
	}
	return slots
}

// merge applies the pending deltas to the shards of next and clears them.
func (v *Views) merge(next *Index) {
	slices.SortFunc(v.pending, compareDeltas)
	rest := v.pending
	for i, old := range next.shards {
		n := 0
		for n < len(rest) && rest[n].hash>>(64-shardBits) == uint64(i) {
			n++
		}
		if n > 0 || len(v.cleared) > 0 && len(old.hashes) > 0 {
			next.shards[i] = old.merged(rest[:n], v.cleared)
		}
		rest = rest[n:]
		next.pairs += len(next.shards[i].hashes)
	}
	v.pending = v.pending[:0]
	clear(v.cleared)
}

// enforceLimit raises the sampling level until next is within the limit. Coarser sampling is
// preferable to dropping whole engines: the prefixes are still found, with a less exact length.
// When few pairs are left the level is lowered again, which requires reading the events of every
// engine from the start.
func (v *Views) enforceLimit(next *Index) {
	for next.pairs > v.limit {
		next.level++
		next.resample()
	}
	if next.level > 0 && next.pairs < v.limit/8 {
		next.level--
		for _, e := range v.engines {
			e.uncertain = true
		}
		next.uncertain = v.uncertainSlots()
	}
}

func compareDeltas(a, b delta) int {
	if c := cmp.Compare(a.hash, b.hash); c != 0 {
		return c
	}
	if c := cmp.Compare(a.slot, b.slot); c != 0 {
		return c
	}
	return cmp.Compare(a.order, b.order)
}
