package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
)

// fakeOrigins is an Origins that knows the software of every stream, or refuses it, and records what began.
type fakeOrigins struct {
	software *directory.Software
	failed   *failure.Request
	began    []string
}

func (o *fakeOrigins) Find(context.Context, *Request) (*directory.Software, *failure.Request) {
	return o.software, o.failed
}

func (o *fakeOrigins) Began(r *Request, s directory.Software) {
	o.began = append(o.began, fmt.Sprint(r.ID, " at ", s.Version))
}

// twoVersions are endpoints of two software versions.
var twoVersions = map[string]string{"a": "v1", "b": "v1", "x": "v2", "y": "v2", "p": "v1", "q": "v2"}

// Guards against a stream that goes on at another software version within one response: by the next attempt
// or by the replacement of a silent engine.
func TestStreamIsBoundByFirstEvent(t *testing.T) {
	stallsOnce := ok(sse(1), sse(2))
	stallsOnce.pauseBefore = map[int]time.Duration{1: 900 * time.Millisecond}
	for _, tc := range []struct {
		name  string
		setup scenario
		want  outcome
		began []string
	}{
		{"no event was forwarded", scenario{plans: []string{"a", "x"}, sends: []reply{connectionLost(), ok(sse(1))}},
			outcome{Status: 200, Body: sse(1), HeadSent: true, Calls: []string{"send a", "send x"}, Retries: 1, Attempts: 2}, []string{"r at v2"}},
		{"the next attempt", scenario{plans: []string{"a", "x", "b"}, sends: []reply{truncated(sse(1)), ok(sse(2))}},
			outcome{Status: 200, Body: sse(1) + sse(2), HeadSent: true, Calls: []string{"send a", "send b after 1"}, Retries: 1, Attempts: 2}, []string{"r at v1"}},
		{"only the other version is left", scenario{plans: []string{"a", "x", "y"}, sends: []reply{truncated(sse(1)), ok(sse(2))}},
			outcome{Status: 200, Body: sse(1), HeadSent: true, Code: failure.AnswerTruncated, Ran: failure.Unknown, Calls: []string{"send a"}, Retries: 1, Attempts: 1}, []string{"r at v1"}},
		{"the replacement of a silent engine", scenario{plans: []string{"a", "x", "y", "x", "y"}, sends: []reply{stallsOnce, ok(sse(2))}},
			outcome{Status: 200, Body: sse(1) + sse(2), HeadSent: true, Calls: []string{"send a"}, Retries: 1, Attempts: 1, Elapsed: 900 * time.Millisecond}, []string{"r at v1"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			origins := &fakeOrigins{}
			tc.setup.route, tc.setup.budget, tc.setup.software, tc.setup.origins = resumableStream, 1, twoVersions, origins
			if diff := cmp.Diff(tc.want, runScenario(t, tc.setup)); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(tc.began, origins.began); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// An attempt that was prepared before the first event is not made if that event came from another software
// version, and its plan is given back.
func TestPreparedAttemptOfOtherSoftwareIsDropped(t *testing.T) {
	planner := &fakePlanner{pending: []string{"x"}, registry: directory.New(nil), software: twoVersions}
	relay := New(Config{Planner: planner, Endpoints: planner.registry.Snapshot})
	j := &job{relay: relay, req: &Request{ID: "r", Route: &resumableStream, Service: "s"}, software: &directory.Software{Service: "s", Version: "v1"}}
	next, failed := relay.planAttempt(j.req, AttemptState{})
	if failed != nil {
		t.Fatal(failed)
	}
	j.next = next
	if plan, adopted := j.adoptNext(); adopted {
		t.Errorf("the attempt at %s is made", plan.Serve.ID)
	}
	if planner.open != 0 {
		t.Errorf("%d plans are open", planner.open)
	}
}

// A stream that is taken up uses only endpoints of the software that began it, and nothing is sent if that
// is unknown or its service is no longer on the route.
func TestTakenUpStreamIsBoundToItsOrigin(t *testing.T) {
	unknown := &failure.Request{Code: failure.OriginUnknown, Ran: failure.NotRun}
	for _, tc := range []struct {
		name    string
		setup   scenario
		origins fakeOrigins
		want    outcome
		began   []string
	}{
		{"another version is planned first", scenario{plans: []string{"a", "x"}, sends: []reply{ok(sse(2))}},
			fakeOrigins{software: &directory.Software{Service: "s", Version: "v2"}},
			outcome{Status: 200, Body: sse(2), HeadSent: true, Calls: []string{"send x after 1"}, Attempts: 1}, []string{"r at v2"}},
		{"the origin is unknown", scenario{plans: []string{"a"}}, fakeOrigins{failed: unknown},
			outcome{Code: failure.OriginUnknown, Ran: failure.NotRun}, nil},
		{"the route has another service", scenario{plans: []string{"a"}}, fakeOrigins{software: &directory.Software{Service: "t", Version: "v1"}},
			outcome{Code: failure.SoftwareGone, Ran: failure.NotRun}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.setup.route, tc.setup.software, tc.setup.origins = resumableStream, twoVersions, &tc.origins
			tc.setup.lastEventID, tc.setup.origin = 1, "o"
			if diff := cmp.Diff(tc.want, runScenario(t, tc.setup)); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(tc.began, tc.origins.began); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A KV cache that one software version has produced is not imported by another one: it is freed, and the
// serving engine prefills the prompt.
func TestForeignKVCacheIsNotImported(t *testing.T) {
	got := runScenario(t, scenario{
		route: resumableStream, software: twoVersions, budget: 1, plans: []string{"p/a", "x"},
		prefills: []reply{ok()}, sends: []reply{notRun(), ok(sse(1))},
	})
	want := outcome{Status: 200, Body: sse(1), HeadSent: true, Calls: []string{"prefill p", "send a import kv1", "send x"}, Freed: []string{"kv1"}, Retries: 1, Attempts: 2}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
