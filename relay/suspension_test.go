package relay

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/internal/clock"
)

// A request whose deadline passes while the VM is suspended ends as soon as the VM resumes, and the
// remaining time that is sent to endpoints takes the suspension into account.
func TestDeadlineAcrossSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended atomic.Int64 // nanoseconds
		defer clock.Simulate(func() time.Duration { return time.Duration(suspended.Load()) })()
		watchCtx, stop := context.WithCancel(t.Context())
		defer func() { stop(); synctest.Wait() }()
		go clock.Watch(watchCtx)
		synctest.Wait()
		r := &Request{Received: clock.Now(), Deadline: clock.Now().Add(4 * time.Second)}
		ctx, cancel := r.context(t.Context())
		defer cancel()
		suspended.Store(int64(3 * time.Second))
		if got := r.Remaining(clock.Now()); got != time.Second {
			t.Errorf("%v remaining, want 1s", got)
		}
		suspended.Store(int64(5 * time.Second))
		time.Sleep(200 * time.Millisecond)
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			t.Errorf("the request did not end at its deadline: %v", ctx.Err())
		}
	})
}
