package entry

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/claim"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/internal/transcript"
	"github.com/springweir/springweir/membership"
	"github.com/springweir/springweir/peer/viewpb"
	"github.com/springweir/springweir/settings"
	standinengine "github.com/springweir/springweir/standin/engine"
	"github.com/springweir/springweir/standin/enginemodel"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/weightstore"
)

// peerEntry is an entry of another zone.
const peerEntry transcript.Party = "peer"

// loggedClaims records the accesses to claims only: rosters and configuration are read
// continuously.
type loggedClaims struct {
	table.Service
	logged *transcript.Table
}

// Get implements table.Service.
func (c *loggedClaims) Get(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	if keys[0].Table != claim.Table {
		return c.Service.Get(ctx, keys...)
	}
	return c.logged.Get(ctx, keys...)
}

// Commit implements table.Service.
func (c *loggedClaims) Commit(ctx context.Context, txn table.Txn) ([]table.Version, error) {
	if txn.Writes[0].Key.Table != claim.Table {
		return c.Service.Commit(ctx, txn)
	}
	return c.logged.Commit(ctx, txn)
}

// logWork records the requests that carry work to an endpoint, but not the polls of its
// state.
func logWork(log *transcript.Log, from transcript.Party, h http.Handler) http.Handler {
	if log == nil {
		return h
	}
	work := log.HandlerBetween(from, transcript.Endpoint, h)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			work.ServeHTTP(pacedWriter{w}, r)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// pacedWriter lets each chunk of a response reach the caller before the next is written, so
// that the order of a session is deterministic.
type pacedWriter struct{ http.ResponseWriter }

// FlushError is called by http.ResponseController.
func (p pacedWriter) FlushError() error {
	err := http.NewResponseController(p.ResponseWriter).Flush()
	time.Sleep(time.Millisecond)
	return err
}

// startZoneB starts zone b: an entry and an engine that has the model.
func startZoneB(s *testZone, log *transcript.Log) {
	o := s.opts
	e := standinengine.New(standinengine.Options{
		Address: o.listenAt(9, 9000), Incarnation: "far", Role: engine.Mixed, Speed: 1, Params: enginemodel.DefaultParams(),
		Loaded: []weightstore.Artifact{{Model: "chat", Version: "1"}}, Fetch: s.client,
	})
	ctx, cancel := context.WithCancel(context.Background())
	go e.Run(ctx)
	s.listenFor(logWork(log, peerEntry, e), o.listenAt(9, 9000))
	p := &settings.Process{VM: "vm9", Zone: "b", Callers: o.listenAt(9, 8080), Peers: o.listenAt(9, 7100), Metrics: o.listenAt(9, 7101)}
	far, err := NewWithNetwork(o.network, p, s.entry.platform)
	if err != nil {
		s.tb.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- far.Run(ctx) }()
	s.close = append(s.close, func() {
		cancel()
		if err := <-ended; err != nil {
			s.tb.Errorf("Run of zone b's entry: %v", err)
		}
	})
	view := viewpb.NewViewServer(&viewServer{far})
	mux := http.NewServeMux()
	mux.Handle(view.PathPrefix(), view)
	mux.Handle("/", log.HandlerBetween(transcript.Entry, peerEntry, http.HandlerFunc(far.serveForwarded)))
	s.listenFor(mux, o.listenAt(9, 7200))
	s.waitFor("zone b offers capacity", func() bool {
		zones := s.entry.common.zones.zoneSummaries()
		return len(zones) > 0 && zones[0].Reachable && zones[0].PromptBudget > 0
	})
}

// TestSessions records complete sessions through a real entry: what callers, the entry, a
// peer entry, endpoints and the platform exchange, in order.
func TestSessions(t *testing.T) {
	confirm := request{
		method: http.MethodPost, path: "/s/slots/confirm?day=3", body: `{"slot":7}`,
		header: map[string]string{"Idempotency-Key": "slot-7", "Springweir-Deadline-Ms": "5000"},
	}
	chat := chatRequest("May a skip stand here?", 3, false)
	tests := []struct {
		name     string
		far      bool
		requests []request
		change   func(s *testZone)
	}{
		{name: "chat", requests: []request{chat}},
		{name: "stream", requests: []request{chatRequest("May a skip stand here?", 3, true)}},
		{name: "call-and-repeat", requests: []request{confirm, confirm}},
		{name: "refused-call", requests: []request{confirm}, change: func(s *testZone) { s.rows.SetDown(true) }},
		{name: "spilled-chat", far: true, requests: []request{chat}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := new(transcript.Log)
				maskSession(log)
				o := inMemoryOptions()
				o.engines, o.log = 1, log
				if tt.far {
					o.engines = 0
					o.members = []membership.VM{{Name: "vm9", Kind: membership.Entry, Zone: "b", Address: o.listenAt(9, 7200)}}
					o.extraSettings = fmt.Sprintf("[endpoint \"far-0\"]\nzone = b\npool = language\naddress = %s\n", o.listenAt(9, 9000))
				}
				s := newTestZone(t, o)
				defer s.shutDown()
				if tt.far {
					startZoneB(s, log)
				}
				s.listenFor(log.Handler(s.entry), o.listenAt(1, 8088))
				if tt.change != nil {
					tt.change(s)
				}
				for _, r := range tt.requests {
					r.at = o.listenAt(1, 8088)
					if _, _, err := s.do(t.Context(), r); err != nil {
						t.Error(err)
					}
					time.Sleep(time.Second)
				}
				log.Golden(t, tt.name)
				s.rows.SetDown(false)
			})
		})
	}
}

// maskSession masks random values and values that depend on the time of day.
func maskSession(log *transcript.Log) {
	log.Mask(`[A-Z2-7]{26}`, "<id>")
	log.Mask(`"(created|at|until|deadline_ms)":\d+`, `"$1":"<time>"`)
	log.Mask(`Date: .*`, "Date: <time>")
	log.Mask(`"Date":\["[^"]*"\]`, `"Date":["<time>"]`)
	log.Mask(`Springweir-Deadline-Ms: \d+`, "Springweir-Deadline-Ms: <left>")
}
