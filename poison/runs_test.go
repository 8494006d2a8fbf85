package poison

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
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

// testTracker is a RunTracker with configurable probe results. It collects the reported suspects.
type testTracker struct {
	*RunTracker
	down      map[string]bool
	probeTime time.Duration
	// refusedAfter is when the endpoint refuses a connection of this VM; zero if it does not. The probe takes
	// probeTime more.
	refusedAfter time.Duration

	mu       sync.Mutex
	probes   int
	suspects []string
}

func newTestTracker() *testTracker {
	tracker := &testTracker{down: map[string]bool{}, probeTime: time.Millisecond}
	tracker.RunTracker = NewRunTracker(RunTrackerConfig{
		Now: time.Now,
		Down: func(_ context.Context, e *directory.Endpoint, refused func()) bool {
			tracker.mu.Lock()
			tracker.probes++
			tracker.mu.Unlock()
			if tracker.refusedAfter > 0 {
				time.Sleep(tracker.refusedAfter)
				refused()
			}
			time.Sleep(tracker.probeTime)
			return tracker.down[e.ID]
		},
		OnCrash: func(c Crash) {
			tracker.mu.Lock()
			defer tracker.mu.Unlock()
			for _, s := range c.Suspects {
				tracker.suspects = append(tracker.suspects, fmt.Sprintf("%s streaming=%v", s.Request, s.Streaming))
			}
		},
	})
	return tracker
}

// Only an endpoint that accepts no more connections has crashed. All requests that were running on
// it are then suspects, regardless of how and in which order their runs ended.
func TestSuspectsOfACrash(t *testing.T) {
	type end struct {
		request string
		after   time.Duration
		relay.RunEnd
	}
	interrupted := relay.RunEnd{Outcome: relay.RunInterrupted}
	streaming := relay.RunEnd{Outcome: relay.RunInterrupted, Streaming: true}
	abandoned := relay.RunEnd{Outcome: relay.RunAbandoned}
	for _, tc := range []struct {
		name   string
		down   bool
		ends   []end
		want   []string
		probes int
	}{
		{"one run", true, []end{{"a", 0, interrupted}}, []string{"a streaming=false"}, 1},
		{"several runs, one streaming", true, []end{{"a", 0, interrupted}, {"b", 0, streaming}, {"c", 0, abandoned}},
			[]string{"a streaming=false", "b streaming=true", "c streaming=false"}, 1},
		{"a run interrupted later", true, []end{{"a", 0, interrupted}, {"b", 50 * time.Millisecond, interrupted}},
			[]string{"a streaming=false", "b streaming=false"}, 1},
		{"a run abandoned before", true, []end{{"a", 0, abandoned}, {"b", time.Second, interrupted}},
			[]string{"a streaming=false", "b streaming=false"}, 1},
		{"a run abandoned too long before", true, []end{{"a", 0, abandoned}, {"b", 3 * time.Second, interrupted}}, []string{"b streaming=false"}, 1},
		{"a reset connection", false, []end{{"a", 0, interrupted}}, nil, 1},
		{"an unresponsive endpoint", true, []end{{"a", 0, abandoned}, {"b", 0, abandoned}}, nil, 0},
		{"responses and refusals", true, []end{{"a", 0, relay.RunEnd{}}, {"b", 0, relay.RunEnd{Outcome: relay.RunRefused}}}, nil, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tracker := newTestTracker()
				e := endpoint("e")
				tracker.down["e"] = tc.down
				for _, end := range tc.ends {
					time.Sleep(end.after)
					tracker.RecordEnd(request("caller", end.request, end.request), e, end.RunEnd)()
				}
				time.Sleep(time.Second)
				if diff := cmp.Diff(tc.want, tracker.suspects); diff != "" {
					t.Errorf("suspects (-want +got):\n%s", diff)
				}
				if tracker.probes != tc.probes {
					t.Errorf("%d probes, want %d", tracker.probes, tc.probes)
				}
			})
		})
	}
}

