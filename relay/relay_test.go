package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/routes"
)

// reply is how the fake upstream answers one call.
type reply struct {
	failed *failure.Request
	status int
	// chunks are the reads of the body, each after chunkDelay.
	chunks     []string
	chunkDelay time.Duration
	// pauseBefore holds pauses before single reads, by index.
	pauseBefore map[int]time.Duration
	// err ends the body; nil ends it with io.EOF.
	err error
	// hang makes the call block until its context ends.
	hang bool
	// connectDelay delays the connection, and responseDelay the response.
	connectDelay, responseDelay time.Duration
}

// ok returns a successful response.
func ok(chunks ...string) reply { return reply{status: http.StatusOK, chunks: chunks} }

// serverError returns an error response of the endpoint.
func serverError(body string) reply {
	return reply{status: http.StatusInternalServerError, chunks: []string{body}}
}

func notRun() reply {
	return reply{failed: &failure.Request{Code: failure.EndpointRefused, Ran: failure.NotRun}}
}

func unreachable() reply {
	return reply{failed: &failure.Request{Code: failure.EndpointUnreachable, Ran: failure.NotRun}}
}

func connectionLost() reply {
	return reply{failed: &failure.Request{Code: failure.EndpointBroke, Ran: failure.Unknown}}
}

var errReset = errors.New("connection reset")

func truncated(chunks ...string) reply {
	return reply{status: http.StatusOK, chunks: chunks, err: errReset}
}

// fakeUpstream is an Upstream with predefined replies that records its calls.
type fakeUpstream struct {
	mu       sync.Mutex
	sends    []reply
	prefills []reply
	calls    []string
	freed    []string
	// open counts the responses that were not closed.
	open int
	// runsArrived and prefillsArrived count the calls that may have reached an endpoint.
	runsArrived, prefillsArrived int
}

// extraArrivals returns the number of calls beyond the first run and the first prefill.
func (u *fakeUpstream) extraArrivals() int {
	return max(0, u.runsArrived-1) + max(0, u.prefillsArrived-1)
}

func (u *fakeUpstream) record(format string, args ...any) {
	u.calls = append(u.calls, fmt.Sprintf(format, args...))
}

func (u *fakeUpstream) Send(ctx context.Context, a *Attempt) (Response, *failure.Request) {
	u.mu.Lock()
	call := "send " + a.Endpoint.ID
	if a.CopyFrom != nil {
		call += " copying from " + a.CopyFrom.ID
	}
	if a.Import != nil {
		call += " import " + a.Import.ID
	}
	if a.LastEventID > 0 {
		call += fmt.Sprint(" after ", a.LastEventID)
	}
	if a.Backup != nil {
		call += " backed up by " + a.Backup.ID
	}
	next := u.sends[0]
	u.mu.Unlock()
	time.Sleep(next.connectDelay)
	if failed := a.BeforeSend(); failed != nil {
		return nil, failed
	}
	u.mu.Lock()
	u.record("%s", call)
	if resumes := a.Import != nil && a.Import.ID == a.Request.ID; !isUnreachable(next.failed) && !resumes {
		u.runsArrived++
	}
	u.sends = u.sends[1:]
	u.mu.Unlock()
	if failed := next.wait(ctx); failed != nil {
		return nil, failed
	}
	u.mu.Lock()
	u.open++
	u.mu.Unlock()
	return &fakeResponse{reply: next, ctx: ctx, upstream: u}, nil
}

func (r *reply) wait(ctx context.Context) *failure.Request {
	if r.hang {
		<-ctx.Done()
		return &failure.Request{Code: failure.EndpointBroke, Ran: failure.Unknown, Cause: ctx.Err()}
	}
	time.Sleep(r.responseDelay)
	return r.failed
}

func (u *fakeUpstream) Prefill(ctx context.Context, a *Attempt) (*KVHandle, *failure.Request) {
	u.mu.Lock()
	call := "prefill " + a.Endpoint.ID
	if a.CopyFrom != nil {
		call += " copying from " + a.CopyFrom.ID
	}
	next := u.prefills[0]
	u.mu.Unlock()
	time.Sleep(next.connectDelay)
	if failed := a.BeforeSend(); failed != nil {
		return nil, failed
	}
	u.mu.Lock()
	u.record("%s", call)
	if !isUnreachable(next.failed) {
		u.prefillsArrived++
	}
	u.prefills = u.prefills[1:]
	id := fmt.Sprint("kv", len(u.calls))
	u.mu.Unlock()
	if failed := next.wait(ctx); failed != nil {
		return nil, failed
	}
	return &KVHandle{Endpoint: a.Endpoint, ID: id}, nil
}

