package fakeservice

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/service"
)

func TestBehaviours(t *testing.T) {
	type result struct {
		Reason failure.Reason
		Ran    failure.Outcome
		Runs   int
	}
	for _, tc := range []struct {
		name      string
		behaviour Behaviour
		want      result
	}{
		{"answered", Behaviour{Delay: time.Second / 2}, result{"", "", 1}},
		{"unreachable", Behaviour{Unreachable: true}, result{failure.EndpointUnreachable, failure.NotRun, 0}},
		{"refused", Behaviour{Refuse: true}, result{failure.EndpointRefused, failure.NotRun, 0}},
		{"broke before", Behaviour{DisconnectBeforeRun: true}, result{failure.EndpointBroke, failure.Unknown, 0}},
		{"broke after", Behaviour{DisconnectAfterRun: true}, result{failure.EndpointBroke, failure.Unknown, 1}},
		{"ran late", Behaviour{Delay: time.Minute}, result{failure.DeadlinePassed, failure.Unknown, 1}},
		{"answered late", Behaviour{ResponseDelay: time.Minute}, result{failure.DeadlinePassed, failure.Unknown, 1}},
		{"crossed", Behaviour{ResponseAttempt: "b"}, result{failure.AnswerMismatch, failure.Unknown, 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				var e Endpoint
				e.Script(func(service.Call) Behaviour { return tc.behaviour })
				_, err := e.Do(ctx, service.Call{Attempt: "a"})
				time.Sleep(time.Hour)
				got := result{Runs: e.Runs("a")}
				var f *failure.Request
				if errors.As(err, &f) {
					got.Reason, got.Ran = f.Code, f.Ran
				}
				if diff := cmp.Diff(tc.want, got); diff != "" {
					t.Errorf("(-want +got):\n%s", diff)
				}
			})
		})
	}
}
