package poison

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/relay"
)

// Guards against a retry that crashes the last endpoint of a small group, because a copy of the
// request that another VM has sent is running on the one beside it. Large groups are spared the cost.
func TestCopiesOfSuspectAreKnown(t *testing.T) {
	for _, tc := range []struct {
		name      string
		endpoints int
		copyBody  string
		completes bool
		want      []string
	}{
		{name: "a copy", endpoints: 3, copyBody: "poison", want: []string{"e1"}},
		{name: "a copy that completes", endpoints: 3, copyBody: "poison", completes: true},
		{name: "another request", endpoints: 3, copyBody: "other"},
		{name: "a copy in a large group", endpoints: smallGroup + 1, copyBody: "poison"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRegion(t, 2)
				defer r.stopAll()
				for _, v := range r.all() {
					for i := range tc.endpoints {
						v.cfg.Directory.Put(directory.Registration{ID: fmt.Sprint("e", i), StartedAt: 1, Service: "plain"})
					}
				}
				here, there := r.vms["vm0"], r.vms["vm1"]
				first, second := request("c", "first", "poison"), request("c", "second", tc.copyBody)
				first.Service, second.Service = "plain", "plain"
				endpoints := here.cfg.Directory.Snapshot()

				there.Started(second, endpoints.Endpoint("e1"))
				here.Started(first, endpoints.Endpoint("e0"))
				r.down["e0"] = true
				started := time.Now()
				here.Ended(first, endpoints.Endpoint("e0"), relay.RunEnd{Outcome: relay.RunInterrupted})()
				if waited, small := time.Since(started), tc.endpoints <= smallGroup; small != (waited >= 2*broadcastDelay) {
					t.Errorf("the retry was held back for %v", waited)
				}
				time.Sleep(time.Millisecond)
				if tc.completes {
					there.Ended(second, endpoints.Endpoint("e1"), relay.RunEnd{Outcome: relay.RunCompleted})()
					time.Sleep(2 * broadcastDelay)
				}
				suspicion, failed := here.Check(first)
				if failed != nil || !slices.Equal(suspicion.CopiesOn, tc.want) {
					t.Errorf("copies on %v, want %v; refused with %v", suspicion.CopiesOn, tc.want, failed)
				}
				time.Sleep(2 * copyRetention)
				if suspicion, _ := here.Check(first); len(suspicion.CopiesOn) > 0 {
					t.Errorf("copies on %v long after they started", suspicion.CopiesOn)
				}
			})
		})
	}
}

// Guards against equal requests of which nothing is known that each crash an endpoint of their own, because a VM
// learns of a new endpoint between two of them.
func TestRunningCopiesOfUnknownRequestAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRegion(t, 2)
		defer r.stopAll()
		for i := range 3 {
			r.vms["vm0"].cfg.Directory.Put(directory.Registration{ID: fmt.Sprint("e", i), StartedAt: 1, Service: "plain"})
		}
		here := r.vms["vm0"]
		endpoints := here.cfg.Directory.Snapshot()
		here.noteImpaired(endpoints.Endpoint("e0"))
		for id, on := range map[string]string{"first": "e1", "other": "e2"} {
			running := request("c", id, id)
			running.Service = "plain"
			here.Started(running, endpoints.Endpoint(on))
		}
		equal := request("c", "second", "first")
		equal.Service = "plain"
		suspicion, failed := here.Check(equal)
		if failed != nil || !suspicion.Unknown || !slices.Equal(suspicion.CopiesOn, []string{"e1"}) {
			t.Errorf("unknown=%t, copies on %v, want e1; refused with %v", suspicion.Unknown, suspicion.CopiesOn, failed)
		}
	})
}

// The memory for copies is bounded; the oldest are dropped.
func TestCopyTrackerIsBounded(t *testing.T) {
	c := newCopyTracker()
	e := endpoint("e")
	now := time.Now()
	for i := range 2 * maxCopies {
		c.add(Key{byte(i), byte(i >> 8)}, CrashID(e), now)
	}
	if len(c.byKey) != maxCopies || len(c.order) != maxCopies {
		t.Errorf("%d suspects with %d keys, want %d", len(c.byKey), len(c.order), maxCopies)
	}
	last := 2*maxCopies - 1
	if ids := c.on(Key{byte(last), byte(last >> 8)}, []*directory.Endpoint{e}, now); len(ids) != 1 {
		t.Errorf("the last copy is not known: %v", ids)
	}
	c.remove(Key{byte(last), byte(last >> 8)})
	if len(c.byKey) != maxCopies-1 || len(c.order) != maxCopies-1 {
		t.Errorf("%d suspects with %d keys after a removal", len(c.byKey), len(c.order))
	}
}
