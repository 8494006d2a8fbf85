package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/relay"
)

// markDown records the crash of an endpoint.
func (f *fixture) markDown(id string) { f.planner.MarkDown(f.dir.Snapshot().Endpoint(id)) }

// addGroup adds the plain endpoints p0, p1 and so on, of which the first ones crash a minute later.
func (f *fixture) addGroup(endpoints, down int) {
	for i := range endpoints {
		f.addPlain(fmt.Sprint("p", i), "a")
	}
	time.Sleep(time.Minute)
	for i := range down {
		f.markDown(fmt.Sprint("p", i))
	}
}

// retryOf returns the state of a request that ran on a crashed endpoint and is suspected of a number
// of crashes.
func retryOf(crashes int, key uint32) relay.AttemptState {
	return relay.AttemptState{Number: 1, Tried: []string{"crashed"}, Suspicion: relay.Suspicion{Crashes: crashes, Key: key}}
}

// repeatOf returns the state of the first attempt of a request that repeats such a request.
func repeatOf(crashes int, key uint32) relay.AttemptState {
	return relay.AttemptState{Suspicion: relay.Suspicion{Crashes: crashes, Key: key}}
}

// choices returns the endpoints of the plain service on which a request is placed, by repeated
// decisions, and the last refusal. The requests stay open, so that each takes the load of an endpoint.
func (f *fixture) choices(state relay.AttemptState) (ids []string, refused *failure.Request) {
	for range 50 {
		plan, failed := f.planner.Plan(f.plainReq(), state)
		if failed != nil {
			refused = failed
			continue
		}
		if !slices.Contains(ids, plan.Serve.ID) {
			ids = append(ids, plan.Serve.ID)
		}
	}
	return ids, refused
}

// A suspect runs only on as many endpoints as the other callers can do without: while it is
// suspected of n crashes, n others stay up, or all but one if the group is smaller. For a repeat, of which
// more copies may be running, it is one more, and for a retry two at least. A stream that has begun may
// use one of these.
func TestSuspectRunsOnExpendableEndpoints(t *testing.T) {
	for _, tc := range []struct {
		endpoints, down, crashes int
		repeat, streaming        bool
		want                     int
	}{
		{endpoints: 10, down: 1, crashes: 1, repeat: true, want: 7},
		{endpoints: 3, down: 1, crashes: 1, repeat: true, want: 0},
		{endpoints: 3, down: 0, crashes: 1, repeat: true, want: 1},
		{endpoints: 3, down: 0, crashes: 2, repeat: true, want: 1},
		{endpoints: 2, down: 0, crashes: 2, repeat: true, want: 1},
		{endpoints: 1, down: 0, crashes: 1, repeat: true, want: 1},
		{endpoints: 10, down: 1, crashes: 0, repeat: true, want: 9},
		{endpoints: 10, down: 0, crashes: 0, want: 10},
		{endpoints: 10, down: 1, crashes: 1, want: 7},
		{endpoints: 10, down: 2, crashes: 2, want: 6},
		{endpoints: 4, down: 1, crashes: 1, want: 1},
		{endpoints: 3, down: 1, crashes: 1, want: 0},
		{endpoints: 3, down: 2, crashes: 1, want: 0},
		{endpoints: 3, down: 2, crashes: 2, want: 0},
		{endpoints: 3, down: 0, crashes: 2, want: 1},
		{endpoints: 2, down: 1, crashes: 1, want: 0},
		{endpoints: 2, down: 0, crashes: 2, want: 1},
		{endpoints: 1, down: 0, crashes: 1, want: 1},
		{endpoints: 10, down: 1, crashes: 1, streaming: true, want: 8},
		{endpoints: 10, down: 2, crashes: 2, streaming: true, want: 6},
		{endpoints: 3, down: 1, crashes: 1, streaming: true, want: 1},
		{endpoints: 3, down: 2, crashes: 1, streaming: true, want: 0},
		{endpoints: 3, down: 2, crashes: 2, streaming: true, want: 0},
		{endpoints: 3, down: 0, crashes: 2, streaming: true, want: 1},
		{endpoints: 2, down: 1, crashes: 1, streaming: true, want: 0},
		{endpoints: 2, down: 0, crashes: 2, streaming: true, want: 1},
		{endpoints: 1, down: 0, crashes: 1, streaming: true, want: 1},
	} {
		t.Run(fmt.Sprintf("%d of %d down, %d crashes, repeat=%t, streaming=%t", tc.down, tc.endpoints, tc.crashes, tc.repeat, tc.streaming), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, f *fixture) {
				f.addGroup(tc.endpoints, tc.down)
				state := retryOf(tc.crashes, 7)
				if tc.repeat {
					state = repeatOf(tc.crashes, 7)
				}
				state.Streaming = tc.streaming
				ids, refused := f.choices(state)
				if len(ids) != tc.want {
					t.Errorf("placed on %v, want %d endpoints", ids, tc.want)
				}
				if tc.want > 0 {
					return
				}
				if refused.Code != failure.CrashSuspected || refused.Ran != failure.NotRun || refused.RetryAfter < suspectRetryAfter {
					t.Errorf("refused with %+v", refused)
				}
				if _, refused := f.choices(relay.AttemptState{}); refused != nil {
					t.Errorf("another request is refused: %v", refused)
				}
			})
		})
	}
}

