// Package loop provides helpers for background loops: an interruptible sleep, a
// jittered delay, and a periodic call.
package loop

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for d or until ctx ends. It reports whether ctx is still active.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}

// Jitter returns a uniformly random duration from 0.5 to 1.5 times mean, so that
// processes started together don't stay synchronised.
func Jitter(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean+1)
}

// Every calls f once per interval until ctx ends, the first time after one interval.
// Ticks that are missed while f runs are dropped.
func Every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if ctx.Err() != nil {
			return
		}
		f()
	}
}
