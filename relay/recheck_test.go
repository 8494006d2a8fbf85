package relay

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/routes"
)

// The times of these tests: a change comes while the request waits.
const (
	waits   = 2 * time.Second
	changes = time.Second
)

// put makes an endpoint's registration another one.
func put(r directory.Registration) func(*surroundings) {
	return func(s *surroundings) { s.planner.dir.Put(r) }
}

func unfit(id string, c PlanChange) func(*surroundings) {
	return func(s *surroundings) {
		s.planner.mu.Lock()
		defer s.planner.mu.Unlock()
		s.planner.unfit[id] = c
	}
}

// endpointChanges are what may become of endpoint a, which was planned for, while a request waits
// on its way there.
var endpointChanges = []struct {
	name string
	do   func(*surroundings)
}{
	{"it leaves", put(directory.Registration{ID: "a", Version: 2, Draining: true})},
	{"it is gone", func(s *surroundings) { s.planner.dir.Remove("a") }},
	{"it starts again under its ID", put(directory.Registration{ID: "a", Version: 2, StartedAt: 7})},
	{"it has another role", put(directory.Registration{ID: "a", Version: 2, Role: engine.Prefill})},
	{"it is about to have another role", unfit("a", EndpointChangingRole)},
	{"it is ejected", unfit("a", EndpointEjected)},
}

// slowly returns a step that takes its time for the connection or for the answer.
func slowly(s step, connect, takes time.Duration) step {
	s.connect, s.takes = connect, takes
	return s
}

// Whatever becomes of an endpoint while a request waits on its way there, the request goes to
// another one. That costs neither an attempt nor a retry, and a prompt that was read is not read
// again.
func TestEndpointChangesWhileARequestWaits(t *testing.T) {
	for _, way := range []struct {
		name string
		w    world
		want outcome
	}{
		{"for the prompt to be read elsewhere",
			world{route: letter, plans: []string{"p/a", "b"}, reads: []step{slowly(ok(), 0, waits)}, sends: []step{ok(e(1))}},
			outcome{Calls: []string{"prefill p", "send b import kv1"}, Took: waits}},
		{"for a connection",
			world{route: letter, plans: []string{"a", "b"}, sends: []step{slowly(ok(e(1)), waits, 0)}},
			outcome{Calls: []string{"send b"}, Took: 2 * waits}},
		{"for a connection, with a prompt that was read",
			world{route: letter, plans: []string{"p/a", "b"}, reads: []step{ok()}, sends: []step{slowly(ok(e(1)), waits, 0)}},
			outcome{Calls: []string{"prefill p", "send b import kv1"}, Took: 2 * waits}},
		{"for a connection to the engine that reads the prompt",
			world{route: letter, plans: []string{"a/c", "p/b"}, reads: []step{slowly(ok(), waits, 0)}, sends: []step{ok(e(1))}},
			outcome{Calls: []string{"prefill p", "send b import kv1"}, Took: 2 * waits}},
		{"for a copy of memory from another engine",
			world{route: letter, plans: []string{"h:p/a", "b"}, reads: []step{slowly(ok(), 0, waits)}, sends: []step{ok(e(1))}},
			outcome{Calls: []string{"prefill p copying from h", "send b import kv1"}, Took: waits}},
	} {
		for _, change := range endpointChanges {
			t.Run(way.name+"/"+change.name, func(t *testing.T) {
				w, want := way.w.fresh(), way.want
				w.route.Objective = 10 * time.Second // no attempt is given up meanwhile
				w.then = []happening{{changes, change.do}}
				want.Status, want.Body, want.Begun, want.Attempts = 200, e(1), true, 1
				if diff := cmp.Diff(want, play(t, w)); diff != "" {
					t.Error(diff)
				}
			})
		}
	}
}

