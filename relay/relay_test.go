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

// step is what a scripted endpoint does with one call.
type step struct {
	failed *failure.Request
	status int
	// pieces are the reads of the body, each after a pause.
	pieces []string
	pause  time.Duration
	// err ends the body; nil is its true end.
	err error
	// hang makes the call wait for its context.
	hang bool
	// connect is how long the connection takes, and takes how long the answer.
	connect, takes time.Duration
}

func ok(pieces ...string) step { return step{status: http.StatusOK, pieces: pieces} }

// bad is an endpoint's own failure.
func bad(body string) step {
	return step{status: http.StatusInternalServerError, pieces: []string{body}}
}

func notRun() step {
	return step{failed: &failure.Request{Code: failure.EndpointRefused, Ran: failure.NotRun}}
}

func unreachable() step {
	return step{failed: &failure.Request{Code: failure.EndpointUnreachable, Ran: failure.NotRun}}
}

func lost() step {
	return step{failed: &failure.Request{Code: failure.EndpointBroke, Ran: failure.Unknown}}
}

var errReset = errors.New("connection reset")

func cut(pieces ...string) step {
	return step{status: http.StatusOK, pieces: pieces, err: errReset}
}

// script is an Upstream whose calls are prepared. It notes what was asked.
type script struct {
	mu       sync.Mutex
	sends    []step
	prefills []step
	calls    []string
	freed    []string
	// open counts the answers that were not closed.
	open int
}

func (s *script) note(format string, args ...any) {
	s.calls = append(s.calls, fmt.Sprintf(format, args...))
}

func (s *script) Send(ctx context.Context, a *Attempt) (Response, *failure.Request) {
	s.mu.Lock()
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
	next := s.sends[0]
	s.mu.Unlock()
	time.Sleep(next.connect)
	if failed := a.BeforeSend(); failed != nil {
		return nil, failed
	}
	s.mu.Lock()
	s.note("%s", call)
	s.sends = s.sends[1:]
	s.mu.Unlock()
	if failed := next.wait(ctx); failed != nil {
		return nil, failed
	}
	s.mu.Lock()
	s.open++
	s.mu.Unlock()
	return &scripted{step: next, ctx: ctx, s: s}, nil
}

func (n *step) wait(ctx context.Context) *failure.Request {
	if n.hang {
		<-ctx.Done()
		return &failure.Request{Code: failure.EndpointBroke, Ran: failure.Unknown, Cause: ctx.Err()}
	}
	time.Sleep(n.takes)
	return n.failed
}

func (s *script) Prefill(ctx context.Context, a *Attempt) (*KVHandle, *failure.Request) {
	s.mu.Lock()
	call := "prefill " + a.Endpoint.ID
	if a.CopyFrom != nil {
		call += " copying from " + a.CopyFrom.ID
	}
	next := s.prefills[0]
	s.mu.Unlock()
	time.Sleep(next.connect)
	if failed := a.BeforeSend(); failed != nil {
		return nil, failed
	}
	s.mu.Lock()
	s.note("%s", call)
	s.prefills = s.prefills[1:]
	id := fmt.Sprint("kv", len(s.calls))
	s.mu.Unlock()
	if failed := next.wait(ctx); failed != nil {
		return nil, failed
	}
	return &KVHandle{Endpoint: a.Endpoint, ID: id}, nil
}

func (s *script) Free(_ context.Context, h *KVHandle) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freed = append(s.freed, h.ID)
	return nil
}

// scripted is a Response.
type scripted struct {
	step
	ctx context.Context
	s   *script
}

func (a *scripted) Status() int         { return a.status }
func (a *scripted) Header() http.Header { return http.Header{"X": {"1"}} }
func (a *scripted) Length() int64       { return -1 }
func (a *scripted) Close() {
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	a.s.open--
}

func (a *scripted) Read(p []byte) (int, error) {
	if len(a.pieces) == 0 {
		if a.err != nil {
			return 0, a.err
		}
		return 0, io.EOF
	}
	select {
	case <-time.After(a.pause):
	case <-a.ctx.Done():
		return 0, a.ctx.Err()
	}
	n := copy(p, a.pieces[0])
	if a.pieces[0] = a.pieces[0][n:]; a.pieces[0] == "" {
		a.pieces = a.pieces[1:]
	}
	return n, nil
}

