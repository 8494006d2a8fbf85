package placement

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/loadshare/sharepb"
	"github.com/springweir/springweir/prompt"
	"github.com/springweir/springweir/relay"
	"github.com/springweir/springweir/routes"
)

// bed is a planner with its endpoints.
type bed struct {
	t       *testing.T
	dir     *directory.Directory
	planner *Planner
	ordered []string
	n       int
}

func newBed(t *testing.T) *bed {
	b := &bed{t: t}
	config := &routes.Config{Services: []routes.Service{
		{Name: "plain"},
		{Name: "llm", Engine: &routes.Engine{Slots: 4, KVTokens: 100_000, KVTokenBytes: 1000, LinkBitsPerSecond: 1e12}},
	}}
	config.Index()
	b.dir = directory.New(func(old, now *directory.Snapshot) { b.planner.SetEndpoints(old, now) })
	b.planner = New(Config{
		Zone: "a", Directory: b.dir, Routes: func() *routes.Config { return config },
		RoleChanges: func() []string { return b.ordered }, Tuning: DefaultTuning(),
	})
	return b
}

func (b *bed) plain(id, zone string) {
	b.dir.Put(directory.Registration{ID: id, Service: "plain", Zone: zone, Slots: 4})
}

func (b *bed) engine(id, zone string, role engine.Role) {
	b.dir.Put(directory.Registration{ID: id, Service: "llm", Zone: zone, Slots: 4, Role: role})
}

// letter is a request with a long prompt of two shared parts, chat one with a short prompt.
func (b *bed) letter(subject string) *relay.Request {
	b.n++
	return &relay.Request{
		ID: fmt.Sprint("r", b.n), Service: "llm", Received: time.Now(),
		Route: &routes.Route{Kind: routes.Stream, Resumable: true, MaxAttempts: 2, Objective: 200 * time.Millisecond},
		Prompt: &prompt.Prompt{Tokens: 9000, MaxOutput: 4, Parts: []prompt.Part{
			{ID: "all", Tokens: 2500}, {ID: subject, Tokens: 3500}, {ID: fmt.Sprint("own", b.n), Tokens: 3000},
		}},
	}
}

func (b *bed) chat() *relay.Request {
	r := b.letter("chat")
	r.Prompt = &prompt.Prompt{Tokens: 200, MaxOutput: 90, Parts: []prompt.Part{{ID: "c", Tokens: 100}, {ID: r.ID, Tokens: 100}}}
	return r
}

func (b *bed) call() *relay.Request {
	r := b.letter("")
	r.Service, r.Prompt = "plain", nil
	r.Route = &routes.Route{Kind: routes.Idempotent, MaxAttempts: 2, Objective: 100 * time.Millisecond}
	return r
}

func (b *bed) plan(r *relay.Request, try relay.AttemptState) relay.Plan {
	b.t.Helper()
	plan, failed := b.planner.Plan(r, try)
	if failed != nil {
		b.t.Fatalf("refused: %v", failed)
	}
	return plan
}

// done ends an attempt that went well.
func (b *bed) done(p relay.Plan) {
	p.Watch.Prefilled(nil, false)
	p.Watch.FirstEvent()
	p.Watch.Finished(nil, false)
}

func broke() *failure.Request {
	return &failure.Request{Code: failure.EndpointBroke, Ran: failure.Unknown}
}

func refusedAttempt() *failure.Request {
	return &failure.Request{Code: failure.EndpointRefused, Ran: failure.NotRun}
}

// inTime runs a test in virtual time.
func inTime(t *testing.T, f func(t *testing.T, b *bed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { f(t, newBed(t)) })
}

