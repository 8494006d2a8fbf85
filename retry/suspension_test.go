package retry

import (
	"testing"
	"time"

	"github.com/springweir/springweir/internal/clock"
)

// A VM that was suspended for longer than the window starts with all retries of a new one.
func TestWindowAfterASuspension(t *testing.T) {
	var suspended time.Duration
	defer clock.Simulate(func() time.Duration { return suspended })()
	w := NewWindow(WindowLimits{Span: 10 * time.Second, Extra: 3}, nil)
	for range 3 {
		w.Take()
	}
	if w.Take() {
		t.Error("a fourth retry in one window")
	}
	suspended = 12 * time.Second
	if !w.Take() {
		t.Error("no retry 12 s after the last ones")
	}
}
