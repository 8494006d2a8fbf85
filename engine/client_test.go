package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/pipenet"
)

// serve starts a server in the synctest bubble and returns a client of it.
func serve(t *testing.T, h http.HandlerFunc) (*Client, *pipenet.Listener) {
	t.Helper()
	l := pipenet.Listen()
	srv := &http.Server{Handler: h}
	go srv.Serve(l)
	c := NewClient(Options{Address: "engine", Dial: l.Dial, MaxFrame: 1 << 10})
	t.Cleanup(func() {
		c.Close()
		srv.Close()
	})
	return c, l
}

// respondLines sends the headers for an attempt and the lines.
func respondLines(attempt string, lines ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(AttemptHeader, attempt)
		io.WriteString(w, strings.Join(lines, "\n")+"\n")
		w.(http.Flusher).Flush()
	}
}

func tokenFrame(attempt string, position int) string {
	return fmt.Sprintf(`{"attempt":%q,"position":%d,"tokens":1,"text":"x"}`, attempt, position)
}

const lastFrame = `{"attempt":"a","position":2,"finish":"stop"}`

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		io.WriteString(w, body)
	}
}

func thenHang(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// The server detects the client's disconnect only after reading the body.
		io.Copy(io.Discard, r.Body)
		h(w, r)
		<-r.Context().Done()
	}
}

func thenDisconnect(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		h(w, r)
		panic(http.ErrAbortHandler)
	}
}

// respondWithHeartbeats sends empty lines for 40 s and then a complete response.
func respondWithHeartbeats(w http.ResponseWriter, r *http.Request) {
	respondLines("a", "")(w, r)
	for range 10 {
		time.Sleep(4 * time.Second)
		io.WriteString(w, "\n")
		w.(http.Flusher).Flush()
	}
	io.WriteString(w, tokenFrame("a", 1)+"\n"+lastFrame+"\n")
}

func TestGenerate(t *testing.T) {
	type result struct {
		Frames int
		Reason failure.Reason
		Ran    failure.Outcome
		// Dials is the number of connections after a second, complete response.
		Dials int
	}
	complete := respondLines("a", tokenFrame("a", 1), lastFrame)
	refusal := `{"attempt":"a","reason":"endpoint-refused","not_run":true}`
	for _, tc := range []struct {
		name string
		h    http.HandlerFunc
		want result
	}{
		{"whole", complete, result{2, "", "", 1}},
		{"heartbeats", respondWithHeartbeats, result{2, "", "", 1}},
		{"refused", respond(503, refusal), result{0, failure.EndpointRefused, failure.NotRun, 1}},
		{"refused after start", respond(503, `{"attempt":"a","reason":"endpoint-failed"}`), result{0, failure.EndpointFailed, failure.Unknown, 1}},
		{"refusal of another attempt", respond(503, strings.Replace(refusal, `"a"`, `"b"`, 1)), result{0, failure.AnswerMismatch, failure.Unknown, 2}},
		{"refusal cut short", respond(503, refusal[:40]), result{0, failure.EndpointFailed, failure.Unknown, 1}},
		{"status without refusal", respond(500, "oops"), result{0, failure.EndpointFailed, failure.Unknown, 1}},
		{"answer to another attempt", respondLines("b", tokenFrame("b", 1)), result{0, failure.AnswerMismatch, failure.Unknown, 2}},
		{"no attempt", respond(200, tokenFrame("a", 1)), result{0, failure.AnswerMismatch, failure.Unknown, 2}},
		{"crossed frame", respondLines("a", tokenFrame("a", 1), tokenFrame("b", 2), lastFrame), result{1, failure.AnswerMismatch, failure.Unknown, 2}},
		{"gap", respondLines("a", tokenFrame("a", 1), tokenFrame("a", 3), lastFrame), result{1, failure.AnswerMismatch, failure.Unknown, 2}},
		{"repeated frame", respondLines("a", tokenFrame("a", 1), tokenFrame("a", 1), lastFrame), result{1, failure.AnswerMismatch, failure.Unknown, 2}},
		{"starts before the resume point", respondLines("a", tokenFrame("a", 0)), result{0, failure.AnswerMismatch, failure.Unknown, 2}},
		{"no terminal frame", respondLines("a", tokenFrame("a", 1)), result{1, failure.AnswerTruncated, failure.Unknown, 2}},
		{"dropped", thenDisconnect(respondLines("a", tokenFrame("a", 1))), result{1, failure.AnswerTruncated, failure.Unknown, 2}},
		{"half a frame", respondLines("a", tokenFrame("a", 1)[:20]), result{0, failure.AnswerTruncated, failure.Unknown, 2}},
		{"frame too long", respondLines("a", strings.Repeat("x", 2<<10)), result{0, failure.EndpointFailed, failure.Unknown, 2}},
		{"dropped before the head", thenDisconnect(func(http.ResponseWriter, *http.Request) {}), result{0, failure.EndpointBroke, failure.Unknown, 2}},
		{"silent before the head", thenHang(func(http.ResponseWriter, *http.Request) {}), result{0, failure.EndpointBroke, failure.Unknown, 2}},
		{"silent in the stream", thenHang(respondLines("a", tokenFrame("a", 1))), result{1, failure.EndpointBroke, failure.Unknown, 2}},
		{"more behind the end", respondLines("a", tokenFrame("a", 1), lastFrame, tokenFrame("a", 2)), result{2, "", "", 2}},
		{"hangs behind the end", thenHang(complete), result{2, "", "", 2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first := true
				c, l := serve(t, func(w http.ResponseWriter, r *http.Request) {
					h := complete
					if first {
						h = tc.h
					}
					first = false
					h(w, r)
				})
				got := result{}
				var err error
				got.Frames, err = generate(t.Context(), c)
				var f *failure.Request
				if errors.As(err, &f) {
					got.Reason, got.Ran = f.Code, f.Ran
				}
				synctest.Wait()
				if n, err := generate(t.Context(), c); n != 2 || err != nil {
					t.Errorf("complete response afterwards: %d frames, %v", n, err)
				}
				got.Dials = l.Dials()
				if diff := cmp.Diff(tc.want, got); diff != "" {
					t.Errorf("%v (-want +got):\n%s", err, diff)
				}
			})
		})
	}
}

