package caller_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/caller"
	"github.com/springweir/springweir/caller/fakecaller"
	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/forward/fakeforward"
	"github.com/springweir/springweir/prefix"
)

func TestRejectedRequests(t *testing.T) {
	guest := []string{"Authorization", "Bearer " + fakecaller.GuestKey}
	tests := []struct {
		name, method, path, body string
		header                   []string
		status                   int
		reason                   failure.Reason
	}{
		{"no key", "POST", wire.PathChat, chatBody, []string{"Authorization", ""}, 401, failure.Unauthorised},
		{"unknown key", "POST", wire.PathChat, chatBody, []string{"Authorization", "Bearer x"}, 401, failure.Unauthorised},
		{"no bearer", "GET", wire.PathModels, "", []string{"Authorization", "key-1"}, 401, failure.Unauthorised},
		{"not JSON", "POST", wire.PathChat, "{", nil, 400, failure.BadRequest},
		{"no messages", "POST", wire.PathChat, `{"model":"assistant"}`, nil, 400, failure.BadRequest},
		{"no prompt", "POST", wire.PathCompletions, `{"model":"assistant"}`, nil, 400, failure.BadRequest},
		{"negative max_tokens", "POST", wire.PathCompletions, `{"model":"assistant","prompt":"x","max_tokens":-1}`, nil, 400, failure.BadRequest},
		{"unknown model", "POST", wire.PathCompletions, `{"model":"x","prompt":"x"}`, nil, 404, failure.NoSuchModel},
		{"too large", "POST", wire.PathChat, strings.Repeat("x", 2000), nil, 413, failure.TooLarge},
		{"deadline of zero", "POST", wire.PathChat, chatBody, []string{wire.HeaderDeadline, "0"}, 400, failure.BadRequest},
		{"deadline in words", "POST", wire.PathChat, chatBody, []string{wire.HeaderDeadline, "soon"}, 400, failure.BadRequest},
		{"unknown priority", "POST", wire.PathChat, chatBody, []string{wire.HeaderPriority, "urgent"}, 400, failure.BadRequest},
		{"long idempotency key", "POST", "/s/slots/x", "", []string{wire.HeaderIdempotencyKey, strings.Repeat("k", 256)}, 400, failure.BadRequest},
		{"unknown service", "POST", "/s/x/y", "", nil, 404, failure.NoSuchService},
		{"resume without a hop", "POST", wire.PathCompletions, `{"model":"assistant","prompt":"x","springweir":{"resume_from":1,"emitted":"x"}}`, nil, 400, failure.BadRequest},
		{"long prompt", "POST", wire.PathCompletions, `{"model":"small","prompt":"` + strings.Repeat("x", 61) + `"}`, nil, 413, failure.TooLarge},
		{"model not allowed", "POST", wire.PathCompletions, `{"model":"small","prompt":"x"}`, guest, 403, failure.NotAllowed},
		{"service not allowed", "POST", "/s/slots/x", "", guest, 403, failure.NotAllowed},
		{"priority not allowed", "POST", wire.PathChat, chatBody, append(guest, wire.HeaderPriority, "interactive"), 403, failure.NotAllowed},
		{"wrong method", "GET", wire.PathChat, "", nil, 404, failure.NoSuchPath},
		{"unknown path", "GET", "/v2", "", nil, 404, failure.NoSuchPath},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newHarness()
			w := r.send(tt.method, tt.path, tt.body, tt.header...)
			var body wire.ErrorBody
			if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil {
				t.Fatalf("%v in %q", err, w.Body)
			}
			if w.Code != tt.status || body.Error.Reason != tt.reason || body.Error.Outcome != failure.NotRun {
				t.Errorf("got status %d, %+v; want %d, %s, not-run", w.Code, body.Error, tt.status, tt.reason)
			}
			if got := w.Header().Get(wire.HeaderReason); got != string(tt.reason) {
				t.Errorf("header is %q, want %q", got, tt.reason)
			}
			if n := len(r.a.Attempts()) + len(r.svc.Records()); n != 0 {
				t.Errorf("%d attempts reached an endpoint", n)
			}
		})
	}
}

func TestRetryAfterIsRoundedUp(t *testing.T) {
	r := newHarness()
	r.handler = caller.NewHandler(caller.Config{Organisations: fakecaller.Tree{}, Catalogue: fakecaller.Tree{}, Forwarder: forward.New(forward.Config{Router: fakeforward.Router{}, Admitter: fakeforward.AdmitAll{}})})
	w := r.send("POST", wire.PathChat, chatBody)
	if got := w.Header().Get("Retry-After"); w.Code != 503 || got != "2" {
		t.Errorf("got status %d, Retry-After %q; want 503 and 2 for 1.5 s", w.Code, got)
	}
}

