package forward_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/claim"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/engine/fakeengine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/forward/fakeforward"
	"github.com/springweir/springweir/service/fakeservice"
	"github.com/springweir/springweir/standin/enginemodel"
	"github.com/springweir/springweir/table/memtable"
)

// leavesAfter returns a Recheck by which one target leaves after the given time.
func leavesAfter(target string, after time.Duration) func(string) *failure.Request {
	at := time.Now().Add(after)
	return func(name string) *failure.Request {
		if name != target || time.Now().Before(at) {
			return nil
		}
		return &failure.Request{Code: failure.EndpointLeaving, Ran: failure.NotRun, RetryAfter: time.Second}
	}
}

// slowStart is an engine that delays each stream by four seconds.
type slowStart struct{ forward.Generator }

func (s slowStart) Generate(ctx context.Context, req engine.GenerateRequest) (engine.Stream, error) {
	time.Sleep(4 * time.Second)
	return s.Generator.Generate(ctx, req)
}

// TestEngineLeavesDuringPrefill: an engine that leaves while another one prefills the prompt
// receives nothing. The next engine imports the same cache, and the prompt is prefilled once.
func TestEngineLeavesDuringPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prefills := fakeengine.New(fakeengine.Options{Incarnation: "p1"})
		b, c, _ := twoEngines()
		router := fakeforward.Router{
			Targets:       []forward.Target{{Name: "b", Pool: "p", Engine: b}, {Name: "c", Pool: "p", Engine: c}},
			PrefillTarget: &forward.Target{Name: "p", Engine: slowStart{prefills}},
			Observers:     new(fakeforward.ObserverCounter),
			Recheck:       leavesAfter("b", 2*time.Second),
		}
		f := forward.New(forward.Config{Router: router, Admitter: fakeforward.AdmitAll{}, MaxAttempts: 1})
		var sink fakeforward.Sink
		if _, err := f.Generate(t.Context(), testWork(), &sink); err != nil {
			t.Fatal(err)
		}
		f.Wait()
		checkObservers(t, router.Observers)
		if diff := cmp.Diff(enginemodel.AnswerText(testPrompt, 0, 12), sink.Text.String()); diff != "" {
			t.Errorf("text (-want +got):\n%s", diff)
		}
		if n := len(b.Attempts()); n != 0 {
			t.Errorf("%d attempts reached the engine that left", n)
		}
		if list := c.Attempts(); len(list) != 1 || list[0].Request.KV == nil {
			t.Errorf("the other engine got %d attempts, want one with the cache", len(list))
		}
		if n := len(prefills.Attempts()); n != 1 {
			t.Errorf("the prompt was prefilled %d times, want once", n)
		}
	})
}

// TestEndpointLeavesDuringClaim: a service endpoint that leaves while the call's claim is recorded
// receives nothing, and the call goes to another endpoint under the same claim. This also applies
// to a non-repeatable call, since nothing of it was sent.
func TestEndpointLeavesDuringClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, router := twoServices()
		router.Observers = new(fakeforward.ObserverCounter)
		router.Recheck = leavesAfter("a", time.Second)
		table := memtable.New()
		table.SetFault(memtable.Fault{Delay: 2 * time.Second})
		f := forward.New(forward.Config{
			Router: router, Admitter: fakeforward.AdmitAll{}, MaxAttempts: 1,
			Claims: claim.NewStore(claim.Config{Table: table}),
		})
		resp, err := f.Call(t.Context(), callWork("r0", "k", false))
		if err != nil || string(resp.Body) != "ok" {
			t.Fatal(resp, err)
		}
		f.Wait()
		checkObservers(t, router.Observers)
		if runCount(a) != 0 || len(a.Records()) != 0 || runCount(b) != 1 {
			t.Errorf("the endpoint that left got %d calls, want none; the other ran %d, want 1", len(a.Records()), runCount(b))
		}
		time.Sleep(10 * time.Second) // the response is stored in the background
	})
}

// TestReroutesAreBounded: if endpoint after endpoint leaves, the request fails as not run after a
// bounded number of reroutes.
func TestReroutesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rechecks := 0
		endpoint := new(fakeservice.Endpoint)
		router := fakeforward.Router{Observers: new(fakeforward.ObserverCounter)}
		for range 20 {
			router.Targets = append(router.Targets, forward.Target{Name: string(rune('a' + len(router.Targets))), Pool: "s", Service: endpoint})
		}
		router.Recheck = func(string) *failure.Request {
			if rechecks++; rechecks%2 == 1 {
				return nil // the check by Route
			}
			return &failure.Request{Code: failure.EndpointLeaving, Ran: failure.NotRun, RetryAfter: time.Second}
		}
		f := forward.New(forward.Config{Router: router, Admitter: fakeforward.AdmitAll{}, MaxAttempts: 1})
		_, err := f.Call(t.Context(), callWork("r0", "", true))
		if diff := cmp.Diff(errorKind{failure.EndpointLeaving, failure.NotRun}, errorKindOf(t, err)); diff != "" || len(endpoint.Records()) != 0 {
			t.Errorf("%d calls, (-want +got):\n%s", len(endpoint.Records()), diff)
		}
		checkObservers(t, router.Observers)
	})
}