func (u *fakeUpstream) Free(_ context.Context, h *KVHandle) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.freed = append(u.freed, h.ID)
	return nil
}

// fakeResponse is the Response of a fakeUpstream.
type fakeResponse struct {
	reply
	ctx      context.Context
	upstream *fakeUpstream
	reads    int
}

func (r *fakeResponse) Status() int         { return r.status }
func (r *fakeResponse) Header() http.Header { return http.Header{"X": {"1"}} }
func (r *fakeResponse) Length() int64       { return -1 }
func (r *fakeResponse) Close() {
	r.upstream.mu.Lock()
	defer r.upstream.mu.Unlock()
	r.upstream.open--
}

func (r *fakeResponse) Read(p []byte) (int, error) {
	if len(r.chunks) == 0 {
		if r.err != nil {
			return 0, r.err
		}
		return 0, io.EOF
	}
	select {
	case <-time.After(r.chunkDelay + r.pauseBefore[r.reads]):
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	}
	r.reads++
	n := copy(p, r.chunks[0])
	if r.chunks[0] = r.chunks[0][n:]; r.chunks[0] == "" {
		r.chunks = r.chunks[1:]
	}
	return n, nil
}

// fakePlanner is a Planner that returns predefined plans in order. A plan is written as
// [COPYFROM:][PREFILL/]SERVE[+BACKUP], where each part is the ID of an endpoint.
type fakePlanner struct {
	pending []string
	states  []AttemptState
	open    int
	// registry holds the endpoints, which are registered when they are first planned.
	registry *directory.Directory
	// software holds the software versions of the endpoints.
	software map[string]string
	// mu guards open, and unusable, the endpoints that Recheck rejects, with the reason.
	mu       sync.Mutex
	unusable map[string]PlanChange
}

func (p *fakePlanner) endpoint(id string) *directory.Endpoint {
	if p.registry.Snapshot().Endpoint(id) == nil {
		p.registry.Put(directory.Registration{ID: id, Service: "s", SoftwareVersion: p.software[id]})
	}
	return p.registry.Snapshot().Endpoint(id)
}

func (p *fakePlanner) Plan(_ *Request, state AttemptState) (Plan, *failure.Request) {
	p.states = append(p.states, state)
	if !p.Available(nil, state) {
		return Plan{}, &failure.Request{Code: failure.NoEndpoint, Ran: failure.NotRun, RetryAfter: time.Second}
	}
	next := p.pending[0]
	p.pending = p.pending[1:]
	p.count(1)
	plan := Plan{Watch: (*fakeWatch)(p)}
	if rest, backup, copied := strings.Cut(next, "+"); copied {
		plan.Backup, next = p.endpoint(backup), rest
	}
	if state.Resume != nil && next != state.Resume.ID {
		return Plan{}, &failure.Request{Code: failure.Internal, Message: "the run must resume on " + state.Resume.ID}
	}
	if from, rest, copies := strings.Cut(next, ":"); copies {
		plan.CopyFrom, next = p.endpoint(from), rest
	}
	if prefill, serve, split := strings.Cut(next, "/"); split {
		next = serve
		if !state.Colocated {
			plan.Prefill = p.endpoint(prefill)
		}
	}
	plan.Serve = p.endpoint(next)
	return plan, nil
}

// Available reports whether a plan is left.
func (p *fakePlanner) Available(*Request, AttemptState) bool { return len(p.pending) > 0 }

// fakeWatch is the Watch of a fakePlanner's plans.
type fakeWatch fakePlanner

func (w *fakeWatch) Recheck(e *directory.Endpoint) PlanChange {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unusable[e.ID]
}

func (w *fakeWatch) Prefilled(*failure.Request, bool) {}
func (w *fakeWatch) FirstEvent()                      {}
func (w *fakeWatch) Event()                           {}
func (w *fakeWatch) Finished(*failure.Request, bool)  { (*fakePlanner)(w).count(-1) }

// count changes the number of open plans.
func (p *fakePlanner) count(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open += n
}

