package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/pipenet"
	"github.com/springweir/springweir/standin/enginemodel"
	"github.com/springweir/springweir/weightstore"
)

const (
	prompt = "Is the rate in parity with the contract?"
	tokens = 4000
)

var base = weightstore.Artifact{Model: "m", Version: "1"}

// testEngine is a simulated engine with a client, running in a synctest bubble.
type testEngine struct {
	*Server
	client *engine.Client
	net    *pipenet.Listener
}

func start(t *testing.T, change func(*Options)) *testEngine {
	t.Helper()
	o := Options{
		Address:     "engine-1",
		Incarnation: "one",
		Role:        engine.Mixed,
		Loaded:      []weightstore.Artifact{base},
		Params:      enginemodel.DefaultParams(),
	}
	if change != nil {
		change(&o)
	}
	b := &testEngine{Server: New(o), net: pipenet.Listen()}
	ctx, cancel := context.WithCancel(t.Context())
	srv := &http.Server{Handler: b.Server}
	go srv.Serve(b.net)
	go b.Run(ctx)
	b.client = engine.NewClient(engine.Options{Address: "engine-1", Dial: b.net.Dial})
	t.Cleanup(func() {
		cancel()
		b.Thaw()
		b.client.Close()
		srv.Close()
	})
	return b
}

func request(attempt string) engine.GenerateRequest {
	return engine.GenerateRequest{
		ID:           "r",
		Attempt:      attempt,
		Model:        "m",
		Prompt:       prompt,
		PromptTokens: tokens,
		PrefixHashes: []uint64{1, 2, 3, 4, 5, 6, 7, 8},
	}
}

// generate reads a response up to its end or up to upTo tokens; -1 means no limit.
func (b *testEngine) generate(ctx context.Context, req engine.GenerateRequest, upTo int) (string, engine.Frame, error) {
	s, err := b.client.Generate(ctx, req)
	if err != nil {
		return "", engine.Frame{}, err
	}
	defer s.Close()
	var text string
	for n := 0; ; {
		f, err := s.Next(ctx)
		if err != nil {
			return text, f, err
		}
		text += f.Text
		n += f.Tokens
		if f.Finish != "" || n == upTo {
			return text, f, nil
		}
	}
}

func (b *testEngine) order(t *testing.T, o engine.Order) (engine.OrderState, error) {
	t.Helper()
	return b.client.Order(t.Context(), o, time.Now().Add(time.Second))
}

func roleOrder(id string, fence uint64, r engine.Role) engine.Order {
	return engine.Order{ID: id, Fence: fence, Incarnation: "one", Kind: engine.ChangeRole, Role: r}
}

func wantFailure(t *testing.T, err error, reason failure.Reason, ran failure.Outcome) {
	t.Helper()
	var f *failure.Request
	if !errors.As(err, &f) || f.Code != reason || f.Ran != ran {
		t.Errorf("got %v, want %s (%s)", err, reason, ran)
	}
}

// completeText is the text of the complete response to prompt.
func completeText() string {
	n, _ := enginemodel.AnswerTokens(prompt, 0)
	return enginemodel.AnswerText(prompt, 0, n)
}

func TestCompleteResumedAndImportedResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := start(t, nil)
		text, last, err := a.generate(t.Context(), request("a1"), -1)
		if err != nil || text != completeText() || last.Finish != engine.Stop {
			t.Fatalf("whole: %q, %+v, %v", text, last, err)
		}
		_, again, err := a.generate(t.Context(), request("a2"), -1)
		if err != nil || again.CachedTokens != 8*16 {
			t.Errorf("again: %d cached, %v", again.CachedTokens, err)
		}
		part, _, err := a.generate(t.Context(), request("a3"), 5)
		if err != nil {
			t.Fatal(err)
		}
		// A second engine resumes the response and imports the prompt's KV cache from a third.
		p := start(t, func(o *Options) { o.Role = engine.Prefill })
		req := request("p1")
		req.PrefillOnly = true
		_, prefilled, err := p.generate(t.Context(), req, -1)
		if err != nil || prefilled.KV == nil {
			t.Fatalf("prefill: %+v, %v", prefilled, err)
		}
		b := start(t, func(o *Options) {
			o.Role = engine.Decode
			o.Fetch = &http.Client{Transport: &http.Transport{DialContext: p.net.Dial, DisableKeepAlives: true}}
		})
		req = request("b1")
		req.KV, req.ResumeFrom, req.Emitted = prefilled.KV, 5, part
		rest, _, err := b.generate(t.Context(), req, -1)
		if err != nil || part+rest != completeText() {
			t.Errorf("resumed: %q + %q, %v", part, rest, err)
		}
		// A KV cache that is corrupt, of another incarnation or expired is refused.
		// The expiry comes last because it invalidates the cache for the other cases too.
		for _, corruption := range []struct {
			name string
			do   func(*engine.KVRef)
		}{
			{"digest", func(r *engine.KVRef) { r.Digest = "0" }},
			{"tokens", func(r *engine.KVRef) { r.Tokens++ }},
			{"incarnation", func(r *engine.KVRef) { r.Incarnation = "two" }},
			{"expired", func(*engine.KVRef) { time.Sleep(time.Minute) }},
		} {
			ref := *prefilled.KV
			corruption.do(&ref)
			req.KV, req.Attempt = &ref, corruption.name
			_, _, err := b.generate(t.Context(), req, -1)
			wantFailure(t, err, failure.EndpointRefused, failure.NotRun)
		}
	})
}

