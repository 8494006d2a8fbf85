package entry

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/peer"
	"github.com/springweir/springweir/peer/viewpb"
	"github.com/springweir/springweir/weightstore"
)

// endpointState holds the checked fields of an endpoint's view.
type endpointState struct {
	Pool, Service, Role string
	Streams             uint32
	Known, Withheld     bool
	Leaving             bool
}

// TestView checks the view that an entry serves to controllers and other zones' entries at
// its peer address, with an open stream, a withheld engine and an engine that is leaving.
func TestView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := inMemoryOptions()
		o.engines = 3
		s := newTestZone(t, o)
		defer s.shutDown()
		s.entry.gate.Withhold("engine-1", 100)
		s.engines[2].Leave()
		time.Sleep(3 * time.Second)
		ended := make(chan int, 1)
		go func() {
			status, _, _ := s.do(t.Context(), chatRequest(longPrompt(), 127, true))
			ended <- status
		}()
		time.Sleep(time.Second)
		view := peer.ViewAt(s.entry.process.Peers, s.client.Transport)
		s.checkFleet(view)
		s.checkDemand(view)
		s.checkOffer(view)
		if status := <-ended; status != http.StatusOK {
			t.Errorf("the stream ended with status %d", status)
		}
	})
}

func (s *testZone) checkFleet(view viewpb.View) {
	s.tb.Helper()
	f, err := view.Fleet(s.tb.Context(), &viewpb.FleetRequest{})
	if err != nil {
		s.tb.Fatal(err)
	}
	if f.Vm != "vm1" || f.Zone != "a" || f.Config != 1 || f.Standing != "in-force" {
		s.tb.Errorf("got VM %s of zone %s with version %d, %s", f.Vm, f.Zone, f.Config, f.Standing)
	}
	got := map[string]endpointState{}
	for _, e := range f.Endpoints {
		got[e.Name] = endpointState{Pool: e.Pool, Service: e.Service, Role: e.Role, Streams: e.Streams, Known: e.Known, Withheld: e.Withheld, Leaving: e.Leaving}
	}
	want := map[string]endpointState{
		"engine-0": {Pool: "language", Role: "mixed", Known: true, Streams: 1},
		"engine-1": {Pool: "language", Role: "mixed", Known: true, Withheld: true},
		"engine-2": {Pool: "language", Role: "mixed", Known: true, Leaving: true},
		"slots-1":  {Service: "slots", Known: true},
		"rates-1":  {Service: "rates", Known: true},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		s.tb.Errorf("fleet (-want +got):\n%s", diff)
	}
}

func (s *testZone) checkDemand(view viewpb.View) {
	s.tb.Helper()
	d, err := view.Demand(s.tb.Context(), &viewpb.DemandRequest{Pool: "language"})
	if err != nil {
		s.tb.Fatal(err)
	}
	if len(d.Classes) != 1 || d.Classes[0].Rate <= 0 || d.Classes[0].Prompt <= 0 || d.WindowMs <= 0 {
		s.tb.Errorf("demand is %v, want one class of requests", d)
	}
}

func (s *testZone) checkOffer(view viewpb.View) {
	s.tb.Helper()
	r, err := view.Room(s.tb.Context(), &viewpb.RoomRequest{})
	if err != nil {
		s.tb.Fatal(err)
	}
	if len(r.Models) != 1 || r.Models[0].Model != "chat" || r.Tokens <= 0 {
		s.tb.Errorf("offered capacity is %v, want some for chat", r)
	}
}

// TestZoneSummary checks the capacity offered by a zone: it shrinks with the engines'
// backlog up to the horizon, half of what remains is divided among the entries of other
// zones, and nothing is offered while requests are queued.
func TestZoneSummary(t *testing.T) {
	chat := []weightstore.Artifact{{Model: "chat", Version: "1"}}
	const horizon = 8000 // prompt tokens that an engine prefills within routing.SpillConfig.Horizon
	tests := []struct {
		name       string
		backlog    []int
		unreported int
		senders    int
		waiting    int
		want       int
	}{
		{name: "no engine"},
		{name: "idle", backlog: []int{0, 0}, senders: 1, want: horizon},
		{name: "shared by the senders", backlog: []int{0, 0}, senders: 4, want: horizon / 4},
		{name: "one is full", backlog: []int{0, 3 * horizon}, senders: 1, want: horizon / 2},
		{name: "local work counts", backlog: []int{0}, unreported: horizon / 2, senders: 1, want: horizon / 4},
		{name: "requests are queued", backlog: []int{0, 0}, senders: 1, waiting: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := idleEntry(t, len(tt.backlog))
			for i, tokens := range tt.backlog {
				e.common.store.ApplyReports(0, fleet.Report{Endpoint: engineName(i), State: engine.State{
					Incarnation: "first", Role: engine.Mixed, Loaded: chat,
					Load: engine.Load{Sequence: 1, WaitingTokens: tokens},
				}})
			}
			if tt.unreported > 0 {
				work := fleet.Work{Requests: 1, PromptTokens: tt.unreported}
				e.common.store.Reserve(0, fleet.Reservation{Endpoint: engineName(0), Attempt: "a", Work: work})
			}
			if got := zoneSummaryOf(e.common.store.Snapshot(), 0, tt.waiting, tt.senders).PromptBudget; got != tt.want {
				t.Errorf("offered budget is %d tokens, want %d", got, tt.want)
			}
		})
	}
}
