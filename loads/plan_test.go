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

func art(name string) weightstore.Artifact {
	return weightstore.Artifact{Model: name, Version: "1"}
}

// want is a load of ten seconds at testRate.
func want(engine, model string, weight float64) Load {
	return Load{Engine: engine, Incarnation: "1", Artifact: art(model), Bytes: 10e9, Weight: weight}
}

func idle(name string) EngineState { return EngineState{Engine: name, Incarnation: "1"} }

func TestPlanStarts(t *testing.T) {
	tests := []struct {
		name   string
		snap   Snapshot
		tries  []Tries
		starts []Start
		held   []Reason
	}{
		{
			name: "most wanted first",
			snap: Snapshot{
				Desired: []Load{want("a", "x", 1), want("b", "y", 3), want("c", "z", 2)}, FreeSlots: []int{4, 5},
			},
			starts: []Start{{want("b", "y", 3), 4}, {want("c", "z", 2), 5}},
			held:   []Reason{ZoneFull},
		},
		{
			name:   "one load an engine",
			snap:   Snapshot{Desired: []Load{want("a", "x", 1), want("a", "y", 3)}, FreeSlots: []int{0, 1}},
			starts: []Start{{want("a", "y", 3), 0}},
			held:   []Reason{EngineBusy},
		},
		{
			name: "no slot",
			snap: Snapshot{Desired: []Load{want("a", "x", 1)}},
			held: []Reason{NoSlot},
		},
		{
			name: "other zones want the only slot more",
			snap: Snapshot{Desired: []Load{want("a", "x", 1)}, FreeSlots: []int{0}, CompetingDemand: []float64{0.5, 2}},
			held: []Reason{Outranked},
		},
		{
			name:   "room for both zones",
			snap:   Snapshot{Desired: []Load{want("a", "x", 1)}, FreeSlots: []int{0, 1}, CompetingDemand: []float64{0.5, 2}},
			starts: []Start{{want("a", "x", 1), 0}},
		},
		{
			name:  "failed lately",
			snap:  Snapshot{Desired: []Load{want("a", "x", 1)}, FreeSlots: []int{0}},
			tries: []Tries{{Engine: "a", Artifact: art("x"), Failures: 1, NotBefore: testNow + 1}},
			held:  []Reason{BackingOff},
		},
		{
			name: "another incarnation than the want's",
			snap: Snapshot{
				Desired: []Load{want("a", "x", 1)}, FreeSlots: []int{0},
				Engines: []EngineState{{Engine: "a", Incarnation: "2"}},
			},
			held: []Reason{EngineBusy},
		},
		{
			name: "loaded already",
			snap: Snapshot{
				Desired: []Load{want("a", "x", 1)}, FreeSlots: []int{0},
				Engines: []EngineState{{Engine: "a", Incarnation: "1", Loaded: []weightstore.Artifact{art("x")}}},
			},
			held: []Reason{Done},
		},
		{
			name: "unknown engine",
			snap: Snapshot{Desired: []Load{want("q", "x", 1)}, FreeSlots: []int{0}},
			held: []Reason{Gone},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.snap.Engines == nil {
				tt.snap.Engines = []EngineState{idle("a"), idle("b"), idle("c")}
			}
			d, _ := Plan(tt.snap, testNow, Defaults(), History{tt.tries})
			if diff := cmp.Diff(tt.starts, d.Starts); diff != "" {
				t.Error(diff)
			}
			var held []Reason
			for _, h := range d.Deferred {
				held = append(held, h.Reason)
			}
			if diff := cmp.Diff(tt.held, held); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestPlanEnds(t *testing.T) {
	began := func(ago time.Duration) Running {
		return Running{Load: want("a", "x", 1), Slot: 3, StartedAt: testNow - ago, Phase: Ordered}
	}
	failed := began(time.Minute)
	failed.Phase = Failed
	loaded := EngineState{Engine: "a", Incarnation: "1", Loaded: []weightstore.Artifact{art("x")}}
	tests := []struct {
		name    string
		running Running
		engine  EngineState
		want    []End
	}{
		{"under way", began(5 * time.Second), idle("a"), nil},
		{"done", began(12 * time.Second), loaded, []End{{Running: began(12 * time.Second), Reason: Done, Release: true}}},
		{"done ahead of the rate", began(4 * time.Second), loaded, []End{{Running: began(4 * time.Second), Reason: Done}}},
		{"crashed", began(time.Second), EngineState{Engine: "a", Incarnation: "2"}, []End{{Running: began(time.Second), Reason: Crashed, Release: true}}},
		{"crashed but loaded again", began(time.Minute), EngineState{Engine: "a", Incarnation: "2", Loaded: loaded.Loaded}, []End{{Running: began(time.Minute), Reason: Done, Release: true}}},
		{"failed", failed, idle("a"), []End{{Running: failed, Reason: OrderFailed, Unload: true, Release: true}}},
		{"stuck", began(time.Hour), idle("a"), []End{{Running: began(time.Hour), Reason: TooSlow, Unload: true, Release: true}}},
		{"engine gone", began(time.Second), EngineState{Engine: "a", Unavailable: true}, []End{{Running: began(time.Second), Reason: Gone, Release: true}}},
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

// TestBackoffGrows fails one load again and again: the waits double up to the
// bound, and a success forgets them.
func TestBackoffGrows(t *testing.T) {
	set := Defaults()
	r := Running{Load: want("a", "x", 1), StartedAt: 0, Phase: Failed}
	snap := Snapshot{Running: []Running{r}, Engines: []EngineState{idle("a")}, SlotRate: testRate}
	var h History
	last := time.Duration(0)
	for range 40 {
		_, h = Plan(snap, testNow, set, h)
		wait := h.Tries[0].NotBefore - testNow
		if wait < last || wait > set.MaxBackoff {
			t.Fatalf("waits %v after %v", wait, last)
		}
		last = wait
	}
	if last != set.MaxBackoff {
		t.Errorf("waits %v in the end, want %v", last, set.MaxBackoff)
	}
	snap.Running[0].Phase = Ordered
	snap.Engines[0].Loaded = []weightstore.Artifact{art("x")}
	if _, h = Plan(snap, testNow, set, h); len(h.Tries) != 0 {
		t.Errorf("a success left %+v", h.Tries)
	}
}
