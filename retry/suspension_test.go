package retry

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/springweir/springweir/internal/clock"
)

// After a suspension that is longer than the window, a VM has its whole share of the extra retries again.
func TestBudgetAfterSuspension(t *testing.T) {
	var suspended atomic.Int64 // nanoseconds
	defer clock.Simulate(func() time.Duration { return time.Duration(suspended.Load()) })()
	b := NewBudget(RegionLimits{Span: 10 * time.Second, Extra: 5}.PerVM(1), nil)
	if b.Take() {
		t.Error("a new budget granted a retry")
	}
	for range 2 {
		suspended.Add(int64(24 * time.Second))
		for n := range 4 {
			if got, want := b.Take(), n < 3; got != want {
				t.Errorf("retry %d after a suspension of 24 s: granted %t, want %t", n+1, got, want)
			}
		}
	}
}
