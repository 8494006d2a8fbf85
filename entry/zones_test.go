package entry

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/membership"
	"github.com/springweir/springweir/peer/viewpb"
)

// remoteEntryStub is a stub of an entry of another zone, which serves only Room.
type remoteEntryStub struct {
	viewpb.View
	unavailable atomic.Bool
}

// Room implements viewpb.View.
func (n *remoteEntryStub) Room(context.Context, *viewpb.RoomRequest) (*viewpb.RoomResponse, error) {
	if n.unavailable.Load() {
		return nil, twirp.NewError(twirp.Unavailable, "silent")
	}
	return &viewpb.RoomResponse{Tokens: 1000, Models: []*viewpb.LoadedArtifact{{Model: "chat", Version: "1"}}}, nil
}

// countSpills returns how many of the given number of simultaneous requests are routed to
// zone b.
func (s *testZone) countSpills(requests, promptTokens int) int {
	s.tb.Helper()
	d := s.entry.upstreams.byName[poolUpstream("language")].dispatch
	n := 0
	for range requests {
		w := &forward.Work{Model: "chat", Version: "1", PromptTokens: promptTokens, MaxTokens: 10}
		plan, err := d.Route(s.tb.Context(), w, forward.Attempt{ID: "a"})
		var refused *failure.Request
		switch {
		case err == nil && plan.Target.Zone == "b":
			n++
		case !errors.As(err, &refused) || refused.Code != failure.NoEndpoint || refused.Ran != failure.NotRun:
			s.tb.Errorf("got plan %+v and error %v, want zone b or no endpoint", plan.Target, err)
		}
	}
	return n
}

// TestSpillsWithinOfferedBudget checks that an entry sends no more requests to another zone
// than the budget that the zone offered, and none to a zone that does not respond. The
// local zone has no engine.
func TestSpillsWithinOfferedBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := inMemoryOptions()
		o.engines = 0
		o.members = []membership.VM{{Name: "vm9", Kind: membership.Entry, Zone: "b", Address: o.listenAt(9, 7100)}}
		s := newTestZone(t, o)
		defer s.shutDown()
		other := &remoteEntryStub{}
		handler := viewpb.NewViewServer(other)
		mux := http.NewServeMux()
		mux.Handle(handler.PathPrefix(), handler)
		steps := []struct {
			name   string
			change func()
			want   int
		}{
			{"no entry of zone b responds", func() {}, 0},
			{"it has capacity for two", func() { s.listenFor(mux, o.listenAt(9, 7100)) }, 2},
			{"it offers more", func() {}, 2},
			{"it is unavailable", func() { other.unavailable.Store(true) }, 0},
			{"it is available again", func() { other.unavailable.Store(false) }, 2},
			{"it is removed from the list", func() { s.list.Remove("vm9") }, 0},
		}
		for _, step := range steps {
			step.change()
			// Offset from the polls of the zones, so that no new offer arrives between two
			// of the requests.
			time.Sleep(5*time.Second + roomPollInterval/7)
			if got := s.countSpills(5, 400); got != step.want {
				t.Errorf("%s: %d of 5 requests went to zone b, want %d", step.name, got, step.want)
			}
		}
	})
}