// hasher implements caller.Hasher with the hash function that entries use.
type hasher struct{}

// Hashes implements caller.Hasher.
func (hasher) Hashes(namespace, prompt string) []uint64 { return prefix.Hashes(namespace, prompt) }

// TestWorkFromRequest checks the work that is derived from a request's headers and body.
func TestWorkFromRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorder := new(fakecaller.Forwarder)
		r := newHarness()
		r.handler = caller.NewHandler(caller.Config{Organisations: fakecaller.Tree{}, Catalogue: fakecaller.Tree{}, Forwarder: recorder, Hasher: hasher{}})
		prompt := strings.Repeat("12345678", 10)
		r.send("POST", wire.PathCompletions, `{"model":"assistant","prompt":"`+prompt+`","max_tokens":99}`,
			wire.HeaderDeadline, "2500", wire.HeaderPriority, "batch")
		got := *recorder.Work
		got.ID = ""
		want := forward.Work{
			Organisation: "kliko", Authorization: "Bearer key-1", Priority: engine.Batch,
			Deadline:  time.Now().Add(2500 * time.Millisecond),
			ModelName: "assistant", Model: "base-7b", Adapter: "permits",
			Prompt: prompt, PromptTokens: 20, MaxTokens: 8,
			PrefixHashes: prefix.Hashes("base-7b\x00permits\x00", prompt),
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	})
}

// TestLimitsPerModelAndService checks that the limits of each model and service are enforced, and
// that bodies forwarded by entries may exceed them by the hop allowance.
func TestLimitsPerModelAndService(t *testing.T) {
	long := strings.Repeat("x", 101)
	small := `{"model":"small","prompt":"x"}`
	tests := []struct {
		name, key, path, body, deadline string
		hop                             bool
		status                          int
		left                            time.Duration
	}{
		{name: "default of a model", path: wire.PathCompletions, body: small, status: 200, left: time.Second},
		{name: "limit of a model", path: wire.PathCompletions, body: small, deadline: "60000", status: 200, left: 2 * time.Second},
		{name: "below it", path: wire.PathCompletions, body: small, deadline: "1500", status: 200, left: 1500 * time.Millisecond},
		{name: "body for a model", path: wire.PathCompletions, body: small + long, status: 400},
		{name: "large body for a model", path: wire.PathCompletions, body: `{"model":"small","prompt":"` + long + `"}`, status: 413},
		{name: "large body passed on", path: wire.PathCompletions, body: `{"model":"small","prompt":"x","springweir":{"prompt_tokens":5,"resume_from":9,"emitted":"` + long + `"}}`, hop: true, status: 200, left: time.Second},
		{name: "what a guest may use", key: fakecaller.GuestKey, path: wire.PathChat, body: chatBody, status: 200, left: 2 * time.Minute},
		{name: "service a guest may use", key: fakecaller.GuestKey, path: "/s/routes/x", deadline: "1", status: 200, left: time.Millisecond},
		{name: "default of a service", path: "/s/routes/x", status: 200, left: time.Second},
		{name: "limit of a service", path: "/s/routes/x", deadline: "9223372036854775807", status: 200, left: 2 * time.Second},
		{name: "large body for a service", path: "/s/routes/x", body: long, status: 413},
		{name: "another service", path: "/s/slots/x", body: long, status: 200, left: 30 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				recorder := new(fakecaller.Forwarder)
				r := newHarness()
				r.handler = caller.NewHandler(caller.Config{Organisations: fakecaller.Tree{}, Catalogue: fakecaller.Tree{}, Forwarder: recorder})
				key := tt.key
				if key == "" {
					key = fakecaller.APIKey
				}
				header := []string{wire.HeaderDeadline, tt.deadline, "Authorization", "Bearer " + key}
				if tt.hop {
					header = append(header, wire.HeaderHop, "b")
				}
				w := r.send("POST", tt.path, tt.body, header...)
				var left time.Duration
				if recorder.Work != nil {
					left = time.Until(recorder.Work.Deadline)
				}
				if w.Code != tt.status || left != tt.left {
					t.Errorf("status %d with %v left, want %d with %v: %s", w.Code, left, tt.status, tt.left, w.Body)
				}
			})
		})
	}
}

func TestCallerDisconnectCancelsWork(t *testing.T) {
	ctx, disconnect := context.WithCancel(t.Context())
	f := forward.New(forward.Config{Admitter: fakeforward.BlockAll{OnAdmit: disconnect}})
	server := httptest.NewServer(caller.NewHandler(caller.Config{Organisations: fakecaller.Tree{}, Catalogue: fakecaller.Tree{}, Forwarder: f}))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+wire.PathChat, strings.NewReader(chatBody))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+fakecaller.APIKey)
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
		t.Error("the caller received a response")
	}
	// Close waits for the handler, which waits for the work.
	server.Close()
}
