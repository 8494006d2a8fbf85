package entry

import (
	"testing"
	"time"

	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/prefix"
	"github.com/springweir/springweir/weightstore"
)

// TestDemandIsOfOnePool shows that a pool's planner is not told what other
// pools were asked for, nor how long their answers are.
func TestDemandIsOfOnePool(t *testing.T) {
	now := time.Duration(0)
	pools := map[string]string{"chat": "language", "permits": "letters"}
	x := newExpectations(func() time.Duration { return now }, func(model string) string { return pools[model] })
	snapshot := fleet.NewStore("a", fleet.NewInFlightLedger(), prefix.NewViews(1)).Snapshot()
	ask := func(model string, prompt, answer int) {
		w := &forward.Work{Model: model, PromptTokens: prompt, MaxTokens: 1000}
		x.arrived(w, weightstore.Artifact{Model: model}, snapshot)
		x.learn(w, answer)
	}
	x.demand("language")
	x.demand("letters")
	now = time.Second
	ask("chat", 100, 20)
	ask("chat", 100, 20)
	ask("permits", 500, 400)
	now = 2 * time.Second
	for pool, want := range map[string]struct {
		prompt   float64
		expected int
		model    string
	}{"language": {100, 20, "chat"}, "letters": {500, 400, "permits"}} {
		classes := x.demand(pool).Classes
		if len(classes) != 1 || classes[0].Prompt != want.prompt {
			t.Errorf("%s: got %+v, want one class with prompts of %v", pool, classes, want.prompt)
		}
		if got := x.output(&forward.Work{Model: want.model, PromptTokens: 100, MaxTokens: 1000}); got != want.expected {
			t.Errorf("%s: expects answers of %d, want %d", pool, got, want.expected)
		}
	}
}
