package forward

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/service"
)

// TestPeerTargetRejectsMismatchedResponses: the entry of another zone returns the response or the
// refusal of another attempt. Neither may count for the current attempt, in particular not an
// outcome of not run.
func TestPeerTargetRejectsMismatchedResponses(t *testing.T) {
	for _, tt := range []struct {
		name, attempt, reason string
		want                  failure.Request
	}{
		{"own answer", "r.1", "", failure.Request{}},
		{"own refusal", "r.1", string(failure.QueueFull), failure.Request{Code: failure.QueueFull, Ran: failure.NotRun}},
		{"another's answer", "r9.1", "", failure.Request{Code: failure.AnswerMismatch, Ran: failure.Unknown}},
		{"another's refusal", "r9.1", string(failure.QueueFull), failure.Request{Code: failure.AnswerMismatch, Ran: failure.Unknown}},
		{"nobody's refusal", "", string(failure.QueueFull), failure.Request{Code: failure.AnswerMismatch, Ran: failure.Unknown}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(wire.HeaderAttempt, tt.attempt)
				if tt.reason != "" {
					w.Header().Set(wire.HeaderReason, tt.reason)
					w.WriteHeader(http.StatusServiceUnavailable)
				}
				_, _ = io.WriteString(w, `{"error":{"reason":"queue-full","outcome":"not-run"}}`)
			}))
			defer server.Close()
			transport := NewPeerTransport()
			defer transport.CloseIdleConnections()
			peer := NewPeerTarget(server.Listener.Addr().String(), transport)
			work := &Work{ID: "r", Service: "slots"}
			check := func(what string, err error) {
				var got failure.Request
				var failed *failure.Request
				if errors.As(err, &failed) {
					got = failure.Request{Code: failed.Code, Ran: failed.Ran}
				}
				if got.Code != tt.want.Code || got.Ran != tt.want.Ran {
					t.Errorf("%s: got %s, %s (%v), want %s, %s", what, got.Code, got.Ran, err, tt.want.Code, tt.want.Ran)
				}
			}
			resp, err := peer.Do(t.Context(), work, service.Call{Method: http.MethodGet, Path: "/x", Header: http.Header{}, Attempt: "r.1"})
			check("call", err)
			if err == nil {
				_ = resp.Body.Close()
			}
			stream, err := peer.Generate(t.Context(), work, engine.GenerateRequest{Attempt: "r.1"})
			check("generation", err)
			if err == nil {
				_ = stream.Close()
			}
		})
	}
}
