package controller

import (
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/weightstore"
)

const twoEngines = `
[pool "language"]
models = chat
role-planning = no
[model "chat"]
version = 1
[endpoint "engine-1"]
pool = language
zone = a
address = 10.0.2.1:9000
replace-by = engine-2
[endpoint "engine-2"]
pool = language
zone = a
address = 10.0.2.2:9000
`

// TestReplacementTakesOverBeforeDrain checks a replacement under load: the new engine loads the
// artifacts of the old one and takes over its role before the old one drains. No response is
// truncated or refused.
func TestReplacementTakesOverBeforeDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, twoEngines,
			engineSpec{"engine-1", engine.Mixed, []weightstore.Artifact{chat}},
			engineSpec{"engine-2", engine.Decode, []weightstore.Artifact{{Model: "other", Version: "1"}}})
		defer z.shutDown()
		var stop atomic.Bool
		var sent, truncated atomic.Int64
		var callers sync.WaitGroup
		defer func() {
			stop.Store(true)
			callers.Wait()
		}()
		for n := range 4 {
			callers.Go(func() {
				for !stop.Load() {
					time.Sleep(10 * time.Millisecond) // a refusal returns immediately
					sent.Add(1)
					if response := z.chat(n%2+1, "May a container stand here?", 40); !complete(response) {
						truncated.Add(1)
						t.Errorf("incomplete response: %s", response)
					}
				}
			})
		}
		z.await("engine-1 drains", func() bool {
			e, _ := z.headTree().Endpoint("engine-1")
			return e.Drain
		})
		state := z.engines["engine-2"].State()
		if !slices.Contains(state.Loaded, chat) || state.Role != engine.Mixed {
			t.Errorf("engine-1 drains while engine-2 is %s with %v", state.Role, state.Loaded)
		}
		z.await("engine-1 has no stream", func() bool { return z.engines["engine-1"].Streams() == 0 })
		time.Sleep(10 * time.Second)
		stop.Store(true)
		callers.Wait()
		if n := z.engines["engine-1"].Streams(); n != 0 {
			t.Errorf("the drained engine has %d streams", n)
		}
		if sent.Load() < 100 || truncated.Load() != 0 {
			t.Errorf("%d of %d responses were truncated", truncated.Load(), sent.Load())
		}
	})
}

const copiesOfTwo = `
[pool "language"]
models = chat
role-planning = no
[model "chat"]
version = 1
copies = 2
[endpoint "engine-1"]
pool = language
zone = a
address = 10.0.2.1:9000
[endpoint "engine-2"]
pool = language
zone = a
address = 10.0.2.2:9000
[endpoint "engine-3"]
pool = language
zone = a
address = 10.0.2.3:9000
`

// TestLoadsReachConfiguredCopies checks that a model is loaded on exactly as many engines as the
// tree configures, and that the budget's slots are free afterwards.
func TestLoadsReachConfiguredCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := []weightstore.Artifact{{Model: "other", Version: "1"}}
		z := newZone(t, copiesOfTwo,
			engineSpec{"engine-1", engine.Mixed, []weightstore.Artifact{chat}},
			engineSpec{"engine-2", engine.Mixed, other},
			engineSpec{"engine-3", engine.Mixed, other})
		defer z.shutDown()
		holders := func() int {
			n := 0
			for _, e := range z.engines {
				if slices.Contains(e.State().Loaded, chat) {
					n++
				}
			}
			return n
		}
		z.await("two engines hold the model", func() bool { return holders() == 2 })
		time.Sleep(2 * time.Minute)
		if n := holders(); n != 2 {
			t.Errorf("%d engines hold the model, want 2", n)
		}
		rows, err := z.rows.Scan(t.Context(), "loads", "slot/", "", 10)
		if err != nil {
			t.Fatal(err)
		}
		for _, row := range rows {
			if string(row.Value) != `{"artifact":{"model":"","version":""}}` {
				t.Errorf("%s is still held: %s", row.Key, row.Value)
			}
		}
	})
}

// TestPlannedStopReleasesLeases checks that another controller takes over from one that is stopped
// as planned without waiting for the leases to expire, and that its fencing tokens are higher.
func TestPlannedStopReleasesLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, copiesOfTwo,
			engineSpec{"engine-1", engine.Mixed, []weightstore.Artifact{chat}},
			engineSpec{"engine-2", engine.Mixed, []weightstore.Artifact{chat}},
			engineSpec{"engine-3", engine.Mixed, []weightstore.Artifact{chat}})
		defer z.shutDown()
		before := z.poolLease("language")
		z.await("the pool's lease is held", func() bool { before = z.poolLease("language"); return before.Holder != "" })
		for _, v := range z.vms {
			if v.controller.process.VM == before.Holder {
				v.stopController()
			}
		}
		z.await("the other controller holds it", func() bool {
			now := z.poolLease("language")
			return now.Holder != "" && now.Holder != before.Holder && now.Fence > before.Fence
		})
		if response := z.chat(1, "Still there?", 20); !complete(response) {
			t.Errorf("incomplete response: %s", response)
		}
	})
}