// Guards against a run that is placed again before it is known that it has crashed its endpoint, because the
// probe takes long beside load. If connections hang, as on a VM that is cut off, it goes on sooner.
func TestInterruptedRunWaitsForVerdict(t *testing.T) {
	for _, tc := range []struct {
		name                    string
		refusedAfter, probeTime time.Duration
		want                    time.Duration
	}{
		{"the probe ends", 0, 3 * time.Millisecond, 3 * time.Millisecond},
		{"refused, other VMs are slow to answer", 30 * time.Millisecond, 90 * time.Millisecond, 120 * time.Millisecond},
		{"refused, other VMs do not answer", 5 * time.Millisecond, 190 * time.Millisecond, 155 * time.Millisecond},
		{"the connection hangs", 0, 190 * time.Millisecond, probeWait},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tracker := newTestTracker()
				tracker.probeTime, tracker.refusedAfter, tracker.down["e"] = tc.probeTime, tc.refusedAfter, true
				start := time.Now()
				tracker.RecordEnd(request("caller", "a", "a"), endpoint("e"), relay.RunEnd{Outcome: relay.RunInterrupted})()
				if waited := time.Since(start); waited != tc.want {
					t.Errorf("the run waited for %v, want %v", waited, tc.want)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against a copy of a request that is placed again, because its endpoint was ejected as it crashed, before it
// is known that the request has crashed it.
func TestCopyWaitsForVerdictOnEqualRun(t *testing.T) {
	const probeTime, breaksAfter = 20 * time.Millisecond, 3 * time.Millisecond
	for _, tc := range []struct {
		name string
		// body is that of the other request, which is still running if active is set.
		body   string
		active bool
		want   time.Duration
	}{
		{"an equal run was interrupted", "a", false, probeTime},
		{"an equal run is about to be", "a", true, probeTime + breaksAfter},
		{"another run was interrupted", "b", false, 0},
		{"another run is about to be", "b", true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tracker := newTestTracker()
				tracker.probeTime, tracker.down["e"] = probeTime, true
				other := request("caller", "other", tc.body)
				interrupted := other
				if tc.active {
					interrupted = request("caller", "interrupted", "c")
					tracker.RecordStart(other, endpoint("e"))
					time.AfterFunc(probeTime+breaksAfter, func() { tracker.RecordEnd(other, endpoint("e"), relay.RunEnd{Outcome: relay.RunInterrupted}) })
				}
				tracker.RecordEnd(interrupted, endpoint("e"), relay.RunEnd{Outcome: relay.RunInterrupted})
				copied := request("caller", "copy", "a")
				tracker.RecordStart(copied, endpoint("e"))
				start := time.Now()
				tracker.AwaitEqualRuns(copied)
				if waited := time.Since(start); waited < tc.want || waited > tc.want+verdictInterval {
					t.Errorf("the copy waited for %v, want %v and at most %v more", waited, tc.want, verdictInterval)
				}
				time.Sleep(time.Second)
				start = time.Now()
				tracker.AwaitEqualRuns(copied)
				if waited := time.Since(start); waited != 0 {
					t.Errorf("after the probe the copy waited for %v", waited)
				}
			})
		})
	}
}

// Guards against a copy of a common request that waits for one endpoint after the other of a zone that is cut off.
func TestCopyWaitsOnceForSeveralEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTestTracker()
		tracker.probeTime = 190 * time.Millisecond // the connections hang
		for i := range 5 {
			tracker.RecordEnd(request("caller", fmt.Sprint("other", i), "a"), endpoint(fmt.Sprint("e", i)), relay.RunEnd{Outcome: relay.RunInterrupted})
		}
		start := time.Now()
		tracker.AwaitEqualRuns(request("caller", "copy", "a"))
		if waited := time.Since(start); waited != probeWait {
			t.Errorf("the copy waited for %v, want %v", waited, probeWait)
		}
		time.Sleep(time.Second)
	})
}