// Guards against a request that takes the last endpoint of a group because another one explains the crash
// at which it was. It is not held back otherwise.
func TestBystanderLeavesLastEndpoint(t *testing.T) {
	for _, tc := range []struct {
		endpoints, down, want int
		streaming             bool
	}{
		{endpoints: 3, down: 0, want: 2},
		{endpoints: 3, down: 1, want: 1},
		{endpoints: 3, down: 2, want: 0},
		{endpoints: 3, down: 2, streaming: true, want: 1},
		{endpoints: 1, down: 0, want: 1},
	} {
		t.Run(fmt.Sprintf("%d of %d down, streaming=%t", tc.down, tc.endpoints, tc.streaming), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, f *fixture) {
				f.addGroup(tc.endpoints, tc.down)
				state := relay.AttemptState{Streaming: tc.streaming, Suspicion: relay.Suspicion{Bystander: true, Key: 7}}
				if ids, _ := f.choices(state); len(ids) != tc.want {
					t.Errorf("placed on %v, want %d endpoints", ids, tc.want)
				}
			})
		})
	}
}

// Guards against suspects of different crashes that each run on an endpoint of their own, and together
// crash all that are up. Those of one crash are kept apart, except from the endpoint that all of them leave.
func TestSuspectsOfSeveralCrashesShareEndpoints(t *testing.T) {
	for _, endpoints := range []int{3, 6} {
		for name, others := range map[string]bool{"of one crash": false, "of several crashes": true} {
			t.Run(fmt.Sprint(endpoints, " endpoints, ", name), func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T, f *fixture) {
					for i := range endpoints {
						f.addPlain(fmt.Sprint("p", i), "a")
					}
					used := map[string]bool{}
					for key := range uint32(20) {
						state := repeatOf(1, key+1)
						state.Suspicion.Others = others
						ids, _ := f.choices(state)
						for _, id := range ids {
							used[id] = true
						}
					}
					want := endpoints - 1
					if others {
						want = endpoints - 2
					}
					if len(used) != want {
						t.Errorf("20 suspects run on %v, want %d endpoints", used, want)
					}
				})
			})
		}
	}
}

// Guards against suspects that together crash all endpoints that are up, because those that were at work at every
// crash choose by another hash than the others, or because VMs know different endpoints.
func TestAllSuspectsLeaveOneEndpoint(t *testing.T) {
	for _, endpoints := range []int{3, 4, 6} {
		t.Run(fmt.Sprint(endpoints, " endpoints"), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, f *fixture) {
				views := []*fixture{f}
				for range endpoints {
					views = append(views, newFixture(t))
				}
				for v, view := range views {
					for i := range endpoints {
						if i != v-1 {
							view.addPlain(fmt.Sprint("p", i), "a")
						}
					}
				}
				used := map[string]bool{}
				for key := range uint32(20) {
					bystander := relay.AttemptState{Suspicion: relay.Suspicion{Bystander: true, Key: key + 1}}
					for _, state := range []relay.AttemptState{repeatOf(1, key+1), retryOf(2, key+1), bystander} {
						state.Suspicion.Others = key%2 == 0
						for _, view := range views {
							ids, _ := view.choices(state)
							for _, id := range ids {
								used[id] = true
							}
						}
					}
				}
				if len(used) != endpoints-1 {
					t.Errorf("the suspects run on %d endpoints, want %d", len(used), endpoints-1)
				}
			})
		})
	}
}

