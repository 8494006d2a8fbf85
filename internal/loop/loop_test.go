package loop

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestSleep(t *testing.T) {
	for _, tc := range []struct {
		name         string
		cancelled    bool
		limit, sleep time.Duration
		waits        time.Duration
		active       bool
	}{
		{name: "completed", limit: time.Minute, sleep: time.Second, waits: time.Second, active: true},
		{name: "interrupted", limit: time.Second, sleep: time.Minute, waits: time.Second},
		{name: "context already ended", cancelled: true, limit: time.Minute, sleep: 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), tc.limit)
				defer cancel()
				if tc.cancelled {
					cancel()
				}
				start := time.Now()
				active := Sleep(ctx, tc.sleep)
				if waited := time.Since(start); active != tc.active || waited != tc.waits {
					t.Errorf("alive %v after %v, want %v after %v", active, waited, tc.active, tc.waits)
				}
			})
		})
	}
}

// The second call takes longer than the interval.
func TestEvery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 5500*time.Millisecond)
		defer cancel()
		start := time.Now()
		var calls []time.Duration
		Every(ctx, time.Second, func() {
			calls = append(calls, time.Since(start))
			if len(calls) == 2 {
				time.Sleep(2500 * time.Millisecond)
			}
		})
		want := []time.Duration{time.Second, 2 * time.Second, 4500 * time.Millisecond, 5 * time.Second}
		if diff := cmp.Diff(want, calls); diff != "" {
			t.Error(diff)
		}
	})
}

func TestJitterStaysInRange(t *testing.T) {
	const mean = time.Second
	low, high := mean, mean
	for range 1000 {
		d := Jitter(mean)
		low, high = min(low, d), max(high, d)
	}
	if low < mean/2 || low > mean*6/10 || high > mean*3/2 || high < mean*14/10 {
		t.Errorf("got a range of %v to %v, want about %v to %v", low, high, mean/2, mean*3/2)
	}
	if d := Jitter(0); d != 0 {
		t.Errorf("mean zero: %v", d)
	}
}
