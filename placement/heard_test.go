package placement

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/relay"
)

// A replacement for a silent endpoint goes only to one that has sent something during the silence. If
// all are silent, there is none.
func TestReplacementOfSilentEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		for _, id := range []string{"e1", "e2", "e3"} {
			f.addEngine(id, "a", engine.Decode)
		}
		for range 20 {
			f.complete(f.plan(f.shortReq(), relay.AttemptState{}))
		}
		time.Sleep(time.Millisecond)
		silentSince := time.Now()
		time.Sleep(100 * time.Millisecond)
		state := relay.AttemptState{Number: 1, Tried: []string{"e1"}, HeardSince: silentSince}
		if _, failed := f.planner.Plan(f.shortReq(), state); failed == nil {
			t.Error("a replacement was planned although all endpoints are silent")
		}
		open := f.plan(f.shortReq(), relay.AttemptState{Tried: []string{"e1", "e2"}})
		open.Watch.FirstEvent()
		time.Sleep(100 * time.Millisecond)
		silentSince = time.Now()
		time.Sleep(time.Millisecond)
		open.Watch.Event()
		state.HeardSince = silentSince
		replacement := f.plan(f.shortReq(), state)
		if replacement.Serve.ID != "e3" {
			t.Errorf("the replacement went to %s, which is silent", replacement.Serve.ID)
		}
		replacement.Watch.Finished(nil, true)
		open.Watch.Finished(nil, false)
	})
}