// plans is a Planner that hands out endpoints in order. Each plan names the
// serving endpoint, after the prefilling one and a slash if there is one. An engine to
// copy from stands before all, with a colon, and one that holds a copy of the run after all, with a
// plus.
type plans struct {
	list  []string
	tries []AttemptState
	open  int
	// dir knows the endpoints, which are registered when first planned for.
	dir *directory.Directory
	// mu guards unfit, the endpoints that are ejected or about to change their role by now.
	mu    sync.Mutex
	unfit map[string]PlanChange
}

func (p *plans) endpoint(id string) *directory.Endpoint {
	if p.dir.Snapshot().Endpoint(id) == nil {
		p.dir.Put(directory.Registration{ID: id})
	}
	return p.dir.Snapshot().Endpoint(id)
}

func (p *plans) Plan(_ *Request, try AttemptState) (Plan, *failure.Request) {
	p.tries = append(p.tries, try)
	if len(p.list) == 0 {
		return Plan{}, &failure.Request{Code: failure.NoEndpoint, Ran: failure.NotRun, RetryAfter: time.Second}
	}
	next := p.list[0]
	p.list = p.list[1:]
	p.open++
	plan := Plan{Watch: (*planWatch)(p)}
	if rest, backup, copied := strings.Cut(next, "+"); copied {
		plan.Backup, next = p.endpoint(backup), rest
	}
	if try.Resume != nil && next != try.Resume.ID {
		return Plan{}, &failure.Request{Code: failure.Internal, Message: "the run is to go on at " + try.Resume.ID}
	}
	if from, rest, copies := strings.Cut(next, ":"); copies {
		plan.CopyFrom, next = p.endpoint(from), rest
	}
	if read, serve, split := strings.Cut(next, "/"); split {
		next = serve
		if !try.Colocated {
			plan.Prefill = p.endpoint(read)
		}
	}
	plan.Serve = p.endpoint(next)
	return plan, nil
}

type planWatch plans

func (w *planWatch) Recheck(e *directory.Endpoint) PlanChange {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unfit[e.ID]
}

func (w *planWatch) Prefilled(*failure.Request, bool) {}
func (w *planWatch) FirstEvent()                      {}
func (w *planWatch) Finished(*failure.Request, bool)  { w.open-- }

// counter is a Budget with a fixed number of retries.
type counter struct{ first, taken, left int }

func (c *counter) First() { c.first++ }
func (c *counter) Take() bool {
	if c.left == 0 {
		return false
	}
	c.left--
	c.taken++
	return true
}

// caller is a ResponseWriter that keeps what it was given.
type caller struct {
	status int
	body   bytes.Buffer
	gone   bool
}

func (c *caller) WriteHead(status int, _ http.Header, _ int64) error {
	c.status = status
	return c.err()
}

func (c *caller) Write(p []byte) error {
	c.body.Write(p)
	return c.err()
}

func (c *caller) err() error {
	if c.gone {
		return errors.New("caller gone")
	}
	return nil
}

// world is one request with everything around it.
type world struct {
	route  routes.Route
	plans  []string
	sends  []step
	reads  []step
	budget int
	held   int
	gone   bool
	within time.Duration
	// then are things that happen while the request is under way, each after some time.
	then []happening
	// unfit are the endpoints that are not fit to be sent to from the beginning.
	unfit map[string]PlanChange
	// guard, router and stops are what else may change; nil is nothing.
	guard  Guard
	router Router
	stops  func() time.Time
}

// fresh returns a copy whose scripts have not been played.
func (w world) fresh() world {
	w.sends, w.reads = freshSteps(w.sends), freshSteps(w.reads)
	return w
}

func freshSteps(list []step) []step {
	out := slices.Clone(list)
	for i := range out {
		out[i].pieces = slices.Clone(out[i].pieces)
	}
	return out
}

// outcome is what became of it.
type outcome struct {
	Status   int
	Body     string
	Code     failure.Reason
	Ran      failure.Outcome
	Begun    bool
	Calls    []string
	Freed    []string
	Taken    int
	Attempts int
	Took     time.Duration
}

// happening is something that happens while a request is under way.
type happening struct {
	after time.Duration
	do    func(*surroundings)
}

// surroundings are what a happening may change.
type surroundings struct {
	planner *plans
	leave   func()
}

