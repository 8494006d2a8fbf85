package retry

import (
	"context"
	"time"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
)

// Backoff gives the pause before a retry: exponential with full jitter.
type Backoff struct {
	// Base is the longest pause before the first retry; it doubles with each.
	Base time.Duration
	// Max is the longest pause of all.
	Max time.Duration
}

// DefaultBackoff suits endpoints a millisecond away.
var DefaultBackoff = Backoff{Base: 20 * time.Millisecond, Max: time.Second}

// Delay returns the pause before retry n (the first is 1): the part draw of the exponential bound,
// with draw evenly spread over [0, 1).
func (b Backoff) Delay(n int, draw float64) time.Duration {
	return time.Duration(draw * float64(b.bound(n)))
}

func (b Backoff) bound(n int) time.Duration {
	d := b.Base
	for i := 1; i < n && d < b.Max; i++ {
		d *= 2
	}
	return min(d, b.Max)
}

// Wait pauses for d. It returns false at once when ctx would end before the
// pause does, and as soon as ctx ends while it pauses.
func Wait(ctx context.Context, d time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	if deadline, ok := ctx.Deadline(); ok && clock.Until(deadline) <= d {
		return false
	}
	return loop.Sleep(ctx, d)
}
