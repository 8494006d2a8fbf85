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

// seen is what one engine was asked to compute.
type seen struct {
	Attempt string
	From    int
	Emitted int
}

func seenBy(e *fakeengine.Engine) []seen {
	var out []seen
	for _, a := range e.Attempts() {
		out = append(out, seen{a.Request.Attempt, a.Request.ResumeFrom, len(a.Request.Emitted)})
	}
	return out
}

func answerLen(tokens int) int { return len(enginemodel.AnswerText(testPrompt, 0, tokens)) }

func TestGenerate(t *testing.T) {
	type script = fakeengine.Behaviour
	tests := []struct {
		name   string
		a, b   script
		set    func(a, b *fakeengine.Engine)
		tokens int
		want   verdict
		onA    []seen
		onB    []seen
	}{
		{name: "whole", tokens: 12, onA: []seen{{"r1.1", 0, 0}}},
		{name: "refused, then whole elsewhere", a: script{Refuse: failure.EndpointRefused}, tokens: 12,
			onA: []seen{{"r1.1", 0, 0}}, onB: []seen{{"r1.2", 0, 0}}},
		{name: "truncated, resumed elsewhere", a: script{Ending: fakeengine.Truncated, After: 5}, tokens: 12,
			onA: []seen{{"r1.1", 0, 0}}, onB: []seen{{"r1.2", 5, answerLen(5)}}},
		{name: "crossed, resumed elsewhere", a: script{Ending: fakeengine.Crossed, After: 3}, tokens: 12,
			onA: []seen{{"r1.1", 0, 0}}, onB: []seen{{"r1.2", 3, answerLen(3)}}},
		{name: "given up by the engine, resumed elsewhere", a: script{Ending: fakeengine.GivenUp, After: 3}, tokens: 12,
			onA: []seen{{"r1.1", 0, 0}}, onB: []seen{{"r1.2", 3, answerLen(3)}}},
		{name: "silent, resumed elsewhere", a: script{Ending: fakeengine.Silent, After: 4}, tokens: 12,
			onA: []seen{{"r1.1", 0, 0}}, onB: []seen{{"r1.2", 4, answerLen(4)}}},
		{name: "frozen, answered elsewhere", set: func(a, _ *fakeengine.Engine) { a.Freeze() }, tokens: 12,
			onB: []seen{{"r1.2", 0, 0}}},
		{name: "terminal frame lost at the token limit", a: script{Ending: fakeengine.Truncated, After: 12}, tokens: 12,
			onA: []seen{{"r1.1", 0, 0}}},
		{name: "both refuse", a: script{Refuse: failure.EndpointRefused}, b: script{Refuse: failure.EndpointRefused},
			want: verdict{failure.EndpointRefused, failure.NotRun}, onA: []seen{{"r1.1", 0, 0}}, onB: []seen{{"r1.2", 0, 0}}},
		{name: "one may have run, the other refuses", a: script{BreakBefore: true}, b: script{Refuse: failure.EndpointRefused},
			want: verdict{failure.EndpointRefused, failure.Unknown}, onA: []seen{{"r1.1", 0, 0}}, onB: []seen{{"r1.2", 0, 0}}},
		{name: "both truncated", a: script{Ending: fakeengine.Truncated, After: 2}, b: script{Ending: fakeengine.Truncated, After: 2},
			tokens: 4, want: verdict{failure.AnswerTruncated, failure.Unknown},
			onA: []seen{{"r1.1", 0, 0}}, onB: []seen{{"r1.2", 2, answerLen(2)}}},
		{name: "both unreachable", set: func(a, b *fakeengine.Engine) { a.SetUnreachable(true); b.SetUnreachable(true) },
			want: verdict{failure.EndpointUnreachable, failure.NotRun}},
		{name: "a bad request is not retried", a: script{Refuse: failure.BadRequest},
			want: verdict{failure.BadRequest, failure.NotRun}, onA: []seen{{"r1.1", 0, 0}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, b, router := twoEngines()
				a.Script(always(tt.a))
				b.Script(always(tt.b))
				if tt.set != nil {
					tt.set(a, b)
				}
				router.Observers = new(fakeforward.ObserverCounter)
				f := forward.New(forward.Config{Router: router, Admitter: fakeforward.AdmitAll{}})
				var sink fakeforward.Sink
				_, err := f.Generate(t.Context(), testWork(), &sink)
				f.Wait()
				settled(t, router.Observers)
				if diff := cmp.Diff(tt.want, verdictOf(t, err)); diff != "" {
					t.Errorf("verdict (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(enginemodel.AnswerText(testPrompt, 0, tt.tokens), sink.Text.String()); diff != "" {
					t.Errorf("text (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(tt.onA, seenBy(a)); diff != "" {
					t.Errorf("attempts on a (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(tt.onB, seenBy(b)); diff != "" {
					t.Errorf("attempts on b (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestTwoVersionsNeverMeet: a stream that broke goes on with the version that
// the caller already holds tokens of, even if the router would offer another.
func TestTwoVersionsNeverMeet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, router := twoEngines()
		a.Script(always(fakeengine.Behaviour{Ending: fakeengine.Truncated, After: 5}))
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

func TestFramesThatDoNotFit(t *testing.T) {
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
			if got := verdictOf(t, err); got.Reason != tt.want || (err != nil && got.Ran != failure.Unknown) {
				t.Errorf("got %+v, want %q with outcome unknown", got, tt.want)
			}
			if diff := cmp.Diff(tt.text, sink.Text.String()); diff != "" {
				t.Errorf("text (-want +got):\n%s", diff)
			}
		})
	}
}

func leaveAtThird(piece int) error {
	if piece == 3 {
		return context.Canceled
	}
	return nil
}

func TestGivenUpRequestsAreAnsweredAtOnce(t *testing.T) {
	tests := []struct {
		name     string
		admitter forward.Admitter
		set      func(a *fakeengine.Engine)
		sink     fakeforward.Sink
		want     verdict
		after    time.Duration
		// cancelled is set when the engine must be told.
		cancelled bool
	}{
		{name: "deadline while queued", admitter: fakeforward.BlockAll{}, want: verdict{failure.DeadlinePassed, failure.NotRun}, after: 2 * time.Second},
		{name: "deadline on a frozen engine", admitter: fakeforward.AdmitAll{}, set: func(a *fakeengine.Engine) { a.Freeze() },
			want: verdict{failure.DeadlinePassed, failure.Unknown}, after: 2 * time.Second, cancelled: true},
		{name: "deadline in a stream", admitter: fakeforward.AdmitAll{},
			set: func(a *fakeengine.Engine) {
				a.Script(always(fakeengine.Behaviour{Ending: fakeengine.Silent, After: 3}))
			},
			want: verdict{failure.DeadlinePassed, failure.Unknown}, after: 2 * time.Second, cancelled: true},
		{name: "caller gone", admitter: fakeforward.AdmitAll{}, sink: fakeforward.Sink{BeforeEmit: leaveAtThird},
			want: verdict{failure.CallerGone, failure.Unknown}, after: 90 * time.Millisecond, cancelled: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, _, router := twoEngines()
				if tt.set != nil {
					tt.set(a)
				}
				var cancels cancelLog
				router.Targets[0].Engine = &cancelNoting{a, &cancels}
				f := forward.New(forward.Config{Router: router, Admitter: tt.admitter})
				work := testWork()
				start := time.Now()
				work.Deadline = start.Add(2 * time.Second)
				_, err := f.Generate(t.Context(), work, &tt.sink)
				if diff := cmp.Diff(tt.want, verdictOf(t, err)); diff != "" {
					t.Errorf("(-want +got):\n%s", diff)
				}
				if d := time.Since(start); d != tt.after {
					t.Errorf("answered after %v, want %v", d, tt.after)
				}
				f.Wait()
				if got := len(cancels) > 0; got != tt.cancelled {
					t.Errorf("the engine was told of %q, want told: %v", cancels, tt.cancelled)
				}
			})
		})
	}
}

// cancelLog lists the attempts that an engine was told to drop.
type cancelLog []string

type cancelNoting struct {
	*fakeengine.Engine
	log *cancelLog
}

// Cancel implements forward.Generator.
func (c *cancelNoting) Cancel(ctx context.Context, attempt string) error {
	*c.log = append(*c.log, attempt)
	return c.Engine.Cancel(ctx, attempt)
}

// TestFailingEndpointAddsAtMostTheBudget measures the load that retries add.
func TestFailingEndpointAddsAtMostTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests, gap = 3000, 10 * time.Millisecond
		a, b, router := twoEngines()
		down := always(fakeengine.Behaviour{Refuse: failure.EndpointRefused})
		a.Script(down)
		b.Script(down)
		f := forward.New(forward.Config{Router: router, Admitter: fakeforward.AdmitAll{}})
		for range requests {
			go func() { _, _ = f.Generate(t.Context(), testWork(), new(fakeforward.Sink)) }()
			time.Sleep(gap)
		}
		time.Sleep(time.Minute)
		added := len(a.Attempts()) + len(b.Attempts()) - requests
		// 10% of 3000, half a retry a second for 30 s, and a burst of 10.
		const bound = 300 + 15 + 10
		t.Logf("%d requests, %d retries, bound %d, without a budget %d", requests, added, bound, requests)
		if added > bound || added < bound/2 {
			t.Errorf("retries added %d attempts to %d requests, want at most %d", added, requests, bound)
		}
	})
}
