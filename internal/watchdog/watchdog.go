// Package watchdog cancels a context after a period without activity.
package watchdog

import (
	"context"
	"sync"
	"time"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
)

// StalledError is the cause with which a Watchdog cancels its context.
type StalledError struct {
	// Limit is the period without activity.
	Limit time.Duration
}

// Error implements error.
func (e *StalledError) Error() string { return "no data received for " + e.Limit.String() }

// Reason implements failure.Coded.
func (e *StalledError) Reason() failure.Reason { return failure.EndpointStalled }

// Watchdog cancels the context of an attempt whose target is unresponsive, so that a
// frozen endpoint that still accepts connections does not block the caller.
//
// mu guards paused. It is held while the condition of a conditional watchdog is evaluated.
type Watchdog struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer

	mu     sync.Mutex
	paused bool
}

// New returns a context that ends with ctx or after limit without a Reset. A limit
// of zero disables the watchdog.
func New(ctx context.Context, limit time.Duration) (context.Context, *Watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	d := &Watchdog{cancel: cancel}
	if limit > 0 {
		d.timer = time.AfterFunc(limit, func() { cancel(&StalledError{Limit: limit}) })
	}
	return ctx, d
}

// NewConditional returns a watchdog that, once limit has passed, evaluates condition every interval
// and cancels the context when it holds.
func NewConditional(ctx context.Context, limit, interval time.Duration, condition func() bool) (context.Context, *Watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	d := &Watchdog{cancel: cancel}
	if limit <= 0 {
		return ctx, d
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	start := clock.Now()
	d.timer = time.AfterFunc(limit, func() { d.check(start, interval, condition) })
	return ctx, d
}

// check cancels the context if condition holds, and otherwise checks again after interval.
func (d *Watchdog) check(start time.Time, interval time.Duration, condition func() bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.paused:
	case condition():
		d.cancel(&StalledError{Limit: clock.Since(start)})
	default:
		d.timer.Reset(interval)
	}
}

// Reset records activity and restarts the timer with limit. It has no effect on a
// watchdog without a limit.
func (d *Watchdog) Reset(limit time.Duration) {
	if d.timer == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.paused = false
	d.timer.Reset(limit)
}

// Pause stops the timer until the next Reset.
func (d *Watchdog) Pause() {
	if d.timer == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.paused = true
	d.timer.Stop()
}

// Stop ends the context and releases the timer.
func (d *Watchdog) Stop() {
	d.Pause()
	d.cancel(nil)
}

// Explain replaces a failure by one with code EndpointStalled if the watchdog has cancelled
// ctx. Its outcome is NotRun if failed was NotRun, otherwise Unknown.
func Explain(ctx context.Context, failed *failure.Request) *failure.Request {
	stalled, ok := context.Cause(ctx).(*StalledError)
	if !ok || failed == nil {
		return failed
	}
	ran := failed.Ran
	if ran != failure.NotRun {
		ran = failure.Unknown
	}
	return &failure.Request{Code: failure.EndpointStalled, Ran: ran, Message: "the endpoint stopped answering", Cause: stalled}
}
