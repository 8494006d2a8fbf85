package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/internal/pipenet"
)

// TestServeFinishesOpenRequests checks that a request completes if the server is stopped
// while it is being handled.
func TestServeFinishesOpenRequests(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		stop()
		_, _ = w.Write([]byte("whole"))
	})
	served := make(chan error, 1)
	s := &Server{Name: "test", Handler: handler, Grace: 5 * time.Second}
	go func() { served <- s.serve(ctx, ln) }()
	resp, err := http.Get("http://" + ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
	if err := <-served; err != nil {
		t.Errorf("serve: %v", err)
	}
}

// TestServeReportsAddressInUse checks that Serve fails if the address is already in use.
func TestServeReportsAddressInUse(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	s := &Server{Name: "test", Listen: ln.Addr().String(), Handler: http.NotFoundHandler()}
	if err := s.Serve(t.Context()); err == nil {
		t.Error("Serve on an address in use did not fail")
	}
}

// TestEndpointDrainsBeforeStop stops an endpoint while a request is in flight and checks
// that the request completes within the grace period, or is aborted after it.
func TestEndpointDrainsBeforeStop(t *testing.T) {
	type outcome struct {
		Complete bool
		// LeaveCalled is when Leave was called, Stopped when the server had stopped.
		LeaveCalled, Stopped time.Duration
	}
	tests := []struct {
		name string
		work time.Duration
		want outcome
	}{
		{"no work", 0, outcome{Complete: true, LeaveCalled: time.Second, Stopped: 5 * time.Second}},
		{"work within the grace", 20 * time.Second, outcome{Complete: true, LeaveCalled: time.Second, Stopped: 20 * time.Second}},
		{"work over the grace", time.Hour, outcome{LeaveCalled: time.Second, Stopped: 62 * time.Second}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				start := time.Now()
				var got outcome
				var open atomic.Int64
				e := &Endpoint{
					Leave:  func() { got.LeaveCalled = time.Since(start) },
					Open:   func() int { return int(open.Load()) },
					Run:    func(running context.Context) { <-running.Done() },
					Linger: 4 * time.Second,
				}
				handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					open.Add(1)
					defer open.Add(-1)
					select {
					case <-time.After(tt.work):
						_, _ = io.WriteString(w, "whole")
					case <-r.Context().Done():
					}
				})
				ln := pipenet.Listen()
				completed := make(chan bool, 1)
				go func() { completed <- getsComplete(ln) }()
				s := &Server{Name: "test", Handler: handler, Endpoint: e, Grace: time.Minute}
				if err := s.serve(ctx, ln); err != nil {
					t.Error(err)
				}
				got.Stopped = time.Since(start).Truncate(time.Second)
				got.Complete = <-completed
				if diff := cmp.Diff(tt.want, got); diff != "" {
					t.Errorf("(-want +got):\n%s", diff)
				}
			})
		})
	}
}

// getsComplete sends a request and reports whether the complete response was received.
func getsComplete(ln *pipenet.Listener) bool {
	client := &http.Client{Transport: &http.Transport{DialContext: ln.Dial, DisableKeepAlives: true}}
	resp, err := client.Get("http://endpoint")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return err == nil && string(body) == "whole"
}
