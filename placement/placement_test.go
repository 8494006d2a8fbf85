package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/loadshare/sharepb"
	"github.com/springweir/springweir/relay"
)

func TestPlainServiceUsesEndpointThatStartsFirst(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		f.addPlain("near", "a")
		f.addPlain("far", "b")
		counts := map[string]int{}
		var open []relay.Plan
		for range 8 {
			p := f.plan(f.plainReq(), relay.AttemptState{})
			counts[p.Serve.ID]++
			open = append(open, p)
		}
		if counts["near"] < 4 || counts["far"] < 3 {
			t.Errorf("8 requests in flight are placed %v", counts)
		}
		for _, p := range open {
			p.Watch.Finished(nil, false)
		}
		if p := f.plan(f.plainReq(), relay.AttemptState{}); p.Serve.ID != "near" {
			t.Errorf("a request to an idle service goes to %s", p.Serve.ID)
		}
		if p := f.plan(f.plainReq(), relay.AttemptState{Tried: []string{"near"}}); p.Serve.ID != "far" {
			t.Errorf("the second attempt goes to %s", p.Serve.ID)
		}
		if _, failed := f.planner.Plan(f.plainReq(), relay.AttemptState{Tried: []string{"near", "far"}}); failed == nil || failed.Ran != failure.NotRun {
			t.Errorf("third attempt: %v", failed)
		}
	})
}

func TestLongPromptsUsePrefillEngines(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		for _, zone := range []string{"a", "b"} {
			f.addEngine("p-"+zone, zone, engine.Prefill)
			f.addEngine("d-"+zone, zone, engine.Decode)
		}
		p := f.plan(f.longReq("s1"), relay.AttemptState{})
		if p.Prefill == nil || p.Prefill.ID != "p-a" || p.Serve.ID != "d-a" {
			t.Errorf("a long prompt goes to %v and %v", p.Prefill, p.Serve)
		}
		if p := f.plan(f.shortReq(), relay.AttemptState{}); p.Prefill != nil || p.Serve.Role != engine.Decode {
			t.Errorf("a short prompt goes to %v and %v", p.Prefill, p.Serve)
		}
		if p := f.plan(f.longReq("s2"), relay.AttemptState{Number: 1, Colocated: true}); p.Prefill != nil {
			t.Error("a prompt that the serving engine must prefill is prefilled by another one")
		}
		handle := &relay.KVHandle{Endpoint: f.dir.Snapshot().Endpoint("p-b"), Tokens: 9000}
		if p := f.plan(f.longReq("s3"), relay.AttemptState{Number: 1, Handle: handle}); p.Prefill != nil || p.Serve.ID != "d-b" {
			t.Errorf("a KV cache in zone b goes to %v and %v", p.Prefill, p.Serve)
		}
	})
}

// A prompt returns to the engine that caches its parts, whether this VM or another one sent them
// there.
func TestPromptGoesToEngineWithCachedPrefix(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		for i := range 8 {
			f.addEngine(fmt.Sprint("p", i), "a", engine.Prefill)
		}
		f.addEngine("d", "a", engine.Decode)
		first := f.plan(f.longReq("s1"), relay.AttemptState{})
		f.complete(first)
		for range 5 {
			p := f.plan(f.longReq("s1"), relay.AttemptState{})
			f.complete(p)
			if p.Prefill.ID != first.Prefill.ID {
				t.Errorf("a prompt with the same prefix goes to %s after %s", p.Prefill.ID, first.Prefill.ID)
			}
		}
		f.planner.ReceiveLoad(&sharepb.Load{Vm: "other", Placed: []*sharepb.Placed{{
			Endpoint: loadshare.Hash("p7"),
			Part:     []uint32{loadshare.Hash("all"), loadshare.Hash("s2")}, Tokens: []uint32{2500, 3500},
		}}})
		if p := f.plan(f.longReq("s2"), relay.AttemptState{}); p.Prefill.ID != "p7" {
			t.Errorf("a prefix that another VM placed on p7 goes to %s", p.Prefill.ID)
		}
	})
}

