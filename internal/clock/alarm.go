package clock

import (
	"context"
	"sync"
	"time"
)

// watchPeriod is the interval of the checks for a suspension. Alarms that became due during a
// suspension fire at most this long after the VM resumes, which is soon enough for callers,
// whose timeouts are hundreds of milliseconds and more.
const watchPeriod = 100 * time.Millisecond

// alarms holds the active alarms. Runtime timers stop during a suspension, so that each would
// fire late by its length.
var alarms = struct {
	mu     sync.Mutex
	active map[*alarm]bool
}{active: map[*alarm]bool{}}

// alarm calls f once, when this clock reaches at.
type alarm struct {
	at    time.Time
	timer *time.Timer
	once  sync.Once
	f     func()
}

func newAlarm(at time.Time, f func()) *alarm {
	a := &alarm{at: at, f: f}
	alarms.mu.Lock()
	defer alarms.mu.Unlock()
	a.timer = time.AfterFunc(Until(at), a.fire)
	alarms.active[a] = true
	return a
}

func (a *alarm) fire() {
	a.stop()
	a.once.Do(a.f)
}

func (a *alarm) stop() {
	alarms.mu.Lock()
	defer alarms.mu.Unlock()
	a.timer.Stop()
	delete(alarms.active, a)
}

// Watch checks for suspensions until ctx ends. After each suspension it fires the alarms that
// have become due. Each process runs it once.
func Watch(ctx context.Context) {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	previous := system.suspension()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if now := system.suspension(); now > previous {
			previous = now
			fireDue()
		}
	}
}

// fireDue fires the alarms that are due and resets the timers of the others.
func fireDue() {
	alarms.mu.Lock()
	var due []*alarm
	for a := range alarms.active {
		remaining := Until(a.at)
		if remaining <= 0 {
			due = append(due, a)
			continue
		}
		a.timer.Reset(remaining)
	}
	alarms.mu.Unlock()
	for _, a := range due {
		a.fire()
	}
}

// deadline is a context that ends when this clock reaches at.
type deadline struct {
	context.Context
	at time.Time
}

// Deadline implements context.Context.
func (d *deadline) Deadline() (time.Time, bool) { return d.at, true }

// Err implements context.Context.
func (d *deadline) Err() error {
	err := d.Context.Err()
	if err != nil && context.Cause(d.Context) == context.DeadlineExceeded {
		return context.DeadlineExceeded
	}
	return err
}

// WithDeadline is context.WithDeadline on this clock. The cause of derived contexts is
// context.DeadlineExceeded too, but their Err is context.Canceled.
func WithDeadline(ctx context.Context, at time.Time) (context.Context, context.CancelFunc) {
	if parent, ok := ctx.Deadline(); ok && parent.Before(at) {
		at = parent
	}
	inner, cancel := context.WithCancelCause(ctx)
	a := newAlarm(at, func() { cancel(context.DeadlineExceeded) })
	return &deadline{Context: inner, at: at}, func() {
		a.stop()
		cancel(context.Canceled)
	}
}

// WithTimeout is context.WithTimeout on this clock.
func WithTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return WithDeadline(ctx, Now().Add(d))
}

// Simulate makes this clock use simulated suspensions in a test until restore is called.
// suspended returns the total time for which the VM has been suspended.
func Simulate(suspended func() time.Duration) (restore func()) {
	previous := system
	system = newClock(func() reading { return reading{boot: suspended(), ok: true} })
	return func() { system = previous }
}