// A stream that goes on elsewhere and a second attempt of a call go by what holds by then, and
// costs are those of the attempts that were sent.
func TestEndpointChangesBeforeASecondAttempt(t *testing.T) {
	for _, tc := range []struct {
		name string
		w    world
		want outcome
	}{
		{"a stream goes on elsewhere", world{route: letter, plans: []string{"x", "a", "b"}, sends: []step{cut(e(1)), slowly(ok(e(2)), waits, 0)}},
			outcome{Body: e(1) + e(2), Calls: []string{"send x", "send b after 1"}}},
		{"a call is repeated", world{route: routes.Route{Kind: routes.Idempotent, MaxAttempts: 2}, plans: []string{"x", "a", "b"}, sends: []step{lost(), slowly(ok("whole"), waits, 0)}},
			outcome{Body: "whole", Calls: []string{"send x", "send b"}}},
		{"the first endpoint was not reached", world{route: routes.Route{Kind: routes.NonIdempotent, MaxAttempts: 1}, plans: []string{"x", "a", "b"}, sends: []step{unreachable(), slowly(ok("whole"), waits, 0)}},
			outcome{Body: "whole", Calls: []string{"send x", "send b"}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w, want := tc.w, tc.want
			w.budget, w.then = 1, []happening{{changes, endpointChanges[0].do}}
			want.Status, want.Begun, want.Attempts, want.Taken, want.Took = 200, true, 2, 1, 2*waits
			if tc.name == "the first endpoint was not reached" {
				want.Attempts, want.Taken = 1, 0
			}
			if diff := cmp.Diff(want, play(t, w)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// switching is a Router whose answer changes at a time, and a Guard that refuses from then on.
type switching struct {
	at     time.Time
	to     *Request
	failed *failure.Request
	// admits is set where the failure is not the caller's.
	admits bool
}

func after(d time.Duration) switching { return switching{at: clock.Now().Add(d)} }

func (s *switching) Route(r *Request) (*Request, *failure.Request) {
	switch {
	case clock.Now().Before(s.at):
		return r, nil
	case s.failed != nil:
		return r, s.failed
	case s.to != nil && r.Route != s.to.Route:
		moved := *r
		moved.Route, moved.Service = s.to.Route, s.to.Service
		return &moved, nil
	}
	return r, nil
}

func (s *switching) Admit(r *Request) *failure.Request {
	if s.admits {
		return nil
	}
	return s.Check(r)
}

func (s *switching) Check(*Request) *failure.Request {
	if clock.Now().Before(s.at) {
		return nil
	}
	return s.failed
}

func (s *switching) Ended(*Request, *directory.Endpoint, RunEnd) {}

// lazily makes a Router or Guard when it is first asked, which is when the request comes.
type lazily struct {
	make func() *switching
	s    *switching
}

func (l *lazily) get() *switching {
	if l.s == nil {
		l.s = l.make()
	}
	return l.s
}

func (l *lazily) Route(r *Request) (*Request, *failure.Request)       { return l.get().Route(r) }
func (l *lazily) Admit(r *Request) *failure.Request                   { return l.get().Admit(r) }
func (l *lazily) Check(r *Request) *failure.Request                   { return l.get().Check(r) }
func (l *lazily) Ended(r *Request, e *directory.Endpoint, end RunEnd) {}

// What ends a request while it waits ends it before anything more is sent, and the answer says
// truthfully that it has not run.
func TestRequestEndsWhileItWaits(t *testing.T) {
	dropped := &failure.Request{Code: failure.NoSuchRoute, Ran: failure.NotRun}
	refused := &failure.Request{Code: failure.CrashesEndpoints, Ran: failure.NotRun}
	unknown := &failure.Request{Code: failure.KeyUnknown, Ran: failure.NotRun}
	turning := func(failed *failure.Request) *lazily {
		return &lazily{make: func() *switching {
			s := after(changes)
			s.failed, s.admits = failed, failed != unknown
			return &s
		}}
	}
	for _, tc := range []struct {
		name string
		set  func(w *world)
		code failure.Reason
	}{
		{"its caller goes away", func(w *world) {
			w.then = []happening{{changes, func(s *surroundings) { s.leave() }}}
		}, failure.CallerGone},
		{"its caller's time is over", func(w *world) { w.within = changes }, failure.DeadlinePassed},
		{"it is found to crash endpoints", func(w *world) { w.guard = turning(refused) }, failure.CrashesEndpoints},
		{"its caller's key is taken away", func(w *world) { w.router = turning(unknown) }, failure.KeyUnknown},
		{"its route is dropped", func(w *world) { w.router = turning(dropped) }, failure.NoSuchRoute},
		{"the VM is about to end", func(w *world) {
			stops := &stopAt{}
			w.then = []happening{{changes, func(*surroundings) { stops.set(clock.Now().Add(waits)) }}}
			w.stops = stops.get
		}, failure.Stopping},
	} {
		for _, way := range []struct {
			name  string
			plans []string
			reads []step
			sends []step
			calls []string
			freed []string
		}{
			{"while its prompt is read", []string{"p/a", "b"}, []step{slowly(ok(), 0, waits)}, nil, []string{"prefill p"}, []string{"kv1"}},
			{"while a connection is opened", []string{"a", "b"}, nil, []step{slowly(ok(e(1)), waits, 0)}, nil, nil},
		} {
			t.Run(tc.name+" "+way.name, func(t *testing.T) {
				w := world{route: letter, plans: way.plans, reads: way.reads, sends: way.sends}
				w.route.Objective = 10 * time.Second
				tc.set(&w)
				want := outcome{Code: tc.code, Ran: failure.NotRun, Calls: way.calls, Freed: way.freed, Took: waits}
				if diff := cmp.Diff(want, play(t, w)); diff != "" {
					t.Error(diff)
				}
			})
		}
	}
}

// A key that is taken away between two attempts ends the request, and a stream that has begun does
// not go on elsewhere.
func TestKeyIsTakenAwayBetweenAttempts(t *testing.T) {
	taken := func() *lazily {
		return &lazily{make: func() *switching {
			s := after(changes)
			s.failed = &failure.Request{Code: failure.KeyUnknown, Ran: failure.NotRun}
			return &s
		}}
	}
	call := routes.Route{Kind: routes.Idempotent, MaxAttempts: 2}
	for _, tc := range []struct {
		name string
		w    world
		want outcome
	}{
		{"a call", world{route: call, plans: []string{"a", "b"}, sends: []step{slowly(lost(), 0, waits)}},
			outcome{Code: failure.EndpointBroke, Ran: failure.Unknown, Calls: []string{"send a"}, Taken: 1, Attempts: 1, Took: waits}},
		{"a stream that has begun", world{route: letter, plans: []string{"a", "b"}, sends: []step{cutAfter(waits, e(1)), ok(e(2))}},
			outcome{Status: 200, Begun: true, Body: e(1), Code: failure.KeyUnknown, Ran: failure.Unknown, Calls: []string{"send a"}, Taken: 1, Attempts: 1, Took: waits}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.w.router, tc.w.budget = taken(), 1
			tc.w.route.Objective, tc.w.route.EventGap = 10*time.Second, 10*time.Second
			if diff := cmp.Diff(tc.want, play(t, tc.w)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// stopAt is when the VM's planned stop ends what is open.
type stopAt struct {
	mu sync.Mutex
	at time.Time
}

func (s *stopAt) set(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at = at
}

func (s *stopAt) get() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at
}

// A VM that is told to stop serves what it can still serve whole.
func TestStoppingVMSendsWhatItCanFinish(t *testing.T) {
	stops := &stopAt{}
	w := world{
		route: letter, plans: []string{"a"}, sends: []step{slowly(ok(e(1)), waits, 0)},
		then:  []happening{{changes, func(*surroundings) { stops.set(clock.Now().Add(2 * waits)) }}},
		stops: stops.get,
	}
	w.route.Objective = 2800 * time.Millisecond
	got := play(t, w)
	if got.Status != 200 || got.Body != e(1) {
		t.Errorf("%+v", got)
	}
}

// A request whose route moves while it waits goes to the new service. What was read of its prompt
// is of no use there and is freed; what may have run is not done again unless both routes allow it.
func TestRouteMovesWhileARequestWaits(t *testing.T) {
	call := routes.Route{Name: "moved", Kind: routes.Idempotent, MaxAttempts: 2}
	once := routes.Route{Name: "moved", Kind: routes.NonIdempotent, MaxAttempts: 2}
	to := func(r routes.Route) *lazily {
		return &lazily{make: func() *switching {
			s := after(changes)
			s.to = &Request{Route: &r, Service: "other"}
			return &s
		}}
	}
	moved := letter
	moved.Name = "moved"
	for _, tc := range []struct {
		name string
		w    world
		want outcome
	}{
		{"while its prompt is read", world{route: letter, router: to(moved), plans: []string{"p/a", "q/b"}, reads: []step{slowly(ok(), 0, waits), ok()}, sends: []step{ok(e(1))}},
			outcome{Status: 200, Body: e(1), Begun: true, Calls: []string{"prefill p", "prefill q", "send b import kv2"}, Freed: []string{"kv1"}, Attempts: 1, Took: waits}},
		{"while a connection is opened", world{route: call, router: to(call), plans: []string{"a", "b"}, sends: []step{slowly(ok("whole"), waits, 0)}},
			outcome{Status: 200, Body: "whole", Begun: true, Calls: []string{"send b"}, Attempts: 1, Took: 2 * waits}},
		{"while its first attempt fails", world{route: call, router: to(call), budget: 1, plans: []string{"a", "b"}, sends: []step{slowly(lost(), 0, waits), ok("whole")}},
			outcome{Status: 200, Body: "whole", Begun: true, Calls: []string{"send a", "send b"}, Taken: 1, Attempts: 2, Took: waits}},
		{"while its first attempt fails, to a route that runs requests once", world{route: call, router: to(once), budget: 1, plans: []string{"a", "b"}, sends: []step{slowly(lost(), 0, waits)}},
			outcome{Code: failure.EndpointBroke, Ran: failure.Unknown, Calls: []string{"send a"}, Taken: 1, Attempts: 1, Took: waits}},
		{"once its stream has begun it goes on where it was", world{route: letter, router: to(moved), budget: 1, plans: []string{"a", "b"}, sends: []step{cutAfter(waits, e(1)), ok(e(2))}},
			outcome{Status: 200, Body: e(1) + e(2), Begun: true, Calls: []string{"send a", "send b after 1"}, Taken: 1, Attempts: 2, Took: waits}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.w.route.Objective, tc.w.route.EventGap = 10*time.Second, 10*time.Second
			if diff := cmp.Diff(tc.want, play(t, tc.w)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// cutAfter is a stream whose first event comes after some time, and which then breaks off.
func cutAfter(d time.Duration, pieces ...string) step {
	s := cut(pieces...)
	s.pause = d
	return s
}

// The engine that holds the prompt's cache may leave: it serves on for a while, and the prompt is
// not read twice. One that has started again has lost it, and the engine that decodes reads the
// prompt itself.
func TestHolderOfThePromptChanges(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(*surroundings)
		want string
	}{
		{"it leaves", put(directory.Registration{ID: "p", Version: 2, Draining: true}), "send a import kv1"},
		{"its row is gone", func(s *surroundings) { s.planner.dir.Remove("p") }, "send a import kv1"},
		{"it starts again", put(directory.Registration{ID: "p", Version: 2, StartedAt: 7}), "send a"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := world{
				route: letter, plans: []string{"p/a", "a"}, reads: []step{ok()}, sends: []step{slowly(ok(e(1)), waits, 0)},
				then: []happening{{changes, tc.do}},
			}
			w.route.Objective = 10 * time.Second
			got := play(t, w)
			if diff := cmp.Diff([]string{"prefill p", tc.want}, got.Calls); diff != "" || got.Status != 200 || got.Attempts != 1 {
				t.Errorf("%+v %s", got, diff)
			}
		})
	}
}

// Plans that never hold end the request after a few, as not run.
func TestPlansThatNeverHold(t *testing.T) {
	w := world{route: letter, unfit: map[string]PlanChange{}}
	for n := range maxReplans + 2 {
		id := fmt.Sprint("a", n)
		w.plans = append(w.plans, id)
		w.unfit[id] = EndpointEjected
	}
	w.sends = []step{slowly(ok(), time.Millisecond, 0)}
	want := outcome{Code: failure.PlanChanged, Ran: failure.NotRun, Took: (maxReplans + 1) * time.Millisecond}
	if diff := cmp.Diff(want, play(t, w)); diff != "" {
		t.Error(diff)
	}
}
