package entry

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/twitchtv/twirp"

	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/internal/network"
	"github.com/springweir/springweir/peer/viewpb"
	"github.com/springweir/springweir/weightstore"
)

// roomStub is a stub of an entry of another zone.
type roomStub struct {
	viewpb.View
	models []weightstore.Artifact
	down   bool
	// modelLists counts the responses that contained the models.
	modelLists int
}

// Room implements viewpb.View.
func (s *roomStub) Room(_ context.Context, req *viewpb.RoomRequest) (*viewpb.RoomResponse, error) {
	if s.down {
		return nil, twirp.NewError(twirp.Unavailable, "down")
	}
	resp := roomResponse(fleet.ZoneSummary{PromptBudget: 1000, Models: s.models}, req.Held)
	if len(resp.Models) > 0 {
		s.modelLists++
	}
	return resp, nil
}

func TestModelsOfAZoneAreSentOnce(t *testing.T) {
	chat := []weightstore.Artifact{{Model: "chat", Version: "1"}}
	both := append(chat, weightstore.Artifact{Model: "chat", Adapter: "brabant", Version: "1"})
	stub := &roomStub{}
	server := httptest.NewServer(viewpb.NewViewServer(stub))
	defer server.Close()
	z := newRemoteZones("a", network.TCP(), func() time.Duration { return 0 })
	from := remoteEntry{name: "vm", address: server.Listener.Addr().String()}
	for _, c := range []struct {
		name   string
		models []weightstore.Artifact
		down   bool
		want   []weightstore.Artifact
		listed int
	}{
		{"first", chat, false, chat, 1},
		{"unchanged", chat, false, chat, 1},
		{"changed", both, false, both, 2},
		{"none left", nil, false, nil, 2},
		{"unreachable", both, true, nil, 2},
		{"available again", both, false, both, 3},
		{"available again, unchanged", both, false, both, 3},
	} {
		stub.models, stub.down = c.models, c.down
		z.poll(t.Context(), "b", from)
		got := z.zoneSummaries()[0]
		if diff := cmp.Diff(c.want, got.Models); diff != "" || got.Reachable == c.down || stub.modelLists != c.listed {
			t.Errorf("%s: reachable %t, listed %d, models (-want +got):\n%s", c.name, got.Reachable, stub.modelLists, diff)
		}
	}
}

func TestZonePollInterval(t *testing.T) {
	for zones, want := range map[int]time.Duration{0: time.Second, 2: time.Second, 5: 2 * time.Second} {
		if got := pollIntervalFor(zones); got != want {
			t.Errorf("%d zones: every %v, want %v", zones, got, want)
		}
	}
}
