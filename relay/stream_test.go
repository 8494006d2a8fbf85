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
	"github.com/springweir/springweir/internal/h1"
	"github.com/springweir/springweir/memory"
)

func TestStreams(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setup scenario
		want  outcome
	}{
		{"whole", scenario{route: stream, plans: []string{"a"}, sends: []reply{ok(sse(1), sse(2))}},
			outcome{Status: 200, Body: sse(1) + sse(2), HeadSent: true, Calls: []string{"send a"}, Attempts: 1}},
		{"events split at arbitrary offsets", scenario{route: stream, plans: []string{"a"}, sends: []reply{ok(sse(1)[:3], sse(1)[3:]+sse(2)[:12], sse(2)[12:])}},
			outcome{Status: 200, Body: sse(1) + sse(2), HeadSent: true, Calls: []string{"send a"}, Attempts: 1}},
		{"a non-resumable stream ends after its last complete event", scenario{route: stream, plans: []string{"a", "b"}, budget: 1, sends: []reply{truncated(sse(1) + sse(2)[:9])}},
			outcome{Status: 200, Body: sse(1), HeadSent: true, Code: failure.AnswerTruncated, Ran: failure.Unknown, Calls: []string{"send a"}, Attempts: 1}},
		{"an end within an event is a truncation", scenario{route: stream, plans: []string{"a"}, sends: []reply{ok(sse(1) + sse(2)[:9])}},
			outcome{Status: 200, Body: sse(1), HeadSent: true, Code: failure.AnswerTruncated, Ran: failure.Unknown, Calls: []string{"send a"}, Attempts: 1}},
		{"resumed after the last complete event", scenario{route: resumableStream, plans: []string{"a", "b"}, budget: 1, sends: []reply{truncated(sse(1) + sse(2)[:9]), ok(sse(2), sse(3))}},
			outcome{Status: 200, Body: sse(1) + sse(2) + sse(3), HeadSent: true, Calls: []string{"send a", "send b after 1"}, Retries: 1, Attempts: 2}},
		{"a resumed stream that repeats an event is aborted", scenario{route: resumableStream, plans: []string{"a", "b"}, budget: 1, sends: []reply{truncated(sse(1)), ok(sse(1), sse(2))}},
			outcome{Status: 200, Body: sse(1), HeadSent: true, Code: failure.AnswerMismatch, Ran: failure.Unknown, Calls: []string{"send a", "send b after 1"}, Retries: 1, Attempts: 2}},
		{"a caller that received events gets the remaining ones", scenario{route: resumableStream, lastEventID: 4, plans: []string{"a"}, sends: []reply{ok(sse(5))}},
			outcome{Status: 200, Body: sse(5), HeadSent: true, Calls: []string{"send a after 4"}, Attempts: 1}},
		{"an error response in the middle of a stream is not forwarded", scenario{route: resumableStream, plans: []string{"a", "b"}, budget: 1, sends: []reply{truncated(sse(1)), {status: 500, chunks: []string{"bad"}}}},
			outcome{Status: 200, Body: sse(1), HeadSent: true, Code: failure.EndpointFailed, Ran: failure.Unknown, Calls: []string{"send a", "send b after 1"}, Retries: 1, Attempts: 2}},
		{"a disconnected caller ends the stream", scenario{route: resumableStream, plans: []string{"a", "b"}, budget: 1, disconnected: true, sends: []reply{ok(sse(1), sse(2))}},
			outcome{Status: 200, HeadSent: true, Code: failure.CallerGone, Ran: failure.Unknown, Calls: []string{"send a"}, Attempts: 1}},
		{"no events at all", scenario{route: stream, plans: []string{"a"}, sends: []reply{ok()}},
			outcome{Status: 200, HeadSent: true, Calls: []string{"send a"}, Attempts: 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, runScenario(t, tc.setup)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A stream that pauses for too long is restarted or continued on another endpoint if its route
// allows that.
func TestPausedStream(t *testing.T) {
	slow := ok(sse(1), sse(2))
	slow.chunkDelay = time.Second
	quick := ok(sse(1), sse(2))
	quick.chunkDelay = time.Millisecond
	got := runScenario(t, scenario{route: resumableStream, plans: []string{"a", "b"}, budget: 1, sends: []reply{slow, quick}, timeout: 5 * time.Second})
	want := outcome{Status: 200, Body: sse(1) + sse(2), HeadSent: true, Calls: []string{"send a", "send b"}, Retries: 1, Attempts: 2,
		Elapsed: 150*time.Millisecond + 2*time.Millisecond}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	got = runScenario(t, scenario{route: stream, plans: []string{"a", "b"}, budget: 1, sends: []reply{slow}, timeout: 5 * time.Second})
	want = outcome{Status: 200, Body: sse(1) + sse(2), HeadSent: true, Calls: []string{"send a"}, Attempts: 1, Elapsed: 2 * time.Second}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	// The last attempt of a stream is not abandoned either if an error response is kept as
	// fallback.
	pausing := ok(sse(1), sse(2))
	pausing.chunkDelay = time.Second
	patient := resumableStream
	patient.Objective = 2 * time.Second
	got = runScenario(t, scenario{route: patient, plans: []string{"a", "b"}, budget: 1, sends: []reply{serverError("a"), pausing}, timeout: 5 * time.Second})
	want = outcome{Status: 200, Body: sse(1) + sse(2), HeadSent: true, Calls: []string{"send a", "send b"}, Retries: 1, Attempts: 2, Elapsed: 2 * time.Second}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestSeparatePrefill(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setup scenario
		want  outcome
	}{
		{"prefilled by one engine, decoded by another", scenario{route: resumableStream, plans: []string{"p/d"}, prefills: []reply{ok()}, sends: []reply{ok(sse(1))}},
			outcome{Status: 200, Body: sse(1), HeadSent: true, Calls: []string{"prefill p", "send d import kv1"}, Attempts: 1}},
		{"a second engine imports the cache if the first refuses", scenario{route: resumableStream, plans: []string{"p/d", "c"}, budget: 1, prefills: []reply{ok()}, sends: []reply{notRun(), ok(sse(1))}},
			outcome{Status: 200, Body: sse(1), HeadSent: true, Calls: []string{"prefill p", "send d import kv1", "send c import kv1"}, Retries: 1, Attempts: 2}},
		{"a prefill that is refused counts as an attempt", scenario{route: stream, plans: []string{"p/d", "q/d"}, budget: 1, prefills: []reply{notRun()}},
			outcome{Code: failure.EndpointRefused, Ran: failure.NotRun, Calls: []string{"prefill p"}, Attempts: 1}},
		{"another engine prefills if the first is unresponsive", scenario{route: resumableStream, plans: []string{"p/d", "q/d"}, budget: 1, prefills: []reply{{hang: true}, ok()}, sends: []reply{ok(sse(1))}},
			outcome{Status: 200, Body: sse(1), HeadSent: true, Calls: []string{"prefill p", "prefill q", "send d import kv2"}, Retries: 1, Attempts: 2, Elapsed: 200 * time.Millisecond}},
		{"a cache that is not imported is freed", scenario{route: stream, plans: []string{"p/d"}, prefills: []reply{ok()}, sends: []reply{notRun()}},
			outcome{Code: failure.EndpointRefused, Ran: failure.NotRun, Calls: []string{"prefill p", "send d import kv1"}, Freed: []string{"kv1"}, Attempts: 1}},
		{"a request has not run if its engine is lost during the prefill", scenario{route: stream, plans: []string{"p/d", "q/c"}, budget: 1, prefills: []reply{connectionLost()}},
			outcome{Code: failure.EndpointBroke, Ran: failure.NotRun, Calls: []string{"prefill p"}, Attempts: 1}},
		{"another engine prefills if the route allows two attempts", scenario{route: resumableStream, plans: []string{"p/d", "q/c"}, budget: 1, prefills: []reply{connectionLost(), ok()}, sends: []reply{ok(sse(1))}},
			outcome{Status: 200, Body: sse(1), HeadSent: true, Calls: []string{"prefill p", "prefill q", "send c import kv2"}, Retries: 1, Attempts: 2}},
		{"an unknown outcome persists across attempts", scenario{route: resumableStream, plans: []string{"p/d", "q/c"}, budget: 1, prefills: []reply{ok()}, sends: []reply{connectionLost(), connectionLost()}},
			outcome{Code: failure.EndpointBroke, Ran: failure.Unknown, Calls: []string{"prefill p", "send d import kv1", "send c"}, Retries: 1, Attempts: 2}},
		{"an error response is not sent after the head of another response", scenario{route: resumableStream, plans: []string{"a", "b"}, budget: 1, sends: []reply{serverError("a"), truncated(sse(1))}},
			outcome{Status: 200, Body: sse(1), HeadSent: true, Code: failure.AnswerTruncated, Ran: failure.Done, Calls: []string{"send a", "send b"}, Retries: 1, Attempts: 2}},
		{"the serving engine prefills the prompt itself after a lost cache", scenario{route: resumableStream, plans: []string{"p/d", "q/c"}, budget: 1, prefills: []reply{ok()}, sends: []reply{truncated(sse(1)), ok(sse(2))}},
			outcome{Status: 200, Body: sse(1) + sse(2), HeadSent: true, Calls: []string{"prefill p", "send d import kv1", "send c after 1"}, Retries: 1, Attempts: 2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, runScenario(t, tc.setup)); diff != "" {
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
		{"two", sse(1) + sse(2), []string{sse(1), sse(2)}, []int{1, 2}, io.EOF},
		{"CRLF line ends", "id: 3\r\ndata: z\r\n\r\n", []string{"id: 3\r\ndata: z\r\n\r\n"}, []int{3}, io.EOF},
		{"no ID", "data: z\n\n", []string{"data: z\n\n"}, []int{0}, io.EOF},
		{"longer than the buffer", long + sse(1), []string{long, sse(1)}, []int{0, 1}, io.EOF},
		{"truncated event", sse(1) + "id: 2\ndata", []string{sse(1)}, []int{1}, io.ErrUnexpectedEOF},
	} {
		for name, source := range map[string]io.Reader{
			"at once": strings.NewReader(tc.in), "byte by byte": iotest.OneByteReader(strings.NewReader(tc.in)),
		} {
			t.Run(tc.name+" "+name, func(t *testing.T) {
				r := newEventReader(source, DefaultMaxEventBytes, testBudget().Open())
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
	r := newEventReader(strings.NewReader(strings.Repeat("z", DefaultMaxEventBytes+1)), DefaultMaxEventBytes, testBudget().Open())
	var tooLong *h1.LimitError
	if _, err := r.next(); !errors.As(err, &tooLong) {
		t.Errorf("an event over the limit returned %v", err)
	}
}

// testBudget returns a budget that fits a few of the longest events.
func testBudget() *memory.Budget { return memory.NewBudget(32<<20, nil) }