func play(t *testing.T, w world) outcome {
	t.Helper()
	var out outcome
	synctest.Test(t, func(t *testing.T) {
		up := &script{sends: w.sends, prefills: w.reads}
		planner := &plans{list: w.plans, dir: directory.New(nil), unfit: w.unfit}
		if planner.unfit == nil {
			planner.unfit = map[string]PlanChange{}
		}
		budget, others := &counter{left: w.budget}, &counter{left: w.budget}
		relay := New(Config{
			Planner: planner, Upstream: up, Budget: func(service string) Budget {
				if service == "s" {
					return budget
				}
				return others
			},
			Guard: w.guard, Router: w.router, Endpoints: planner.dir.Snapshot, ShutdownAt: w.stops,
		})
		req := &Request{ID: "r", Route: &w.route, Service: "s", Received: time.Now(), LastEventID: w.held}
		if w.within > 0 {
			req.Deadline = time.Now().Add(w.within)
		}
		reply := &caller{gone: w.gone}
		ctx, leave := context.WithCancel(t.Context())
		defer leave()
		for _, h := range w.then {
			time.AfterFunc(h.after, func() { h.do(&surroundings{planner: planner, leave: leave}) })
		}
		began := time.Now()
		result := relay.Serve(ctx, req, reply)
		out.Took = time.Since(began)
		synctest.Wait()
		out.Status, out.Body, out.Begun = reply.status, reply.body.String(), result.HeadSent
		if result.Failure != nil {
			out.Code, out.Ran = result.Failure.Code, result.Failure.Ran
		}
		out.Calls, out.Freed, out.Taken, out.Attempts = up.calls, up.freed, budget.taken, result.Attempts
		if up.open != 0 || planner.open != 0 || budget.first != 1 {
			t.Errorf("answers left open: %d, plans left open: %d, first attempts noted: %d", up.open, planner.open, budget.first)
		}
	})
	return out
}

func e(n int) string { return fmt.Sprintf("id: %d\ndata: x%d\n\n", n, n) }

var (
	once       = routes.Route{Kind: routes.NonIdempotent, MaxAttempts: 3, Objective: 100 * time.Millisecond}
	repeatable = routes.Route{Kind: routes.Idempotent, MaxAttempts: 2, Objective: 100 * time.Millisecond}
	chat       = routes.Route{Kind: routes.Stream, MaxAttempts: 1, Objective: 200 * time.Millisecond, EventGap: 150 * time.Millisecond}
	letter     = routes.Route{Kind: routes.Stream, Resumable: true, MaxAttempts: 2, Objective: 200 * time.Millisecond, EventGap: 150 * time.Millisecond}
)