func TestRefusedBeforeRunning(t *testing.T) {
	for name, change := range map[string]func(*testEngine, *engine.GenerateRequest){
		"model":   func(_ *testEngine, r *engine.GenerateRequest) { r.Model = "other" },
		"adapter": func(_ *testEngine, r *engine.GenerateRequest) { r.Adapter = "other" },
		"version": func(_ *testEngine, r *engine.GenerateRequest) { r.Version = "2" },
		"emitted": func(_ *testEngine, r *engine.GenerateRequest) { r.ResumeFrom, r.Emitted = 1, "not mine " },
		"leaving": func(b *testEngine, _ *engine.GenerateRequest) { b.Leave() },
		"order":   func(b *testEngine, _ *engine.GenerateRequest) { b.accept(roleOrder("o", 1, engine.Decode)) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := start(t, nil)
				req := request("a")
				change(b, &req)
				_, _, err := b.generate(t.Context(), req, -1)
				wantFailure(t, err, failure.EndpointRefused, failure.NotRun)
				if n := len(b.History().Attempts); n != 0 {
					t.Errorf("%d attempts ran", n)
				}
			})
		})
	}
}

// An attempt ID can be used once: a repeat is refused, but not reported as not run.
func TestAttemptIsUsedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, nil)
		if _, _, err := b.generate(t.Context(), request("a"), -1); err != nil {
			t.Fatal(err)
		}
		_, _, err := b.generate(t.Context(), request("a"), -1)
		wantFailure(t, err, failure.EndpointRefused, failure.Unknown)
	})
}

// TestEventsDuringStream checks what the reader of a stream receives when an event occurs after three tokens.
func TestEventsDuringStream(t *testing.T) {
	for _, tc := range []struct {
		name   string
		event  func(*testEngine)
		finish engine.FinishReason
		reason failure.Reason
		whole  bool
	}{
		{"leaving", (*testEngine).leave, engine.Stop, "", true},
		{"cancel", (*testEngine).cancelA, engine.Cancelled, "", false},
		{"role change", (*testEngine).changeRole, engine.Failed, "", false},
		{"adapter load", (*testEngine).loadAdapter, engine.Stop, "", true},
		{"freeze", (*testEngine).Freeze, "", failure.EndpointBroke, false},
		{"crash", (*testEngine).crashNow, "", failure.AnswerTruncated, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := start(t, nil)
				s, err := b.client.Generate(t.Context(), request("a"))
				if err != nil {
					t.Fatal(err)
				}
				defer s.Close()
				var f engine.Frame
				for n := 0; err == nil && f.Finish == ""; n++ {
					if n == 3 {
						tc.event(b)
					}
					f, err = s.Next(t.Context())
				}
				if f.Finish != tc.finish || (err != nil) != (tc.reason != "") || (err != nil && failure.ReasonOf(err) != tc.reason) {
					t.Errorf("got %q, %v; want %q, %q", f.Finish, err, tc.finish, tc.reason)
				}
				s.Close()
				b.Thaw()
				time.Sleep(time.Minute)
				got := b.History().Attempts[0]
				// The model of a crashed engine stops advancing and keeps its job.
				idle := b.State().Load.Running == 0 || tc.name == "crash"
				if !got.Ran || got.Whole != tc.whole || b.Streams() != 0 || !idle {
					t.Errorf("afterwards: %+v, %d streams, %+v", got, b.Streams(), b.State().Load)
				}
			})
		})
	}
}

func (b *testEngine) leave()      { b.Leave() }
func (b *testEngine) cancelA()    { b.client.Cancel(context.Background(), "a") }
func (b *testEngine) changeRole() { b.accept(roleOrder("o", 1, engine.Decode)) }
func (b *testEngine) loadAdapter() {
	a := weightstore.Artifact{Model: "m", Adapter: "x", Version: "1"}
	b.accept(engine.Order{ID: "o", Incarnation: "one", Kind: engine.LoadOrder, Artifact: &a})
}

func (b *testEngine) crashNow() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crash(enginemodel.CrashMidway)
}

func TestOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, func(o *Options) { o.CheckFence, o.BadVersion = true, "bad" })
		state, err := b.order(t, roleOrder("o1", 5, engine.Decode))
		if err != nil || state.Phase != engine.OrderRunning {
			t.Fatalf("got %+v, %v", state, err)
		}
		_, busy := b.order(t, roleOrder("o2", 5, engine.Mixed))
		_, stale := b.order(t, roleOrder("o3", 4, engine.Mixed))
		_, err = b.order(t, roleOrder("o1", 6, engine.Decode))
		if err != nil || failure.ReasonOf(busy) != failure.EngineBusy || failure.ReasonOf(stale) != failure.StaleFence {
			t.Errorf("repeat: %v; other: %v; old fence: %v", err, busy, stale)
		}
		time.Sleep(6*time.Second - time.Millisecond)
		before := b.State()
		time.Sleep(2 * time.Millisecond)
		after, err := b.client.State(t.Context())
		if before.Role != engine.Mixed || before.Order.Phase != engine.OrderRunning {
			t.Errorf("before: %+v", before)
		}
		if err != nil || after.Role != engine.Decode || after.Order.Phase != engine.OrderDone || after.HighestFence != 6 {
			t.Errorf("after: %+v, %v", after, err)
		}
		x := weightstore.Artifact{Model: "n", Version: "2"}
		for _, o := range []engine.Order{
			{ID: "o4", Fence: 6, Incarnation: "one", Kind: engine.LoadOrder, Artifact: &x},
			{ID: "o5", Fence: 6, Incarnation: "one", Kind: engine.Unload, Artifact: &base},
		} {
			if _, err := b.order(t, o); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Minute)
		}
		bad := weightstore.Artifact{Model: "n", Version: "bad"}
		if _, err := b.order(t, engine.Order{ID: "o6", Fence: 6, Incarnation: "one", Kind: engine.LoadOrder, Artifact: &bad}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		if got := b.State().Order; got.Phase != engine.OrderFailed || got.Error == "" {
			t.Errorf("load of a bad version: %+v", got)
		}
		if diff := cmp.Diff([]weightstore.Artifact{x}, b.State().Loaded); diff != "" {
			t.Errorf("loaded (-want +got):\n%s", diff)
		}
	})
}

func TestCrashInOrder(t *testing.T) {
	for _, tc := range []struct {
		point    enginemodel.CrashPoint
		answered bool
		arrived  int
		after    time.Duration
	}{
		{enginemodel.CrashBeforeAccept, false, 0, 0},
		{enginemodel.CrashAfterAccept, false, 1, 0},
		{enginemodel.CrashMidway, true, 1, 3 * time.Second},
		{enginemodel.CrashAtEnd, true, 1, 6 * time.Second},
	} {
		t.Run(string(tc.point), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var crashed time.Duration = -1
				begin := time.Now()
				b := start(t, func(o *Options) {
					o.CrashInOrder = tc.point
					o.Crash = func() { crashed = time.Since(begin).Truncate(time.Millisecond) }
				})
				_, err := b.order(t, roleOrder("o", 1, engine.Decode))
				var u *engine.UnreachableError
				if (err == nil) != tc.answered || (err != nil && (!errors.As(err, &u) || !u.Sent)) {
					t.Errorf("sender got %v", err)
				}
				time.Sleep(time.Minute)
				if _, err := b.client.State(t.Context()); err == nil {
					t.Error("engine responds after its crash")
				}
				if n := len(b.History().Orders); n != tc.arrived || crashed != tc.after {
					t.Errorf("%d orders, crash after %v; want %d, %v", n, crashed, tc.arrived, tc.after)
				}
			})
		})
	}
}

func TestReportsLagAndEventsGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, func(o *Options) {
			o.ReportLag, o.EventLag, o.EventGap = time.Second, 2*time.Second, 3
			o.Params.PrefillRate = 1000
		})
		time.Sleep(3 * time.Second)
		s, err := b.client.Generate(t.Context(), request("a"))
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		time.Sleep(500 * time.Millisecond)
		early := b.State().Load
		time.Sleep(time.Second)
		late := b.State().Load
		if early.Running != 0 || late.Running != 1 || late.AgeMillis < 1000 || late.Sequence <= early.Sequence {
			t.Errorf("reports: %+v, then %+v", early, late)
		}
		if diff := cmp.Diff([]string{"a"}, late.Recent); diff != "" {
			t.Errorf("recent (-want +got):\n%s", diff)
		}
		for err == nil {
			_, err = s.Next(t.Context())
		}
		if err != io.EOF {
			t.Fatal(err)
		}
		snapshot, err := b.client.Events(t.Context(), 0)
		if err != nil || len(snapshot.Snapshot) != 8 || snapshot.Next != 9 {
			t.Errorf("snapshot: %+v, %v", snapshot, err)
		}
		time.Sleep(2 * time.Second)
		events, err := b.client.Events(t.Context(), 1)
		var got []uint64
		for _, ev := range events.Events {
			got = append(got, ev.Sequence)
		}
		if diff := cmp.Diff([]uint64{1, 2, 4, 5, 7, 8}, got); diff != "" || err != nil {
			t.Errorf("events: %v (-want +got):\n%s", err, diff)
		}
	})
}
