package retry

import (
	"context"
	"time"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
)

// Backoff computes the delay before a retry: exponential with full jitter.
type Backoff struct {
	// Base is the longest delay before the first retry. It doubles with each further retry.
	Base time.Duration
	// Max bounds the delay before any retry.
	Max time.Duration
}

// DefaultBackoff is suited to endpoints about one millisecond away.
var DefaultBackoff = Backoff{Base: 20 * time.Millisecond, Max: time.Second}

// Delay returns the delay before retry n, counted from 1. It is the fraction draw of the
// exponential bound, where draw is uniformly distributed over [0, 1).
func (b Backoff) Delay(n int, draw float64) time.Duration {
	return time.Duration(draw * float64(b.maxDelay(n)))
}

// maxDelay returns the longest delay before retry n.
func (b Backoff) maxDelay(n int) time.Duration {
	d := b.Base
	for i := 1; i < n && d < b.Max; i++ {
		d *= 2
	}
	return min(d, b.Max)
}

// Wait sleeps for d and reports whether it did. It returns false immediately if ctx has ended or
// its deadline is not after the end of the sleep, and as soon as ctx ends during the sleep.
func Wait(ctx context.Context, d time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	if deadline, ok := ctx.Deadline(); ok && clock.Until(deadline) <= d {
		return false
	}
	return loop.Sleep(ctx, d)
}
