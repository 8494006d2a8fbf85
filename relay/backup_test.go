package relay

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/failure"
)

// A stream whose engine is lost goes on at the one that holds a copy of the run, from the last event
// that the caller holds, as often as there is one. That costs neither an attempt nor a retry.
func TestStreamGoesOnAtItsBackup(t *testing.T) {
	for _, tc := range []struct {
		name string
		w    world
		want outcome
	}{
		{"its engine crashes", world{plans: []string{"a+b", "b+c"}, sends: []step{cut(e(1) + e(2)[:9]), ok(e(2), e(3))}},
			outcome{Status: 200, Body: e(1) + e(2) + e(3), Begun: true, Attempts: 1,
				Calls: []string{"send a backed up by b", "send b import r after 1 backed up by c"}}},
		{"so does the next", world{plans: []string{"a+b", "b+c", "c"}, sends: []step{cut(e(1)), cut(e(2)), ok(e(3))}},
			outcome{Status: 200, Body: e(1) + e(2) + e(3), Begun: true, Attempts: 1,
				Calls: []string{"send a backed up by b", "send b import r after 1 backed up by c", "send c import r after 2"}}},
		{"there is no copy", world{plans: []string{"a+b", "b+c"}, sends: []step{cut(e(1)), notRun()}},
			outcome{Status: 200, Body: e(1), Begun: true, Code: failure.EndpointRefused, Ran: failure.Unknown, Attempts: 1,
				Calls: []string{"send a backed up by b", "send b import r after 1 backed up by c"}}},
		{"the backup is not reached", world{plans: []string{"a+b", "b+c", "c", "d"}, sends: []step{cut(e(1)), unreachable()}},
			outcome{Status: 200, Body: e(1), Begun: true, Code: failure.EndpointUnreachable, Ran: failure.Unknown, Attempts: 1,
				Calls: []string{"send a backed up by b", "send b import r after 1 backed up by c"}}},
		{"the backup takes no work", world{plans: []string{"a+b"}, sends: []step{cut(e(1))}},
			outcome{Status: 200, Body: e(1), Begun: true, Code: failure.AnswerTruncated, Ran: failure.Unknown, Attempts: 1,
				Calls: []string{"send a backed up by b"}}},
		{"nothing had come", world{plans: []string{"a+b", "b"}, sends: []step{lost()}},
			outcome{Code: failure.EndpointBroke, Ran: failure.Unknown, Attempts: 1, Calls: []string{"send a backed up by b"}}},
		{"it was refused before", world{plans: []string{"a+b", "b"}, budget: 1, sends: []step{notRun()}},
			outcome{Code: failure.EndpointRefused, Ran: failure.NotRun, Attempts: 1, Calls: []string{"send a backed up by b"}}},
		{"its prompt was read elsewhere", world{plans: []string{"p/a+b", "b"}, reads: []step{ok()}, sends: []step{cut(e(1)), ok(e(2))}},
			outcome{Status: 200, Body: e(1) + e(2), Begun: true, Attempts: 1,
				Calls: []string{"prefill p", "send a import kv1 backed up by b", "send b import r after 1"}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.w.route = chat
			if diff := cmp.Diff(tc.want, play(t, tc.w)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// An engine that falls silent in the middle of a stream is left for the backup, once it has been
// silent for long enough that it is not only busy.
func TestSilentEngineIsLeftForTheBackup(t *testing.T) {
	silent := ok(e(1), e(2))
	silent.pause = 500 * time.Millisecond
	w := world{route: chat, plans: []string{"a+b", "b"}, sends: []step{silent, ok(e(2))}, within: 5 * time.Second}
	w.sends[0].pieces = []string{e(1), e(2)}
	if got := play(t, w.fresh()); len(got.Calls) != 1 || got.Body != e(1)+e(2) {
		t.Errorf("a pause of half a second: %+v", got)
	}
	w.sends[0].pause = 2 * time.Second
	got := play(t, w)
	if len(got.Calls) != 2 || got.Body != e(1)+e(2) || got.Code != "" {
		t.Errorf("a pause of two seconds: %+v", got)
	}
}

// A request whose backup has changed meanwhile is not sent there.
func TestBackupThatHasStartedAgain(t *testing.T) {
	w := world{
		route: chat, plans: []string{"a+b", "b"}, sends: []step{cutAfter(waits, e(1)), slowly(ok(e(2)), waits, 0)},
		then: []happening{{waits + changes, func(s *surroundings) { s.planner.dir.Remove("b") }}},
	}
	got := play(t, w)
	if got.Body != e(1) || got.Code != failure.AnswerTruncated {
		t.Errorf("%+v", got)
	}
}
