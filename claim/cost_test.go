package claim

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// TestTableOperationsPerCall pins the number of table operations of a call.
func TestTableOperationsPerCall(t *testing.T) {
	type cost struct{ Commits, RowsWritten, RowsRead uint64 }
	tests := []struct {
		name string
		run  func(t *testing.T, s *Store)
		want cost
	}{
		{"claimed and finished", func(t *testing.T, s *Store) {
			c, _, _ := begin(t, s, testDigest)
			c.Finish(t.Context(), testResponse)
		}, cost{Commits: 2, RowsWritten: 2}},
		{"claimed, result lost", func(t *testing.T, s *Store) {
			begin(t, s, testDigest)
		}, cost{Commits: 1, RowsWritten: 1}},
		{"claimed and released", func(t *testing.T, s *Store) {
			c, _, _ := begin(t, s, testDigest)
			c.Release(t.Context())
		}, cost{Commits: 2, RowsWritten: 2}},
		{"finished, then repeated", func(t *testing.T, s *Store) {
			c, _, _ := begin(t, s, testDigest)
			c.Finish(t.Context(), testResponse)
			begin(t, s, testDigest)
		}, cost{Commits: 3, RowsWritten: 2, RowsRead: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows := memtable.New()
				tt.run(t, NewStore(Config{Table: rows}))
				got := rows.Counts()
				if diff := cmp.Diff(tt.want, cost{got.Commits, got.RowsWritten, got.RowsRead}); diff != "" {
					t.Errorf("(-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestConcurrentClaimsShareCommits measures transactions per call through a table.Batcher, with a
// table that takes 5 ms per transaction.
func TestConcurrentClaimsShareCommits(t *testing.T) {
	const calls = 1000
	for _, perSecond := range []int{10, 400, 2000, 10000} {
		synctest.Test(t, func(t *testing.T) {
			rows := memtable.New()
			rows.SetFault(memtable.Fault{Delay: 5 * time.Millisecond})
			s := NewStore(Config{Table: table.NewBatcher(rows, table.BatcherConfig{})})
			var wg sync.WaitGroup
			for i := range calls {
				wg.Go(func() {
					c, _, err := s.Begin(t.Context(), Key{IdempotencyKey: fmt.Sprint(i)}, testDigest)
					if err != nil {
						t.Error(err)
						return
					}
					c.Finish(t.Context(), testResponse)
				})
				time.Sleep(time.Second / time.Duration(perSecond))
			}
			wg.Wait()
			got := rows.Counts()
			perCall := float64(got.Commits) / calls
			t.Logf("%d calls per second: %.2f transactions and %.2f rows per call", perSecond, perCall, float64(got.RowsWritten)/calls)
			if got.RowsWritten != 2*calls || perCall > 2 || perSecond >= 2000 && perCall > 1 {
				t.Errorf("%.2f transactions per call, %d rows", perCall, got.RowsWritten)
			}
		})
	}
}
