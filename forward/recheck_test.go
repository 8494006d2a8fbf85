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

// leavesAt is a Recheck for which one target leaves some time from now.
func leavesAt(target string, after time.Duration) func(string) *failure.Request {
	at := time.Now().Add(after)
	return func(name string) *failure.Request {
		if name != target || time.Now().Before(at) {
			return nil
		}
		return &failure.Request{Code: failure.EndpointLeaving, Ran: failure.NotRun, RetryAfter: time.Second}
	}
}

// slow is an engine that takes its time before it begins.
type slow struct{ forward.Generator }

func (s slow) Generate(ctx context.Context, req engine.GenerateRequest) (engine.Stream, error) {
	time.Sleep(4 * time.Second)
	return s.Generator.Generate(ctx, req)
}

// An engine that leaves while another one prefills the prompt gets nothing: the next engine imports
// the same cache, and the prompt is prefilled once.
func TestEngineLeavesWhileThePromptIsPrefilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prefills := fakeengine.New(fakeengine.Options{Incarnation: "p1"})
		b, c, _ := twoEngines()
		router := fakeforward.Router{
			Targets:       []forward.Target{{Name: "b", Pool: "p", Engine: b}, {Name: "c", Pool: "p", Engine: c}},
			PrefillTarget: &forward.Target{Name: "p", Engine: slow{prefills}},
			Observers:     new(fakeforward.ObserverCounter),
			Recheck:       leavesAt("b", 2*time.Second),
		}
		f := forward.New(forward.Config{Router: router, Admitter: fakeforward.AdmitAll{}, MaxAttempts: 1})
		var sink fakeforward.Sink
		if _, err := f.Generate(t.Context(), testWork(), &sink); err != nil {
			t.Fatal(err)
		}
		f.Wait()
		settled(t, router.Observers)
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
			t.Errorf("the prompt was prefilled %d times", n)
		}
	})
}

// A service endpoint that leaves while the call's claim is recorded gets nothing: the call goes to
// another one under the same claim. A call that may not be repeated may do so too, since nothing of
// it was sent.
func TestEndpointLeavesWhileTheClaimIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, router := twoServices()
		router.Observers = new(fakeforward.ObserverCounter)
		router.Recheck = leavesAt("a", time.Second)
		table := memtable.New()
		table.SetFault(memtable.Fault{Delay: 2 * time.Second})
		f := forward.New(forward.Config{
			Router: router, Admitter: fakeforward.AdmitAll{}, MaxAttempts: 1,
			Claims: claim.NewStore(claim.Config{Table: table}),
		})
		reply, err := f.Call(t.Context(), callWork("r0", "k", false))
		if err != nil || string(reply.Body) != "ok" {
			t.Fatal(reply, err)
		}
		f.Wait()
		settled(t, router.Observers)
		if ran(a) != 0 || len(a.Records()) != 0 || ran(b) != 1 {
			t.Errorf("the endpoint that left got %d calls, the other ran %d", len(a.Records()), ran(b))
		}
		time.Sleep(10 * time.Second) // the answer is kept beside it
	})
}

// Endpoints that leave one after the other end a request after a few, as not run.
func TestPlansThatNeverHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked := 0
		endpoint := new(fakeservice.Endpoint)
		router := fakeforward.Router{Observers: new(fakeforward.ObserverCounter)}
		for range 20 {
			router.Targets = append(router.Targets, forward.Target{Name: string(rune('a' + len(router.Targets))), Pool: "s", Service: endpoint})
		}
		router.Recheck = func(string) *failure.Request {
			if asked++; asked%2 == 1 {
				return nil // when it is chosen
			}
			return &failure.Request{Code: failure.EndpointLeaving, Ran: failure.NotRun, RetryAfter: time.Second}
		}
		f := forward.New(forward.Config{Router: router, Admitter: fakeforward.AdmitAll{}, MaxAttempts: 1})
		_, err := f.Call(t.Context(), callWork("r0", "", true))
		if diff := cmp.Diff(verdict{failure.EndpointLeaving, failure.NotRun}, verdictOf(t, err)); diff != "" || len(endpoint.Records()) != 0 {
			t.Errorf("%d calls, (-want +got):\n%s", len(endpoint.Records()), diff)
		}
		settled(t, router.Observers)
	})
}
