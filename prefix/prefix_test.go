package prefix

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/internal/splitmix"
)

// equal fails the test if got differs from want.
func equal(t *testing.T, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

func TestHashes(t *testing.T) {
	block := func(c string) string { return strings.Repeat(c, BlockBytes) }
	base := Hashes("m", block("a")+block("b")+block("c"))
	common := func(namespace, prompt string) int {
		other := Hashes(namespace, prompt)
		n := 0
		for n < min(len(base), len(other)) && base[n] == other[n] {
			n++
		}
		return n
	}
	tests := []struct {
		name, namespace, prompt string
		want                    int
	}{
		{"same", "m", block("a") + block("b") + block("c"), 3},
		{"partial block", "m", block("a") + block("b") + "cc", 2},
		{"other first block", "m", block("x") + block("b") + block("c"), 0},
		{"other middle block", "m", block("a") + block("x") + block("c"), 1},
		{"other namespace", "n", block("a") + block("b") + block("c"), 0},
	}
	for _, test := range tests {
		if got := common(test.namespace, test.prompt); got != test.want {
			t.Errorf("%s: %d common blocks, want %d", test.name, got, test.want)
		}
	}
	if n := len(Hashes("m", strings.Repeat("a", (MaxBlocks+5)*BlockBytes))); n != MaxBlocks {
		t.Errorf("%d hashes, want %d", n, MaxBlocks)
	}
}

func hashChain(n int, seed uint64) []uint64 {
	hashes := make([]uint64, n)
	for i := range hashes {
		hashes[i] = seed<<32 + uint64(i)
	}
	return hashes
}

func stored(from uint64, hashes ...uint64) []engine.CacheEvent {
	events := make([]engine.CacheEvent, len(hashes))
	for i, h := range hashes {
		events[i] = engine.CacheEvent{Sequence: from + uint64(i), Hash: h, Stored: true}
	}
	return events
}

func TestGapsAndResync(t *testing.T) {
	c := hashChain(8, 1)
	type step struct {
		name      string
		since     uint64
		batch     engine.CacheEvents
		want      Hit
		wantSince uint64
	}
	steps := []step{
		{"all events", 0, engine.CacheEvents{Incarnation: "i", Events: stored(1, c[:3]...), Next: 4}, Hit{Blocks: 3}, 4},
		{"more, some seen", 4, engine.CacheEvents{Incarnation: "i", Events: stored(3, c[2:4]...), Next: 5}, Hit{Blocks: 4}, 5},
		{"a gap", 5, engine.CacheEvents{Incarnation: "i", Events: stored(7, c[4]), Next: 8}, Hit{Blocks: 5, Uncertain: true}, 0},
		{"a late complete response", 0, engine.CacheEvents{Incarnation: "i", Snapshot: c[:1], Next: 2}, Hit{Blocks: 5, Uncertain: true}, 0},
		{"resync", 0, engine.CacheEvents{Incarnation: "i", Snapshot: c[:2], Next: 9}, Hit{Blocks: 2}, 9},
		{"evicted", 9, engine.CacheEvents{Incarnation: "i", Events: []engine.CacheEvent{{Sequence: 9, Hash: c[1]}}, Next: 10}, Hit{Blocks: 1}, 10},
		{"a gap at the end", 10, engine.CacheEvents{Incarnation: "i", Events: stored(10, c[1]), Next: 15}, Hit{Blocks: 2, Uncertain: true}, 0},
		{"sequence too old, all blocks removed", 0, engine.CacheEvents{Incarnation: "i", Next: 20}, Hit{}, 20},
		{"restart, middle of its stream", 20, engine.CacheEvents{Incarnation: "j", Events: stored(21, c...), Next: 29}, Hit{Blocks: 8, Uncertain: true}, 0},
		{"restart", 0, engine.CacheEvents{Incarnation: "k", Events: stored(1, c[0]), Next: 2}, Hit{Blocks: 1}, 2},
	}
	v := NewViews(1000)
	for _, s := range steps {
		v.Apply(0, s.since, s.batch)
		equal(t, s.name, s.want, v.Publish().Chain(c).Depth(0))
		equal(t, fmt.Sprintf("%s: since", s.name), s.wantSince, v.Since(0))
	}
}

// TestAgainstModel performs random operations and compares the index with a set of pairs.
func TestAgainstModel(t *testing.T) {
	type pair struct {
		slot Slot
		hash uint64
	}
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 2))
		v := NewViews(1 << 20)
		want := make(map[pair]bool)
		next := make(map[Slot]uint64)
		for range 300 {
			slot := Slot(random.IntN(5))
			forget := func() { maps.DeleteFunc(want, func(p pair, _ bool) bool { return p.slot == slot }) }
			switch random.IntN(12) {
			case 0:
				v.Forget(slot)
				forget()
				next[slot] = 0
			case 1:
				next[slot] += 10
				v.Apply(slot, 0, engine.CacheEvents{Snapshot: []uint64{7}, Next: next[slot]})
				forget()
				want[pair{slot, 7}] = true
			case 2:
				v.Publish()
			default:
				if next[slot] == 0 {
					v.Apply(slot, 0, engine.CacheEvents{Next: 1})
					next[slot] = 1
				}
				ev := engine.CacheEvent{Sequence: next[slot], Hash: random.Uint64N(50), Stored: random.IntN(3) > 0}
				v.Apply(slot, ev.Sequence, engine.CacheEvents{Events: []engine.CacheEvent{ev}, Next: ev.Sequence + 1})
				next[slot]++
				if want[pair{slot, ev.Hash}] = true; !ev.Stored {
					delete(want, pair{slot, ev.Hash})
				}
			}
		}
		got := make(map[pair]bool)
		for h := range uint64(50) {
			for _, slot := range v.Publish().ownersOf(splitmix.Mix(h)) {
				got[pair{slot, h}] = true
			}
		}
		if !maps.Equal(want, got) {
			t.Fatalf("seed %d: want %v, got %v", seed, want, got)
		}
	}
}