// A run that this VM abandoned on an endpoint whose crash another VM observed is a suspect too.
func TestCrashReportedByAnotherVM(t *testing.T) {
	tracker := newTestTracker()
	e := endpoint("e")
	tracker.RecordEnd(request("caller", "a", "a"), e, relay.RunEnd{Outcome: relay.RunAbandoned})()
	tracker.RecordRemoteCrash(e)
	if diff := cmp.Diff([]string{"a streaming=false"}, tracker.suspects); diff != "" {
		t.Errorf("suspects (-want +got):\n%s", diff)
	}
}

// Guards against a run that is placed again before it is known as a suspect: another VM's report of the crash
// arrives while the endpoint is probed, and the probe ends while the runs are still being reported for it.
func TestInterruptedRunIsKnownAsSuspectBeforeItsRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const reporting = 30 * time.Millisecond
		tracker := newTestTracker()
		e := endpoint("e")
		tracker.down["e"] = true
		tracker.probeTime = 5 * time.Millisecond
		onCrash := tracker.cfg.OnCrash
		tracker.cfg.OnCrash = func(c Crash) {
			time.Sleep(reporting)
			onCrash(c)
		}
		await := tracker.RecordEnd(request("caller", "a", "a"), e, relay.RunEnd{Outcome: relay.RunInterrupted})
		go tracker.RecordRemoteCrash(e)
		await()
		if want := []string{"a streaming=false"}; !slices.Equal(tracker.suspects, want) {
			t.Errorf("suspects %v as the run is placed again, want %v", tracker.suspects, want)
		}
		time.Sleep(2 * reporting)
	})
}

// The state of deregistered endpoints is removed.
func TestRetainRemovesDeregisteredEndpoints(t *testing.T) {
	tracker := newTestTracker()
	d := directory.New(nil)
	for i := range 100 {
		tracker.RecordEnd(request("caller", "a", "a"), endpoint(fmt.Sprint("e", i)), relay.RunEnd{Outcome: relay.RunAbandoned})()
	}
	d.Put(endpoint("e7").Registration)
	tracker.Retain(d.Snapshot())
	if len(tracker.byIncarnation) != 1 {
		t.Errorf("state of %d endpoints is retained, want 1", len(tracker.byIncarnation))
	}
}

// The key of a request is independent of its ID and address. It depends on the credentials, the
// target and the body.
func TestKeyOf(t *testing.T) {
	base := func() *relay.Request { return request("caller", "id", "body") }
	same := request("another address", "other id", "body")
	if KeyOf(base()) != KeyOf(same) {
		t.Error("the key depends on the request ID or the address")
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
			t.Errorf("a change of %s does not change the key", name)
		}
	}
}

// BenchmarkKeyOf computes the key of a 30 KB request, which takes about 0.03 ms.
func BenchmarkKeyOf(b *testing.B) {
	r := request("caller", "id", strings.Repeat("x", 30<<10))
	for b.Loop() {
		KeyOf(r)
	}
}

// Guards against long bodies that stay in memory after their requests: the runs that are retained for a later crash must
// hold none, and still be recognized.
func TestRetainedRunsHoldNoBodies(t *testing.T) {
	tracker := newTestTracker()
	e := endpoint("a")
	const size = 1 << 20
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	body := strings.Repeat("z", size)
	for n := range 64 {
		r := request("caller", fmt.Sprint("r", n), fmt.Sprint(n)+body)
		tracker.RecordStart(r, e)
		tracker.RecordEnd(r, e, relay.RunEnd{Outcome: relay.RunAbandoned})()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if rise := int64(after.HeapAlloc) - int64(before.HeapAlloc); rise > 8*size {
		t.Errorf("%d KB are held of 64 runs that have ended", rise>>10)
	}
	tracker.down["a"] = true
	again := request("caller", "again", fmt.Sprint(63)+body)
	tracker.RecordStart(again, e)
	tracker.RecordEnd(again, e, relay.RunEnd{Outcome: relay.RunInterrupted})()
	reported := func() int {
		tracker.mu.Lock()
		defer tracker.mu.Unlock()
		return len(tracker.suspects)
	}
	for end := time.Now().Add(5 * time.Second); reported() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if reported() != 65 {
		t.Errorf("%d suspects, want the 65 runs", reported())
	}
}