// All VMs send an uncached prompt to the same engine, and different prompts to different engines.
func TestUncachedPromptsSpread(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		other := newFixture(t)
		for i := range 12 {
			f.addEngine(fmt.Sprint("p", i), "a", engine.Prefill)
			other.addEngine(fmt.Sprint("p", i), "a", engine.Prefill)
		}
		f.addEngine("d", "a", engine.Decode)
		other.addEngine("d", "a", engine.Decode)
		counts := map[string]int{}
		for _, vm := range []*fixture{f, other} {
			vm.complete(vm.plan(vm.longReq("warm"), relay.AttemptState{}))
			// Every engine caches the part that all long prompts share.
			for i := range 12 {
				vm.planner.ReceiveLoad(&sharepb.Load{Vm: "warm", Placed: []*sharepb.Placed{{
					Endpoint: loadshare.Hash(fmt.Sprint("p", i)), Part: []uint32{loadshare.Hash("all")}, Tokens: []uint32{2500},
				}}})
			}
		}
		for i := range 60 {
			prefix := fmt.Sprint("s", i)
			p, q := f.plan(f.longReq(prefix), relay.AttemptState{}), other.plan(other.longReq(prefix), relay.AttemptState{})
			f.complete(p)
			other.complete(q)
			if p.Prefill.ID != q.Prefill.ID {
				t.Errorf("%s goes to %s and %s", prefix, p.Prefill.ID, q.Prefill.ID)
			}
			counts[p.Prefill.ID]++
		}
		for id, n := range counts {
			if n > 15 {
				t.Errorf("%d of 60 prefixes go to %s", n, id)
			}
		}
	})
}

// A burst fills the engines up to the objective; further requests are refused as not run, with a
// retry-after time.
func TestLateRequestIsRefused(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		f.addEngine("p", "a", engine.Prefill)
		f.addEngine("d", "a", engine.Decode)
		taken := 0
		var refused *failure.Request
		for i := range 20 {
			if _, failed := f.planner.Plan(f.longReq(fmt.Sprint("s", i)), relay.AttemptState{}); failed != nil {
				refused = failed
				break
			}
			taken++
		}
		if taken < 2 || taken > 6 || refused == nil {
			t.Fatalf("%d prompts were accepted by an engine that prefills one in about 45 ms", taken)
		}
		if refused.Code != failure.DeadlineUnreachable || refused.Ran != failure.NotRun || refused.RetryAfter <= 0 {
			t.Errorf("refused with %v, retry after %v", refused, refused.RetryAfter)
		}
		late := f.longReq("t")
		if _, failed := f.planner.Plan(late, relay.AttemptState{Number: 1}); failed != nil {
			t.Errorf("the second attempt is refused as late: %v", failed)
		}
	})
}

// The reported work of another VM counts until its report expires.
func TestPeerWorkCountsUntilExpiry(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		f.addEngine("p1", "a", engine.Prefill)
		f.addEngine("p2", "a", engine.Prefill)
		f.addEngine("d", "a", engine.Decode)
		f.planner.ReceiveLoad(&sharepb.Load{Vm: "other", Work: []*sharepb.Work{{Endpoint: loadshare.Hash("p1"), PrefillTokens: 20_000}}})
		for i := range 3 {
			p := f.plan(f.longReq(fmt.Sprint("s", i)), relay.AttemptState{})
			if p.Prefill.ID != "p2" {
				t.Errorf("a prompt goes to the engine that another VM keeps busy")
			}
			f.complete(p)
		}
		f.planner.ReceiveLoad(&sharepb.Load{Vm: "other"})
		if left := f.planner.loads.inFlight(f.planner.loads.byID["p1"]); left != (work{}) {
			t.Errorf("work left: %+v", left)
		}
		f.planner.ReceiveLoad(&sharepb.Load{Vm: "other", Work: []*sharepb.Work{{Endpoint: loadshare.Hash("p1"), PrefillTokens: 20_000}}})
		time.Sleep(2 * loadshare.TTL)
		f.planner.LocalReport()
		if n := len(f.planner.loads.peerWork); n != 0 {
			t.Errorf("work of an expired report still counts at %d endpoints", n)
		}
	})
}

