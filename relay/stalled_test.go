package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
)

// lockedBudget is a Budget shared by concurrent requests.
type lockedBudget struct {
	mu   sync.Mutex
	left int
}

func (b *lockedBudget) First() {}

func (b *lockedBudget) Available() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left > 0
}

func (b *lockedBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left--
	return b.left >= 0
}

// Requests that stall together before their responses do not all abandon their attempts for one retry.
func TestStalledRequestsShareOneRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := &lockedBudget{left: 1}
		var wg sync.WaitGroup
		var mu sync.Mutex
		cut := 0
		for range 10 {
			planner := &fakePlanner{pending: []string{"a", "b"}, registry: directory.New(nil), unusable: map[string]PlanChange{}}
			stalled := &silentUpstream{silence: silence}
			relay := New(Config{Planner: planner, Upstream: stalled, Budget: func(string) Budget { return budget }, Endpoints: planner.registry.Snapshot})
			wg.Go(func() {
				result := relay.Serve(t.Context(), &Request{ID: "r", Route: &idempotent, Service: "s", Received: time.Now(), Deadline: time.Now().Add(8 * time.Second)}, &fakeWriter{})
				mu.Lock()
				defer mu.Unlock()
				if result.Failure != nil {
					cut++
				}
			})
		}
		wg.Wait()
		if cut > 0 {
			t.Errorf("%d of 10 requests failed although every endpoint would have responded after %v", cut, silence)
		}
	})
}

// silentUpstream responds after a silence, unless the attempt is given up.
type silentUpstream struct {
	fakeUpstream
	silence time.Duration
}

func (u *silentUpstream) Send(ctx context.Context, a *Attempt) (Response, *failure.Request) {
	if failed := a.BeforeSend(); failed != nil {
		return nil, failed
	}
	select {
	case <-time.After(u.silence):
	case <-ctx.Done():
		return nil, &failure.Request{Code: failure.EndpointBroke, Ran: failure.Unknown, Cause: ctx.Err()}
	}
	u.mu.Lock()
	u.open++
	u.mu.Unlock()
	return &fakeResponse{reply: ok("x"), ctx: ctx, upstream: &u.fakeUpstream}, nil
}

// optimisticPlanner is available but refuses the second plan, as a planner does whose endpoints cannot
// respond before the deadline.
type optimisticPlanner struct{ *fakePlanner }

func (optimisticPlanner) Available(*Request, AttemptState) bool { return true }

// A stalled attempt is not abandoned for a plan that is then refused.
func TestStalledAttemptIsNotAbandonedForRefusedPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		planner := &fakePlanner{pending: []string{"a"}, registry: directory.New(nil), unusable: map[string]PlanChange{}}
		relay := New(Config{Planner: optimisticPlanner{planner}, Upstream: &silentUpstream{silence: silence}, Budget: func(string) Budget { return &lockedBudget{left: 1} }, Endpoints: planner.registry.Snapshot})
		result := relay.Serve(t.Context(), &Request{ID: "r", Route: &idempotent, Service: "s", Received: time.Now(), Deadline: time.Now().Add(8 * time.Second)}, &fakeWriter{})
		if result.Failure != nil {
			t.Errorf("%+v", result.Failure)
		}
	})
}

// A caller that leaves while its stream is held takes no further retry.
func TestCallerThatLeavesTakesNoFurtherRetry(t *testing.T) {
	plans := []string{"a"}
	for range 50 {
		plans = append(plans, "b")
	}
	got := runScenario(t, scenario{
		route: threeAttempts, plans: plans, budget: 50, timeout: 8 * time.Second,
		sends:   []reply{silentFor(time.Hour, sse(1), sse(2)), {hang: true}, notRun()},
		actions: []scheduledAction{{after: 400 * time.Millisecond, do: func(e *environment) { e.disconnect() }}},
	})
	if got.Retries > 1 {
		t.Errorf("%d retries taken, calls %v", got.Retries, got.Calls)
	}
}

// servicePlanner has a plan for a service only while it exists.
type servicePlanner struct {
	*fakePlanner
	gone map[string]time.Time
}

func (p servicePlanner) Available(r *Request, s AttemptState) bool {
	gone, ok := p.gone[r.Service]
	return (!ok || time.Now().Before(gone)) && p.fakePlanner.Available(r, s)
}