// fakeBudget is a Budget with a fixed number of retries.
type fakeBudget struct{ firstAttempts, taken, left int }

func (b *fakeBudget) First()          { b.firstAttempts++ }
func (b *fakeBudget) Available() bool { return b.left > 0 }
func (b *fakeBudget) Take() bool {
	if b.left == 0 {
		return false
	}
	b.left--
	b.taken++
	return true
}

// fakeWriter is a ResponseWriter that records the response.
type fakeWriter struct {
	status       int
	body         bytes.Buffer
	disconnected bool
}

func (w *fakeWriter) WriteHead(status int, _ http.Header, _ int64) error {
	w.status = status
	return w.err()
}

func (w *fakeWriter) Write(p []byte) error {
	w.body.Write(p)
	return w.err()
}

func (w *fakeWriter) err() error {
	if w.disconnected {
		return errors.New("caller disconnected")
	}
	return nil
}

// scenario is one request with its environment.
type scenario struct {
	route        routes.Route
	plans        []string
	sends        []reply
	prefills     []reply
	budget       int
	lastEventID  int
	disconnected bool
	timeout      time.Duration
	// actions run while the request is in progress, each after its delay.
	actions []scheduledAction
	// unusable are the endpoints that the planner's recheck rejects from the start.
	unusable map[string]PlanChange
	// software holds the software versions of the endpoints.
	software map[string]string
	// origin is the ID of the request that began the stream which the request takes up.
	origin string
	// guard, router, origins, shutdownAt and late are passed to Config.
	guard      Guard
	router     Router
	origins    Origins
	shutdownAt func() time.Time
	late       func() bool
	// states, if set, receives what each plan was made for.
	states *[]AttemptState
}

// clone returns a copy that can run independently of s.
func (s scenario) clone() scenario {
	s.sends, s.prefills = cloneReplies(s.sends), cloneReplies(s.prefills)
	return s
}

func cloneReplies(replies []reply) []reply {
	out := slices.Clone(replies)
	for i := range out {
		out[i].chunks = slices.Clone(out[i].chunks)
	}
	return out
}

// outcome is the observable result of a scenario.
type outcome struct {
	Status   int
	Body     string
	Code     failure.Reason
	Ran      failure.Outcome
	HeadSent bool
	Calls    []string
	Freed    []string
	Retries  int
	Attempts int
	Elapsed  time.Duration
}

// scheduledAction is an action that runs while a request is in progress.
type scheduledAction struct {
	after time.Duration
	do    func(*environment)
}

// environment is what a scheduledAction can change.
type environment struct {
	planner    *fakePlanner
	disconnect func()
}

// runScenario runs the request of a scenario and checks that it leaves no response and no plan
// open.
func runScenario(t *testing.T, s scenario) outcome {
	t.Helper()
	var out outcome
	synctest.Test(t, func(t *testing.T) {
		upstream := &fakeUpstream{sends: s.sends, prefills: s.prefills}
		planner := &fakePlanner{pending: s.plans, registry: directory.New(nil), unusable: s.unusable, software: s.software}
		if planner.unusable == nil {
			planner.unusable = map[string]PlanChange{}
		}
		budget, otherBudget := &fakeBudget{left: s.budget}, &fakeBudget{left: s.budget}
		relay := New(Config{
			Planner: planner, Upstream: upstream, Budget: func(service string) Budget {
				if service == "s" {
					return budget
				}
				return otherBudget
			},
			Guard: s.guard, Router: s.router, Endpoints: planner.registry.Snapshot, ShutdownAt: s.shutdownAt, LateInShutdown: s.late, Origins: s.origins,
		})
		req := &Request{ID: "r", Route: &s.route, Service: "s", Received: time.Now(), LastEventID: s.lastEventID, Origin: s.origin}
		if s.timeout > 0 {
			req.Deadline = time.Now().Add(s.timeout)
		}
		writer := &fakeWriter{disconnected: s.disconnected}
		ctx, disconnect := context.WithCancel(t.Context())
		defer disconnect()
		for _, action := range s.actions {
			time.AfterFunc(action.after, func() { action.do(&environment{planner: planner, disconnect: disconnect}) })
		}
		start := time.Now()
		result := relay.Serve(ctx, req, writer)
		out.Elapsed = time.Since(start)
		synctest.Wait()
		if s.states != nil {
			*s.states = planner.states
		}
		out.Status, out.Body, out.HeadSent = writer.status, writer.body.String(), result.HeadSent
		if result.Failure != nil {
			out.Code, out.Ran = result.Failure.Code, result.Failure.Ran
		}
		if unpaid := upstream.extraArrivals() - budget.taken - otherBudget.taken - otherBudget.firstAttempts; unpaid > 0 {
			t.Errorf("%d attempts that may have reached an endpoint took nothing from the retry budget: %q", unpaid, upstream.calls)
		}
		out.Calls, out.Freed, out.Retries, out.Attempts = upstream.calls, upstream.freed, budget.taken, result.Attempts
		if upstream.open != 0 || planner.open != 0 || budget.firstAttempts != 1 {
			t.Errorf("open responses: %d, want 0; open plans: %d, want 0; first attempts recorded: %d, want 1", upstream.open, planner.open, budget.firstAttempts)
		}
	})
	return out
}

