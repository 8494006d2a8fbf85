package httponce

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/internal/pipenet"
)

// run runs test in virtual time with an in-memory server that uses handler.
func run(t *testing.T, handler http.HandlerFunc, test func(t *testing.T, dial DialFunc)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := pipenet.Listen()
		server := &http.Server{Handler: handler}
		go func() { _ = server.Serve(l) }()
		test(t, l.Dial)
		_ = server.Close()
		time.Sleep(2 * keepAlive)
	})
}

// TestRequestsAreSentAtMostOnce closes a reused connection at its second request.
// TestPlainTransportRetries shows that a plain transport would retry that request.
func TestRequestsAreSentAtMostOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut} {
		for _, body := range []string{"", "x"} {
			var handled atomic.Int64
			handler := func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if handled.Add(1) == 2 {
					panic(http.ErrAbortHandler)
				}
			}
			run(t, handler, func(t *testing.T, dial DialFunc) {
				sender := NewSender(Config{Dial: dial})
				for range 2 {
					header := http.Header{"Idempotency-Key": {"k"}}
					_, _ = sender.Call(t.Context(), method, "http://platform", header, []byte(body))
				}
				if n := handled.Load(); n != 2 {
					t.Errorf("%s %q: %d requests handled for 2 sent", method, body, n)
				}
			})
		}
	}
}

func TestErrorsReportWhetherSent(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/large":
			_, _ = w.Write(make([]byte, 100))
		case "/slow":
			time.Sleep(time.Minute)
		case "/half":
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("half"))
			panic(http.ErrAbortHandler)
		default:
			panic(http.ErrAbortHandler)
		}
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }
	tests := []struct {
		name     string
		ctx      context.Context
		dial     DialFunc
		url      string
		wantSent bool
	}{
		{name: "dial refused", dial: refuse, url: "http://platform/"},
		{name: "context already ended", ctx: ended, url: "http://platform/"},
		{name: "other scheme", url: "https://platform/"},
		{name: "bad url", url: "http://platform/%"},
		{name: "response lost", url: "http://platform/", wantSent: true},
		{name: "incomplete response", url: "http://platform/half", wantSent: true},
		{name: "response late", url: "http://platform/slow", wantSent: true},
		{name: "response too large", url: "http://platform/large", wantSent: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, handler, func(t *testing.T, dial DialFunc) {
				if tt.dial != nil {
					dial = tt.dial
				}
				ctx := t.Context()
				if tt.ctx != nil {
					ctx = tt.ctx
				}
				sender := NewSender(Config{Dial: dial, MaxResponseBytes: 99})
				_, err := sender.Call(ctx, http.MethodPost, tt.url, nil, []byte("body"))
				var e *Error
				if !errors.As(err, &e) || e.Sent != tt.wantSent {
					t.Errorf("got %v, want Sent %v", err, tt.wantSent)
				}
			})
		})
	}
}

func TestRedirectIsNotFollowed(t *testing.T) {
	var handled atomic.Int64
	handler := func(w http.ResponseWriter, _ *http.Request) {
		handled.Add(1)
		w.Header().Set("Location", "/again")
		w.WriteHeader(http.StatusTemporaryRedirect)
	}
	run(t, handler, func(t *testing.T, dial DialFunc) {
		a, err := NewSender(Config{Dial: dial}).Call(t.Context(), http.MethodPost, "http://platform", nil, []byte("x"))
		if err != nil || a.Status != http.StatusTemporaryRedirect || handled.Load() != 1 {
			t.Errorf("got %+v, %v after %d requests", a, err, handled.Load())
		}
	})
}
