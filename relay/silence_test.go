package relay

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/failure"
)

// silence is how long the endpoints of these tests send nothing before they go on.
const silence = time.Second

// silentAfter returns a stream whose endpoint falls silent after its first event and then goes on.
func silentAfter(first string, rest ...string) reply {
	r := ok(append([]string{first}, rest...)...)
	r.pauseBefore = map[int]time.Duration{1: silence}
	return r
}

// lateResponse returns a response whose head arrives only after a silence.
func lateResponse(chunks ...string) reply {
	r := ok(chunks...)
	r.responseDelay = silence
	return r
}

// Guards against streams that are cut although their engine is sound: a silent attempt must not be
// given up until another one has begun to respond.
func TestSilentStreamIsNotCut(t *testing.T) {
	whole := sse(1) + sse(2) + sse(3)
	silent := func() reply { return silentAfter(sse(1), sse(2), sse(3)) }
	for _, tc := range []struct {
		name  string
		setup scenario
		want  outcome
	}{
		{"no other engine", scenario{plans: []string{"a"}, budget: 1, sends: []reply{silent()}},
			outcome{Calls: []string{"send a"}, Attempts: 1, Elapsed: silence}},
		{"no retry budget", scenario{plans: []string{"a", "b"}, sends: []reply{silent()}},
			outcome{Calls: []string{"send a"}, Attempts: 1, Elapsed: silence}},
		{"the other engine refuses", scenario{plans: []string{"a", "b"}, budget: 1, sends: []reply{silent(), notRun()}},
			outcome{Calls: []string{"send a", "send b after 1"}, Retries: 1, Attempts: 2, Elapsed: silence}},
		{"the other engine is lost", scenario{plans: []string{"a", "b"}, budget: 1, sends: []reply{silent(), connectionLost()}},
			outcome{Calls: []string{"send a", "send b after 1"}, Retries: 1, Attempts: 2, Elapsed: silence}},
		{"the other engine responds with an error", scenario{plans: []string{"a", "b"}, budget: 1, sends: []reply{silent(), serverError("bad")}},
			outcome{Calls: []string{"send a", "send b after 1"}, Retries: 1, Attempts: 2, Elapsed: silence}},
		{"the other engine goes on", scenario{plans: []string{"a", "b"}, budget: 1, sends: []reply{silent(), ok(sse(2), sse(3))}},
			outcome{Calls: []string{"send a", "send b after 1"}, Retries: 1, Attempts: 2, Elapsed: 300 * time.Millisecond}},
		{"the other engine is silent too", scenario{plans: []string{"a", "b"}, budget: 1, sends: []reply{silent(), lateResponse(sse(2), sse(3))}},
			outcome{Calls: []string{"send a", "send b after 1"}, Retries: 1, Attempts: 2, Elapsed: 300*time.Millisecond + silence}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.setup.route, tc.setup.timeout = resumableStream, 8*time.Second
			tc.want.Status, tc.want.HeadSent, tc.want.Body = 200, true, whole
			if diff := cmp.Diff(tc.want, runScenario(t, tc.setup)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against the same for streams that resume on a backup: it may have no copy of the run.
func TestSilentStreamWithBackupIsNotCut(t *testing.T) {
	longSilence := silentAfter(sse(1), sse(2))
	longSilence.pauseBefore[1] = 2 * silence
	for name, sc := range map[string]scenario{
		"the backup has no copy":        {plans: []string{"a+b", "b"}, sends: []reply{longSilence, notRun()}},
		"the backup accepts no work":    {plans: []string{"a+b"}, sends: []reply{longSilence}},
		"the backup is not reached":     {plans: []string{"a+b", "b"}, sends: []reply{longSilence, unreachable()}},
		"the backup responds by itself": {plans: []string{"a+b", "b"}, sends: []reply{longSilence, ok(sse(2))}},
	} {
		t.Run(name, func(t *testing.T) {
			sc.route, sc.timeout = stream, 8*time.Second
			got := runScenario(t, sc.clone())
			if got.Body != sse(1)+sse(2) || got.Code != "" {
				t.Errorf("%+v", got)
			}
		})
	}
}

// Guards against giving up a silent attempt before its response has begun if no other may follow.
func TestSilentRequestIsNotGivenUpWithoutReplacement(t *testing.T) {
	for name, sc := range map[string]scenario{
		"call, no other endpoint":        {route: idempotent, plans: []string{"a"}, budget: 1, sends: []reply{lateResponse("x")}},
		"call, no retry budget":          {route: idempotent, plans: []string{"a", "b"}, sends: []reply{lateResponse("x")}},
		"stream, no other engine":        {route: resumableStream, plans: []string{"a"}, budget: 1, sends: []reply{lateResponse(sse(1))}},
		"stream, no retry budget":        {route: resumableStream, plans: []string{"a", "b"}, sends: []reply{lateResponse(sse(1))}},
		"prefill, no other engine":       {route: resumableStream, plans: []string{"p/d"}, budget: 1, prefills: []reply{lateResponse()}, sends: []reply{ok(sse(1))}},
		"prefill, no retry budget":       {route: resumableStream, plans: []string{"p/d", "q/d"}, prefills: []reply{lateResponse()}, sends: []reply{ok(sse(1))}},
		"events late, no other engine":   {route: resumableStream, plans: []string{"a"}, budget: 1, sends: []reply{{status: 200, chunks: []string{sse(1)}, pauseBefore: map[int]time.Duration{0: silence}}}},
		"events late, no retry budget":   {route: resumableStream, plans: []string{"a", "b"}, sends: []reply{{status: 200, chunks: []string{sse(1)}, pauseBefore: map[int]time.Duration{0: silence}}}},
		"events late, the other refuses": {route: resumableStream, plans: []string{"a", "b"}, budget: 1, sends: []reply{{status: 200, chunks: []string{sse(1)}, pauseBefore: map[int]time.Duration{0: silence}}, notRun()}},
	} {
		t.Run(name, func(t *testing.T) {
			sc.timeout = 8 * time.Second
			got := runScenario(t, sc.clone())
			if got.Code != "" || got.Status != 200 || got.Elapsed != silence {
				t.Errorf("%+v", got)
			}
		})
	}
}

// A stream that goes on before its replacement was sent keeps its engine. Once that was sent, two engines
// may work on the request: the replacement has precedence, and the stream ends maxOverlap later.
func TestSilentStreamGoesOnBeforeItsReplacement(t *testing.T) {
	connecting := ok(sse(2))
	connecting.connectDelay = 200 * time.Millisecond
	late := lateResponse(sse(2))
	for _, tc := range []struct {
		name  string
		other reply
		want  outcome
	}{
		{"not sent", connecting, outcome{Calls: []string{"send a"}, Retries: 1, Attempts: 1, Elapsed: 500 * time.Millisecond}},
		{"sent", late, outcome{Calls: []string{"send a", "send b after 1"}, Retries: 1, Attempts: 2, Elapsed: 300*time.Millisecond + silence}},
		{"sent, and not answered", reply{hang: true}, outcome{Calls: []string{"send a", "send b after 1"}, Retries: 1, Attempts: 2, Elapsed: 8 * time.Second, Code: failure.DeadlinePassed, Ran: failure.Unknown}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			short := silentAfter(sse(1), sse(2))
			short.pauseBefore[1] = 400 * time.Millisecond
			got := runScenario(t, scenario{route: resumableStream, plans: []string{"a", "b"}, budget: 1, sends: []reply{short, tc.other}, timeout: 8 * time.Second})
			tc.want.Status, tc.want.HeadSent, tc.want.Body = 200, true, sse(1)+sse(2)
			if tc.want.Code != "" {
				tc.want.Body = sse(1)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A replacement of a stream whose caller has received events goes to an endpoint that was heard from
// during the silence, and to any endpoint once the silence has lasted long.
func TestReplacementIsKnownToRespond(t *testing.T) {
	var states []AttemptState
	sc := scenario{route: resumableStream, plans: []string{"a"}, budget: 1, sends: []reply{silentAfter(sse(1), sse(2))}, timeout: 8 * time.Second, states: &states}
	sc.sends[0].pauseBefore[1] = 3 * silence
	if got := runScenario(t, sc); !strings.HasSuffix(got.Body, sse(2)) {
		t.Errorf("%+v", got)
	}
	required, free := 0, 0
	for _, s := range states[1:] {
		switch {
		case !s.HeardSince.IsZero() && free == 0:
			required++
		case s.HeardSince.IsZero():
			free++
		default:
			t.Error("a plan requires a responsive endpoint after one that did not")
		}
	}
	if required == 0 || free == 0 {
		t.Errorf("%d plans that require a responsive endpoint, %d that do not", required, free)
	}
}