func TestRefusingEndpointsArePaused(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		f.addPlain("near", "a")
		f.addPlain("far", "b")
		f.plan(f.plainReq(), relay.AttemptState{}).Watch.Finished(refusedAttempt(), false)
		if p := f.plan(f.plainReq(), relay.AttemptState{}); p.Serve.ID != "far" {
			t.Error("the next request goes to an endpoint that has just refused")
		} else {
			p.Watch.Finished(nil, false)
		}
		time.Sleep(minPause)
		if p := f.plan(f.plainReq(), relay.AttemptState{}); p.Serve.ID != "near" {
			t.Error("an endpoint is paused for too long")
		}
		f.roleChanges = []string{"near"}
		if p := f.plan(f.plainReq(), relay.AttemptState{}); p.Serve.ID != "far" {
			t.Error("a request goes to an endpoint whose role change this VM has ordered")
		}
		f.roleChanges = nil
		f.planner.ReceiveLoad(&sharepb.Load{Vm: "other", Changing: []uint32{roleChangeID(loadshare.Hash("near"), "")}})
		if p := f.plan(f.plainReq(), relay.AttemptState{}); p.Serve.ID != "far" {
			t.Error("a request goes to an endpoint whose role change another VM has ordered")
		}
	})
}

func TestFailingEndpointsAreEjected(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		f.addPlain("near", "a")
		f.addPlain("far", "b")
		f.addPlain("far2", "b")
		for range 3 {
			f.plan(f.plainReq(), relay.AttemptState{}).Watch.Finished(brokenAttempt(), false)
		}
		for range 5 {
			if p := f.plan(f.plainReq(), relay.AttemptState{}); p.Serve.ID == "near" {
				t.Error("the next request goes to an endpoint that failed three times in a row")
			}
		}
		// An attempt abandoned by this VM does not count as a failure of its endpoint.
		for range 10 {
			p := f.plan(f.plainReq(), relay.AttemptState{})
			p.Watch.Finished(brokenAttempt(), true)
		}
		if n := len((&decision{p: f.planner, req: f.plainReq(), now: f.planner.now()}).usable(nil)); n != 2 {
			t.Errorf("%d of 3 endpoints are usable, want 2", n)
		}
	})
}

// No local work remains once all attempts have ended, in whichever way they end.
func TestTrackedLoadReturnsToZero(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		for i := range 4 {
			f.addEngine(fmt.Sprint("p", i), "a", engine.Prefill)
			f.addEngine(fmt.Sprint("d", i), "b", engine.Decode)
			f.addPlain(fmt.Sprint("s", i), "b")
		}
		ends := []func(relay.Plan){
			func(p relay.Plan) { p.Watch.Prefilled(nil, false); p.Watch.FirstEvent(); p.Watch.Finished(nil, false) },
			func(p relay.Plan) { p.Watch.Prefilled(brokenAttempt(), false); p.Watch.Finished(nil, true) },
			func(p relay.Plan) { p.Watch.Prefilled(nil, false); p.Watch.Finished(refusedAttempt(), false) },
			func(p relay.Plan) { p.Watch.FirstEvent(); p.Watch.Finished(brokenAttempt(), true) },
			func(p relay.Plan) { p.Watch.Finished(brokenAttempt(), false) },
		}
		for i := range 200 {
			r := []*relay.Request{f.longReq(fmt.Sprint("s", i%7)), f.shortReq(), f.plainReq()}[i%3]
			plan, failed := f.planner.Plan(r, relay.AttemptState{})
			if failed == nil {
				ends[i%len(ends)](plan)
			}
			time.Sleep(30 * time.Millisecond)
		}
		for id, load := range f.planner.loads.byID {
			if load.local != (work{}) {
				t.Errorf("%s has %+v in flight", id, load.local)
			}
		}
		f.dir.Replace(nil, false)
		if n := len(f.planner.loads.byID); n != 0 {
			t.Errorf("%d removed endpoints are still tracked", n)
		}
	})
}

