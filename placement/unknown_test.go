package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/springweir/springweir/relay"
)

// Requests of which nothing is known run where equal ones run, while few endpoints are left, and on the last one too
// if no other takes them.
func TestUnknownRequestLeavesLastEndpoint(t *testing.T) {
	for _, tc := range []struct{ endpoints, down, want int }{
		{endpoints: 3, down: 0, want: 2},
		{endpoints: 3, down: 1, want: 1},
		{endpoints: 3, down: 2, want: 1},
	} {
		t.Run(fmt.Sprintf("%d of %d down", tc.down, tc.endpoints), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, f *fixture) {
				f.addGroup(tc.endpoints, tc.down)
				state := relay.AttemptState{Suspicion: relay.Suspicion{Unknown: true, Key: 7}}
				ids, refused := f.choices(state)
				if len(ids) != tc.want || refused != nil {
					t.Errorf("placed on %v, refused with %v, want %d endpoints", ids, refused, tc.want)
				}
				// The endpoint that it was placed on may have crashed before it got there.
				state.Tried = ids[:1]
				want := ids[1:]
				if len(want) == 0 {
					want = f.otherThan(ids[0])
				}
				if again, _ := f.choices(state); !slices.Equal(again, want) {
					t.Errorf("another try is placed on %v, want %v", again, want)
				}
			})
		})
	}
}

// otherThan returns the endpoints of the plain service that are up, without one.
func (f *fixture) otherThan(id string) []string {
	var ids []string
	for _, e := range f.dir.Snapshot().Service("plain") {
		if e.ID != id && !f.planner.IsDown(e) {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// Guards against equal requests of which nothing is known that each crash an endpoint of their own.
func TestUnknownRequestRunsBesideItsCopies(t *testing.T) {
	for _, on := range []string{"p1", "p2", "p3"} {
		inVirtualTime(t, func(t *testing.T, f *fixture) {
			f.addGroup(4, 1)
			state := relay.AttemptState{Suspicion: relay.Suspicion{Unknown: true, Key: 7, CopiesOn: []string{on}}}
			if ids, refused := f.choices(state); refused != nil || !slices.Equal(ids, []string{on}) {
				t.Errorf("placed on %v, refused with %v, want %s", ids, refused, on)
			}
			f.markDown(on)
			if ids, refused := f.choices(state); refused != nil || len(ids) == 0 {
				t.Errorf("refused with %v as the copy's endpoint is down", refused)
			}
		})
	}
}

// Guards against a request that has run nowhere yet, as it did not reach the endpoint that it was placed on, and then
// takes another endpoint than its copies.
func TestUnknownRequestJoinsCopiesAfterUnreachedEndpoint(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		f.addGroup(4, 1)
		state := relay.AttemptState{Number: 1, Tried: []string{"p1"}, Suspicion: relay.Suspicion{Unknown: true, Key: 7, CopiesOn: []string{"p2"}}}
		if ids, refused := f.choices(state); refused != nil || !slices.Equal(ids, []string{"p2"}) {
			t.Errorf("placed on %v, refused with %v, want p2", ids, refused)
		}
		state.Suspicion.CopiesOn = []string{"p1"}
		if ids, refused := f.choices(state); refused != nil || len(ids) == 0 {
			t.Errorf("placed on %v, refused with %v, as the endpoint of the copy was tried", ids, refused)
		}
	})
}

// Guards against refusing a request of which nothing is known because the endpoint that it was placed on is no
// longer one that the others can do without, as one that takes a single request at first after its ejection.
func TestUnknownRequestIsSentToReservedEndpoint(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		f.addGroup(3, 1)
		r := f.plainReq()
		plan := f.plan(r, relay.AttemptState{Suspicion: relay.Suspicion{Unknown: true, Key: 7}})
		for _, e := range f.dir.Snapshot().Service(r.Service) {
			if e != plan.Serve {
				f.markDown(e.ID)
			}
		}
		if change := plan.Watch.Recheck(plan.Serve); change != "" {
			t.Errorf("not sent as planned: %s", change)
		}
	})
}
