package roles

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/engine"
)

// The measured rates of two steady kinds of requests are correct both while the window fills and
// later.
func TestMeterMeasuresRates(t *testing.T) {
	const window = 20 * time.Second
	m := NewMeter(0, window)
	long := Sample{Prompt: 6000, Cached: 1000, Output: 200, Deadline: 20 * time.Second, Priority: engine.Standard}
	short := Sample{Prompt: 100, Output: 80, Deadline: 5 * time.Second}
	for at := 100 * time.Millisecond; at <= 200*time.Second; at += 100 * time.Millisecond {
		m.RecordArrival(at, short)
		if at%time.Second == 0 {
			m.RecordArrival(at, long)
		}
		if at != 10*time.Second && at != 200*time.Second {
			continue
		}
		d := m.Demand(at)
		if len(d.Classes) != 2 || d.Window != at {
			t.Fatalf("at %v: %+v", at, d)
		}
		for i, want := range []Class{{Rate: 10, Prompt: 100, Output: 80, Deadline: 5 * time.Second}, {Rate: 1, Prompt: 5000, Output: 200, Deadline: 20 * time.Second}} {
			got := d.Classes[i]
			if math.Abs(got.Rate/want.Rate-1) > 0.1 {
				t.Errorf("at %v: rate %.3f, want %.3f", at, got.Rate, want.Rate)
			}
			got.Rate, got.Kind = want.Rate, want.Kind
			got.Prompt, got.Output = math.Round(got.Prompt), math.Round(got.Output)
			got.Deadline = got.Deadline.Round(time.Millisecond)
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("at %v: %s", at, diff)
			}
		}
	}
	if classes := m.Demand(500 * time.Second).Classes; len(classes) != 0 {
		t.Errorf("after a long time without requests: %+v", classes)
	}
}

func TestMeterExpectsMeanLength(t *testing.T) {
	m := NewMeter(0, time.Second)
	if got := m.ExpectedOutput(100, engine.Interactive, 200); got != 100 {
		t.Errorf("without responses: %d, want half of what is allowed", got)
	}
	for range 10 {
		m.RecordOutput(100, engine.Interactive, 30)
		m.RecordOutput(9000, engine.Standard, 400)
	}
	if got := m.ExpectedOutput(120, engine.Interactive, 200); got != 30 {
		t.Errorf("got %d, want 30", got)
	}
	if got := m.ExpectedOutput(8000, engine.Standard, 300); got != 300 {
		t.Errorf("got %d, want no more than the 300 allowed", got)
	}
}

func TestMergeAddsKinds(t *testing.T) {
	parts := []Demand{
		{Window: time.Minute, Classes: []Class{{Kind: 0, Rate: 1, Prompt: 100, Output: 10, Deadline: time.Second}}},
		{Window: time.Second, Classes: []Class{
			{Kind: 0, Rate: 3, Prompt: 200, Output: 30, Deadline: 5 * time.Second},
			{Kind: 5, Rate: 2, Prompt: 9000, Output: 1, Deadline: time.Second},
			{Kind: 99, Rate: 2},
		}},
	}
	want := Demand{
		Age: time.Second, Window: time.Minute, Contributors: 2, Registered: 3,
		Classes: []Class{
			{Kind: 0, Rate: 4, Prompt: 175, Output: 25, Deadline: 4 * time.Second},
			{Kind: 5, Rate: 2, Prompt: 9000, Output: 1, Deadline: time.Second},
		},
	}
	if diff := cmp.Diff(want, Merge(parts, time.Second, 3)); diff != "" {
		t.Error(diff)
	}
}
