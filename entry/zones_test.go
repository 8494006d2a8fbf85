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

// neighbour is an entry of another zone, of which only the room is asked.
type neighbour struct {
	viewpb.View
	silent atomic.Bool
}

// Room implements viewpb.View.
func (n *neighbour) Room(context.Context, *viewpb.RoomRequest) (*viewpb.RoomResponse, error) {
	if n.silent.Load() {
		return nil, twirp.NewError(twirp.Unavailable, "silent")
	}
	return &viewpb.RoomResponse{Tokens: 1000, Models: []*viewpb.LoadedArtifact{{Model: "chat", Version: "1"}}}, nil
}

// spills tells how many of so many requests at the same moment go to zone b.
func (s *site) spills(requests, promptTokens int) int {
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

// TestSpillsOnlyIntoRoom shows that what an entry sends to another zone stays
// within the room that the zone offered, and that a zone that does not answer
// gets nothing. The own zone has no engine.
func TestSpillsOnlyIntoRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := inMemory()
		o.engines = 0
		o.members = []membership.VM{{Name: "vm9", Kind: membership.Entry, Zone: "b", Address: o.listenAt(9, 7100)}}
		s := newSite(t, o)
		defer s.shutDown()
		other := &neighbour{}
		handler := viewpb.NewViewServer(other)
		mux := http.NewServeMux()
		mux.Handle(handler.PathPrefix(), handler)
		steps := []struct {
			name   string
			change func()
			want   int
		}{
			{"no entry of zone b answers", func() {}, 0},
			{"it has room for two", func() { s.listenFor(mux, o.listenAt(9, 7100)) }, 2},
			{"it offers anew", func() {}, 2},
			{"it is silent", func() { other.silent.Store(true) }, 0},
			{"it is back", func() { other.silent.Store(false) }, 2},
			{"it leaves the list", func() { s.list.Remove("vm9") }, 0},
		}
		for _, step := range steps {
			step.change()
			// Off the second at which zones are asked, so that no new offer
			// comes between two of the requests.
			time.Sleep(5*time.Second + roomInterval/7)
			if got := s.spills(5, 400); got != step.want {
				t.Errorf("%s: %d of 5 requests went to zone b, want %d", step.name, got, step.want)
			}
		}
	})
}