// sse returns the event with ID n.
func sse(n int) string { return fmt.Sprintf("id: %d\ndata: x%d\n\n", n, n) }

var (
	nonIdempotent   = routes.Route{Kind: routes.NonIdempotent, MaxAttempts: 3, Objective: 100 * time.Millisecond}
	idempotent      = routes.Route{Kind: routes.Idempotent, MaxAttempts: 2, Objective: 100 * time.Millisecond}
	stream          = routes.Route{Kind: routes.Stream, MaxAttempts: 1, Objective: 200 * time.Millisecond, EventGap: 150 * time.Millisecond}
	resumableStream = routes.Route{Kind: routes.Stream, Resumable: true, MaxAttempts: 2, Objective: 200 * time.Millisecond, EventGap: 150 * time.Millisecond}
)

func TestBufferedResponses(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setup scenario
		want  outcome
	}{
		{"answered", scenario{route: nonIdempotent, plans: []string{"a"}, sends: []reply{ok("whole")}},
			outcome{Status: 200, Body: "whole", HeadSent: true, Calls: []string{"send a"}, Attempts: 1}},
		{"an error response is forwarded", scenario{route: nonIdempotent, plans: []string{"a"}, sends: []reply{{status: 500, chunks: []string{"bad"}}}},
			outcome{Status: 500, Body: "bad", HeadSent: true, Calls: []string{"send a"}, Attempts: 1}},
		{"refused, then successful", scenario{route: nonIdempotent, plans: []string{"a", "b"}, budget: 1, sends: []reply{notRun(), ok("b")}},
			outcome{Status: 200, Body: "b", HeadSent: true, Calls: []string{"send a", "send b"}, Retries: 1, Attempts: 2}},
		{"refused, without budget", scenario{route: nonIdempotent, plans: []string{"a", "b"}, sends: []reply{notRun()}},
			outcome{Code: failure.EndpointRefused, Ran: failure.NotRun, Calls: []string{"send a"}, Attempts: 1}},
		{"a non-idempotent request is not repeated after a lost connection", scenario{route: nonIdempotent, plans: []string{"a", "b"}, budget: 1, sends: []reply{connectionLost()}},
			outcome{Code: failure.EndpointBroke, Ran: failure.Unknown, Calls: []string{"send a"}, Attempts: 1}},
		{"a truncated response is not forwarded", scenario{route: nonIdempotent, plans: []string{"a", "b"}, budget: 1, sends: []reply{truncated("ha")}},
			outcome{Code: failure.AnswerTruncated, Ran: failure.Unknown, Calls: []string{"send a"}, Attempts: 1}},
		{"an idempotent request is repeated after a truncated response", scenario{route: idempotent, plans: []string{"a", "b"}, budget: 1, sends: []reply{truncated("ha"), ok("b")}},
			outcome{Status: 200, Body: "b", HeadSent: true, Calls: []string{"send a", "send b"}, Retries: 1, Attempts: 2}},
		{"no more attempts than the route allows", scenario{route: idempotent, plans: []string{"a", "b", "c"}, budget: 5, sends: []reply{connectionLost(), connectionLost()}},
			outcome{Code: failure.EndpointBroke, Ran: failure.Unknown, Calls: []string{"send a", "send b"}, Retries: 1, Attempts: 2}},
		{"an unreachable endpoint counts neither as attempt nor as retry", scenario{route: stream, plans: []string{"a", "b"}, sends: []reply{unreachable(), ok(sse(1))}},
			outcome{Status: 200, Body: sse(1), HeadSent: true, Calls: []string{"send a", "send b"}, Attempts: 1}},
		{"no endpoint available", scenario{route: nonIdempotent},
			outcome{Code: failure.NoEndpoint, Ran: failure.NotRun}},
		{"the failure of an attempt takes precedence over a missing plan", scenario{route: idempotent, plans: []string{"a"}, budget: 1, sends: []reply{connectionLost()}},
			outcome{Code: failure.EndpointBroke, Ran: failure.Unknown, Calls: []string{"send a"}, Retries: 1, Attempts: 1}},
		{"not run after an attempt that may have run is unknown", scenario{route: idempotent, plans: []string{"a", "b"}, budget: 1, sends: []reply{connectionLost(), notRun()}},
			outcome{Code: failure.EndpointRefused, Ran: failure.Unknown, Calls: []string{"send a", "send b"}, Retries: 1, Attempts: 2}},
		{"an idempotent request is retried after an error response", scenario{route: idempotent, plans: []string{"a", "b"}, budget: 1, sends: []reply{serverError("a"), ok("b")}},
			outcome{Status: 200, Body: "b", HeadSent: true, Calls: []string{"send a", "send b"}, Retries: 1, Attempts: 2}},
		{"the error response is forwarded if the second endpoint is lost", scenario{route: idempotent, plans: []string{"a", "b"}, budget: 1, sends: []reply{serverError("a"), connectionLost()}},
			outcome{Status: 500, Body: "a", HeadSent: true, Calls: []string{"send a", "send b"}, Retries: 1, Attempts: 2}},
		{"the error response is forwarded if the second endpoint is unresponsive", scenario{route: idempotent, plans: []string{"a", "b"}, budget: 1, sends: []reply{serverError("a"), {hang: true}}, timeout: time.Second},
			outcome{Status: 500, Body: "a", HeadSent: true, Calls: []string{"send a", "send b"}, Retries: 1, Attempts: 2, Elapsed: 100 * time.Millisecond}},
		{"the error response is forwarded if there is no other endpoint", scenario{route: idempotent, plans: []string{"a"}, budget: 1, sends: []reply{serverError("a")}},
			outcome{Status: 500, Body: "a", HeadSent: true, Calls: []string{"send a"}, Retries: 1, Attempts: 1}},
		{"the error response is forwarded without a retry budget", scenario{route: idempotent, plans: []string{"a", "b"}, sends: []reply{serverError("a")}},
			outcome{Status: 500, Body: "a", HeadSent: true, Calls: []string{"send a"}, Attempts: 1}},
		{"the error response is forwarded if there is no time for a retry", scenario{route: idempotent, plans: []string{"a", "b"}, budget: 1, sends: []reply{serverError("a")}, timeout: 90 * time.Millisecond},
			outcome{Status: 500, Body: "a", HeadSent: true, Calls: []string{"send a"}, Attempts: 1}},
		{"the second error response is forwarded", scenario{route: idempotent, plans: []string{"a", "b"}, budget: 1, sends: []reply{serverError("a"), serverError("b")}},
			outcome{Status: 500, Body: "b", HeadSent: true, Calls: []string{"send a", "send b"}, Retries: 1, Attempts: 2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := runScenario(t, tc.setup)
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// An unresponsive endpoint delays a repeatable request for a fraction of the route's objective
// only, and a non-repeatable one until its deadline.
func TestUnresponsiveEndpoint(t *testing.T) {
	got := runScenario(t, scenario{route: idempotent, plans: []string{"a", "b"}, budget: 1, sends: []reply{{hang: true}, ok("b")}, timeout: time.Second})
	want := outcome{Status: 200, Body: "b", HeadSent: true, Calls: []string{"send a", "send b"}, Retries: 1, Attempts: 2, Elapsed: 75 * time.Millisecond}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	got = runScenario(t, scenario{route: nonIdempotent, plans: []string{"a", "b"}, budget: 1, sends: []reply{{hang: true}}, timeout: time.Second})
	want = outcome{Code: failure.DeadlinePassed, Ran: failure.Unknown, Calls: []string{"send a"}, Attempts: 1, Elapsed: time.Second}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
