package caller_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/engine/fakeengine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/standin/enginemodel"
)

const (
	hopPrompt = "hello there"
	hopBody   = `{"model":"assistant","prompt":"hello there","max_tokens":6}`
)

// twoZones returns two entries; the first target of near is the entry far of another zone.
func twoZones(t *testing.T) (near, far *harness) {
	far = newHarness()
	server := httptest.NewServer(far.handler)
	t.Cleanup(server.Close)
	transport := forward.NewPeerTransport()
	t.Cleanup(transport.CloseIdleConnections)
	peer := forward.NewPeerTarget(server.Listener.Addr().String(), transport)
	near = newHarness(forward.Target{Name: "far", Zone: "z2", Peer: peer})
	return near, far
}

func TestHop(t *testing.T) {
	refuse := func(engine.GenerateRequest) fakeengine.Behaviour {
		return fakeengine.Behaviour{Refuse: failure.EndpointRefused}
	}
	tests := []struct {
		name string
		far  func(engine.GenerateRequest) fakeengine.Behaviour
		// onFar and onNear are the expected attempts at the first engine of each zone; resumed
		// is the token from which the near engine resumes.
		onFar, onNear, resumed int
	}{
		{"whole", nil, 1, 0, 0},
		{"refused there, answered here", refuse, 1, 1, 0},
		{"broke there, resumed here", truncateAfter(2), 1, 1, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			near, far := twoZones(t)
			far.a.Script(tt.far)
			far.b.Script(tt.far)
			w := near.send("POST", wire.PathCompletions, hopBody)
			want := enginemodel.AnswerText(hopPrompt, 0, 6)
			if w.Code != 200 || !strings.Contains(w.Body.String(), strings.TrimSpace(want)) {
				t.Errorf("status %d, body %s; want text %q", w.Code, w.Body, want)
			}
			if got := len(far.a.Attempts()); got != tt.onFar {
				t.Errorf("%d attempts in the far zone, want %d", got, tt.onFar)
			}
			attempts := near.a.Attempts()
			if len(attempts) != tt.onNear {
				t.Fatalf("%d attempts in the near zone, want %d", len(attempts), tt.onNear)
			}
			if tt.onNear > 0 && attempts[0].Request.ResumeFrom != tt.resumed {
				t.Errorf("resumed from %d, want %d", attempts[0].Request.ResumeFrom, tt.resumed)
			}
		})
	}
}

func TestHopWithIdempotencyKey(t *testing.T) {
	near, far := twoZones(t)
	for range 2 {
		w := near.send("POST", "/s/slots/confirm", "slot 7", wire.HeaderIdempotencyKey, "k")
		if diff := cmp.Diff("ok", w.Body.String()); w.Code != 200 || diff != "" {
			t.Fatalf("status %d, body (-want +got):\n%s", w.Code, diff)
		}
	}
	if far.svc.Runs("k") != 1 || near.svc.Runs("k") != 0 {
		t.Errorf("ran %d times in the far zone and %d in the near zone, want 1 and 0", far.svc.Runs("k"), near.svc.Runs("k"))
	}
	if got := near.rows.Counts().Commits; got != 0 {
		t.Errorf("the near entry also stored a claim: %d commits", got)
	}
}

func TestHopToUnreachableEntry(t *testing.T) {
	transport := forward.NewPeerTransport()
	// Port 1 of the loopback address refuses connections.
	peer := forward.NewPeerTarget("127.0.0.1:1", transport)
	near := newHarness(forward.Target{Name: "far", Peer: peer})
	w := near.send("POST", "/s/slots/confirm", "slot 7")
	if !strings.Contains(w.Body.String(), `"outcome":"not-run"`) || near.svc.Runs("") > 0 {
		t.Errorf("got %s; want not-run, and no retry without a key", w.Body)
	}
}
