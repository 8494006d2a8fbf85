package lease

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// slowTable delays a third of the requests, and a third of the responses, by networkDelay.
type slowTable struct {
	*memtable.Table
	partitioned atomic.Bool
}

const networkDelay = 3 * time.Second

func randomDelay() {
	if rand.IntN(3) == 0 {
		time.Sleep(networkDelay)
	}
}

func (s *slowTable) Get(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	randomDelay()
	defer randomDelay()
	if s.partitioned.Load() {
		return nil, &table.UnavailableError{}
	}
	return s.Table.Get(ctx, keys...)
}

func (s *slowTable) Commit(ctx context.Context, txn table.Txn) ([]table.Version, error) {
	randomDelay()
	defer randomDelay()
	if s.partitioned.Load() {
		return nil, &table.UnavailableError{}
	}
	return s.Table.Commit(ctx, txn)
}

// TestSlowTable repeatedly partitions the holder from a slow table. The holder's authority
// continues by its own count, and the successor must never begin before that has ended: the
// holder counts from before it sent its write, the successor from after it received its read.
func TestSlowTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := memtable.New()
		tables := []*slowTable{{Table: rows}, {Table: rows}}
		contenders := []*contender{start(t, tables[0], "a", 0), start(t, tables[1], "b", 0)}
		for range 400 {
			holder := 0
			waitUntil(t, "one leads", func() bool {
				if contenders[1].holds() {
					holder = 1
				}
				return contenders[holder].holds()
			})
			time.Sleep(rand.N(20 * time.Second))
			if !contenders[holder].holds() {
				continue
			}
			tables[holder].partitioned.Store(true)
			waitUntil(t, "the other leads", func() bool {
				if contenders[0].holds() && contenders[1].holds() {
					t.Fatal("two holders have authority at the same time")
				}
				return contenders[1-holder].holds()
			})
			tables[holder].partitioned.Store(false)
		}
	})
}