func TestBestIsLongestFirstAndBounded(t *testing.T) {
	v := NewViews(1 << 20)
	c := hashChain(64, 3)
	for slot := range Slot(20) {
		depth := 16
		if slot == 11 {
			depth = 60
		}
		v.Apply(slot, 0, engine.CacheEvents{Snapshot: c[:depth], Next: 1})
	}
	chain := v.Publish().Chain(c)
	found := make(map[Slot]bool)
	for offset := range uint64(40) {
		hits := chain.Best(nil, 3, offset)
		if len(hits) != 3 || hits[0] != (Hit{Slot: 11, Blocks: 60}) {
			t.Fatalf("offset %d: %v", offset, hits)
		}
		found[hits[1].Slot] = true
	}
	if len(found) < 15 {
		t.Errorf("only %d different engines were returned", len(found))
	}
}

// TestBoundCoarsens checks that the limit is observed by coarser sampling, that long prefixes are
// still found, and that the sampling level is lowered when there is capacity again.
func TestBoundCoarsens(t *testing.T) {
	const limit = 4000
	v := NewViews(limit)
	for slot := range Slot(40) {
		v.Apply(slot, 0, engine.CacheEvents{Snapshot: hashChain(500, uint64(slot)+1), Next: 1})
	}
	ix := v.Publish()
	if ix.Pairs() > limit || ix.Level() != 3 {
		t.Errorf("%d pairs at level %d", ix.Pairs(), ix.Level())
	}
	for slot := range Slot(40) {
		hits := ix.Chain(hashChain(500, uint64(slot)+1)).Best(nil, 4, 0)
		if len(hits) != 1 || hits[0].Slot != slot || hits[0].Blocks < 400 {
			t.Errorf("slot %d: %v", slot, hits)
		}
	}
	for slot := range Slot(39) {
		v.Forget(slot)
	}
	for range 3 {
		v.Publish()
		v.Apply(39, v.Since(39), engine.CacheEvents{Snapshot: hashChain(500, 40), Next: 1})
	}
	ix = v.Publish()
	want := Hit{Slot: 39, Blocks: 500}
	if got := ix.Chain(hashChain(500, 40)).Depth(39); got != want || ix.Level() != 0 {
		t.Errorf("after refining: %v at level %d", got, ix.Level())
	}
}

func BenchmarkViews(b *testing.B) {
	const engines, blocks = 400, 2500
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := NewViews(1 << 20)
	for slot := range Slot(engines) {
		v.Apply(slot, 0, engine.CacheEvents{Snapshot: hashChain(blocks, uint64(slot)+1), Next: 1})
	}
	ix := v.Publish()
	runtime.GC()
	runtime.ReadMemStats(&after)
	perBlock := float64(after.HeapAlloc-before.HeapAlloc) / float64(ix.Pairs())
	b.Run("lookup", func(b *testing.B) {
		c := hashChain(blocks, 7)
		hits := make([]Hit, 0, 4)
		b.ReportAllocs()
		for b.Loop() {
			hits = ix.Chain(c).Best(hits[:0], 4, 1)
		}
		b.ReportMetric(perBlock, "heap-B/block")
	})
	b.Run("publish-1-event-an-engine", func(b *testing.B) {
		next := uint64(1)
		for b.Loop() {
			for slot := range Slot(engines) {
				v.Apply(slot, next, engine.CacheEvents{Events: stored(next, next*engines+uint64(slot)), Next: next + 1})
			}
			v.Publish()
			next++
		}
	})
}
