package lastconfig

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// noise returns n bytes that cannot be compressed.
func noise(n int) []byte {
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	data := make([]byte, n)
	for i := range data {
		data[i] = byte(rng.Uint32())
	}
	return data
}

// runKeepers runs the keepers of n VMs until the test ends.
func runKeepers(t *testing.T, rows table.Service, n int) []*Keeper {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	var list []*Keeper
	for rank := range n {
		k := NewKeeper(rows, func() int { return rank })
		running.Go(func() { k.Run(ctx) })
		list = append(list, k)
	}
	time.Sleep(startDelay)
	return list
}

func load(t *testing.T, rows table.Service) *Copy {
	t.Helper()
	got, err := Load(t.Context(), rows)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// Copies of any size are read as they were written, also after larger and smaller ones.
func TestCopiesOfAnySize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := memtable.New()
		if got := load(t, rows); got != nil {
			t.Errorf("got %+v before any", got)
		}
		k := runKeepers(t, rows, 1)[0]
		for i, size := range []int{100, chunkBytes * 5, 0, chunkBytes, chunkBytes * 3} {
			want := Copy{Version: uint64(i + 1), Source: table.Version(10 * i), Value: noise(size)}
			k.Set(want)
			time.Sleep(2 * settleTime)
			if diff := cmp.Diff(&want, load(t, rows)); diff != "" {
				t.Errorf("%d bytes: %s", size, diff)
			}
		}
		k.Set(Copy{Version: 9, Value: noise(chunkBytes * (maxChunks + 1))})
		time.Sleep(2 * settleTime)
		if got := load(t, rows); got.Version != 5 {
			t.Errorf("a copy that is too large replaced another: version %d", got.Version)
		}
	})
}

// The first VMs of a region keep a copy, once, and in turn if the first does not.
func TestOneOfTheFirstVMsKeepsTheCopy(t *testing.T) {
	for _, tc := range []struct {
		name string
		// knows reports whether a VM has the configuration.
		knows  func(rank int) bool
		within time.Duration
		kept   bool
	}{
		{"all", func(int) bool { return true }, settleTime, true},
		{"all but the first", func(rank int) bool { return rank > 0 }, settleTime + rankDelay, true},
		{"only the third", func(rank int) bool { return rank == 2 }, settleTime + 2*rankDelay, true},
		{"only the fortieth", func(rank int) bool { return rank == 39 }, time.Minute, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows := memtable.New()
				for rank, k := range runKeepers(t, rows, 40) {
					if tc.knows(rank) {
						k.Set(Copy{Version: 3, Value: noise(100)})
					}
				}
				time.Sleep(tc.within + 100*time.Millisecond)
				if got := load(t, rows); (got != nil) != tc.kept {
					t.Fatalf("got %+v", got)
				}
				time.Sleep(time.Minute)
				if counts := rows.Counts(); tc.kept && (counts.Commits != 1 || counts.Gets > maxRank+1) {
					t.Errorf("%+v calls", counts)
				}
			})
		})
	}
}

// Guards against a call to the store of each VM when all start: they do not know their ranks yet.
func TestStartingVMsKeepNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := memtable.New()
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		var known atomic.Bool
		for vm := range 40 {
			k := NewKeeper(rows, func() int {
				if known.Load() {
					return vm
				}
				return 0
			})
			k.Set(Copy{Version: 3, Value: noise(100)})
			running.Go(func() { k.Run(ctx) })
		}
		time.Sleep(startDelay - time.Millisecond)
		known.Store(true)
		time.Sleep(time.Minute)
		if counts := rows.Counts(); counts.Commits != 1 || counts.Gets > maxRank+1 {
			t.Errorf("%+v calls", counts)
		}
		cancel()
		running.Wait()
	})
}

// An unavailable store is tried again; an older configuration does not replace a newer one.
func TestKeepingIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := memtable.New()
		keepers := runKeepers(t, rows, 2)
		rows.SetDown(true)
		keepers[0].Set(Copy{Version: 3, Value: []byte("new")})
		time.Sleep(20 * time.Second)
		rows.SetDown(false)
		time.Sleep(3 * retryInterval)
		keepers[1].Set(Copy{Version: 2, Value: []byte("old")})
		time.Sleep(time.Minute)
		if got := load(t, rows); got == nil || got.Version != 3 || !bytes.Equal(got.Value, []byte("new")) {
			t.Errorf("got %+v", got)
		}
	})
}

// A copy that is damaged is reported, and replaced by the next one.
func TestMalformedCopies(t *testing.T) {
	for _, tc := range []struct {
		name  string
		write table.Write
	}{
		{"head", table.Write{Key: table.Key{Table: Table, Row: headKey}, Value: []byte("{")}},
		{"number of chunks", table.Write{Key: table.Key{Table: Table, Row: headKey}, Value: []byte(`{"version":1,"chunks":-4,"bytes":7}`)}},
		{"missing chunk", table.Write{Key: chunkKeyOf(1), Delete: true}},
		{"changed chunk", table.Write{Key: chunkKeyOf(0), Value: bytes.Repeat([]byte{7}, chunkBytes)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows := memtable.New()
				k := runKeepers(t, rows, 1)[0]
				k.Set(Copy{Version: 1, Value: noise(2 * chunkBytes)})
				time.Sleep(2 * settleTime)
				if _, err := rows.Commit(t.Context(), table.Txn{Writes: []table.Write{tc.write}}); err != nil {
					t.Fatal(err)
				}
				got, err := Load(t.Context(), rows)
				var malformed *table.MalformedRowError
				if got != nil || !errors.As(err, &malformed) {
					t.Errorf("got %+v, %v", got, err)
				}
				k.Set(Copy{Version: 2, Value: noise(100)})
				time.Sleep(2 * settleTime)
				if got := load(t, rows); got.Version != 2 {
					t.Errorf("got version %d", got.Version)
				}
			})
		})
	}
}
