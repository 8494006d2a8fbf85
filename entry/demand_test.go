package entry

import (
	"testing"
	"time"

	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/prefix"
	"github.com/springweir/springweir/weightstore"
)

// TestDemandIsPerPool checks that the demand and the expected output length of a pool do
// not include the requests of other pools.
func TestDemandIsPerPool(t *testing.T) {
	now := time.Duration(0)
	pools := map[string]string{"chat": "language", "permits": "letters"}
	tracker := newDemandTracker(func() time.Duration { return now }, func(model string) string { return pools[model] })
	snapshot := fleet.NewStore("a", fleet.NewInFlightLedger(), prefix.NewViews(1)).Snapshot()
	record := func(model string, prompt, output int) {
		w := &forward.Work{Model: model, PromptTokens: prompt, MaxTokens: 1000}
		tracker.recordArrival(w, weightstore.Artifact{Model: model}, snapshot)
		tracker.recordOutput(w, output)
	}
	tracker.poolDemand("language")
	tracker.poolDemand("letters")
	now = time.Second
	record("chat", 100, 20)
	record("chat", 100, 20)
	record("permits", 500, 400)
	now = 2 * time.Second
	for pool, want := range map[string]struct {
		prompt   float64
		expected int
		model    string
	}{"language": {100, 20, "chat"}, "letters": {500, 400, "permits"}} {
		classes := tracker.poolDemand(pool).Classes
		if len(classes) != 1 || classes[0].Prompt != want.prompt {
			t.Errorf("%s: got %+v, want one class with prompts of %v", pool, classes, want.prompt)
		}
		if got := tracker.expectedOutput(&forward.Work{Model: want.model, PromptTokens: 100, MaxTokens: 1000}); got != want.expected {
			t.Errorf("%s: expected output is %d tokens, want %d", pool, got, want.expected)
		}
	}
}