func TestPlainServiceGoesWhereItStartsFirst(t *testing.T) {
	inTime(t, func(t *testing.T, b *bed) {
		b.plain("near", "a")
		b.plain("far", "b")
		counts := map[string]int{}
		var open []relay.Plan
		for range 8 {
			p := b.plan(b.call(), relay.AttemptState{})
			counts[p.Serve.ID]++
			open = append(open, p)
		}
		if counts["near"] < 4 || counts["far"] < 3 {
			t.Errorf("8 open requests are placed %v", counts)
		}
		for _, p := range open {
			p.Watch.Finished(nil, false)
		}
		if p := b.plan(b.call(), relay.AttemptState{}); p.Serve.ID != "near" {
			t.Errorf("an idle service's request goes to %s", p.Serve.ID)
		}
		if p := b.plan(b.call(), relay.AttemptState{Tried: []string{"near"}}); p.Serve.ID != "far" {
			t.Errorf("a second try goes to %s", p.Serve.ID)
		}
		if _, failed := b.planner.Plan(b.call(), relay.AttemptState{Tried: []string{"near", "far"}}); failed == nil || failed.Ran != failure.NotRun {
			t.Errorf("a third try: %v", failed)
		}
	})
}

func TestLongPromptsArePrefilledElsewhere(t *testing.T) {
	inTime(t, func(t *testing.T, b *bed) {
		for _, zone := range []string{"a", "b"} {
			b.engine("p-"+zone, zone, engine.Prefill)
			b.engine("d-"+zone, zone, engine.Decode)
		}
		p := b.plan(b.letter("s1"), relay.AttemptState{})
		if p.Prefill == nil || p.Prefill.ID != "p-a" || p.Serve.ID != "d-a" {
			t.Errorf("a letter goes to %v and %v", p.Prefill, p.Serve)
		}
		if p := b.plan(b.chat(), relay.AttemptState{}); p.Prefill != nil || p.Serve.Role != engine.Decode {
			t.Errorf("a chat goes to %v and %v", p.Prefill, p.Serve)
		}
		if p := b.plan(b.letter("s2"), relay.AttemptState{Number: 1, Colocated: true}); p.Prefill != nil {
			t.Error("a prompt that must be read by the engine that serves is read elsewhere")
		}
		handle := &relay.KVHandle{Endpoint: b.dir.Snapshot().Endpoint("p-b"), Tokens: 9000}
		if p := b.plan(b.letter("s3"), relay.AttemptState{Number: 1, Handle: handle}); p.Prefill != nil || p.Serve.ID != "d-b" {
			t.Errorf("a cache in zone b goes to %v and %v", p.Prefill, p.Serve)
		}
	})
}

// A prompt goes back to the engine that holds its parts, and another VM's prompts
// count as its own do.
func TestPromptGoesToItsCache(t *testing.T) {
	inTime(t, func(t *testing.T, b *bed) {
		for i := range 8 {
			b.engine(fmt.Sprint("p", i), "a", engine.Prefill)
		}
		b.engine("d", "a", engine.Decode)
		first := b.plan(b.letter("s1"), relay.AttemptState{})
		b.done(first)
		for range 5 {
			p := b.plan(b.letter("s1"), relay.AttemptState{})
			b.done(p)
			if p.Prefill.ID != first.Prefill.ID {
				t.Errorf("the same subject goes to %s after %s", p.Prefill.ID, first.Prefill.ID)
			}
		}
		b.planner.ReceiveLoad(&sharepb.Load{Vm: "other", Placed: []*sharepb.Placed{{
			Endpoint: loadshare.Hash("p7"),
			Part:     []uint32{loadshare.Hash("all"), loadshare.Hash("s2")}, Tokens: []uint32{2500, 3500},
		}}})
		if p := b.plan(b.letter("s2"), relay.AttemptState{}); p.Prefill.ID != "p7" {
			t.Errorf("a subject that another VM placed on p7 goes to %s", p.Prefill.ID)
		}
	})
}

