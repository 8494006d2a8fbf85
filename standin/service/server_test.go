package service

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/pipenet"
	"github.com/springweir/springweir/service"
)

func serve(t *testing.T, h http.Handler) (*service.Client, *pipenet.Listener) {
	t.Helper()
	l := pipenet.Listen()
	srv := &http.Server{Handler: h}
	go srv.Serve(l)
	c := service.NewClient(service.Options{Address: "service", Dial: l.Dial})
	t.Cleanup(func() {
		c.Close()
		srv.Close()
	})
	return c, l
}

// do makes a call, with idempotency key k1 unless it is a GET, and reads the complete
// response.
func do(ctx context.Context, c *service.Client, method string, body []byte) (Response, error) {
	call := service.Call{
		Attempt: "a1",
		Method:  method,
		Path:    "/slots/7?day=2",
		Header:  http.Header{"Idempotency-Key": {"k1"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}},
		Body:    body,
	}
	if method == http.MethodGet {
		call.Header.Del("Idempotency-Key")
	}
	resp, err := c.Do(ctx, call)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return Response{}, err
	}
	var r Response
	return r, json.Unmarshal(b, &r)
}

// TestModes checks for each mode the error that the client reports against the number of
// times that the call ran.
func TestModes(t *testing.T) {
	type result struct {
		Reason failure.Reason
		Ran    failure.Outcome
		Runs   int
	}
	for _, tc := range []struct {
		mode Mode
		want result
	}{
		{Normal, result{"", "", 1}},
		{Slow, result{failure.DeadlinePassed, failure.Unknown, 0}},
		{LateResponse, result{failure.DeadlinePassed, failure.Unknown, 1}},
		{CrashAfterRun, result{failure.EndpointBroke, failure.Unknown, 1}},
		{Crossed, result{failure.AnswerMismatch, failure.Unknown, 1}},
		{Refuse, result{failure.EndpointRefused, failure.NotRun, 0}},
	} {
		for _, body := range [][]byte{nil, []byte("x")} {
			t.Run(string(tc.mode), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := New(tc.mode, 10*time.Second)
					c, _ := serve(t, s)
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					response, err := do(ctx, c, http.MethodPost, body)
					got := result{}
					var f *failure.Request
					if errors.As(err, &f) {
						got.Reason, got.Ran = f.Code, f.Ran
					} else if err != nil || response.Call != "k1" || response.Path != "/slots/7?day=2" {
						t.Errorf("got %+v, %v", response, err)
					}
					time.Sleep(time.Minute)
					got.Runs = s.Runs()["k1"]
					if diff := cmp.Diff(tc.want, got); diff != "" {
						t.Errorf("(-want +got):\n%s", diff)
					}
				})
			})
		}
	}
}

// TestConnectionsAndLeaving checks that only GET calls reuse connections, that a mode can be
// limited to a number of calls, and that a leaving service refuses calls without running
// them.
func TestConnectionsAndLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Normal, 0)
		c, l := serve(t, s)
		for _, method := range []string{"GET", "GET", "POST", "POST"} {
			if _, err := do(t.Context(), c, method, nil); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
		}
		if l.Dials() != 3 {
			t.Errorf("%d connections, want 1 for both GET and 1 for each POST", l.Dials())
		}
		s.Set(Refuse, 0, 1)
		_, refused := do(t.Context(), c, "POST", nil)
		if _, err := do(t.Context(), c, "POST", nil); refused == nil || err != nil {
			t.Errorf("got %v, then %v; want one refusal", refused, err)
		}
		s.Leave()
		_, err := do(t.Context(), c, "POST", nil)
		var f *failure.Request
		if !errors.As(err, &f) || f.Ran != failure.NotRun || f.RetryAfter != time.Second {
			t.Errorf("leaving: got %v", err)
		}
		if n := s.Runs()["k1"]; n != 3 {
			t.Errorf("%d runs, want 3", n)
		}
	})
}

// TestIncompleteResponsesFail checks that a response that is truncated, or that has no
// length by which truncation could be detected, is an error.
func TestIncompleteResponsesFail(t *testing.T) {
	for name, raw := range map[string]string{
		"short":  "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"length": "HTTP/1.1 200 OK\r\n\r\nhalf",
	} {
		synctest.Test(t, func(t *testing.T) {
			c, _ := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					panic(err)
				}
				io.WriteString(conn, raw)
				conn.Close()
			}))
			_, err := do(t.Context(), c, http.MethodPost, []byte("x"))
			if failure.ReasonOf(err) != failure.AnswerTruncated {
				t.Errorf("%s: got %v, want answer-truncated", name, err)
			}
		})
	}
}

// TestHeaders checks that the idempotency key is forwarded to the endpoint and that
// hop-by-hop headers are not.
func TestHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got http.Header
		c, _ := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got = r.Header }))
		// The empty response does not parse; only the request headers matter here.
		_, _ = do(t.Context(), c, http.MethodPost, nil)
		for name, want := range map[string]string{"Idempotency-Key": "k1", service.AttemptHeader: "a1", "X-Hop": ""} {
			if got.Get(name) != want {
				t.Errorf("%s is %q, want %q", name, got.Get(name), want)
			}
		}
	})
}

// TestPathCannotNameAnotherHost checks that a path that would change the host of the URL is
// refused.
func TestPathCannotNameAnotherHost(t *testing.T) {
	c := service.NewClient(service.Options{Address: "127.0.0.1:1"})
	_, err := c.Do(t.Context(), service.Call{Method: "POST", Path: "@127.0.0.1:2/x"})
	var f *failure.Request
	if !errors.As(err, &f) || f.Code != failure.BadRequest || f.Ran != failure.NotRun {
		t.Errorf("got %v, want bad-request (not-run)", err)
	}
}