func TestWholeAnswers(t *testing.T) {
	for _, tc := range []struct {
		name string
		w    world
		want outcome
	}{
		{"answered", world{route: once, plans: []string{"a"}, sends: []step{ok("whole")}},
			outcome{Status: 200, Body: "whole", Begun: true, Calls: []string{"send a"}, Attempts: 1}},
		{"an endpoint's own failure is passed on", world{route: once, plans: []string{"a"}, sends: []step{{status: 500, pieces: []string{"bad"}}}},
			outcome{Status: 500, Body: "bad", Begun: true, Calls: []string{"send a"}, Attempts: 1}},
		{"refused, then answered", world{route: once, plans: []string{"a", "b"}, budget: 1, sends: []step{notRun(), ok("b")}},
			outcome{Status: 200, Body: "b", Begun: true, Calls: []string{"send a", "send b"}, Taken: 1, Attempts: 2}},
		{"refused, without budget", world{route: once, plans: []string{"a", "b"}, sends: []step{notRun()}},
			outcome{Code: failure.EndpointRefused, Ran: failure.NotRun, Calls: []string{"send a"}, Attempts: 1}},
		{"a lost answer of a request that runs once is not repeated", world{route: once, plans: []string{"a", "b"}, budget: 1, sends: []step{lost()}},
			outcome{Code: failure.EndpointBroke, Ran: failure.Unknown, Calls: []string{"send a"}, Attempts: 1}},
		{"half an answer of a request that runs once is not passed on", world{route: once, plans: []string{"a", "b"}, budget: 1, sends: []step{cut("ha")}},
			outcome{Code: failure.AnswerTruncated, Ran: failure.Unknown, Calls: []string{"send a"}, Attempts: 1}},
		{"a lost answer of a repeatable request is repeated", world{route: repeatable, plans: []string{"a", "b"}, budget: 1, sends: []step{cut("ha"), ok("b")}},
			outcome{Status: 200, Body: "b", Begun: true, Calls: []string{"send a", "send b"}, Taken: 1, Attempts: 2}},
		{"no more attempts than the route allows", world{route: repeatable, plans: []string{"a", "b", "c"}, budget: 5, sends: []step{lost(), lost()}},
			outcome{Code: failure.EndpointBroke, Ran: failure.Unknown, Calls: []string{"send a", "send b"}, Taken: 1, Attempts: 2}},
		{"an endpoint that was not reached costs neither attempt nor budget", world{route: chat, plans: []string{"a", "b"}, sends: []step{unreachable(), ok(e(1))}},
			outcome{Status: 200, Body: e(1), Begun: true, Calls: []string{"send a", "send b"}, Attempts: 1}},
		{"nowhere to go", world{route: once},
			outcome{Code: failure.NoEndpoint, Ran: failure.NotRun}},
		{"a failure says more than the missing plan after it", world{route: repeatable, plans: []string{"a"}, budget: 1, sends: []step{lost()}},
			outcome{Code: failure.EndpointBroke, Ran: failure.Unknown, Calls: []string{"send a"}, Taken: 1, Attempts: 1}},
		{"not run after a try that may have run is unknown", world{route: repeatable, plans: []string{"a", "b"}, budget: 1, sends: []step{lost(), notRun()}},
			outcome{Code: failure.EndpointRefused, Ran: failure.Unknown, Calls: []string{"send a", "send b"}, Taken: 1, Attempts: 2}},
		{"a repeatable request goes on after an endpoint's own failure", world{route: repeatable, plans: []string{"a", "b"}, budget: 1, sends: []step{bad("a"), ok("b")}},
			outcome{Status: 200, Body: "b", Begun: true, Calls: []string{"send a", "send b"}, Taken: 1, Attempts: 2}},
		{"the endpoint's failure is delivered when the second gives no answer", world{route: repeatable, plans: []string{"a", "b"}, budget: 1, sends: []step{bad("a"), lost()}},
			outcome{Status: 500, Body: "a", Begun: true, Calls: []string{"send a", "send b"}, Taken: 1, Attempts: 2}},
		{"and when the second is silent, in time", world{route: repeatable, plans: []string{"a", "b"}, budget: 1, sends: []step{bad("a"), {hang: true}}, within: time.Second},
			outcome{Status: 500, Body: "a", Begun: true, Calls: []string{"send a", "send b"}, Taken: 1, Attempts: 2, Took: 100 * time.Millisecond}},
		{"and when there is nowhere else to go", world{route: repeatable, plans: []string{"a"}, budget: 1, sends: []step{bad("a")}},
			outcome{Status: 500, Body: "a", Begun: true, Calls: []string{"send a"}, Taken: 1, Attempts: 1}},
		{"and without budget", world{route: repeatable, plans: []string{"a", "b"}, sends: []step{bad("a")}},
			outcome{Status: 500, Body: "a", Begun: true, Calls: []string{"send a"}, Attempts: 1}},
		{"and with no time left for another", world{route: repeatable, plans: []string{"a", "b"}, budget: 1, sends: []step{bad("a")}, within: 90 * time.Millisecond},
			outcome{Status: 500, Body: "a", Begun: true, Calls: []string{"send a"}, Attempts: 1}},
		{"the second failure is delivered", world{route: repeatable, plans: []string{"a", "b"}, budget: 1, sends: []step{bad("a"), bad("b")}},
			outcome{Status: 500, Body: "b", Begun: true, Calls: []string{"send a", "send b"}, Taken: 1, Attempts: 2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := play(t, tc.w)
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A silent endpoint holds a repeatable request only for a part of its objective,
// and one that may not be repeated up to its deadline.
func TestSilentEndpoint(t *testing.T) {
	got := play(t, world{route: repeatable, plans: []string{"a", "b"}, budget: 1, sends: []step{{hang: true}, ok("b")}, within: time.Second})
	want := outcome{Status: 200, Body: "b", Begun: true, Calls: []string{"send a", "send b"}, Taken: 1, Attempts: 2, Took: 75 * time.Millisecond}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	got = play(t, world{route: once, plans: []string{"a", "b"}, budget: 1, sends: []step{{hang: true}}, within: time.Second})
	want = outcome{Code: failure.DeadlinePassed, Ran: failure.Unknown, Calls: []string{"send a"}, Attempts: 1, Took: time.Second}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
