package relay

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/failure"
)

func TestStreams(t *testing.T) {
	for _, tc := range []struct {
		name string
		w    world
		want outcome
	}{
		{"whole", world{route: chat, plans: []string{"a"}, sends: []step{ok(e(1), e(2))}},
			outcome{Status: 200, Body: e(1) + e(2), Begun: true, Calls: []string{"send a"}, Attempts: 1}},
		{"events cut anywhere", world{route: chat, plans: []string{"a"}, sends: []step{ok(e(1)[:3], e(1)[3:]+e(2)[:12], e(2)[12:])}},
			outcome{Status: 200, Body: e(1) + e(2), Begun: true, Calls: []string{"send a"}, Attempts: 1}},
		{"a stream that may not be resumed breaks off after its last whole event", world{route: chat, plans: []string{"a", "b"}, budget: 1, sends: []step{cut(e(1) + e(2)[:9])}},
			outcome{Status: 200, Body: e(1), Begun: true, Code: failure.AnswerTruncated, Ran: failure.Unknown, Calls: []string{"send a"}, Attempts: 1}},
		{"an end in the middle of an event is no end", world{route: chat, plans: []string{"a"}, sends: []step{ok(e(1) + e(2)[:9])}},
			outcome{Status: 200, Body: e(1), Begun: true, Code: failure.AnswerTruncated, Ran: failure.Unknown, Calls: []string{"send a"}, Attempts: 1}},
		{"resumed after the last whole event", world{route: letter, plans: []string{"a", "b"}, budget: 1, sends: []step{cut(e(1) + e(2)[:9]), ok(e(2), e(3))}},
			outcome{Status: 200, Body: e(1) + e(2) + e(3), Begun: true, Calls: []string{"send a", "send b after 1"}, Taken: 1, Attempts: 2}},
		{"a resumed stream that repeats an event is broken off", world{route: letter, plans: []string{"a", "b"}, budget: 1, sends: []step{cut(e(1)), ok(e(1), e(2))}},
			outcome{Status: 200, Body: e(1), Begun: true, Code: failure.AnswerMismatch, Ran: failure.Unknown, Calls: []string{"send a", "send b after 1"}, Taken: 1, Attempts: 2}},
		{"a caller that holds events gets the rest", world{route: letter, held: 4, plans: []string{"a"}, sends: []step{ok(e(5))}},
			outcome{Status: 200, Body: e(5), Begun: true, Calls: []string{"send a after 4"}, Attempts: 1}},
		{"a failure in the middle of a stream is not passed on", world{route: letter, plans: []string{"a", "b"}, budget: 1, sends: []step{cut(e(1)), {status: 500, pieces: []string{"bad"}}}},
			outcome{Status: 200, Body: e(1), Begun: true, Code: failure.EndpointFailed, Ran: failure.Unknown, Calls: []string{"send a", "send b after 1"}, Taken: 1, Attempts: 2}},
		{"a caller that has gone ends it", world{route: letter, plans: []string{"a", "b"}, budget: 1, gone: true, sends: []step{ok(e(1), e(2))}},
			outcome{Status: 200, Begun: true, Code: failure.CallerGone, Ran: failure.Unknown, Calls: []string{"send a"}, Attempts: 1}},
		{"no event at all", world{route: chat, plans: []string{"a"}, sends: []step{ok()}},
			outcome{Status: 200, Begun: true, Calls: []string{"send a"}, Attempts: 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, play(t, tc.w)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A stream that pauses is continued elsewhere if its route allows that.
func TestPausedStream(t *testing.T) {
	slow := ok(e(1), e(2))
	slow.pause = time.Second
	quick := ok(e(1), e(2))
	quick.pause = time.Millisecond
	got := play(t, world{route: letter, plans: []string{"a", "b"}, budget: 1, sends: []step{slow, quick}, within: 5 * time.Second})
	want := outcome{Status: 200, Body: e(1) + e(2), Begun: true, Calls: []string{"send a", "send b"}, Taken: 1, Attempts: 2,
		Took: 150*time.Millisecond + 2*time.Millisecond}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	got = play(t, world{route: chat, plans: []string{"a", "b"}, budget: 1, sends: []step{slow}, within: 5 * time.Second})
	want = outcome{Status: 200, Body: e(1) + e(2), Begun: true, Calls: []string{"send a"}, Attempts: 1, Took: 2 * time.Second}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	// Nor is the last attempt of a stream given up that has begun, with a failure kept.
	pausing := ok(e(1), e(2))
	pausing.pause = time.Second
	patient := letter
	patient.Objective = 2 * time.Second
	got = play(t, world{route: patient, plans: []string{"a", "b"}, budget: 1, sends: []step{bad("a"), pausing}, within: 5 * time.Second})
	want = outcome{Status: 200, Body: e(1) + e(2), Begun: true, Calls: []string{"send a", "send b"}, Taken: 1, Attempts: 2, Took: 2 * time.Second}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestPrefillElsewhere(t *testing.T) {
	for _, tc := range []struct {
		name string
		w    world
		want outcome
	}{
		{"read by one engine, decoded by another", world{route: letter, plans: []string{"p/d"}, reads: []step{ok()}, sends: []step{ok(e(1))}},
			outcome{Status: 200, Body: e(1), Begun: true, Calls: []string{"prefill p", "send d import kv1"}, Attempts: 1}},
		{"the cache serves a second engine when the first refuses", world{route: letter, plans: []string{"p/d", "c"}, budget: 1, reads: []step{ok()}, sends: []step{notRun(), ok(e(1))}},
			outcome{Status: 200, Body: e(1), Begun: true, Calls: []string{"prefill p", "send d import kv1", "send c import kv1"}, Taken: 1, Attempts: 2}},
		{"a prefill that is refused counts as an attempt", world{route: chat, plans: []string{"p/d", "q/d"}, budget: 1, reads: []step{notRun()}},
			outcome{Code: failure.EndpointRefused, Ran: failure.NotRun, Calls: []string{"prefill p"}, Attempts: 1}},
		{"another engine prefills when the first is silent", world{route: letter, plans: []string{"p/d", "q/d"}, budget: 1, reads: []step{{hang: true}, ok()}, sends: []step{ok(e(1))}},
			outcome{Status: 200, Body: e(1), Begun: true, Calls: []string{"prefill p", "prefill q", "send d import kv2"}, Taken: 1, Attempts: 2, Took: 200 * time.Millisecond}},
		{"a cache that nobody imports is freed", world{route: chat, plans: []string{"p/d"}, reads: []step{ok()}, sends: []step{notRun()}},
			outcome{Code: failure.EndpointRefused, Ran: failure.NotRun, Calls: []string{"prefill p", "send d import kv1"}, Freed: []string{"kv1"}, Attempts: 1}},
		{"an engine that is lost while it prefills has run nothing", world{route: chat, plans: []string{"p/d", "q/c"}, budget: 1, reads: []step{lost()}},
			outcome{Code: failure.EndpointBroke, Ran: failure.NotRun, Calls: []string{"prefill p"}, Attempts: 1}},
		{"another may prefill where the route allows two attempts", world{route: letter, plans: []string{"p/d", "q/c"}, budget: 1, reads: []step{lost(), ok()}, sends: []step{ok(e(1))}},
			outcome{Status: 200, Body: e(1), Begun: true, Calls: []string{"prefill p", "prefill q", "send c import kv2"}, Taken: 1, Attempts: 2}},
		{"what may have run once stays so", world{route: letter, plans: []string{"p/d", "q/c"}, budget: 1, reads: []step{ok()}, sends: []step{lost(), lost()}},
			outcome{Code: failure.EndpointBroke, Ran: failure.Unknown, Calls: []string{"prefill p", "send d import kv1", "send c"}, Taken: 1, Attempts: 2}},
		{"an endpoint's failure is not sent after what another has begun", world{route: letter, plans: []string{"a", "b"}, budget: 1, sends: []step{bad("a"), cut(e(1))}},
			outcome{Status: 200, Body: e(1), Begun: true, Code: failure.AnswerTruncated, Ran: failure.Done, Calls: []string{"send a", "send b"}, Taken: 1, Attempts: 2}},
		{"after a lost cache the serving engine reads the prompt itself", world{route: letter, plans: []string{"p/d", "q/c"}, budget: 1, reads: []step{ok()}, sends: []step{cut(e(1)), ok(e(2))}},
			outcome{Status: 200, Body: e(1) + e(2), Begun: true, Calls: []string{"prefill p", "send d import kv1", "send c after 1"}, Taken: 1, Attempts: 2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, play(t, tc.w)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestEventReader(t *testing.T) {
	long := "data: " + strings.Repeat("y", 20<<10) + "\n\n"
	for _, tc := range []struct {
		name, in string
		want     []string
		ids      []int
		end      error
	}{
		{"none", "", nil, nil, io.EOF},
		{"two", e(1) + e(2), []string{e(1), e(2)}, []int{1, 2}, io.EOF},
		{"line ends of two bytes", "id: 3\r\ndata: z\r\n\r\n", []string{"id: 3\r\ndata: z\r\n\r\n"}, []int{3}, io.EOF},
		{"no number", "data: z\n\n", []string{"data: z\n\n"}, []int{0}, io.EOF},
		{"longer than the buffer", long + e(1), []string{long, e(1)}, []int{0, 1}, io.EOF},
		{"half an event", e(1) + "id: 2\ndata", []string{e(1)}, []int{1}, io.ErrUnexpectedEOF},
	} {
		for name, source := range map[string]io.Reader{
			"at once": strings.NewReader(tc.in), "byte by byte": iotest.OneByteReader(strings.NewReader(tc.in)),
		} {
			t.Run(tc.name+" "+name, func(t *testing.T) {
				r := newEventReader(source)
				var got []string
				var ids []int
				for {
					ev, err := r.next()
					if err != nil {
						if !errors.Is(err, tc.end) {
							t.Errorf("ended with %v, want %v", err, tc.end)
						}
						break
					}
					got, ids = append(got, string(ev.raw)), append(ids, ev.id)
				}
				if diff := cmp.Diff(tc.want, got); diff != "" {
					t.Error(diff)
				}
				if diff := cmp.Diff(tc.ids, ids); diff != "" {
					t.Error(diff)
				}
			})
		}
	}
	r := newEventReader(strings.NewReader(strings.Repeat("z", maxEvent+1)))
	var long1 *eventTooLongError
	if _, err := r.next(); !errors.As(err, &long1) {
		t.Errorf("an endless event gave %v", err)
	}
}
