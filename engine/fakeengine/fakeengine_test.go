package fakeengine

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/standin/enginemodel"
)

const prompt = "May a container stand in the Molenstraat?"

func testOptions() Options {
	return Options{
		Incarnation:   "one",
		Role:          engine.Mixed,
		TokenInterval: 20 * time.Millisecond,
		OrderDuration: 6 * time.Second,
	}
}

// readAll returns a stream's text and its finish reason or error.
func readAll(ctx context.Context, s engine.Stream) (string, engine.FinishReason, error) {
	defer s.Close()
	var text string
	for {
		f, err := s.Next(ctx)
		if err != nil {
			return text, "", err
		}
		text += f.Text
		if f.Finish != "" {
			return text, f.Finish, nil
		}
	}
}

type outcome struct {
	Tokens int
	Finish engine.FinishReason
	Reason failure.Reason
	Ran    failure.Outcome
	Record AttemptRecord
}

func TestAttempts(t *testing.T) {
	total, _ := enginemodel.AnswerTokens(prompt, 0)
	interruptAfter := 50 * time.Millisecond // three tokens
	for _, tc := range []struct {
		name      string
		behaviour Behaviour
		interrupt func(*Engine) // called after three tokens
		want      outcome
	}{
		{"whole", Behaviour{}, nil, outcome{Tokens: total, Finish: engine.Stop, Record: AttemptRecord{Ran: true, Completed: true, Tokens: total}}},
		{"refused", Behaviour{Refuse: failure.EndpointRefused}, nil, outcome{Reason: failure.EndpointRefused, Ran: failure.NotRun}},
		{"broke before", Behaviour{DisconnectBeforeRun: true}, nil, outcome{Reason: failure.EndpointBroke, Ran: failure.Unknown}},
		{"truncated", Behaviour{Ending: Truncated, AfterTokens: 2}, nil, outcome{Tokens: 2, Reason: failure.AnswerTruncated, Ran: failure.Unknown, Record: AttemptRecord{Ran: true, Tokens: 2}}},
		{"crossed", Behaviour{Ending: OtherAttempt, AfterTokens: 1}, nil, outcome{Tokens: 1, Reason: failure.AnswerMismatch, Ran: failure.Unknown, Record: AttemptRecord{Ran: true, Tokens: 1}}},
		{"given up", Behaviour{Ending: Aborted}, nil, outcome{Finish: engine.Failed, Record: AttemptRecord{Ran: true}}},
		{"silent", Behaviour{Ending: Stalled}, nil, outcome{Reason: failure.DeadlinePassed, Ran: failure.Unknown, Record: AttemptRecord{Ran: true}}},
		{"crash", Behaviour{}, (*Engine).Crash, outcome{Tokens: 3, Reason: failure.AnswerTruncated, Ran: failure.Unknown, Record: AttemptRecord{Ran: true, Tokens: 3}}},
		{"freeze", Behaviour{}, (*Engine).Freeze, outcome{Tokens: 3, Reason: failure.DeadlinePassed, Ran: failure.Unknown, Record: AttemptRecord{Ran: true, Tokens: 3}}},
		{"cancel", Behaviour{}, func(e *Engine) { e.Cancel(context.Background(), "a1") }, outcome{Tokens: 3, Finish: engine.Cancelled, Record: AttemptRecord{Ran: true, Tokens: 3, Cancelled: true}}},
		{"cut", Behaviour{}, func(e *Engine) {
			o := engine.Order{ID: "o", Incarnation: "one", Kind: engine.ChangeRole, Role: engine.Decode}
			e.Order(context.Background(), o, time.Now().Add(time.Second))
		}, outcome{Tokens: 3, Reason: failure.AnswerTruncated, Ran: failure.Unknown, Record: AttemptRecord{Ran: true, Tokens: 3, InterruptedBy: "o"}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				e := New(testOptions())
				e.Script(func(engine.GenerateRequest) Behaviour { return tc.behaviour })
				if tc.interrupt != nil {
					time.AfterFunc(interruptAfter, func() { tc.interrupt(e) })
				}
				got := outcome{}
				s, err := e.Generate(ctx, engine.GenerateRequest{Attempt: "a1", Prompt: prompt})
				if err == nil {
					var text string
					text, got.Finish, err = readAll(ctx, s)
					for text != enginemodel.AnswerText(prompt, 0, got.Tokens) {
						if got.Tokens++; got.Tokens > total {
							t.Fatalf("text is not a prefix of the expected response: %q", text)
						}
					}
				}
				var f *failure.Request
				if errors.As(err, &f) {
					got.Reason, got.Ran = f.Code, f.Ran
				}
				rec := e.Attempts()[0]
				got.Record = AttemptRecord{Ran: rec.Ran, Completed: rec.Completed, Tokens: rec.Tokens, Cancelled: rec.Cancelled, InterruptedBy: rec.InterruptedBy}
				if diff := cmp.Diff(tc.want, got); diff != "" {
					t.Errorf("(-want +got):\n%s", diff)
				}
				e.Crash() // ends the goroutine of a running order
			})
		})
	}
}

func TestResumeContinuesFromPosition(t *testing.T) {
	total, _ := enginemodel.AnswerTokens(prompt, 0)
	e := New(Options{})
	s, err := e.Generate(t.Context(), engine.GenerateRequest{Attempt: "a2", Prompt: prompt, ResumeFrom: 5})
	if err != nil {
		t.Fatal(err)
	}
	text, _, err := readAll(t.Context(), s)
	if want := enginemodel.AnswerText(prompt, 5, total); text != want || err != nil {
		t.Errorf("got %q, %v, want %q", text, err, want)
	}
	if _, err := s.Next(t.Context()); err != io.EOF {
		t.Errorf("after the terminal frame: got %v, want EOF", err)
	}
}