// generate requests a response from position 1 on and counts its frames.
func generate(ctx context.Context, c *Client) (int, error) {
	s, err := c.Generate(ctx, GenerateRequest{Attempt: "a", ResumeFrom: 1})
	if err != nil {
		return 0, err
	}
	defer s.Close()
	for n := 0; ; n++ {
		_, err := s.Next(ctx)
		if errors.Is(err, io.EOF) {
			return n, nil
		}
		if err != nil {
			return n, err
		}
	}
}

// Expired deadlines, cancelled contexts and unreachable engines give different
// reasons, and a call that was never sent has the outcome NotRun.
func TestGenerateFailureReasons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, l := serve(t, thenHang(respondLines("a", tokenFrame("a", 1))))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := generate(ctx, c)
		checkFailure(t, err, failure.DeadlinePassed, failure.Unknown)

		ctx, cancel = context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		_, err = generate(ctx, c)
		checkFailure(t, err, failure.CallerGone, failure.Unknown)

		_, err = generate(ctx, c)
		checkFailure(t, err, failure.CallerGone, failure.NotRun)

		l.Close()
		_, err = generate(t.Context(), c)
		checkFailure(t, err, failure.EndpointUnreachable, failure.NotRun)
	})
}

func checkFailure(t *testing.T, err error, reason failure.Reason, ran failure.Outcome) {
	t.Helper()
	var f *failure.Request
	if !errors.As(err, &f) || f.Code != reason || f.Ran != ran {
		t.Errorf("got %v, want %s (%s)", err, reason, ran)
	}
}

// An empty snapshot, which means that nothing is cached, must not decode as nil.
func TestEmptySnapshotDecoded(t *testing.T) {
	for _, want := range []CacheEvents{
		{Incarnation: "i", Snapshot: []uint64{}, Next: 9},
		{Incarnation: "i", Snapshot: []uint64{7}, Next: 9},
		{Incarnation: "i", Next: 9},
	} {
		synctest.Test(t, func(t *testing.T) {
			body, err := json.Marshal(want)
			if err != nil {
				t.Fatal(err)
			}
			c, _ := serve(t, respond(http.StatusOK, string(body)))
			got, err := c.Events(t.Context(), 1)
			if diff := cmp.Diff(want, got); diff != "" || err != nil {
				t.Errorf("%v (-want +got):\n%s", err, diff)
			}
		})
	}
}