// Guards against a suspect that crashes the last engine that serves, because another one counts as up
// while it changes its role.
func TestChangingEnginesDoNotReplaceOthers(t *testing.T) {
	changes := map[string]func(f *fixture){
		"ordered by this VM":    func(f *fixture) { f.roleChanges = []string{"d2"} },
		"ordered by another VM": func(f *fixture) { f.reportChange("d2", engine.Decode) },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, f *fixture) {
				f.addEngine("d1", "a", engine.Decode)
				f.addEngine("d2", "a", engine.Decode)
				planned := f.plan(f.shortReq(), retryOf(1, 7))
				change(f)
				if plan, failed := f.planner.Plan(f.shortReq(), retryOf(1, 7)); failed == nil {
					t.Errorf("the suspect is placed on %s", plan.Serve.ID)
				} else if failed.Code != failure.CrashSuspected {
					t.Errorf("refused with %v", failed)
				}
				if planned.Watch.Recheck(planned.Serve) == "" {
					t.Errorf("the suspect is sent to %s as planned", planned.Serve.ID)
				}
				if plan := f.plan(f.shortReq(), relay.AttemptState{}); plan.Serve.ID != "d1" {
					t.Errorf("another request is placed on %s", plan.Serve.ID)
				}
			})
		})
	}
}

// Guards against a retry that takes the last endpoint on which no copy of the suspect runs. It may
// join a copy.
func TestEndpointsWithCopiesCannotBeReserved(t *testing.T) {
	for _, tc := range []struct {
		copiesOn []string
		want     []string
	}{
		{copiesOn: []string{"p1"}, want: []string{"p1"}},
		{copiesOn: []string{"p2"}, want: []string{"p2"}},
		{copiesOn: []string{"p1", "p2"}, want: []string{"p1", "p2"}},
	} {
		t.Run(fmt.Sprint(tc.copiesOn), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, f *fixture) {
				for i := range 3 {
					f.addPlain(fmt.Sprint("p", i), "a")
				}
				f.markDown("p0")
				state := retryOf(1, 7)
				state.Suspicion.CopiesOn = tc.copiesOn
				ids, _ := f.choices(state)
				slices.Sort(ids)
				if !slices.Equal(ids, tc.want) {
					t.Errorf("placed on %v, want %v", ids, tc.want)
				}
			})
		})
	}
}

// VMs that know the same endpoints choose the same ones for copies of a request, whatever their
// load, and others for another request.
func TestCopiesOfSuspectShareEndpoints(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		other := newFixture(t)
		for i := range 12 {
			f.addPlain(fmt.Sprint("p", i), "a")
			other.addPlain(fmt.Sprint("p", i), "a")
		}
		all := map[string]bool{}
		for key := range uint32(20) {
			state := retryOf(11, key)
			here, _ := f.choices(state)
			there, _ := other.choices(state)
			if len(here) != 1 || !slices.Equal(here, there) {
				t.Errorf("request %d is placed on %v and %v", key, here, there)
			}
			all[here[0]] = true
		}
		if len(all) < 4 {
			t.Errorf("20 requests share %d endpoints", len(all))
		}
	})
}

// The last engine of a role is kept from a suspect that crashed the other, while the other role
// stays open to it.
func TestSuspectSparesLastEngineOfRole(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		for _, id := range []string{"p1", "p2"} {
			f.addEngine(id, "a", engine.Prefill)
		}
		for _, id := range []string{"d1", "d2", "d3"} {
			f.addEngine(id, "a", engine.Decode)
		}
		f.markDown("p1")
		if _, failed := f.planner.Plan(f.longReq("x"), retryOf(1, 7)); failed == nil || failed.Code != failure.CrashSuspected {
			t.Errorf("a long prompt got %v, want %s", failed, failure.CrashSuspected)
		}
		if plan := f.plan(f.shortReq(), retryOf(1, 7)); plan.Prefill != nil {
			t.Errorf("a short prompt is prefilled by %s", plan.Prefill.ID)
		}
		if plan := f.plan(f.longReq("x"), relay.AttemptState{}); plan.Prefill == nil || plan.Prefill.ID != "p2" {
			t.Errorf("another long prompt is placed on %+v", plan)
		}
	})
}

// A suspect that waits between its plan and its send is planned anew if another endpoint of the
// group has crashed meanwhile.
func TestRecheckSparesLastEndpoint(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		for _, id := range []string{"p1", "p2", "p3"} {
			f.addPlain(id, "a")
		}
		p := f.plan(f.plainReq(), retryOf(1, 7))
		if cause := p.Watch.Recheck(p.Serve); cause != "" {
			t.Errorf("after placement: %q", cause)
		}
		for _, id := range []string{"p1", "p2", "p3"} {
			if id != p.Serve.ID {
				f.markDown(id)
			}
		}
		if cause := p.Watch.Recheck(p.Serve); cause != relay.EndpointNotExpendable {
			t.Errorf("after two crashes: %q, want %q", cause, relay.EndpointNotExpendable)
		}
	})
}
