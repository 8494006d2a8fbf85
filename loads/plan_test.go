package loads

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/weightstore"
)

const (
	testNow  = 1000 * time.Second
	testRate = 1e9
)

func artifact(name string) weightstore.Artifact {
	return weightstore.Artifact{Model: name, Version: "1"}
}

// testLoad returns a load that takes ten seconds at testRate.
func testLoad(engine, model string, weight float64) Load {
	return Load{Engine: engine, Incarnation: "1", Artifact: artifact(model), Bytes: 10e9, Weight: weight}
}

func idleEngine(name string) EngineState { return EngineState{Engine: name, Incarnation: "1"} }

func TestPlanStarts(t *testing.T) {
	tests := []struct {
		name     string
		snap     Snapshot
		backoffs []Backoff
		starts   []Start
		deferred []Reason
	}{
		{
			name: "highest weight first",
			snap: Snapshot{
				Desired: []Load{testLoad("a", "x", 1), testLoad("b", "y", 3), testLoad("c", "z", 2)}, FreeSlots: []int{4, 5},
			},
			starts:   []Start{{testLoad("b", "y", 3), 4}, {testLoad("c", "z", 2), 5}},
			deferred: []Reason{ZoneFull},
		},
		{
			name:     "one load per engine",
			snap:     Snapshot{Desired: []Load{testLoad("a", "x", 1), testLoad("a", "y", 3)}, FreeSlots: []int{0, 1}},
			starts:   []Start{{testLoad("a", "y", 3), 0}},
			deferred: []Reason{EngineBusy},
		},
		{
			name:     "no slot",
			snap:     Snapshot{Desired: []Load{testLoad("a", "x", 1)}},
			deferred: []Reason{NoSlot},
		},
		{
			name:     "a load of another zone outranks it",
			snap:     Snapshot{Desired: []Load{testLoad("a", "x", 1)}, FreeSlots: []int{0}, CompetingDemand: []float64{0.5, 2}},
			deferred: []Reason{Outranked},
		},
		{
			name:   "free slots for both zones",
			snap:   Snapshot{Desired: []Load{testLoad("a", "x", 1)}, FreeSlots: []int{0, 1}, CompetingDemand: []float64{0.5, 2}},
			starts: []Start{{testLoad("a", "x", 1), 0}},
		},
		{
			name:     "failed recently",
			snap:     Snapshot{Desired: []Load{testLoad("a", "x", 1)}, FreeSlots: []int{0}},
			backoffs: []Backoff{{Engine: "a", Artifact: artifact("x"), Failures: 1, NotBefore: testNow + 1}},
			deferred: []Reason{BackingOff},
		},
		{
			name: "another incarnation than the load's",
			snap: Snapshot{
				Desired: []Load{testLoad("a", "x", 1)}, FreeSlots: []int{0},
				Engines: []EngineState{{Engine: "a", Incarnation: "2"}},
			},
			deferred: []Reason{EngineBusy},
		},
		{
			name: "loaded already",
			snap: Snapshot{
				Desired: []Load{testLoad("a", "x", 1)}, FreeSlots: []int{0},
				Engines: []EngineState{{Engine: "a", Incarnation: "1", Loaded: []weightstore.Artifact{artifact("x")}}},
			},
			deferred: []Reason{Done},
		},
		{
			name:     "unknown engine",
			snap:     Snapshot{Desired: []Load{testLoad("q", "x", 1)}, FreeSlots: []int{0}},
			deferred: []Reason{EngineUnavailable},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.snap.Engines == nil {
				tt.snap.Engines = []EngineState{idleEngine("a"), idleEngine("b"), idleEngine("c")}
			}
			d, _ := Plan(tt.snap, testNow, Defaults(), History{tt.backoffs})
			if diff := cmp.Diff(tt.starts, d.Starts); diff != "" {
				t.Error(diff)
			}
			var deferred []Reason
			for _, h := range d.Deferred {
				deferred = append(deferred, h.Reason)
			}
			if diff := cmp.Diff(tt.deferred, deferred); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestPlanEnds(t *testing.T) {
	began := func(ago time.Duration) Running {
		return Running{Load: testLoad("a", "x", 1), Slot: 3, StartedAt: testNow - ago, Phase: Ordered}
	}
	failed := began(time.Minute)
	failed.Phase = Failed
	loaded := EngineState{Engine: "a", Incarnation: "1", Loaded: []weightstore.Artifact{artifact("x")}}
	tests := []struct {
		name    string
		running Running
		engine  EngineState
		want    []End
	}{
		{"running", began(5 * time.Second), idleEngine("a"), nil},
		{"done", began(12 * time.Second), loaded, []End{{Running: began(12 * time.Second), Reason: Done, Release: true}}},
		{"done ahead of the rate", began(4 * time.Second), loaded, []End{{Running: began(4 * time.Second), Reason: Done}}},
		{"crashed", began(time.Second), EngineState{Engine: "a", Incarnation: "2"}, []End{{Running: began(time.Second), Reason: Crashed, Release: true}}},
		{"crashed but loaded again", began(time.Minute), EngineState{Engine: "a", Incarnation: "2", Loaded: loaded.Loaded}, []End{{Running: began(time.Minute), Reason: Done, Release: true}}},
		{"failed", failed, idleEngine("a"), []End{{Running: failed, Reason: OrderFailed, Unload: true, Release: true}}},
		{"stuck", began(time.Hour), idleEngine("a"), []End{{Running: began(time.Hour), Reason: TooSlow, Unload: true, Release: true}}},
		{"engine unavailable", began(time.Second), EngineState{Engine: "a", Unavailable: true}, []End{{Running: began(time.Second), Reason: EngineUnavailable, Release: true}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			snap := Snapshot{Running: []Running{tt.running}, Engines: []EngineState{tt.engine}, SlotRate: testRate}
			d, _ := Plan(snap, testNow, Defaults(), History{})
			if diff := cmp.Diff(tt.want, d.Ends); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Consecutive failures double the backoff of a load up to MaxBackoff, and a success clears it.
func TestBackoffGrows(t *testing.T) {
	set := Defaults()
	r := Running{Load: testLoad("a", "x", 1), StartedAt: 0, Phase: Failed}
	snap := Snapshot{Running: []Running{r}, Engines: []EngineState{idleEngine("a")}, SlotRate: testRate}
	var h History
	last := time.Duration(0)
	for range 40 {
		_, h = Plan(snap, testNow, set, h)
		wait := h.Backoffs[0].NotBefore - testNow
		if wait < last || wait > set.MaxBackoff {
			t.Fatalf("backoff %v after %v", wait, last)
		}
		last = wait
	}
	if last != set.MaxBackoff {
		t.Errorf("final backoff %v, want %v", last, set.MaxBackoff)
	}
	snap.Running[0].Phase = Ordered
	snap.Engines[0].Loaded = []weightstore.Artifact{artifact("x")}
	if _, h = Plan(snap, testNow, set, h); len(h.Backoffs) != 0 {
		t.Errorf("a success did not clear %+v", h.Backoffs)
	}
}
