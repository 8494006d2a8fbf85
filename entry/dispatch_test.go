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

// TestFirstTokenEndsThePromptsWait checks that the first token takes the prompt,
// and nothing else, out of the own work at the engine that answers: while its
// reports are stale nothing else would before the whole answer is done.
func TestFirstTokenEndsThePromptsWait(t *testing.T) {
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
		t.Errorf("own work after the first token (-want +got):\n%s", diff)
	}
}

// TestSharesOfAnAttempt shows what an attempt is taken to ask of its engines:
// what is cached is not prefilled again, and half of the answer still expected
// counts as context.
func TestSharesOfAnAttempt(t *testing.T) {
	x := newExpectations(func() time.Duration { return 0 }, func(string) string { return "language" })
	c := &common{expected: x}
	w := &forward.Work{Model: "chat", PromptTokens: 1000, MaxTokens: 100}
	x.learn(w, 60)
	pair := routing.Decision{PrefillEndpoint: &fleet.Endpoint{}, CachedTokens: 400}
	got := []fleet.Work{
		prefillShare(w, pair),
		c.serveShare(w, 0, pair),
		c.serveShare(w, 0, routing.Decision{CachedTokens: 400}),
		c.serveShare(w, 20, routing.Decision{}),
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