// All VMs place a prompt that nobody holds alike, and different prompts spread.
func TestColdPromptsSpread(t *testing.T) {
	inTime(t, func(t *testing.T, b *bed) {
		other := newBed(t)
		for i := range 12 {
			b.engine(fmt.Sprint("p", i), "a", engine.Prefill)
			other.engine(fmt.Sprint("p", i), "a", engine.Prefill)
		}
		b.engine("d", "a", engine.Decode)
		other.engine("d", "a", engine.Decode)
		counts := map[string]int{}
		for _, d := range []*bed{b, other} {
			d.done(d.plan(d.letter("warm"), relay.AttemptState{}))
			// Every engine holds the part that all letters share.
			for i := range 12 {
				d.planner.ReceiveLoad(&sharepb.Load{Vm: "warm", Placed: []*sharepb.Placed{{
					Endpoint: loadshare.Hash(fmt.Sprint("p", i)), Part: []uint32{loadshare.Hash("all")}, Tokens: []uint32{2500},
				}}})
			}
		}
		for i := range 60 {
			subject := fmt.Sprint("s", i)
			p, q := b.plan(b.letter(subject), relay.AttemptState{}), other.plan(other.letter(subject), relay.AttemptState{})
			b.done(p)
			other.done(q)
			if p.Prefill.ID != q.Prefill.ID {
				t.Errorf("%s goes to %s and %s", subject, p.Prefill.ID, q.Prefill.ID)
			}
			counts[p.Prefill.ID]++
		}
		for id, n := range counts {
			if n > 15 {
				t.Errorf("%d of 60 subjects go to %s", n, id)
			}
		}
	})
}

// A burst fills the engines up to the objective, and the rest is refused as not run
// with a time to come back.
func TestTooLateIsRefused(t *testing.T) {
	inTime(t, func(t *testing.T, b *bed) {
		b.engine("p", "a", engine.Prefill)
		b.engine("d", "a", engine.Decode)
		taken := 0
		var refused *failure.Request
		for i := range 20 {
			if _, failed := b.planner.Plan(b.letter(fmt.Sprint("s", i)), relay.AttemptState{}); failed != nil {
				refused = failed
				break
			}
			taken++
		}
		if taken < 2 || taken > 6 || refused == nil {
			t.Fatalf("%d letters were taken by an engine that prefills one in about 45 ms", taken)
		}
		if refused.Code != failure.DeadlineUnreachable || refused.Ran != failure.NotRun || refused.RetryAfter <= 0 {
			t.Errorf("refused with %v, again after %v", refused, refused.RetryAfter)
		}
		late := b.letter("t")
		if _, failed := b.planner.Plan(late, relay.AttemptState{Number: 1}); failed != nil {
			t.Errorf("a second try is refused for its time: %v", failed)
		}
	})
}

// What other VMs have open counts until they fall silent.
func TestOthersWork(t *testing.T) {
	inTime(t, func(t *testing.T, b *bed) {
		b.engine("p1", "a", engine.Prefill)
		b.engine("p2", "a", engine.Prefill)
		b.engine("d", "a", engine.Decode)
		b.planner.ReceiveLoad(&sharepb.Load{Vm: "other", Work: []*sharepb.Work{{Endpoint: loadshare.Hash("p1"), PrefillTokens: 20_000}}})
		for i := range 3 {
			p := b.plan(b.letter(fmt.Sprint("s", i)), relay.AttemptState{})
			if p.Prefill.ID != "p2" {
				t.Errorf("a letter goes to the engine that another VM keeps busy")
			}
			b.done(p)
		}
		b.planner.ReceiveLoad(&sharepb.Load{Vm: "other"})
		if own := b.planner.books.open(b.planner.books.byID["p1"]); own != (work{}) {
			t.Errorf("left in the books: %+v", own)
		}
		b.planner.ReceiveLoad(&sharepb.Load{Vm: "other", Work: []*sharepb.Work{{Endpoint: loadshare.Hash("p1"), PrefillTokens: 20_000}}})
		time.Sleep(2 * loadshare.TTL)
		b.planner.LocalReport()
		if n := len(b.planner.books.others); n != 0 {
			t.Errorf("the work of a silent VM is still counted: %d", n)
		}
	})
}