// The importer verifies the digest, so every export must carry one.
func TestExportHasDigestOfPrompt(t *testing.T) {
	export := func(prompt string) engine.KVRef {
		s, err := New(testOptions()).Generate(t.Context(), engine.GenerateRequest{
			Attempt: "a", Prompt: prompt, PromptTokens: 9, PrefillOnly: true,
		})
		if err != nil {
			t.Fatal(err)
		}
		f, err := s.Next(t.Context())
		if err != nil || f.KV == nil {
			t.Fatalf("frame %+v, %v", f, err)
		}
		return *f.KV
	}
	kv := export(prompt)
	if kv.Digest == "" || kv.Digest == export("another").Digest {
		t.Errorf("digest %q does not distinguish prompts", kv.Digest)
	}
	kv.Digest = ""
	if diff := cmp.Diff(engine.KVRef{Handle: "a", Incarnation: "one", Tokens: 9}, kv); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// The error that the sender receives for an order, and the order's effect.
func TestOrders(t *testing.T) {
	type result struct {
		Sent    any // error type and whether it was sent, or nil
		Role    engine.Role
		Arrived []failure.Reason // "" for accepted
		Began   int
	}
	role := func(id, incarnation string, fence uint64, r engine.Role) engine.Order {
		return engine.Order{ID: id, Incarnation: incarnation, Fence: fence, Kind: engine.ChangeRole, Role: r}
	}
	a, b := role("a", "one", 1, engine.Prefill), role("b", "one", 2, engine.Decode)
	ok := failure.Reason("")
	for _, tc := range []struct {
		name       string
		checkFence bool
		behaviour  OrderBehaviour // of order a
		next       *engine.Order  // sent 10 s later
		want       result         // Sent of order a
	}{
		{"done", false, OrderBehaviour{}, nil, result{nil, engine.Prefill, []failure.Reason{ok}, 1}},
		{"lost", false, OrderBehaviour{Lost: true}, nil, result{true, engine.Mixed, nil, 0}},
		{"answer lost", false, OrderBehaviour{LoseResponse: true}, nil, result{true, engine.Prefill, []failure.Reason{ok}, 1}},
		{"repeat", false, OrderBehaviour{LoseResponse: true}, &a, result{true, engine.Prefill, []failure.Reason{ok, ok}, 1}},
		{"late, fence ignored", false, OrderBehaviour{Delay: 30 * time.Second}, &b, result{true, engine.Prefill, []failure.Reason{ok, ok}, 2}},
		{"late, fence checked", true, OrderBehaviour{Delay: 30 * time.Second}, &b, result{true, engine.Decode, []failure.Reason{ok, failure.StaleFence}, 1}},
		{"busy", false, OrderBehaviour{Delay: 12 * time.Second}, &b, result{true, engine.Decode, []failure.Reason{ok, failure.EngineBusy}, 1}},
		{"fails", false, OrderBehaviour{Fail: true}, nil, result{nil, engine.Mixed, []failure.Reason{ok}, 1}},
		{"another after a failed one", false, OrderBehaviour{Fail: true}, &b, result{nil, engine.Decode, []failure.Reason{ok, ok}, 2}},
		{"crash before", false, OrderBehaviour{Crash: enginemodel.CrashBeforeAccept}, nil, result{true, engine.Mixed, nil, 0}},
		{"crash after accept", false, OrderBehaviour{Crash: enginemodel.CrashAfterAccept}, nil, result{true, engine.Mixed, []failure.Reason{ok}, 1}},
		{"crash midway", false, OrderBehaviour{Crash: enginemodel.CrashMidway}, nil, result{nil, engine.Mixed, []failure.Reason{ok}, 1}},
		{"crash at end", false, OrderBehaviour{Crash: enginemodel.CrashAtEnd}, nil, result{nil, engine.Mixed, []failure.Reason{ok}, 1}},
		{"old incarnation", false, OrderBehaviour{Crash: enginemodel.CrashMidway}, &b, result{nil, engine.Mixed, []failure.Reason{ok, failure.WrongIncarnation}, 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := testOptions()
				o.CheckFence = tc.checkFence
				e := New(o)
				first := true
				e.ScriptOrders(func(engine.Order) OrderBehaviour {
					defer func() { first = false }()
					if first {
						return tc.behaviour
					}
					return OrderBehaviour{}
				})
				got := result{}
				_, err := e.Order(t.Context(), a, time.Now().Add(time.Second))
				var u *engine.UnreachableError
				if errors.As(err, &u) {
					got.Sent = u.Sent
				} else if err != nil {
					t.Fatal(err)
				}
				time.Sleep(10 * time.Second)
				if tc.behaviour.Crash != enginemodel.NoCrash {
					e.Restart()
				}
				if tc.next != nil {
					e.Order(t.Context(), *tc.next, time.Now().Add(time.Second))
				}
				time.Sleep(time.Minute)
				state, err := e.State(t.Context())
				if err != nil {
					t.Fatal(err)
				}
				got.Role = state.Role
				for _, r := range e.Orders() {
					got.Arrived = append(got.Arrived, r.Refused)
					if r.Started {
						got.Began++
					}
				}
				if diff := cmp.Diff(tc.want, got); diff != "" {
					t.Errorf("(-want +got):\n%s", diff)
				}
			})
		})
	}
}
