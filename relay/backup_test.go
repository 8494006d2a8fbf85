package relay

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/failure"
)

// A stream whose engine is lost resumes on the backup that holds a copy of the run, after the last
// event that the caller received, for as long as there is a backup. It counts neither as an attempt
// nor as a retry.
func TestStreamResumesOnBackup(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setup scenario
		want  outcome
	}{
		{"the engine crashes", scenario{plans: []string{"a+b", "b+c"}, sends: []reply{truncated(sse(1) + sse(2)[:9]), ok(sse(2), sse(3))}},
			outcome{Status: 200, Body: sse(1) + sse(2) + sse(3), HeadSent: true, Attempts: 1,
				Calls: []string{"send a backed up by b", "send b import r after 1 backed up by c"}}},
		{"the backup crashes too", scenario{plans: []string{"a+b", "b+c", "c"}, sends: []reply{truncated(sse(1)), truncated(sse(2)), ok(sse(3))}},
			outcome{Status: 200, Body: sse(1) + sse(2) + sse(3), HeadSent: true, Attempts: 1,
				Calls: []string{"send a backed up by b", "send b import r after 1 backed up by c", "send c import r after 2"}}},
		{"the backup has no copy", scenario{plans: []string{"a+b", "b+c"}, sends: []reply{truncated(sse(1)), notRun()}},
			outcome{Status: 200, Body: sse(1), HeadSent: true, Code: failure.EndpointRefused, Ran: failure.Unknown, Attempts: 1,
				Calls: []string{"send a backed up by b", "send b import r after 1 backed up by c"}}},
		{"the backup is unreachable", scenario{plans: []string{"a+b", "b+c", "c", "d"}, sends: []reply{truncated(sse(1)), unreachable()}},
			outcome{Status: 200, Body: sse(1), HeadSent: true, Code: failure.EndpointUnreachable, Ran: failure.Unknown, Attempts: 1,
				Calls: []string{"send a backed up by b", "send b import r after 1 backed up by c"}}},
		{"the backup accepts no work", scenario{plans: []string{"a+b"}, sends: []reply{truncated(sse(1))}},
			outcome{Status: 200, Body: sse(1), HeadSent: true, Code: failure.AnswerTruncated, Ran: failure.Unknown, Attempts: 1,
				Calls: []string{"send a backed up by b"}}},
		{"no event was received", scenario{plans: []string{"a+b", "b"}, sends: []reply{connectionLost()}},
			outcome{Code: failure.EndpointBroke, Ran: failure.Unknown, Attempts: 1, Calls: []string{"send a backed up by b"}}},
		{"the engine refuses the request", scenario{plans: []string{"a+b", "b"}, budget: 1, sends: []reply{notRun()}},
			outcome{Code: failure.EndpointRefused, Ran: failure.NotRun, Attempts: 1, Calls: []string{"send a backed up by b"}}},
		{"the prompt was prefilled separately", scenario{plans: []string{"p/a+b", "b"}, prefills: []reply{ok()}, sends: []reply{truncated(sse(1)), ok(sse(2))}},
			outcome{Status: 200, Body: sse(1) + sse(2), HeadSent: true, Attempts: 1,
				Calls: []string{"prefill p", "send a import kv1 backed up by b", "send b import r after 1"}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.setup.route = stream
			if diff := cmp.Diff(tc.want, runScenario(t, tc.setup)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A stream resumes on its backup once its engine has sent no event for longer than a merely busy
// engine would.
func TestStalledStreamResumesOnBackup(t *testing.T) {
	stalled := ok(sse(1), sse(2))
	stalled.chunkDelay = 500 * time.Millisecond
	sc := scenario{route: stream, plans: []string{"a+b", "b"}, sends: []reply{stalled, ok(sse(2))}, timeout: 5 * time.Second}
	sc.sends[0].chunks = []string{sse(1), sse(2)}
	if got := runScenario(t, sc.clone()); len(got.Calls) != 1 || got.Body != sse(1)+sse(2) {
		t.Errorf("after a pause of 500 ms: %+v", got)
	}
	sc.sends[0].chunkDelay = 2 * time.Second
	got := runScenario(t, sc)
	if len(got.Calls) != 2 || got.Body != sse(1)+sse(2) || got.Code != "" {
		t.Errorf("after a pause of 2 s: %+v", got)
	}
}

// A run does not resume on a backup that was deregistered before the request was sent to it.
func TestRemovedBackupIsNotUsed(t *testing.T) {
	sc := scenario{
		route: stream, plans: []string{"a+b", "b"}, sends: []reply{truncatedAfter(requestDelay, sse(1)), delayed(ok(sse(2)), requestDelay, 0)},
		actions: []scheduledAction{{requestDelay + changeDelay, func(env *environment) { env.planner.registry.Remove("b") }}},
	}
	got := runScenario(t, sc)
	if got.Body != sse(1) || got.Code != failure.AnswerTruncated {
		t.Errorf("%+v", got)
	}
}
