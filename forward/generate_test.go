package forward_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/engine/fakeengine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/forward/fakeforward"
	"github.com/springweir/springweir/standin/enginemodel"
)

// attemptSeen is an attempt as an engine received it.
type attemptSeen struct {
	Attempt string
	From    int
	Emitted int
}

func attemptsSeen(e *fakeengine.Engine) []attemptSeen {
	var out []attemptSeen
	for _, a := range e.Attempts() {
		out = append(out, attemptSeen{a.Request.Attempt, a.Request.ResumeFrom, len(a.Request.Emitted)})
	}
	return out
}

func textLen(tokens int) int { return len(enginemodel.AnswerText(testPrompt, 0, tokens)) }

func TestGenerate(t *testing.T) {
	type script = fakeengine.Behaviour
	tests := []struct {
		name   string
		a, b   script
		setup  func(a, b *fakeengine.Engine)
		tokens int
		want   errorKind
		onA    []attemptSeen
		onB    []attemptSeen
	}{
		{name: "whole", tokens: 12, onA: []attemptSeen{{"r1.1", 0, 0}}},
		{name: "refused, then whole elsewhere", a: script{Refuse: failure.EndpointRefused}, tokens: 12,
			onA: []attemptSeen{{"r1.1", 0, 0}}, onB: []attemptSeen{{"r1.2", 0, 0}}},
		{name: "truncated, resumed elsewhere", a: script{Ending: fakeengine.Truncated, AfterTokens: 5}, tokens: 12,
			onA: []attemptSeen{{"r1.1", 0, 0}}, onB: []attemptSeen{{"r1.2", 5, textLen(5)}}},
		{name: "crossed, resumed elsewhere", a: script{Ending: fakeengine.OtherAttempt, AfterTokens: 3}, tokens: 12,
			onA: []attemptSeen{{"r1.1", 0, 0}}, onB: []attemptSeen{{"r1.2", 3, textLen(3)}}},
		{name: "given up by the engine, resumed elsewhere", a: script{Ending: fakeengine.Aborted, AfterTokens: 3}, tokens: 12,
			onA: []attemptSeen{{"r1.1", 0, 0}}, onB: []attemptSeen{{"r1.2", 3, textLen(3)}}},
		{name: "silent, resumed elsewhere", a: script{Ending: fakeengine.Stalled, AfterTokens: 4}, tokens: 12,
			onA: []attemptSeen{{"r1.1", 0, 0}}, onB: []attemptSeen{{"r1.2", 4, textLen(4)}}},
		{name: "frozen, answered elsewhere", setup: func(a, _ *fakeengine.Engine) { a.Freeze() }, tokens: 12,
			onB: []attemptSeen{{"r1.2", 0, 0}}},
		{name: "terminal frame lost at the token limit", a: script{Ending: fakeengine.Truncated, AfterTokens: 12}, tokens: 12,
			onA: []attemptSeen{{"r1.1", 0, 0}}},
		{name: "both refuse", a: script{Refuse: failure.EndpointRefused}, b: script{Refuse: failure.EndpointRefused},
			want: errorKind{failure.EndpointRefused, failure.NotRun}, onA: []attemptSeen{{"r1.1", 0, 0}}, onB: []attemptSeen{{"r1.2", 0, 0}}},
		{name: "one may have run, the other refuses", a: script{DisconnectBeforeRun: true}, b: script{Refuse: failure.EndpointRefused},
			want: errorKind{failure.EndpointRefused, failure.Unknown}, onA: []attemptSeen{{"r1.1", 0, 0}}, onB: []attemptSeen{{"r1.2", 0, 0}}},
		{name: "both truncated", a: script{Ending: fakeengine.Truncated, AfterTokens: 2}, b: script{Ending: fakeengine.Truncated, AfterTokens: 2},
			tokens: 4, want: errorKind{failure.AnswerTruncated, failure.Unknown},
			onA: []attemptSeen{{"r1.1", 0, 0}}, onB: []attemptSeen{{"r1.2", 2, textLen(2)}}},
		{name: "both unreachable", setup: func(a, b *fakeengine.Engine) { a.SetUnreachable(true); b.SetUnreachable(true) },
			want: errorKind{failure.EndpointUnreachable, failure.NotRun}},
		{name: "a bad request is not retried", a: script{Refuse: failure.BadRequest},
			want: errorKind{failure.BadRequest, failure.NotRun}, onA: []attemptSeen{{"r1.1", 0, 0}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, b, router := twoEngines()
				a.Script(behaveAlways(tt.a))
				b.Script(behaveAlways(tt.b))
				if tt.setup != nil {
					tt.setup(a, b)
				}
				router.Observers = new(fakeforward.ObserverCounter)
				f := forward.New(forward.Config{Router: router, Admitter: fakeforward.AdmitAll{}})
				var sink fakeforward.Sink
				_, err := f.Generate(t.Context(), testWork(), &sink)
				f.Wait()
				checkObservers(t, router.Observers)
				if diff := cmp.Diff(tt.want, errorKindOf(t, err)); diff != "" {
					t.Errorf("failure (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(enginemodel.AnswerText(testPrompt, 0, tt.tokens), sink.Text.String()); diff != "" {
					t.Errorf("text (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(tt.onA, attemptsSeen(a)); diff != "" {
					t.Errorf("attempts on a (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(tt.onB, attemptsSeen(b)); diff != "" {
					t.Errorf("attempts on b (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestResumeKeepsVersion: an interrupted stream resumes with the version that computed the tokens
// the caller already holds, even if the router offers another version.
func TestResumeKeepsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, router := twoEngines()
		a.Script(behaveAlways(fakeengine.Behaviour{Ending: fakeengine.Truncated, AfterTokens: 5}))
		router.Versions = map[string]string{"a": "v1", "b": "v2"}
		f := forward.New(forward.Config{Router: router, Admitter: fakeforward.AdmitAll{}})
		if _, err := f.Generate(t.Context(), testWork(), new(fakeforward.Sink)); err != nil {
			t.Fatal(err)
		}
		f.Wait()
		if got := b.Attempts()[0].Request.Version; got != "v1" {
			t.Errorf("resumed with version %q, want v1", got)
		}
	})
}

func TestInvalidFrames(t *testing.T) {
	first := engine.Frame{Attempt: "r1.1", Position: 0, Tokens: 2, Text: "one two "}
	end := engine.Frame{Attempt: "r1.1", Position: 3, Finish: engine.Stop}
	tests := []struct {
		name string
		rest []engine.Frame
		want failure.Reason
		text string
	}{
		{"nothing", nil, failure.AnswerTruncated, "one two "},
		{"follows on", []engine.Frame{engine.Frame{Attempt: "r1.1", Position: 2, Tokens: 1, Text: "three"}, end}, "", "one two three"},
		{"another attempt", []engine.Frame{engine.Frame{Attempt: "r9.1", Position: 2, Tokens: 1, Text: "x"}, end}, failure.AnswerMismatch, "one two "},
		{"no attempt", []engine.Frame{engine.Frame{Position: 2, Tokens: 1, Text: "x"}, end}, failure.AnswerMismatch, "one two "},
		{"gap", []engine.Frame{engine.Frame{Attempt: "r1.1", Position: 3, Tokens: 1, Text: "x"}, end}, failure.AnswerMismatch, "one two "},
		{"overlap", []engine.Frame{engine.Frame{Attempt: "r1.1", Position: 1, Tokens: 2, Text: "x"}, end}, failure.AnswerMismatch, "one two "},
		{"text without tokens", []engine.Frame{engine.Frame{Attempt: "r1.1", Position: 2, Text: "x"}, end}, failure.AnswerMismatch, "one two "},
		{"negative tokens", []engine.Frame{engine.Frame{Attempt: "r1.1", Position: 2, Tokens: -1}, end}, failure.AnswerMismatch, "one two "},
		{"cancelled by somebody", []engine.Frame{engine.Frame{Attempt: "r1.1", Finish: engine.Cancelled}, end}, failure.EndpointFailed, "one two "},
		{"another attempt's end", []engine.Frame{engine.Frame{Attempt: "r9.1", Finish: engine.Stop}, end}, failure.AnswerMismatch, "one two "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			target := forward.Target{Name: "raw", Engine: append(fakeforward.FixedFrames{first}, tt.rest...)}
			f := forward.New(forward.Config{Router: fakeforward.Router{Targets: []forward.Target{target}}, Admitter: fakeforward.AdmitAll{}, MaxAttempts: 1})
			var sink fakeforward.Sink
			_, err := f.Generate(t.Context(), testWork(), &sink)
			if got := errorKindOf(t, err); got.Reason != tt.want || (err != nil && got.Ran != failure.Unknown) {
				t.Errorf("got %+v, want %q with outcome unknown", got, tt.want)
			}
			if diff := cmp.Diff(tt.text, sink.Text.String()); diff != "" {
				t.Errorf("text (-want +got):\n%s", diff)
			}
		})
	}
}

func disconnectAtThird(n int) error {
	if n == 3 {
		return context.Canceled
	}
	return nil
}

func TestAbandonedRequestsFailImmediately(t *testing.T) {
	tests := []struct {
		name     string
		admitter forward.Admitter
		setup    func(a *fakeengine.Engine)
		sink     fakeforward.Sink
		want     errorKind
		elapsed  time.Duration
		// cancelled is set when the engine must receive a cancel request.
		cancelled bool
	}{
		{name: "deadline while queued", admitter: fakeforward.BlockAll{}, want: errorKind{failure.DeadlinePassed, failure.NotRun}, elapsed: 2 * time.Second},
		{name: "deadline on a frozen engine", admitter: fakeforward.AdmitAll{}, setup: func(a *fakeengine.Engine) { a.Freeze() },
			want: errorKind{failure.DeadlinePassed, failure.Unknown}, elapsed: 2 * time.Second, cancelled: true},
		{name: "deadline in a stream", admitter: fakeforward.AdmitAll{},
			setup: func(a *fakeengine.Engine) {
				a.Script(behaveAlways(fakeengine.Behaviour{Ending: fakeengine.Stalled, AfterTokens: 3}))
			},
			want: errorKind{failure.DeadlinePassed, failure.Unknown}, elapsed: 2 * time.Second, cancelled: true},
		{name: "caller gone", admitter: fakeforward.AdmitAll{}, sink: fakeforward.Sink{BeforeEmit: disconnectAtThird},
			want: errorKind{failure.CallerGone, failure.Unknown}, elapsed: 90 * time.Millisecond, cancelled: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, _, router := twoEngines()
				if tt.setup != nil {
					tt.setup(a)
				}
				var cancels cancelLog
				router.Targets[0].Engine = &cancelRecorder{a, &cancels}
				f := forward.New(forward.Config{Router: router, Admitter: tt.admitter})
				work := testWork()
				start := time.Now()
				work.Deadline = start.Add(2 * time.Second)
				_, err := f.Generate(t.Context(), work, &tt.sink)
				if diff := cmp.Diff(tt.want, errorKindOf(t, err)); diff != "" {
					t.Errorf("(-want +got):\n%s", diff)
				}
				if d := time.Since(start); d != tt.elapsed {
					t.Errorf("returned after %v, want %v", d, tt.elapsed)
				}
				f.Wait()
				if got := len(cancels) > 0; got != tt.cancelled {
					t.Errorf("cancelled attempts %q, want any: %v", cancels, tt.cancelled)
				}
			})
		})
	}
}

// cancelLog lists the attempts that an engine was told to drop.
type cancelLog []string

type cancelRecorder struct {
	*fakeengine.Engine
	log *cancelLog
}

// Cancel implements forward.Generator.
func (c *cancelRecorder) Cancel(ctx context.Context, attempt string) error {
	*c.log = append(*c.log, attempt)
	return c.Engine.Cancel(ctx, attempt)
}

// TestRetryBudgetBoundsAddedLoad measures the load that retries add.
func TestRetryBudgetBoundsAddedLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests, gap = 3000, 10 * time.Millisecond
		a, b, router := twoEngines()
		down := behaveAlways(fakeengine.Behaviour{Refuse: failure.EndpointRefused})
		a.Script(down)
		b.Script(down)
		f := forward.New(forward.Config{Router: router, Admitter: fakeforward.AdmitAll{}})
		for range requests {
			go func() { _, _ = f.Generate(t.Context(), testWork(), new(fakeforward.Sink)) }()
			time.Sleep(gap)
		}
		time.Sleep(time.Minute)
		added := len(a.Attempts()) + len(b.Attempts()) - requests
		// 10% of 3000, half a retry per second for 30 s, and a burst of 10.
		const bound = 300 + 15 + 10
		t.Logf("%d requests, %d retries, bound %d, without a budget %d", requests, added, bound, requests)
		if added > bound || added < bound/2 {
			t.Errorf("retries added %d attempts to %d requests, want at most %d", added, requests, bound)
		}
	})
}