func TestEndpointsThatRefuseAreLeftAlone(t *testing.T) {
	inTime(t, func(t *testing.T, b *bed) {
		b.plain("near", "a")
		b.plain("far", "b")
		b.plan(b.call(), relay.AttemptState{}).Watch.Finished(refusedAttempt(), false)
		if p := b.plan(b.call(), relay.AttemptState{}); p.Serve.ID != "far" {
			t.Error("an endpoint that has just refused gets the next request")
		} else {
			p.Watch.Finished(nil, false)
		}
		time.Sleep(pauseMin)
		if p := b.plan(b.call(), relay.AttemptState{}); p.Serve.ID != "near" {
			t.Error("an endpoint is left alone for too long")
		}
		b.ordered = []string{"near"}
		if p := b.plan(b.call(), relay.AttemptState{}); p.Serve.ID != "far" {
			t.Error("an endpoint that was ordered to change gets a request")
		}
		b.ordered = nil
		b.planner.ReceiveLoad(&sharepb.Load{Vm: "other", Changing: []uint32{loadshare.Hash("near")}})
		if p := b.plan(b.call(), relay.AttemptState{}); p.Serve.ID != "far" {
			t.Error("an endpoint that another VM has ordered to change gets a request")
		}
	})
}

func TestFailingEndpointsAreEjected(t *testing.T) {
	inTime(t, func(t *testing.T, b *bed) {
		b.plain("near", "a")
		b.plain("far", "b")
		b.plain("far2", "b")
		for range 3 {
			b.plan(b.call(), relay.AttemptState{}).Watch.Finished(broke(), false)
		}
		for range 5 {
			if p := b.plan(b.call(), relay.AttemptState{}); p.Serve.ID == "near" {
				t.Error("an endpoint that failed three times in a row gets the next request")
			}
		}
		// A request that was given up here says nothing of its endpoint.
		for range 10 {
			p := b.plan(b.call(), relay.AttemptState{})
			p.Watch.Finished(broke(), true)
		}
		if n := len((&decision{p: b.planner, r: b.call(), now: b.planner.now()}).usable(nil)); n != 2 {
			t.Errorf("%d of 3 endpoints are usable, want 2", n)
		}
	})
}

// Nothing stays in the books once all attempts have ended, however they end.
func TestBooksAreEmptyInTheEnd(t *testing.T) {
	inTime(t, func(t *testing.T, b *bed) {
		for i := range 4 {
			b.engine(fmt.Sprint("p", i), "a", engine.Prefill)
			b.engine(fmt.Sprint("d", i), "b", engine.Decode)
			b.plain(fmt.Sprint("s", i), "b")
		}
		ends := []func(relay.Plan){
			func(p relay.Plan) { p.Watch.Prefilled(nil, false); p.Watch.FirstEvent(); p.Watch.Finished(nil, false) },
			func(p relay.Plan) { p.Watch.Prefilled(broke(), false); p.Watch.Finished(nil, true) },
			func(p relay.Plan) { p.Watch.Prefilled(nil, false); p.Watch.Finished(refusedAttempt(), false) },
			func(p relay.Plan) { p.Watch.FirstEvent(); p.Watch.Finished(broke(), true) },
			func(p relay.Plan) { p.Watch.Finished(broke(), false) },
		}
		for i := range 200 {
			r := []*relay.Request{b.letter(fmt.Sprint("s", i%7)), b.chat(), b.call()}[i%3]
			plan, failed := b.planner.Plan(r, relay.AttemptState{})
			if failed == nil {
				ends[i%len(ends)](plan)
			}
			time.Sleep(30 * time.Millisecond)
		}
		for id, k := range b.planner.books.byID {
			if k.own != (work{}) {
				t.Errorf("%s has %+v open", id, k.own)
			}
		}
		b.dir.Replace(nil, false)
		if n := len(b.planner.books.byID); n != 0 {
			t.Errorf("%d books of endpoints that are gone", n)
		}
	})
}