func TestOrderRefusals(t *testing.T) {
	for _, tc := range []struct {
		body string
		want error
	}{
		{`{"reason":"stale-fence","highest_fence":9,"not_run":true}`, &StaleFenceError{Sent: 7, Highest: 9}},
		{`{"reason":"wrong-incarnation","have":"new","not_run":true}`, &IncarnationError{Want: "old", Have: "new"}},
		{`{"reason":"engine-busy","running":"o1","not_run":true}`, &BusyError{Running: "o1"}},
		{`{"reason":"bad-request","message":"no","not_run":true}`, &RefusedError{Code: "bad-request", Message: "no"}},
		{`{"reason":"internal","message":"no"}`, &UnreachableError{Sent: true, Cause: &RefusedError{Code: "internal", Message: "no"}}},
		{`oops`, &UnreachableError{Sent: true, Cause: &StatusError{Status: 409, Body: "oops"}}},
	} {
		synctest.Test(t, func(t *testing.T) {
			c, _ := serve(t, respond(409, tc.body))
			o := Order{ID: "o2", Fence: 7, Incarnation: "old"}
			_, err := c.Order(t.Context(), o, time.Now().Add(time.Second))
			if diff := cmp.Diff(tc.want, err); diff != "" {
				t.Errorf("%s (-want +got):\n%s", tc.body, diff)
			}
		})
	}
}

// Order returns at its deadline and reports whether any byte may have been sent.
func TestOrderDeadline(t *testing.T) {
	blocked := func(context.Context, string, string) (net.Conn, error) {
		c, _ := net.Pipe()
		return c, nil
	}
	slow := func(ctx context.Context, _, _ string) (net.Conn, error) {
		time.Sleep(2 * time.Second) // ignores ctx, as a paused process would
		c, s := net.Pipe()
		go io.Copy(io.Discard, s)
		return c, nil
	}
	unanswered := func(context.Context, string, string) (net.Conn, error) {
		c, s := net.Pipe()
		go io.Copy(io.Discard, s)
		return c, nil
	}
	for _, tc := range []struct {
		name string
		dial func(context.Context, string, string) (net.Conn, error)
		sent bool
		took time.Duration
	}{
		{"window shut", blocked, false, time.Second},
		{"connected too late", slow, false, 2 * time.Second},
		{"no answer", unanswered, true, time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := NewClient(Options{Dial: tc.dial, Address: "engine"})
				start := time.Now()
				_, err := c.Order(t.Context(), Order{ID: "o"}, start.Add(time.Second))
				var u *UnreachableError
				if !errors.As(err, &u) || u.Sent != tc.sent || time.Since(start) != tc.took {
					t.Errorf("after %v: got %v, want sent = %v after %v", time.Since(start), err, tc.sent, tc.took)
				}
			})
		})
	}
}

// unboundedConn accepts every write, like a socket whose deadline passed while the
// process was paused and whose timer has not fired yet.
type unboundedConn struct {
	net.Conn
	written int
}

func (c *unboundedConn) SetDeadline(time.Time) error { return nil }

func (c *unboundedConn) Close() error { return nil }

func (c *unboundedConn) Write(p []byte) (int, error) {
	c.written += len(p)
	return len(p), nil
}

func (c *unboundedConn) Read([]byte) (int, error) { return 0, io.EOF }

// A process that resumes after the deadline must not write the order.
func TestOrderChecksDeadlineBeforeWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn := new(unboundedConn)
		c := NewClient(Options{Address: "engine", Dial: func(context.Context, string, string) (net.Conn, error) {
			time.Sleep(2 * time.Second)
			return conn, nil
		}})
		_, err := c.Order(t.Context(), Order{ID: "o"}, time.Now().Add(time.Second))
		var u *UnreachableError
		if !errors.As(err, &u) || u.Sent || conn.written != 0 {
			t.Errorf("%d bytes written, %v; want none and not sent", conn.written, err)
		}
	})
}

// On a real socket, cancelling an order resets the connection, so that the kernel
// retains no unsent data.
func TestOrderResetsConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ended := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		conn, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer conn.Close()
		// The first byte shows that the order was sent; then cancel it.
		_, err = conn.Read(make([]byte, 1))
		cancel()
		for err == nil {
			_, err = conn.Read(make([]byte, 1<<10))
		}
		ended <- err
	}()
	c := NewClient(Options{Address: l.Addr().String()})
	_, err = c.Order(ctx, Order{ID: "o"}, time.Now().Add(time.Hour))
	var u *UnreachableError
	if !errors.As(err, &u) || !u.Sent {
		t.Errorf("got %v, want unreachable and sent", err)
	}
	if err := <-ended; errors.Is(err, io.EOF) {
		t.Errorf("engine saw an orderly close, want a reset")
	}
}
