package gateway

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/internal/network"
	"github.com/springweir/springweir/prompt"
	"github.com/springweir/springweir/routes"
	"github.com/springweir/springweir/table/memtable"
)

// cacheQueryRecorder counts the queries of each engine.
type cacheQueryRecorder struct {
	mu      sync.Mutex
	queries map[string]int
}

// CachedParts implements Caches.
func (r *cacheQueryRecorder) CachedParts(_ context.Context, e *directory.Endpoint) ([]prompt.Part, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queries[e.ID]++
	return nil, nil
}

// Guards against queries that grow with the product of VMs and engines when a fleet starts. In a small
// zone every engine is queried.
func TestStartingVMQueriesFewEngines(t *testing.T) {
	for _, tc := range []struct{ engines, want int }{{4, 4}, {maxCacheQueries, maxCacheQueries}, {2000, maxCacheQueries}} {
		t.Run(fmt.Sprint(tc.engines), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				recorder := &cacheQueryRecorder{queries: map[string]int{}}
				g := New(Settings{VM: "vm", Zone: "a"}, Platform{Rows: memtable.New(), Feed: unavailableFeed{}, Caches: recorder}, network.Network{})
				config := &routes.Config{Version: 1, Services: []routes.Service{{Name: "llm", Engine: &routes.Engine{Slots: 4, KVTokens: 1000}}}}
				config.Index()
				g.state.setConfig(config)
				var list []directory.Registration
				for i := range tc.engines {
					list = append(list, directory.Registration{ID: fmt.Sprint("e", i), Service: "llm", Zone: "a", Role: engine.Decode})
				}
				list = append(list, directory.Registration{ID: "other", Service: "llm", Zone: "b", Role: engine.Decode}, directory.Registration{ID: "plain", Service: "plain", Zone: "a"})
				g.directory.Put(list...)
				g.queryCaches(t.Context())
				time.Sleep(2 * cacheQueryJitter)
				recorder.mu.Lock()
				defer recorder.mu.Unlock()
				if len(recorder.queries) != tc.want || recorder.queries["other"]+recorder.queries["plain"] > 0 {
					t.Errorf("%d engines were queried, want %d of the zone", len(recorder.queries), tc.want)
				}
			})
		})
	}
}
