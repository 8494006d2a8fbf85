package relay

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/routes"
)

// threeAttempts is a resumable stream that may be sent three times.
var threeAttempts = routes.Route{Kind: routes.Stream, Resumable: true, MaxAttempts: 3, Objective: 200 * time.Millisecond, EventGap: 150 * time.Millisecond}

// silentFor returns a stream that pauses for d after its first event.
func silentFor(d time.Duration, first string, rest ...string) reply {
	r := ok(append([]string{first}, rest...)...)
	r.pauseBefore = map[int]time.Duration{1: d}
	return r
}

// A replacement that falls silent in its turn is replaced too, as long as the route and the budget
// allow it.
func TestSilentReplacementIsReplaced(t *testing.T) {
	for name, second := range map[string]reply{
		"after its first event":  silentFor(time.Hour, sse(2), sse(3)),
		"before its first event": {status: http.StatusOK, chunks: []string{sse(2)}, pauseBefore: map[int]time.Duration{0: time.Hour}},
	} {
		t.Run(name, func(t *testing.T) {
			third := ok(sse(2), sse(3))
			if name == "after its first event" {
				third = ok(sse(3))
			}
			got := runScenario(t, scenario{
				route: threeAttempts, plans: []string{"a", "b", "c"}, budget: 2, timeout: 8 * time.Second,
				sends: []reply{silentFor(time.Hour, sse(1), sse(2)), second, third},
			})
			if got.Code != "" || got.Body != sse(1)+sse(2)+sse(3) {
				t.Errorf("%+v", got)
			}
		})
	}
}

// The overlap of a stream with one replacement does not limit that with a later one.
func TestOverlapIsCountedPerReplacement(t *testing.T) {
	fourAttempts := threeAttempts
	fourAttempts.MaxAttempts = 4
	refused := notRun()
	refused.responseDelay = 100 * time.Millisecond
	late := notRun()
	late.connectDelay = 200 * time.Millisecond
	got := runScenario(t, scenario{
		route: fourAttempts, plans: []string{"a", "b", "c"}, budget: 2, timeout: 8 * time.Second,
		sends: []reply{silentAfter(sse(1), sse(2)), refused, late},
	})
	if got.Code != "" || got.Body != sse(1)+sse(2) {
		t.Errorf("%+v", got)
	}
}

// A stream that ends while it is held is complete.
func TestStreamThatEndsWhileHeldIsComplete(t *testing.T) {
	lost := connectionLost()
	lost.responseDelay = 300 * time.Millisecond
	got := runScenario(t, scenario{
		route: resumableStream, plans: []string{"a", "b"}, budget: 1, timeout: 8 * time.Second,
		sends: []reply{silentFor(400*time.Millisecond, sse(1), ""), lost},
	})
	if got.Code != "" || got.Body != sse(1) {
		t.Errorf("%+v", got)
	}
}

