package clock

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// A deadline that passes while the VM is suspended ends its context as soon as the VM resumes.
// A later deadline is not delayed by the suspension.
func TestDeadlinesAcrossSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended atomic.Int64 // nanoseconds
		defer Simulate(func() time.Duration { return time.Duration(suspended.Load()) })()
		watching, stop := context.WithCancel(t.Context())
		defer func() { stop(); synctest.Wait() }()
		go Watch(watching)
		start := time.Now()
		short, cancelShort := WithTimeout(t.Context(), 5*time.Second)
		defer cancelShort()
		long, cancelLong := WithTimeout(t.Context(), 15*time.Second)
		defer cancelLong()
		child, cancelChild := context.WithCancel(short)
		defer cancelChild()
		time.Sleep(time.Second)
		suspended.Store(int64(10 * time.Second))
		<-child.Done()
		if got := time.Since(start); got > time.Second+watchPeriod {
			t.Errorf("the short context ended %v after its start, the VM resumed after a second", got)
		}
		if !errors.Is(short.Err(), context.DeadlineExceeded) || !errors.Is(context.Cause(child), context.DeadlineExceeded) {
			t.Errorf("ended with %v, its child with cause %v", short.Err(), context.Cause(child))
		}
		<-long.Done()
		if got := time.Since(start) + time.Duration(suspended.Load()); got != 15*time.Second {
			t.Errorf("the long context ended after %v, want 15s", got)
		}
	})
}

// Without a suspension WithTimeout behaves as in package context.
func TestDeadlineWithoutSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		ctx, cancel := WithTimeout(t.Context(), time.Second)
		defer cancel()
		if at, ok := ctx.Deadline(); !ok || at.Sub(start) != time.Second {
			t.Errorf("got deadline %v, %v", at, ok)
		}
		<-ctx.Done()
		if got := time.Since(start); got != time.Second || !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			t.Errorf("ended after %v with %v", got, ctx.Err())
		}
		ctx, cancel = WithTimeout(t.Context(), time.Second)
		cancel()
		if !errors.Is(ctx.Err(), context.Canceled) {
			t.Errorf("cancelled with %v", ctx.Err())
		}
		parent, cancelParent := context.WithTimeout(t.Context(), time.Second)
		defer cancelParent()
		ctx, cancel = WithTimeout(parent, time.Minute)
		defer cancel()
		<-ctx.Done()
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			t.Errorf("ended at its parent's deadline with %v", ctx.Err())
		}
	})
}
