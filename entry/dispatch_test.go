package entry

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/health"
	"github.com/springweir/springweir/prefix"
	"github.com/springweir/springweir/routing"
)

// TestFirstTokenReleasesPromptWork checks that the first token removes the prompt, and
// nothing else, from the local work at the serving engine. While the engine's reports are
// stale, the prompt would otherwise be counted until the response is complete.
func TestFirstTokenReleasesPromptWork(t *testing.T) {
	store := fleet.NewStore("a", fleet.NewMatchedLedger(fleet.DefaultReservationExpiry), prefix.NewViews(prefix.DefaultPairs))
	store.SetSpecs([]fleet.Spec{{Name: "e", Kind: fleet.Engine, Zone: "a"}})
	store.ApplyReports(0, fleet.Report{Endpoint: "e", State: engine.State{Incarnation: "i", Role: engine.Mixed}})
	work := fleet.Work{Requests: 1, PromptTokens: 70, ContextTokens: 80}
	store.Reserve(0, fleet.Reservation{Endpoint: "e", Attempt: "x", Work: work})
	feed := newHealthFeed(store, health.DefaultConfig())
	ticket, _ := feed.tracker.Begin(0, "e")
	d := &dispatcher{common: &common{start: time.Now(), store: store}, health: feed}
	f := &attempt{d: d, id: "x", acquired: []acquisition{{endpoint: "e", ticket: ticket}}}

	f.FirstToken(time.Second)

	work.PromptTokens = 0
	if diff := cmp.Diff(work, store.Snapshot().Endpoints()[0].LocalWork.InFlight); diff != "" {
		t.Errorf("local work after the first token (-want +got):\n%s", diff)
	}
}

// TestWorkOfAttempt checks the work that an attempt reserves at its engines: cached tokens
// are not prefilled again, and half of the remaining expected output counts as context.
func TestWorkOfAttempt(t *testing.T) {
	tracker := newDemandTracker(func() time.Duration { return 0 }, func(string) string { return "language" })
	c := &common{demand: tracker}
	w := &forward.Work{Model: "chat", PromptTokens: 1000, MaxTokens: 100}
	tracker.recordOutput(w, 60)
	pair := routing.Decision{PrefillEndpoint: &fleet.Endpoint{}, CachedTokens: 400}
	got := []fleet.Work{
		prefillWork(w, pair),
		c.serveWork(w, 0, pair),
		c.serveWork(w, 0, routing.Decision{CachedTokens: 400}),
		c.serveWork(w, 20, routing.Decision{}),
	}
	want := []fleet.Work{
		{Requests: 1, PromptTokens: 600},
		{Requests: 1, ContextTokens: 1030},
		{Requests: 1, PromptTokens: 600, ContextTokens: 1030},
		{Requests: 1, PromptTokens: 1020, ContextTokens: 1040},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
