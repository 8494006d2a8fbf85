package rolechange

import (
	"testing"
	"time"
)

func TestBalancer(t *testing.T) {
	idle := Pressure{Slots: 10}
	busy := Pressure{Slots: 10, Running: 5, PrefillWait: 200 * time.Millisecond}
	full := Pressure{Slots: 10, Running: 48}
	both := Pressure{Slots: 10, Running: 48, PrefillWait: 200 * time.Millisecond}
	for _, tc := range []struct {
		name  string
		shape Shape
		p     []Pressure
		want  int
	}{
		{"before any work the share decides", Shape{Prefill: 4, Decode: 8}, []Pressure{idle}, 7},
		{"work that both sides manage changes nothing", Shape{Prefill: 5, Decode: 7}, []Pressure{{Slots: 10, Running: 5, PrefillWait: time.Millisecond}}, 5},
		{"prompts wait, and an engine can be spared", Shape{Prefill: 6, Decode: 6}, []Pressure{busy}, 7},
		{"streams fill the engines", Shape{Prefill: 6, Decode: 5}, []Pressure{full}, 5},
		{"pressure on both sides changes nothing", Shape{Prefill: 6, Decode: 5}, []Pressure{both}, 6},
		{"no more than the greatest share", Shape{Prefill: 9, Decode: 3}, []Pressure{busy}, 9},
		{"back within the bounds", Shape{Prefill: 11, Decode: 1}, []Pressure{idle, both}, 9},
		{"one engine decodes", Shape{Prefill: 0, Decode: 1}, []Pressure{idle}, 0},
		{"two engines", Shape{Prefill: 0, Decode: 2}, []Pressure{idle}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := NewBalancer(DefaultBalance())
			now := time.Unix(100, 0)
			got := 0
			for _, p := range tc.p {
				got = b.Target(now, tc.shape, p)
				now = now.Add(time.Minute)
			}
			if got != tc.want {
				t.Errorf("%d should prefill, want %d", got, tc.want)
			}
		})
	}
}

// A burst that is shorter than the memory moves nothing, and moves keep their pause.
func TestBalancerIsSlow(t *testing.T) {
	set := DefaultBalance()
	b := NewBalancer(set)
	shape := Shape{Prefill: 6, Decode: 6}
	now := time.Unix(100, 0)
	calm := Pressure{Slots: 10, Running: 5}
	burst := Pressure{Slots: 10, Running: 5, PrefillWait: 150 * time.Millisecond}
	for range 100 {
		b.Target(now, shape, calm)
		now = now.Add(300 * time.Millisecond)
	}
	for range 5 {
		if got := b.Target(now, shape, burst); got != 6 {
			t.Fatalf("a burst moved the roles to %d", got)
		}
		now = now.Add(300 * time.Millisecond)
	}
	var moves []time.Time
	for range 100 {
		if b.Target(now, shape, burst) != shape.Prefill {
			moves = append(moves, now)
			shape = Shape{Prefill: 6, Decode: 6} // the fleet is as it was
		}
		now = now.Add(300 * time.Millisecond)
	}
	for i := 1; i < len(moves); i++ {
		if pause := moves[i].Sub(moves[i-1]); pause < set.Pause {
			t.Errorf("moves %v apart", pause)
		}
	}
	if len(moves) == 0 {
		t.Error("pressure that lasts moves nothing")
	}
}

// A large fleet without work orders no engine beyond what any load may need, and one with
// little work none at all; one that has but one role gets enough of the other.
func TestLargeFleetWithLittleToDoOrdersLittle(t *testing.T) {
	for _, tc := range []struct {
		name  string
		shape Shape
		want  int
	}{
		{"a small fleet keeps its share", Shape{Prefill: 4, Decode: 8}, 7},
		{"104 engines", Shape{Prefill: 30, Decode: 74}, 62},
		{"3,000 engines", Shape{Prefill: 870, Decode: 2130}, 870},
		{"3,000 engines that decode", Shape{Decode: 3000}, enoughPrefill},
		{"3,000 engines that prefill", Shape{Prefill: 3000}, 2011},
	} {
		b := NewBalancer(DefaultBalance())
		now := time.Unix(1000, 0)
		if got := b.Target(now, tc.shape, Pressure{Slots: 12}); got != tc.want {
			t.Errorf("%s: %d should prefill before there is work, want %d", tc.name, got, tc.want)
		}
		at := Shape{Prefill: tc.want, Decode: tc.shape.size() - tc.want}
		for range 100 {
			now = now.Add(300 * time.Millisecond)
			if got := b.Target(now, at, Pressure{Slots: 12, Running: 20, PrefillWait: time.Millisecond}); got != tc.want {
				t.Fatalf("%s: %d should prefill with little work, want %d", tc.name, got, tc.want)
			}
		}
	}
}

