package caller_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/engine/fakeengine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/service"
	"github.com/springweir/springweir/service/fakeservice"
)

const (
	chatBody   = `{"model":"assistant","messages":[{"role":"user","content":"May a skip stand here?"}],"max_tokens":3}`
	streamBody = `{"model":"assistant","messages":[{"role":"user","content":"May a skip stand here?"}],"max_tokens":3,"stream":true}`
)

// truncateAfter returns a script that makes an engine truncate its response after n tokens.
func truncateAfter(n int) func(engine.GenerateRequest) fakeengine.Behaviour {
	return func(engine.GenerateRequest) fakeengine.Behaviour {
		return fakeengine.Behaviour{Ending: fakeengine.Truncated, AfterTokens: n}
	}
}

// TestSessions compares the messages that caller, entry, endpoint and platform exchange, in order,
// with golden files.
func TestSessions(t *testing.T) {
	refuse := func(engine.GenerateRequest) fakeengine.Behaviour {
		return fakeengine.Behaviour{Refuse: failure.EndpointRefused}
	}
	confirmSlot := func(r *harness) {
		r.send("POST", "/s/slots/confirm?day=3", `{"slot":7}`, wire.HeaderIdempotencyKey, "slot-7", wire.HeaderDeadline, "5000")
	}
	tests := []struct {
		name string
		play func(r *harness)
	}{
		{"chat", func(r *harness) { r.send("POST", wire.PathChat, chatBody) }},
		{"stream", func(r *harness) { r.send("POST", wire.PathChat, streamBody, wire.HeaderPriority, "standard") }},
		{"stream-resumed", func(r *harness) {
			r.a.Script(truncateAfter(2))
			r.send("POST", wire.PathChat, streamBody)
		}},
		{"stream-broken", func(r *harness) {
			r.a.Script(truncateAfter(1))
			r.b.Script(truncateAfter(1))
			r.send("POST", wire.PathChat, streamBody)
		}},
		{"service-call", func(r *harness) {
			confirmSlot(r)
			confirmSlot(r)
		}},
		{"service-call-result-lost", func(r *harness) {
			r.svc.Script(func(service.Call) fakeservice.Behaviour { return fakeservice.Behaviour{DisconnectAfterRun: true} })
			confirmSlot(r)
			confirmSlot(r)
		}},
		{"refused-chat", func(r *harness) {
			r.a.Script(refuse)
			r.b.Script(refuse)
			r.send("POST", wire.PathChat, chatBody)
		}},
		{"refused-call", func(r *harness) {
			r.rows.SetDown(true)
			confirmSlot(r)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newHarness()
				// The backoff before a retry is random, and so is the remaining time.
				r.log.Mask(`"deadline_ms":\d+`, `"deadline_ms":"<left>"`)
				r.logA.CancelDelay, r.logB.CancelDelay = time.Second, time.Second
				tt.play(r)
				r.log.Golden(t, tt.name)
			})
		})
	}
}
