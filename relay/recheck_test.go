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

// In these tests a change happens after changeDelay, while the request is delayed by requestDelay.
const (
	requestDelay = 2 * time.Second
	changeDelay  = time.Second
)

// register replaces the registration of an endpoint.
func register(r directory.Registration) func(*environment) {
	return func(env *environment) { env.planner.registry.Put(r) }
}

// makeUnusable makes the planner's recheck reject an endpoint.
func makeUnusable(id string, c PlanChange) func(*environment) {
	return func(env *environment) {
		env.planner.mu.Lock()
		defer env.planner.mu.Unlock()
		env.planner.unusable[id] = c
	}
}

// endpointChanges are the changes of endpoint a, the planned one, that may happen before a request
// is sent to it.
var endpointChanges = []struct {
	name string
	do   func(*environment)
}{
	{"it is draining", register(directory.Registration{ID: "a", Service: "s", Version: 2, Draining: true})},
	{"it is deregistered", func(env *environment) { env.planner.registry.Remove("a") }},
	{"it restarts under its ID", register(directory.Registration{ID: "a", Service: "s", Version: 2, StartedAt: 7})},
	{"its role has changed", register(directory.Registration{ID: "a", Service: "s", Version: 2, Role: engine.Prefill})},
	{"its role is about to change", makeUnusable("a", EndpointChangingRole)},
	{"it is ejected", makeUnusable("a", EndpointEjected)},
}

// delayed returns a copy of s that delays the connection and the response.
func delayed(s reply, connect, respond time.Duration) reply {
	s.connectDelay, s.responseDelay = connect, respond
	return s
}

// If the planned endpoint changes before the request is sent, the request goes to another endpoint.
// This counts neither as an attempt nor as a retry, and a prompt that was already prefilled is not
// prefilled again.
func TestEndpointChangeBeforeSend(t *testing.T) {
	for _, stage := range []struct {
		name  string
		setup scenario
		want  outcome
	}{
		{"waiting for a separate prefill",
			scenario{route: resumableStream, plans: []string{"p/a", "b"}, prefills: []reply{delayed(ok(), 0, requestDelay)}, sends: []reply{ok(sse(1))}},
			outcome{Calls: []string{"prefill p", "send b import kv1"}, Elapsed: requestDelay}},
		{"waiting for a connection",
			scenario{route: resumableStream, plans: []string{"a", "b"}, sends: []reply{delayed(ok(sse(1)), requestDelay, 0)}},
			outcome{Calls: []string{"send b"}, Elapsed: 2 * requestDelay}},
		{"waiting for a connection after a prefill",
			scenario{route: resumableStream, plans: []string{"p/a", "b"}, prefills: []reply{ok()}, sends: []reply{delayed(ok(sse(1)), requestDelay, 0)}},
			outcome{Calls: []string{"prefill p", "send b import kv1"}, Elapsed: 2 * requestDelay}},
		{"waiting for a connection to the prefill engine",
			scenario{route: resumableStream, plans: []string{"a/c", "p/b"}, prefills: []reply{delayed(ok(), requestDelay, 0)}, sends: []reply{ok(sse(1))}},
			outcome{Calls: []string{"prefill p", "send b import kv1"}, Elapsed: 2 * requestDelay}},
		{"waiting for a cache copy from another engine",
			scenario{route: resumableStream, plans: []string{"h:p/a", "b"}, prefills: []reply{delayed(ok(), 0, requestDelay)}, sends: []reply{ok(sse(1))}},
			outcome{Calls: []string{"prefill p copying from h", "send b import kv1"}, Elapsed: requestDelay}},
	} {
		for _, change := range endpointChanges {
			t.Run(stage.name+"/"+change.name, func(t *testing.T) {
				sc, want := stage.setup.clone(), stage.want
				sc.route.Objective = 10 * time.Second // no attempt times out
				sc.actions = []scheduledAction{{changeDelay, change.do}}
				want.Status, want.Body, want.HeadSent, want.Attempts = 200, sse(1), true, 1
				if diff := cmp.Diff(want, runScenario(t, sc)); diff != "" {
					t.Error(diff)
				}
			})
		}
	}
}