// The burst that then comes to such a fleet still moves engines.
func TestLargeFleetMovesEnginesForABurst(t *testing.T) {
	b := NewBalancer(DefaultBalance())
	now, shape := time.Unix(1000, 0), Shape{Prefill: 72, Decode: 2928}
	b.Target(now, shape, Pressure{Slots: 12, Running: 20})
	for range 40 {
		now = now.Add(300 * time.Millisecond)
		shape.Prefill = b.Target(now, shape, Pressure{Slots: 12, Running: 300, PrefillWait: 200 * time.Millisecond})
		shape.Decode = 3000 - shape.Prefill
	}
	if shape.Prefill <= 72 {
		t.Error("no engine was moved while prompts wait 200 ms")
	}
}

// Engines that come start with a role of the platform's choice. The part that prefills is restored,
// or bursts of prompts find fewer engines that prefill than before there were more of them.
func TestShareIsRestoredOnceEnginesCame(t *testing.T) {
	work := Pressure{Slots: 10, Running: 60, PrefillWait: time.Millisecond}
	b := NewBalancer(DefaultBalance())
	now, shape := time.Unix(100, 0), Shape{Prefill: 20, Decode: 37}
	step := func() {
		now = now.Add(300 * time.Millisecond)
		prefill := b.Target(now, shape, work)
		shape = Shape{Prefill: prefill, Decode: shape.size() - prefill}
	}
	b.Target(now, shape, Pressure{Slots: 10})
	shape = Shape{Prefill: 34, Decode: 23}
	step()
	for i := range 40 {
		if i%4 == 0 {
			shape.Prefill++
		} else {
			shape.Decode++
		}
		step()
	}
	if part := float64(shape.Prefill) / float64(shape.size()); part < 0.52 || part > 0.68 {
		t.Errorf("of %d engines %.2f prefill, want 0.6 within the drift", shape.size(), part)
	}
	shape.Prefill = max(0, shape.Prefill-20)
	step()
	if part := float64(shape.Prefill) / float64(shape.size()); part < 0.52 {
		t.Errorf("after a loss of engines that prefill %.2f do, want 0.6 within the drift", part)
	}
}

// One engine of a small fleet that goes, and comes back, moves none of the others: each move takes an
// engine away for seconds.
func TestOneEngineThatGoesMovesNoOther(t *testing.T) {
	work := Pressure{Slots: 10, Running: 20, PrefillWait: time.Millisecond}
	for _, lost := range []Shape{{Prefill: 6, Decode: 5}, {Prefill: 7, Decode: 4}} {
		b := NewBalancer(DefaultBalance())
		now := time.Unix(100, 0)
		for _, shape := range []Shape{{Prefill: 7, Decode: 5}, lost, {Prefill: 7, Decode: 5}} {
			now = now.Add(10 * time.Second)
			if got := b.Target(now, shape, work); got != shape.Prefill {
				t.Errorf("%+v: %d should prefill, want no change", shape, got)
			}
		}
	}
}

// Engines of a small fleet that are replaced one after the other, each by one of its role, move no
// other: else those that decode run out of slots while the share of a moment is restored.
func TestReplacementsInASmallFleetMoveNoOther(t *testing.T) {
	work := Pressure{Slots: 8, Running: 6}
	b := NewBalancer(DefaultBalance())
	now := time.Unix(100, 0)
	for _, shape := range []Shape{
		{Prefill: 2, Decode: 1}, {Prefill: 2, Decode: 2}, {Prefill: 1, Decode: 2}, {Prefill: 2, Decode: 2},
		{Prefill: 2, Decode: 3}, {Prefill: 2, Decode: 2}, {Prefill: 3, Decode: 2}, {Prefill: 2, Decode: 2},
	} {
		now = now.Add(800 * time.Millisecond)
		if got := b.Target(now, shape, work); got != shape.Prefill {
			t.Errorf("%+v: %d should prefill, want no change", shape, got)
		}
	}
}

// Of four engines two decode: one of them alone runs out of slots before its average shows it.
func TestSmallFleetKeepsEnginesThatDecode(t *testing.T) {
	work := Pressure{Slots: 8, Running: 6}
	b := NewBalancer(DefaultBalance())
	if got := b.Target(time.Unix(100, 0), Shape{Prefill: 3, Decode: 1}, work); got != 2 {
		t.Errorf("%d of four should prefill, want 2", got)
	}
}
