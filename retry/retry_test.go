package retry

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

func TestBudgetLimit(t *testing.T) {
	tests := []struct {
		name   string
		limits Limits
		// firsts is the number of first attempts per second; each fails and requests two retries.
		firsts, seconds int
		want            int
	}{
		{"high load earns the ratio", Limits{Ratio: 0.1, FloorPerSecond: 0, Burst: 10}, 100, 60, 609},
		{"low load earns the floor", Limits{Ratio: 0, FloorPerSecond: 0.5, Burst: 1}, 1, 60, 30},
		{"no budget", Limits{}, 10, 10, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := NewBudget(tt.limits, nil)
				granted := 0
				for range tt.firsts * tt.seconds {
					b.First()
					for range 2 {
						if b.Take() {
							granted++
						}
					}
					time.Sleep(time.Second / time.Duration(tt.firsts))
				}
				// Rounding may withhold one retry at the end.
				if granted > tt.want || granted < tt.want-1 {
					t.Errorf("granted %d retries, want %d", granted, tt.want)
				}
			})
		})
	}
}

func TestBudgetsArePerPool(t *testing.T) {
	s := NewBudgets(Limits{Burst: 1})
	if !s.Of("a").Take() || s.Of("a").Take() {
		t.Error("pool a should have exactly one retry")
	}
	if !s.Of("b").Take() {
		t.Error("pool b has no retry after pool a used its own")
	}
}

func TestBackoffBounds(t *testing.T) {
	b := Backoff{Base: 10 * time.Millisecond, Max: 50 * time.Millisecond}
	bounds := map[int]time.Duration{1: 10, 2: 20, 3: 40, 4: 50, 60: 50}
	for n, want := range bounds {
		longest := time.Duration(0)
		for range 500 {
			longest = max(longest, b.Delay(n, rand.Float64()))
		}
		want *= time.Millisecond
		if longest > want || longest < want/2 {
			t.Errorf("retry %d: longest of 500 delays is %v, want at most %v and near it", n, longest, want)
		}
	}
}

func TestWaitRespectsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		if Wait(ctx, time.Second) {
			t.Error("Wait slept until the deadline")
		}
		if d := time.Since(start); d != 0 {
			t.Errorf("Wait returned after %v, want immediately", d)
		}
		if !Wait(ctx, 400*time.Millisecond) {
			t.Error("Wait refused a delay that ends before the deadline")
		}
	})
}
