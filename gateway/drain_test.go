package gateway

import (
	"testing"
	"time"
)

// Checks that the parts of the drain budget add up to less than the total, with a reserve where it
// is long enough. A total that is too short costs extra requests to the store, not lateness.
func TestDrainBudget(t *testing.T) {
	for _, tc := range []struct {
		within, batching, reserve time.Duration
	}{
		{2 * time.Second, 2 * time.Second / 3, 300 * time.Millisecond},
		{5 * time.Second, 5 * time.Second / 3, 2 * time.Second},
		{1200 * time.Millisecond, 200 * time.Millisecond, 0},
		{800 * time.Millisecond, 0, -200 * time.Millisecond},
	} {
		b := newDrainBudget(tc.within)
		if b.batching != tc.batching {
			t.Errorf("of %v, %v are for batching, want %v", tc.within, b.batching, tc.batching)
		}
		if remaining := tc.within - (b.batching + b.readerFailover + b.storeResponse + b.delivery); remaining < tc.reserve {
			t.Errorf("of %v, %v remain, want at least %v", tc.within, remaining, tc.reserve)
		}
	}
}