// A resumed stream and a second attempt of a call also react to endpoint changes before they are
// sent, and only attempts that were sent are counted.
func TestEndpointChangeBeforeSecondAttempt(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setup scenario
		want  outcome
	}{
		{"a stream resumes elsewhere", scenario{route: resumableStream, plans: []string{"x", "a", "b"}, sends: []reply{truncated(sse(1)), delayed(ok(sse(2)), requestDelay, 0)}},
			outcome{Body: sse(1) + sse(2), Calls: []string{"send x", "send b after 1"}}},
		{"a call is repeated", scenario{route: routes.Route{Kind: routes.Idempotent, MaxAttempts: 2}, plans: []string{"x", "a", "b"}, sends: []reply{connectionLost(), delayed(ok("whole"), requestDelay, 0)}},
			outcome{Body: "whole", Calls: []string{"send x", "send b"}}},
		{"the first endpoint is unreachable", scenario{route: routes.Route{Kind: routes.NonIdempotent, MaxAttempts: 1}, plans: []string{"x", "a", "b"}, sends: []reply{unreachable(), delayed(ok("whole"), requestDelay, 0)}},
			outcome{Body: "whole", Calls: []string{"send x", "send b"}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sc, want := tc.setup, tc.want
			sc.budget, sc.actions = 1, []scheduledAction{{changeDelay, endpointChanges[0].do}}
			want.Status, want.HeadSent, want.Attempts, want.Retries, want.Elapsed = 200, true, 2, 1, 2*requestDelay
			if tc.name == "the first endpoint is unreachable" {
				want.Attempts, want.Retries = 1, 0
			}
			if diff := cmp.Diff(want, runScenario(t, sc)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// scheduledRouter is a Router that changes the route at a given time, and a Guard that refuses
// requests from then on.
type scheduledRouter struct {
	at     time.Time
	to     *Request
	failed *failure.Request
	// admitAlways is set if the failure does not concern the caller's authorisation.
	admitAlways bool
}

// routerAfter returns a scheduledRouter that changes after d.
func routerAfter(d time.Duration) scheduledRouter { return scheduledRouter{at: clock.Now().Add(d)} }

func (s *scheduledRouter) Route(r *Request) (*Request, *failure.Request) {
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

func (s *scheduledRouter) Admit(r *Request) *failure.Request {
	if s.admitAlways {
		return nil
	}
	_, failed := s.Check(r)
	return failed
}

func (s *scheduledRouter) Check(*Request) (Suspicion, *failure.Request) {
	if clock.Now().Before(s.at) {
		return Suspicion{}, nil
	}
	return Suspicion{}, s.failed
}

func (s *scheduledRouter) Started(*Request, *directory.Endpoint) {}
func (s *scheduledRouter) Answered(*Request)                     {}

func (s *scheduledRouter) Ended(*Request, *directory.Endpoint, RunEnd) func() { return func() {} }

// lazyRouter creates its scheduledRouter on first use, so that the schedule starts with the
// request.
type lazyRouter struct {
	make   func() *scheduledRouter
	router *scheduledRouter
}

func (l *lazyRouter) get() *scheduledRouter {
	if l.router == nil {
		l.router = l.make()
	}
	return l.router
}

func (l *lazyRouter) Route(r *Request) (*Request, *failure.Request)  { return l.get().Route(r) }
func (l *lazyRouter) Admit(r *Request) *failure.Request              { return l.get().Admit(r) }
func (l *lazyRouter) Check(r *Request) (Suspicion, *failure.Request) { return l.get().Check(r) }
func (l *lazyRouter) Started(*Request, *directory.Endpoint)          {}
func (l *lazyRouter) Answered(*Request)                              {}

func (l *lazyRouter) Ended(r *Request, e *directory.Endpoint, end RunEnd) func() { return func() {} }

// A condition that ends a delayed request ends it before anything more is sent, and the failure
// states that the request has not run.
func TestRequestEndsBeforeSend(t *testing.T) {
	noRoute := &failure.Request{Code: failure.NoSuchRoute, Ran: failure.NotRun}
	refused := &failure.Request{Code: failure.CrashesEndpoints, Ran: failure.NotRun}
	unknownKey := &failure.Request{Code: failure.KeyUnknown, Ran: failure.NotRun}
	failingWith := func(failed *failure.Request) *lazyRouter {
		return &lazyRouter{make: func() *scheduledRouter {
			s := routerAfter(changeDelay)
			s.failed, s.admitAlways = failed, failed != unknownKey
			return &s
		}}
	}
	for _, tc := range []struct {
		name      string
		configure func(sc *scenario)
		code      failure.Reason
	}{
		{"the caller disconnects", func(sc *scenario) {
			sc.actions = []scheduledAction{{changeDelay, func(env *environment) { env.disconnect() }}}
		}, failure.CallerGone},
		{"the deadline passes", func(sc *scenario) { sc.timeout = changeDelay }, failure.DeadlinePassed},
		{"the request is found to crash endpoints", func(sc *scenario) { sc.guard = failingWith(refused) }, failure.CrashesEndpoints},
		{"the caller's key is revoked", func(sc *scenario) { sc.router = failingWith(unknownKey) }, failure.KeyUnknown},
		{"the route is removed", func(sc *scenario) { sc.router = failingWith(noRoute) }, failure.NoSuchRoute},
		{"the VM is shutting down", func(sc *scenario) {
			shutdown := &shutdownTime{}
			sc.actions = []scheduledAction{{changeDelay, func(*environment) { shutdown.set(clock.Now().Add(requestDelay)) }}}
			sc.shutdownAt = shutdown.get
		}, failure.Stopping},
	} {
		for _, stage := range []struct {
			name     string
			plans    []string
			prefills []reply
			sends    []reply
			calls    []string
			freed    []string
		}{
			{"during a separate prefill", []string{"p/a", "b"}, []reply{delayed(ok(), 0, requestDelay)}, nil, []string{"prefill p"}, []string{"kv1"}},
			{"while a connection is opened", []string{"a", "b"}, nil, []reply{delayed(ok(sse(1)), requestDelay, 0)}, nil, nil},
		} {
			t.Run(tc.name+" "+stage.name, func(t *testing.T) {
				sc := scenario{route: resumableStream, plans: stage.plans, prefills: stage.prefills, sends: stage.sends}
				sc.route.Objective = 10 * time.Second
				tc.configure(&sc)
				want := outcome{Code: tc.code, Ran: failure.NotRun, Calls: stage.calls, Freed: stage.freed, Elapsed: requestDelay}
				if diff := cmp.Diff(want, runScenario(t, sc)); diff != "" {
					t.Error(diff)
				}
			})
		}
	}
}

// A key that is revoked between two attempts ends the request, and a started stream does not
// continue on another endpoint.
func TestKeyRevokedBetweenAttempts(t *testing.T) {
	revokedKey := func() *lazyRouter {
		return &lazyRouter{make: func() *scheduledRouter {
			s := routerAfter(changeDelay)
			s.failed = &failure.Request{Code: failure.KeyUnknown, Ran: failure.NotRun}
			return &s
		}}
	}
	call := routes.Route{Kind: routes.Idempotent, MaxAttempts: 2}
	for _, tc := range []struct {
		name  string
		setup scenario
		want  outcome
	}{
		{"a call", scenario{route: call, plans: []string{"a", "b"}, sends: []reply{delayed(connectionLost(), 0, requestDelay)}},
			outcome{Code: failure.EndpointBroke, Ran: failure.Unknown, Calls: []string{"send a"}, Retries: 1, Attempts: 1, Elapsed: requestDelay}},
		{"a started stream", scenario{route: resumableStream, plans: []string{"a", "b"}, sends: []reply{truncatedAfter(requestDelay, sse(1)), ok(sse(2))}},
			outcome{Status: 200, HeadSent: true, Body: sse(1), Code: failure.KeyUnknown, Ran: failure.Unknown, Calls: []string{"send a"}, Retries: 1, Attempts: 1, Elapsed: requestDelay}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.setup.router, tc.setup.budget = revokedKey(), 1
			tc.setup.route.Objective, tc.setup.route.EventGap = 10*time.Second, 10*time.Second
			if diff := cmp.Diff(tc.want, runScenario(t, tc.setup)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// shutdownTime is a settable Config.ShutdownAt.
type shutdownTime struct {
	mu sync.Mutex
	at time.Time
}

func (s *shutdownTime) set(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at = at
}

func (s *shutdownTime) get() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at
}

// A VM that is shutting down still serves the requests that it can complete in time.
func TestStoppingVMSendsRequestsItCanFinish(t *testing.T) {
	shutdown := &shutdownTime{}
	sc := scenario{
		route: resumableStream, plans: []string{"a"}, sends: []reply{delayed(ok(sse(1)), requestDelay, 0)},
		actions:    []scheduledAction{{changeDelay, func(*environment) { shutdown.set(clock.Now().Add(2 * requestDelay)) }}},
		shutdownAt: shutdown.get,
	}
	sc.route.Objective = 2800 * time.Millisecond
	got := runScenario(t, sc)
	if got.Status != 200 || got.Body != sse(1) {
		t.Errorf("%+v", got)
	}
}

// A request whose route changes before it is sent goes to the new service. The KV cache of its
// prompt is useless there and is freed. A request that may have run is repeated only if both routes
// allow it.
func TestRouteChangeBeforeSend(t *testing.T) {
	call := routes.Route{Name: "moved", Kind: routes.Idempotent, MaxAttempts: 2}
	once := routes.Route{Name: "moved", Kind: routes.NonIdempotent, MaxAttempts: 2}
	to := func(r routes.Route) *lazyRouter {
		return &lazyRouter{make: func() *scheduledRouter {
			s := routerAfter(changeDelay)
			s.to = &Request{Route: &r, Service: "other"}
			return &s
		}}
	}
	moved := resumableStream
	moved.Name = "moved"
	for _, tc := range []struct {
		name  string
		setup scenario
		want  outcome
	}{
		{"during a separate prefill", scenario{route: resumableStream, router: to(moved), plans: []string{"p/a", "q/b"}, prefills: []reply{delayed(ok(), 0, requestDelay), ok()}, sends: []reply{ok(sse(1))}},
			outcome{Status: 200, Body: sse(1), HeadSent: true, Calls: []string{"prefill p", "prefill q", "send b import kv2"}, Freed: []string{"kv1"}, Attempts: 1, Elapsed: requestDelay}},
		{"while a connection is opened", scenario{route: call, router: to(call), plans: []string{"a", "b"}, sends: []reply{delayed(ok("whole"), requestDelay, 0)}},
			outcome{Status: 200, Body: "whole", HeadSent: true, Calls: []string{"send b"}, Attempts: 1, Elapsed: 2 * requestDelay}},
		{"while the first attempt fails", scenario{route: call, router: to(call), budget: 1, plans: []string{"a", "b"}, sends: []reply{delayed(connectionLost(), 0, requestDelay), ok("whole")}},
			outcome{Status: 200, Body: "whole", HeadSent: true, Calls: []string{"send a", "send b"}, Retries: 1, Attempts: 2, Elapsed: requestDelay}},
		{"while the first attempt fails, to a non-idempotent route", scenario{route: call, router: to(once), budget: 1, plans: []string{"a", "b"}, sends: []reply{delayed(connectionLost(), 0, requestDelay)}},
			outcome{Code: failure.EndpointBroke, Ran: failure.Unknown, Calls: []string{"send a"}, Retries: 1, Attempts: 1, Elapsed: requestDelay}},
		{"a started stream keeps its service", scenario{route: resumableStream, router: to(moved), budget: 1, plans: []string{"a", "b"}, sends: []reply{truncatedAfter(requestDelay, sse(1)), ok(sse(2))}},
			outcome{Status: 200, Body: sse(1) + sse(2), HeadSent: true, Calls: []string{"send a", "send b after 1"}, Retries: 1, Attempts: 2, Elapsed: requestDelay}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.setup.route.Objective, tc.setup.route.EventGap = 10*time.Second, 10*time.Second
			if diff := cmp.Diff(tc.want, runScenario(t, tc.setup)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// truncatedAfter returns a stream whose first event comes after d and which then ends early.
func truncatedAfter(d time.Duration, chunks ...string) reply {
	s := truncated(chunks...)
	s.chunkDelay = d
	return s
}

// If the engine that holds the prompt's KV cache leaves, it still serves the cache, and the prompt
// is not prefilled twice. If it restarts, the cache is lost, and the decode engine prefills the
// prompt itself.
func TestKVCacheHolderChange(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(*environment)
		want string
	}{
		{"it is draining", register(directory.Registration{ID: "p", Service: "s", Version: 2, Draining: true}), "send a import kv1"},
		{"its row is removed", func(env *environment) { env.planner.registry.Remove("p") }, "send a import kv1"},
		{"it restarts", register(directory.Registration{ID: "p", Service: "s", Version: 2, StartedAt: 7}), "send a"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sc := scenario{
				route: resumableStream, plans: []string{"p/a", "a"}, prefills: []reply{ok()}, sends: []reply{delayed(ok(sse(1)), requestDelay, 0)},
				actions: []scheduledAction{{changeDelay, tc.do}},
			}
			sc.route.Objective = 10 * time.Second
			got := runScenario(t, sc)
			if diff := cmp.Diff([]string{"prefill p", tc.want}, got.Calls); diff != "" || got.Status != 200 || got.Attempts != 1 {
				t.Errorf("%+v %s", got, diff)
			}
		})
	}
}

// A request whose plans all become invalid fails as not run after maxReplans replans.
func TestReplanLimit(t *testing.T) {
	sc := scenario{route: resumableStream, unusable: map[string]PlanChange{}}
	for n := range maxReplans + 2 {
		id := fmt.Sprint("a", n)
		sc.plans = append(sc.plans, id)
		sc.unusable[id] = EndpointEjected
	}
	sc.sends = []reply{delayed(ok(), time.Millisecond, 0)}
	want := outcome{Code: failure.PlanChanged, Ran: failure.NotRun, Elapsed: (maxReplans + 1) * time.Millisecond}
	if diff := cmp.Diff(want, runScenario(t, sc)); diff != "" {
		t.Error(diff)
	}
}