// A stream goes on if its replacement breaks before maxOverlap has passed. One that breaks later is
// replaced itself, if the route allows a further attempt: the stream was released, since two engines must
// not work on one request for longer.
func TestReplacementThatBreaksBeforeItResponds(t *testing.T) {
	for _, tc := range []struct {
		name  string
		after time.Duration
		route routes.Route
		want  outcome
	}{
		{"within the overlap, in the last attempt", 200 * time.Millisecond, resumableStream,
			outcome{Body: sse(1) + sse(2), Calls: []string{"send a", "send b after 1"}, Retries: 1, Attempts: 2, Elapsed: silence}},
		{"after the overlap", 300 * time.Millisecond, threeAttempts,
			outcome{Body: sse(1) + sse(2), Calls: []string{"send a", "send b after 1", "send c after 1"}, Retries: 2, Attempts: 3, Elapsed: 600 * time.Millisecond}},
		{"after the overlap, in the last attempt", 300 * time.Millisecond, resumableStream,
			outcome{Body: sse(1), Calls: []string{"send a", "send b after 1"}, Retries: 1, Attempts: 2, Elapsed: 600 * time.Millisecond, Code: failure.EndpointBroke, Ran: failure.Unknown}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			lost := connectionLost()
			lost.responseDelay = tc.after
			got := runScenario(t, scenario{
				route: tc.route, plans: []string{"a", "b", "c"}, budget: 2, timeout: 8 * time.Second,
				sends: []reply{silentAfter(sse(1), sse(2)), lost, ok(sse(2))},
			})
			tc.want.Status, tc.want.HeadSent = 200, true
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// An error response of a replacement does not end a stream that has not begun.
func TestErrorOfReplacementDoesNotEndSilentStream(t *testing.T) {
	got := runScenario(t, scenario{
		route: resumableStream, plans: []string{"a", "b"}, budget: 1, timeout: 8 * time.Second,
		sends: []reply{{status: 200, chunks: []string{sse(1)}, pauseBefore: map[int]time.Duration{0: silence}}, serverError("bad")},
	})
	if got.Status != http.StatusOK || got.Body != sse(1) {
		t.Errorf("%+v", got)
	}
}

// Replacements that cannot be reached take one retry at most, as attempts that do not reach their endpoint.
func TestUnreachableReplacementsTakeOneRetry(t *testing.T) {
	got := runScenario(t, scenario{
		route: threeAttempts, plans: []string{"a", "b", "c", "d"}, budget: 3, timeout: 8 * time.Second,
		sends: []reply{silentAfter(sse(1), sse(2)), unreachable(), unreachable(), unreachable()},
	})
	if got.Retries > 1 {
		t.Errorf("%+v", got)
	}
}

// A replacement that cannot be reached uses up none of the route's attempts.
func TestUnreachableReplacementUsesNoAttempt(t *testing.T) {
	got := runScenario(t, scenario{
		route: resumableStream, plans: []string{"a", "b", "c"}, budget: 3, timeout: 8 * time.Second,
		sends: []reply{silentFor(time.Hour, sse(1), sse(2)), unreachable(), ok(sse(2))},
	})
	if got.Code != "" || got.Body != sse(1)+sse(2) {
		t.Errorf("%+v", got)
	}
}

// A replacement that is not sent as planned uses up none of the route's attempts either.
func TestWithdrawnReplacementUsesNoAttempt(t *testing.T) {
	got := runScenario(t, scenario{
		route: resumableStream, plans: []string{"a", "b", "c"}, budget: 3, timeout: 8 * time.Second,
		sends:    []reply{silentFor(time.Hour, sse(1), sse(2)), ok(sse(2))},
		unusable: map[string]PlanChange{"b": EndpointEjected},
	})
	if got.Code != "" || got.Body != sse(1)+sse(2) {
		t.Errorf("%+v", got)
	}
}

// A request whose route allows three attempts makes three.
func TestRefusedReplacementIsReplaced(t *testing.T) {
	got := runScenario(t, scenario{
		route: threeAttempts, plans: []string{"a", "b", "c"}, budget: 3, timeout: 8 * time.Second,
		sends: []reply{silentFor(time.Hour, sse(1), sse(2)), notRun(), ok(sse(2))},
	})
	if got.Code != "" || got.Body != sse(1)+sse(2) {
		t.Errorf("%+v", got)
	}
}

// A run that was continued on its backup does not go on at its first engine, even if the backup is lost:
// two engines must not work on it.
func TestRunDoesNotGoOnOnceItsBackupWasSent(t *testing.T) {
	resumes := ok(sse(1), sse(2), sse(3), sse(4))
	resumes.pauseBefore = map[int]time.Duration{1: 650 * time.Millisecond, 2: 450 * time.Millisecond, 3: 450 * time.Millisecond}
	for name, backup := range map[string]reply{
		"the backup accepts the run and is silent": {hang: true},
		"the backup is lost with the run":          connectionLost(),
	} {
		t.Run(name, func(t *testing.T) {
			sc := scenario{route: stream, plans: []string{"a+b", "b"}, timeout: 8 * time.Second, sends: []reply{resumes, backup}}
			got := runScenario(t, sc.clone())
			const backupSent, allowed = 600 * time.Millisecond, 400 * time.Millisecond
			if lastFromA := strings.Contains(got.Body, sse(4)); len(got.Calls) == 2 && lastFromA && got.Elapsed > backupSent+allowed {
				t.Errorf("a worked on the run for %v after it was sent to b: %+v", got.Elapsed-backupSent, got)
			}
		})
	}
}

// A stopping VM does not plan replacements that it will not send: they take retries from the budget, and
// without a pause between them a processor.
func TestStoppingVMTriesNoReplacement(t *testing.T) {
	plans := []string{"a+b"}
	for range 1000 {
		plans = append(plans, "b")
	}
	var states []AttemptState
	runScenario(t, scenario{
		route: stream, plans: plans, timeout: 8 * time.Second, states: &states,
		sends:      []reply{silentFor(2*time.Second, sse(1), sse(2)), notRun()},
		shutdownAt: stopAfter(100 * time.Millisecond),
	})
	if len(states) > 100 {
		t.Errorf("%d plans for one silence of two seconds", len(states))
	}
}

// The same for a resumable stream: no retry is taken for an attempt that is not sent.
func TestStoppingVMTakesNoRetry(t *testing.T) {
	plans := []string{"a"}
	for range 50 {
		plans = append(plans, "b")
	}
	got := runScenario(t, scenario{
		route: threeAttempts, plans: plans, budget: 50, timeout: 8 * time.Second,
		sends:      []reply{silentAfter(sse(1), sse(2)), notRun()},
		shutdownAt: stopAfter(100 * time.Millisecond),
	})
	if got.Retries > 1 {
		t.Errorf("%d retries taken from the budget, %d sent", got.Retries, len(got.Calls))
	}
}

// stopAfter returns a planned shutdown that becomes known after delay and is near then.
func stopAfter(delay time.Duration) func() time.Time {
	var start time.Time
	return func() time.Time {
		if start.IsZero() {
			start = time.Now()
		}
		if time.Since(start) < delay {
			return time.Time{}
		}
		return start.Add(delay)
	}
}

// switchingRouter routes to another service from a time on.
type switchingRouter struct {
	at      time.Duration
	start   time.Time
	service string
}

func (r *switchingRouter) Admit(*Request) *failure.Request { return nil }

func (r *switchingRouter) Route(req *Request) (*Request, *failure.Request) {
	if r.start.IsZero() {
		r.start = time.Now()
	}
	if time.Since(r.start) < r.at || req.Service == r.service {
		return req, nil
	}
	out := *req
	out.Service = r.service
	return &out, nil
}

// A request without a head whose engine is frozen follows its route to another service.
func TestSilentStreamFollowsItsRoute(t *testing.T) {
	got := runScenario(t, scenario{
		route: resumableStream, plans: []string{"a", "b"}, budget: 2, timeout: 8 * time.Second,
		sends:  []reply{{status: 200, chunks: []string{sse(1)}, pauseBefore: map[int]time.Duration{0: time.Hour}}, ok(sse(1))},
		router: &switchingRouter{at: 100 * time.Millisecond, service: "t"},
	})
	if got.Code != "" || got.Body != sse(1) {
		t.Errorf("%+v", got)
	}
}

// watchedPlanner records when the plans of an endpoint are finished.
type watchedPlanner struct {
	*fakePlanner
	finished map[string]time.Time
}

type recordingWatch struct {
	Watch
	p  *watchedPlanner
	id string
}

func (w recordingWatch) Finished(failed *failure.Request, abandoned bool) {
	w.p.finished[w.id] = time.Now()
	w.Watch.Finished(failed, abandoned)
}

func (p *watchedPlanner) Plan(r *Request, s AttemptState) (Plan, *failure.Request) {
	plan, failed := p.fakePlanner.Plan(r, s)
	if failed == nil {
		plan.Watch = recordingWatch{plan.Watch, p, plan.Serve.ID}
	}
	return plan, failed
}

// The plan of a stream that was given up is finished then, and not when its replacement has ended: until
// then its endpoint counts as loaded and as sound.
func TestGivenUpStreamIsFinishedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		long := ok(sse(2), sse(3), sse(4))
		long.pauseBefore = map[int]time.Duration{1: 250 * time.Millisecond, 2: 250 * time.Millisecond}
		upstream := &fakeUpstream{sends: []reply{silentFor(time.Hour, sse(1), sse(2)), long}}
		p := &watchedPlanner{&fakePlanner{pending: []string{"a", "b"}, registry: directory.New(nil), unusable: map[string]PlanChange{}}, map[string]time.Time{}}
		relay := New(Config{Planner: p, Upstream: upstream, Budget: func(string) Budget { return &fakeBudget{left: 1} }, Endpoints: p.registry.Snapshot})
		start := time.Now()
		relay.Serve(t.Context(), &Request{ID: "r", Route: &resumableStream, Service: "s", Received: start, Deadline: start.Add(8 * time.Second)}, &fakeWriter{})
		if d := p.finished["a"].Sub(start); d > 600*time.Millisecond {
			t.Errorf("the attempt on a was given up after 0.3 s and finished after %v; b finished after %v", d, p.finished["b"].Sub(start))
		}
		synctest.Wait()
	})
}