// An attempt that has stalled before its response follows its route to another service, also if the old
// service has no endpoint left.
func TestStalledRequestFollowsItsRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakePlanner{pending: []string{"a", "b"}, registry: directory.New(nil), unusable: map[string]PlanChange{}}
		planner := servicePlanner{fake, map[string]time.Time{"s": time.Now().Add(20 * time.Millisecond)}}
		upstream := &fakeUpstream{sends: []reply{{hang: true}, ok("b")}}
		relay := New(Config{
			Planner: planner, Upstream: upstream, Budget: func(string) Budget { return &lockedBudget{left: 1} }, Endpoints: fake.registry.Snapshot,
			Router: &switchingRouter{at: 20 * time.Millisecond, service: "t"},
		})
		result := relay.Serve(t.Context(), &Request{ID: "r", Route: &idempotent, Service: "s", Received: time.Now(), Deadline: time.Now().Add(8 * time.Second)}, &fakeWriter{})
		if result.Failure != nil {
			t.Errorf("%+v", result.Failure)
		}
	})
}

// verdictWatch records whether its attempt was reported as a failure of the endpoint.
type verdictWatch struct {
	Watch
	blamed *bool
}

func (w verdictWatch) Finished(failed *failure.Request, abandoned bool) {
	*w.blamed = failed != nil && !abandoned
	w.Watch.Finished(failed, abandoned)
}

type verdictPlanner struct {
	*fakePlanner
	blamed bool
}

func (p *verdictPlanner) Plan(r *Request, s AttemptState) (Plan, *failure.Request) {
	plan, failed := p.fakePlanner.Plan(r, s)
	plan.Watch = verdictWatch{plan.Watch, &p.blamed}
	return plan, failed
}

// An endpoint that is frozen until the deadline is reported as failed even if there was no replacement:
// else it keeps receiving requests.
func TestFrozenEndpointIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		planner := &verdictPlanner{fakePlanner: &fakePlanner{pending: []string{"a"}, registry: directory.New(nil), unusable: map[string]PlanChange{}}}
		upstream := &fakeUpstream{sends: []reply{silentFor(time.Hour, sse(1), sse(2))}}
		relay := New(Config{Planner: planner, Upstream: upstream, Budget: func(string) Budget { return &lockedBudget{} }, Endpoints: planner.registry.Snapshot})
		relay.Serve(t.Context(), &Request{ID: "r", Route: &resumableStream, Service: "s", Received: time.Now(), Deadline: time.Now().Add(8 * time.Second)}, &fakeWriter{})
		if !planner.blamed {
			t.Error("an endpoint that was silent for 8 s has no failure")
		}
		synctest.Wait()
	})
}

// slowWriter is a caller that accepts nothing for some time after the first event.
type slowWriter struct {
	fakeWriter
	pause time.Duration
}

func (w *slowWriter) Write(p []byte) error {
	time.Sleep(w.pause)
	return w.fakeWriter.Write(p)
}

// Guards against endpoints that are ejected because callers do not read their answers: an endpoint breaks off one that
// stays unread for some seconds.
func TestUnreadAnswerIsNoFailureOfEndpoint(t *testing.T) {
	for _, tc := range []struct {
		name   string
		pause  time.Duration
		code   failure.Reason
		blamed bool
	}{
		{"the caller reads nothing for seconds", 3 * time.Second, failure.AnswerUnread, false},
		{"the caller reads", 10 * time.Millisecond, failure.AnswerTruncated, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				planner := &verdictPlanner{fakePlanner: &fakePlanner{pending: []string{"a"}, registry: directory.New(nil), unusable: map[string]PlanChange{}}}
				broken := ok(sse(1), sse(2), sse(3), sse(4))
				broken.err = unix.ECONNRESET
				relay := New(Config{
					Planner: planner, Upstream: &fakeUpstream{sends: []reply{broken}}, Budget: func(string) Budget { return &lockedBudget{} },
					Endpoints: planner.registry.Snapshot,
				})
				result := relay.Serve(t.Context(), &Request{ID: "r", Route: &stream, Service: "s", Received: time.Now()}, &slowWriter{pause: tc.pause})
				if result.Failure == nil || result.Failure.Code != tc.code || planner.blamed != tc.blamed {
					t.Errorf("failure %v, the endpoint is blamed: %t", result.Failure, planner.blamed)
				}
			})
		})
	}
}
