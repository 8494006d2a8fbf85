package poison

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/organisation"
	"github.com/springweir/springweir/relay"
)

func endpoint(id string) *directory.Endpoint {
	return &directory.Endpoint{Registration: directory.Registration{ID: id, StartedAt: 1, Service: "llm"}}
}

func request(caller, id, body string) *relay.Request {
	return &relay.Request{ID: id, Caller: caller, Method: "POST", Host: "h", Target: "/p", Body: []byte(body)}
}

// watched are Runs whose endpoints are down as a test says, with the crashes that they told.
type watched struct {
	*Runs
	down    map[string]bool
	look    time.Duration
	looks   int
	crashes []string
}

func newWatched() *watched {
	w := &watched{down: map[string]bool{}, look: time.Millisecond}
	w.Runs = NewRuns(RunsConfig{
		Now: time.Now,
		Down: func(_ context.Context, e *directory.Endpoint) bool {
			w.looks++
			time.Sleep(w.look)
			return w.down[e.ID]
		},
		Crashed: func(c Crash) {
			for _, s := range c.Suspects {
				w.crashes = append(w.crashes, fmt.Sprintf("%s streaming=%v", s.Request, s.Streaming))
			}
		},
	})
	return w
}

// Only an endpoint that takes no more connections has crashed; then all that was at work there
// is suspect, however its own attempt ended and in whichever order.
func TestSuspectsOfACrash(t *testing.T) {
	type end struct {
		request string
		after   time.Duration
		relay.RunEnd
	}
	broke := relay.RunEnd{Outcome: relay.RunInterrupted}
	streaming := relay.RunEnd{Outcome: relay.RunInterrupted, Streaming: true}
	left := relay.RunEnd{Outcome: relay.RunAbandoned}
	for _, tc := range []struct {
		name  string
		down  bool
		ends  []end
		want  []string
		looks int
	}{
		{"one run", true, []end{{"a", 0, broke}}, []string{"a streaming=false"}, 1},
		{"several, some with events", true, []end{{"a", 0, broke}, {"b", 0, streaming}, {"c", 0, left}},
			[]string{"a streaming=false", "b streaming=true", "c streaming=false"}, 1},
		{"one that breaks later", true, []end{{"a", 0, broke}, {"b", 50 * time.Millisecond, broke}},
			[]string{"a streaming=false", "b streaming=false"}, 1},
		{"one that was given up before", true, []end{{"a", 0, left}, {"b", time.Second, broke}},
			[]string{"a streaming=false", "b streaming=false"}, 1},
		{"one that was given up long before", true, []end{{"a", 0, left}, {"b", 3 * time.Second, broke}}, []string{"b streaming=false"}, 1},
		{"a connection that was reset", false, []end{{"a", 0, broke}}, nil, 1},
		{"an endpoint that is silent", true, []end{{"a", 0, left}, {"b", 0, left}}, nil, 0},
		{"answers and refusals", true, []end{{"a", 0, relay.RunEnd{}}, {"b", 0, relay.RunEnd{Outcome: relay.RunRefused}}}, nil, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWatched()
				e := endpoint("e")
				w.down["e"] = tc.down
				for _, end := range tc.ends {
					time.Sleep(end.after)
					w.Ended(request("caller", end.request, end.request), e, end.RunEnd)
				}
				time.Sleep(time.Second)
				if diff := cmp.Diff(tc.want, w.crashes); diff != "" {
					t.Errorf("suspects (-want +got):\n%s", diff)
				}
				if w.looks != tc.looks {
					t.Errorf("%d looks, want %d", w.looks, tc.looks)
				}
			})
		})
	}
}

// A run that this VM gave up, on an endpoint that another VM saw crash, is suspect too.
func TestCrashLearnedFromAnotherVM(t *testing.T) {
	w := newWatched()
	e := endpoint("e")
	w.Ended(request("caller", "a", "a"), e, relay.RunEnd{Outcome: relay.RunAbandoned})
	w.Learned(e)
	if diff := cmp.Diff([]string{"a streaming=false"}, w.crashes); diff != "" {
		t.Errorf("suspects (-want +got):\n%s", diff)
	}
}

// An endpoint that is gone from the directory costs no memory.
func TestRunsForgetEndpoints(t *testing.T) {
	w := newWatched()
	d := directory.New(nil)
	for i := range 100 {
		w.Ended(request("caller", "a", "a"), endpoint(fmt.Sprint("e", i)), relay.RunEnd{Outcome: relay.RunAbandoned})
	}
	d.Put(endpoint("e7").Registration)
	w.Keep(d.Snapshot())
	if len(w.byID) != 1 {
		t.Errorf("%d endpoints are kept, want 1", len(w.byID))
	}
}

// A request is the same whatever its id and address; one with other credentials, another path
// or body is not.
func TestKeyOf(t *testing.T) {
	base := func() *relay.Request { return request("caller", "id", "body") }
	same := request("another address", "other id", "body")
	if KeyOf(base()) != KeyOf(same) {
		t.Error("the id makes a difference")
	}
	for name, change := range map[string]func(*relay.Request){
		"credential":         func(r *relay.Request) { r.Credential.Key = organisation.DigestOf("x") },
		"method":             func(r *relay.Request) { r.Method = "PUT" },
		"host":               func(r *relay.Request) { r.Host = "i" },
		"target":             func(r *relay.Request) { r.Target = "/p?q" },
		"body":               func(r *relay.Request) { r.Body = []byte("bodY") },
		"target for host":    func(r *relay.Request) { r.Host, r.Target = "h/", "p" },
		"no body for target": func(r *relay.Request) { r.Target, r.Body = "/pbody", nil },
	} {
		r := base()
		change(r)
		if KeyOf(base()) == KeyOf(r) {
			t.Errorf("another %s makes no difference", name)
		}
	}
}

// A key of a request of 30 KB takes 0.03 ms.
func BenchmarkKeyOf(b *testing.B) {
	r := request("caller", "id", strings.Repeat("x", 30<<10))
	for b.Loop() {
		KeyOf(r)
	}
}