func TestCacheModel(t *testing.T) {
	c := newCacheModel(100)
	a, s, own := chunk{1, 40}, chunk{2, 30}, chunk{3, 20}
	c.use([]chunk{a, s, own}, time.Time{})
	for _, tc := range []struct {
		chunks []chunk
		want   int
	}{
		{[]chunk{a, s, own}, 90}, {[]chunk{a, s, {4, 9}}, 70}, {[]chunk{a, {4, 9}, s}, 40}, {[]chunk{{4, 9}, a}, 0}, {nil, 0},
	} {
		if got := c.cached(tc.chunks); got != tc.want {
			t.Errorf("%v: %d cached, want %d", tc.chunks, got, tc.want)
		}
	}
	c.use([]chunk{a, {5, 50}}, time.Time{})
	if got := c.cached([]chunk{a, {5, 50}}); got != 90 {
		t.Errorf("the newest prompt: %d cached", got)
	}
	if got := c.cached([]chunk{a, s}); got != 40 || c.used > 100 {
		t.Errorf("the part unused longest stayed: %d cached, %d used", got, c.used)
	}
	c.use([]chunk{{6, 500}}, time.Time{})
	if c.used > 100 {
		t.Errorf("%d tokens held in memory for 100", c.used)
	}
}

// A plan says by itself when its endpoints are no longer fit: ejected since, ordered by this VM or
// by another to change their role. The trial of an endpoint that was ejected stays fit.
func TestPlanKnowsWhenItsEndpointsAreUnfit(t *testing.T) {
	inTime(t, func(t *testing.T, b *bed) {
		for _, id := range []string{"d1", "d2", "d3", "d4"} {
			b.engine(id, "a", engine.Decode)
		}
		p := b.plan(b.chat(), relay.AttemptState{})
		if cause := p.Watch.Recheck(p.Serve); cause != "" {
			t.Errorf("at once: %q", cause)
		}
		b.ordered = []string{p.Serve.ID}
		if cause := p.Watch.Recheck(p.Serve); cause != relay.EndpointChangingRole {
			t.Errorf("ordered by this VM: %q", cause)
		}
		b.ordered = nil
		b.planner.ReceiveLoad(&sharepb.Load{Vm: "other", Changing: []uint32{loadshare.Hash(p.Serve.Incarnation())}})
		if cause := p.Watch.Recheck(p.Serve); cause != relay.EndpointChangingRole {
			t.Errorf("ordered by another VM: %q", cause)
		}
		time.Sleep(changeMemory)
		for range b.planner.tuning.Health.ConsecutiveFailures {
			w := b.planner.failing(t, p.Serve)
			w.Finished(broke(), false)
		}
		if cause := p.Watch.Recheck(p.Serve); cause != relay.EndpointEjected {
			t.Errorf("ejected: %q", cause)
		}
		time.Sleep(b.planner.tuning.Health.BaseEjection)
		trial := b.planner.failing(t, p.Serve)
		if cause := trial.Recheck(p.Serve); cause != "" {
			t.Errorf("the trial itself: %q", cause)
		}
		if cause := p.Watch.Recheck(p.Serve); cause != relay.EndpointEjected {
			t.Errorf("beside a trial: %q", cause)
		}
	})
}

// failing returns an attempt at an endpoint.
func (p *Planner) failing(t *testing.T, e *directory.Endpoint) *watch {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	d := &decision{p: p, r: &relay.Request{}, now: p.now()}
	h, ok := d.take(e, work{runs: 1})
	if !ok {
		t.Fatalf("%s takes no attempt", e.ID)
	}
	return &watch{p: p, serve: h}
}
