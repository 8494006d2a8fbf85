package placement

import (
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/relay"
)

// An endpoint that was found down is avoided until it is back under another incarnation, has served
// a request, or downTTL has passed, and tried as a last resort.
func TestDownEndpointIsAvoided(t *testing.T) {
	restart := func(f *fixture) {
		f.dir.Put(directory.Registration{ID: "p1", StartedAt: 2, Service: "plain", Zone: "a", Slots: 4})
	}
	for _, tc := range []struct {
		name   string
		change func(f *fixture)
		// servedLate completes a request that was sent to p1 before it was found down.
		servedLate bool
		want       []string
	}{
		{name: "nothing", change: func(*fixture) {}, want: []string{"p2"}},
		{name: "a restart", change: restart, want: []string{"p1", "p2"}},
		{name: "time", change: func(*fixture) { time.Sleep(downTTL) }, want: []string{"p1", "p2"}},
		{name: "the other is down too", change: func(f *fixture) { f.markDown("p2"); time.Sleep(downRetryInterval) }, want: []string{"p1", "p2"}},
		{name: "the other is gone and a request is served", change: func(f *fixture) {
			f.dir.Remove("p2")
			time.Sleep(downRetryInterval)
			f.complete(f.plan(f.plainReq(), relay.AttemptState{}))
			f.addPlain("p2", "a")
		}, want: []string{"p1", "p2"}},
		{name: "a request sent before is served", change: func(*fixture) {}, servedLate: true, want: []string{"p2"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, f *fixture) {
				f.addPlain("p1", "a")
				sent := f.plan(f.plainReq(), relay.AttemptState{})
				f.addPlain("p2", "a")
				time.Sleep(time.Millisecond)
				f.markDown("p1")
				if tc.servedLate {
					time.Sleep(time.Millisecond)
					f.complete(sent)
				}
				tc.change(f)
				ids, refused := f.choices(relay.AttemptState{})
				slices.Sort(ids)
				if !slices.Equal(ids, tc.want) || refused != nil {
					t.Errorf("placed on %v (refused: %v), want %v", ids, refused, tc.want)
				}
			})
		})
	}
}

// While every endpoint is down, requests are refused at once, except for one attempt on each endpoint
// per downRetryInterval.
func TestDownEndpointsAreRetriedRarely(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		f.addPlain("p1", "a")
		f.addPlain("p2", "a")
		attempts := 0
		for range 1000 {
			state := relay.AttemptState{}
			for {
				plan, failed := f.planner.Plan(f.plainReq(), state)
				if failed != nil {
					break
				}
				attempts++
				plan.Watch.Finished(&failure.Request{Code: failure.EndpointUnreachable, Ran: failure.NotRun, Cause: unix.ECONNREFUSED}, false)
				state.Tried = append(state.Tried, plan.Serve.ID)
			}
			time.Sleep(time.Millisecond)
		}
		if most := 2 * int(time.Second/downRetryInterval); attempts > most {
			t.Errorf("%d attempts in a second, want at most %d", attempts, most)
		}
	})
}

// Guards against requests refused, or sent to endpoints that are known to be down, while an ejected one is up and all
// others of its group are down.
func TestEjectedEndpointIsUsedBeforeDownOnes(t *testing.T) {
	for _, tc := range []struct {
		name string
		down []string
		want []string
	}{
		{"one of the others is up", []string{"p1"}, []string{"p2"}},
		{"the others are down", []string{"p1", "p2"}, []string{"p3"}},
		{"all are down", []string{"p1", "p2", "p3"}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, f *fixture) {
				f.addPlain("p3", "a")
				var attempts []relay.Plan
				for range DefaultTuning().Health.ConsecutiveFailures {
					attempts = append(attempts, f.plan(f.plainReq(), relay.AttemptState{}))
				}
				f.addPlain("p1", "a")
				f.addPlain("p2", "a")
				for _, a := range attempts {
					a.Watch.Finished(brokenAttempt(), false)
				}
				for _, id := range tc.down {
					f.markDown(id)
				}
				ids, _ := f.choices(relay.AttemptState{})
				if !slices.Equal(ids, tc.want) {
					t.Errorf("placed on %v, want %v", ids, tc.want)
				}
			})
		})
	}
}