// pairPlanner plans a, and then whichever of a and b was not tried.
type pairPlanner struct{ *fakePlanner }

func (p pairPlanner) Plan(r *Request, s AttemptState) (Plan, *failure.Request) {
	p.pending = nil
	for _, id := range []string{"a", "b"} {
		if !slices.Contains(s.Tried, id) {
			p.pending = append(p.pending, id)
		}
	}
	return p.fakePlanner.Plan(r, s)
}

func (p pairPlanner) Available(_ *Request, s AttemptState) bool {
	return !slices.Contains(s.Tried, "a") || !slices.Contains(s.Tried, "b")
}

// A stalled replacement is not abandoned in favour of the endpoint that it replaces.
func TestReplacementIsNotAbandonedForItsPredecessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := threeAttempts
		route.Objective = 600 * time.Millisecond
		planner := &fakePlanner{registry: directory.New(nil), unusable: map[string]PlanChange{}}
		upstream := &firstStream{silentUpstream: silentUpstream{silence: 500 * time.Millisecond}, first: silentFor(time.Hour, sse(1), sse(2))}
		relay := New(Config{Planner: pairPlanner{planner}, Upstream: upstream, Budget: func(string) Budget { return &lockedBudget{left: 2} }, Endpoints: planner.registry.Snapshot})
		writer := &fakeWriter{}
		result := relay.Serve(t.Context(), &Request{ID: "r", Route: &route, Service: "s", Received: time.Now(), Deadline: time.Now().Add(8 * time.Second)}, writer)
		if result.Failure != nil || writer.body.String() != sse(1)+sse(2) {
			t.Errorf("%v %q", result.Failure, writer.body.String())
		}
		synctest.Wait()
	})
}

// firstStream answers the first attempt at once and the others after a silence.
type firstStream struct {
	silentUpstream
	first reply
	sent  bool
}

func (u *firstStream) Send(ctx context.Context, a *Attempt) (Response, *failure.Request) {
	if !u.sent {
		u.sent = true
		_ = a.BeforeSend()
		return &fakeResponse{reply: u.first, ctx: ctx, upstream: &u.fakeUpstream}, nil
	}
	response, failed := u.silentUpstream.Send(ctx, a)
	if failed == nil {
		response.(*fakeResponse).reply = ok(sse(2))
	}
	return response, failed
}
