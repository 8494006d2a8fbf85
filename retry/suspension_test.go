package retry

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/springweir/springweir/internal/clock"
)

// After a suspension that is longer than the window, all retries are available again.
func TestWindowAfterSuspension(t *testing.T) {
	var suspended atomic.Int64 // nanoseconds
	defer clock.Simulate(func() time.Duration { return time.Duration(suspended.Load()) })()
	w := NewWindow(WindowLimits{Span: 10 * time.Second, Extra: 3}, nil)
	for range 3 {
		w.Take()
	}
	if w.Take() {
		t.Error("Take granted a fourth retry in one window")
	}
	suspended.Store(int64(12 * time.Second))
	if !w.Take() {
		t.Error("Take granted no retry 12 s after the last ones")
	}
}
