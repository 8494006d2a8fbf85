package retry

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

func TestBudgetGrantsAtMostItsBound(t *testing.T) {
	tests := []struct {
		name   string
		limits Limits
		// firsts a second, for seconds; every first attempt fails and wants two retries.
		firsts, seconds int
		want            int
	}{
		{"busy pool gets the ratio", Limits{Ratio: 0.1, FloorPerSecond: 0, Burst: 10}, 100, 60, 609},
		{"quiet pool gets the floor", Limits{Ratio: 0, FloorPerSecond: 0.5, Burst: 1}, 1, 60, 30},
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
				// Floating point may hold back one retry at the end.
				if granted > tt.want || granted < tt.want-1 {
					t.Errorf("granted %d retries, want %d", granted, tt.want)
				}
			})
		})
	}
}

func TestBudgetsKeepPoolsApart(t *testing.T) {
	s := NewBudgets(Limits{Burst: 1})
	if !s.Of("a").Take() || s.Of("a").Take() {
		t.Error("pool a should have exactly one retry")
	}
	if !s.Of("b").Take() {
		t.Error("pool b's budget was spent by pool a")
	}
}

func TestBackoffStaysInItsBound(t *testing.T) {
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

func TestWaitNeverPassesTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		if Wait(ctx, time.Second) {
			t.Error("waited up to the deadline")
		}
		if d := time.Since(start); d != 0 {
			t.Errorf("refused after %v, want at once", d)
		}
		if !Wait(ctx, 400*time.Millisecond) {
			t.Error("refused a pause that ends before the deadline")
		}
	})
}