func TestCacheModel(t *testing.T) {
	c := newCacheModel(100)
	a, s, unique := chunk{1, 40}, chunk{2, 30}, chunk{3, 20}
	c.insert([]chunk{a, s, unique}, time.Time{})
	for _, tc := range []struct {
		chunks []chunk
		want   int
	}{
		{[]chunk{a, s, unique}, 90}, {[]chunk{a, s, {4, 9}}, 70}, {[]chunk{a, {4, 9}, s}, 40}, {[]chunk{{4, 9}, a}, 0}, {nil, 0},
	} {
		if got := c.cachedTokens(tc.chunks); got != tc.want {
			t.Errorf("%v: %d cached, want %d", tc.chunks, got, tc.want)
		}
	}
	c.insert([]chunk{a, {5, 50}}, time.Time{})
	if got := c.cachedTokens([]chunk{a, {5, 50}}); got != 90 {
		t.Errorf("newest prompt: %d cached", got)
	}
	if got := c.cachedTokens([]chunk{a, s}); got != 40 || c.used > 100 {
		t.Errorf("the least recently used part was not evicted: %d cached, %d used", got, c.used)
	}
	c.insert([]chunk{{6, 500}}, time.Time{})
	if c.used > 100 {
		t.Errorf("%d tokens cached with a capacity of 100", c.used)
	}
}

// Recheck reports that an endpoint of a plan was ejected, or that this VM or another one has
// ordered its role change. The trial attempt of an ejected endpoint itself remains valid.
func TestRecheckReportsUnusableEndpoints(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		for _, id := range []string{"d1", "d2", "d3", "d4"} {
			f.addEngine(id, "a", engine.Decode)
		}
		p := f.plan(f.shortReq(), relay.AttemptState{})
		if cause := p.Watch.Recheck(p.Serve); cause != "" {
			t.Errorf("after placement: %q", cause)
		}
		f.roleChanges = []string{p.Serve.ID}
		if cause := p.Watch.Recheck(p.Serve); cause != relay.EndpointChangingRole {
			t.Errorf("role change ordered by this VM: %q", cause)
		}
		f.roleChanges = nil
		f.planner.ReceiveLoad(&sharepb.Load{Vm: "other", Changing: []uint32{roleChangeID(loadshare.Hash(p.Serve.Incarnation()), p.Serve.Role)}})
		if cause := p.Watch.Recheck(p.Serve); cause != relay.EndpointChangingRole {
			t.Errorf("role change ordered by another VM: %q", cause)
		}
		time.Sleep(roleChangeTTL)
		for range f.planner.tuning.Health.ConsecutiveFailures {
			w := f.planner.newAttempt(t, p.Serve)
			w.Finished(brokenAttempt(), false)
		}
		if cause := p.Watch.Recheck(p.Serve); cause != relay.EndpointEjected {
			t.Errorf("after the ejection: %q", cause)
		}
		time.Sleep(f.planner.tuning.Health.BaseEjection)
		trial := f.planner.newAttempt(t, p.Serve)
		if cause := trial.Recheck(p.Serve); cause != "" {
			t.Errorf("trial attempt: %q", cause)
		}
		if cause := p.Watch.Recheck(p.Serve); cause != relay.EndpointEjected {
			t.Errorf("earlier attempt during a trial: %q", cause)
		}
	})
}

// newAttempt reserves an endpoint for an attempt.
func (p *Planner) newAttempt(t testing.TB, e *directory.Endpoint) *attemptWatch {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	d := &decision{p: p, req: &relay.Request{}, now: p.now()}
	r, ok := d.reserve(e, work{running: 1})
	if !ok {
		t.Fatalf("%s accepts no attempt", e.ID)
	}
	return &attemptWatch{p: p, serve: r}
}
