package placement

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/prompt"
	"github.com/springweir/springweir/relay"
	"github.com/springweir/springweir/routes"
)

// fixture is a planner with its directory of endpoints.
type fixture struct {
	t           testing.TB
	dir         *directory.Directory
	planner     *Planner
	roleChanges []string
	requests    int
}

func newFixture(t testing.TB) *fixture {
	f := &fixture{t: t}
	config := &routes.Config{Services: []routes.Service{
		{Name: "plain"},
		{Name: "llm", Engine: &routes.Engine{Slots: 4, KVTokens: 100_000, KVTokenBytes: 1000, LinkBitsPerSecond: 1e12}},
	}}
	config.Index()
	f.dir = directory.New(func(_, current *directory.Snapshot) { f.planner.SetEndpoints(current) })
	f.planner = New(Config{
		Zone: "a", Directory: f.dir, Routes: func() *routes.Config { return config },
		RoleChanges: func() []string { return f.roleChanges }, Tuning: DefaultTuning(),
	})
	return f
}

func (f *fixture) addPlain(id, zone string) {
	f.dir.Put(directory.Registration{ID: id, Service: "plain", Zone: zone, Slots: 4})
}

func (f *fixture) addEngine(id, zone string, role engine.Role) {
	f.dir.Put(directory.Registration{ID: id, Service: "llm", Zone: zone, Slots: 4, Role: role})
}

// longReq returns a request with a long prompt that has two shared parts, and shortReq one with a
// short prompt.
func (f *fixture) longReq(prefix string) *relay.Request {
	f.requests++
	return &relay.Request{
		ID: fmt.Sprint("r", f.requests), Service: "llm", Received: time.Now(),
		Route: &routes.Route{Kind: routes.Stream, Resumable: true, MaxAttempts: 2, Objective: 200 * time.Millisecond},
		Prompt: &prompt.Prompt{Tokens: 9000, MaxOutput: 4, Parts: []prompt.Part{
			{ID: "all", Tokens: 2500}, {ID: prefix, Tokens: 3500}, {ID: fmt.Sprint("own", f.requests), Tokens: 3000},
		}},
	}
}

func (f *fixture) shortReq() *relay.Request {
	r := f.longReq("chat")
	r.Prompt = &prompt.Prompt{Tokens: 200, MaxOutput: 90, Parts: []prompt.Part{{ID: "c", Tokens: 100}, {ID: r.ID, Tokens: 100}}}
	return r
}

func (f *fixture) plainReq() *relay.Request {
	r := f.longReq("")
	r.Service, r.Prompt = "plain", nil
	r.Route = &routes.Route{Kind: routes.Idempotent, MaxAttempts: 2, Objective: 100 * time.Millisecond}
	return r
}

func (f *fixture) plan(r *relay.Request, prior relay.AttemptState) relay.Plan {
	f.t.Helper()
	plan, failed := f.planner.Plan(r, prior)
	if failed != nil {
		f.t.Fatalf("refused: %v", failed)
	}
	return plan
}

// complete ends an attempt successfully.
func (f *fixture) complete(p relay.Plan) {
	p.Watch.Prefilled(nil, false)
	p.Watch.FirstEvent()
	p.Watch.Finished(nil, false)
}

func brokenAttempt() *failure.Request {
	return &failure.Request{Code: failure.EndpointBroke, Ran: failure.Unknown}
}

func refusedAttempt() *failure.Request {
	return &failure.Request{Code: failure.EndpointRefused, Ran: failure.NotRun}
}

// inVirtualTime runs a test in a synctest bubble.
func inVirtualTime(t *testing.T, test func(t *testing.T, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t, newFixture(t)) })
}
