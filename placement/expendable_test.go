package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/springweir/springweir/directory"
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
// crash all that are up.
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
					want := endpoints
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

// The reference size of a group is the one before a crash, also when the row of the crashed endpoint
// is deleted, and follows a group that stays smaller.
func TestGroupSizeReference(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		f.addPlain("p1", "a")
		f.addPlain("p2", "a")
		time.Sleep(time.Hour)
		f.markDown("p1")
		f.dir.Remove("p1")
		time.Sleep(groupPeakTTL / 2)
		if ids, _ := f.choices(retryOf(1, 7)); len(ids) != 0 {
			t.Errorf("placed on %v, the last of two", ids)
		}
		time.Sleep(groupPeakTTL)
		if ids, _ := f.choices(retryOf(1, 7)); len(ids) != 1 {
			t.Errorf("placed on %v, want the only endpoint of a service", ids)
		}
	})
}

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

// Guards against a group whose last endpoint is taken because an older, larger size has expired: the size
// that it had a moment ago still counts.
func TestReferenceOfGroupIsItsLargestRecentSize(t *testing.T) {
	type change struct {
		after time.Duration
		size  int
	}
	for _, tc := range []struct {
		name    string
		changes []change
		at      time.Duration
		want    int
	}{
		{"has not shrunk", []change{{0, 2}}, time.Hour, 2},
		{"has just shrunk", []change{{0, 3}, {time.Second, 1}}, time.Second, 3},
		{"has shrunk long ago", []change{{0, 3}, {time.Second, 1}}, time.Second + groupPeakTTL + 1, 1},
		{"an older size expires", []change{{0, 3}, {time.Second, 2}, {groupPeakTTL, 1}}, groupPeakTTL + time.Second + 1, 2},
		{"an older size has expired as another endpoint is lost", []change{{0, 3}, {time.Second, 2}, {groupPeakTTL, 1}, {2 * groupPeakTTL, 0}}, 2 * groupPeakTTL, 2},
		{"has grown again", []change{{0, 3}, {time.Second, 1}, {2 * time.Second, 3}, {3 * time.Second, 2}}, 3 * time.Second, 3},
		{"has grown beyond", []change{{0, 3}, {time.Second, 1}, {2 * time.Second, 4}}, 2 * time.Second, 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			start, s := time.Now(), &groupSize{}
			for _, c := range tc.changes {
				s.record(start.Add(c.after), c.size)
			}
			if got := s.reference(start.Add(tc.at)); got != tc.want {
				t.Errorf("reference %d, want %d", got, tc.want)
			}
		})
	}
}
