package clock

import (
	"context"
	"sync"
	"time"
)

// watchPeriod is how often a suspension is looked for. Whatever was due meanwhile is done that
// much after the VM wakes: soon enough for callers, who count in hundreds of milliseconds.
const watchPeriod = 100 * time.Millisecond

// alarms are those that are set. Timers of the runtime stand still during a suspension, so
// each would ring late by its length.
var alarms = struct {
	mu  sync.Mutex
	set map[*alarm]bool
}{set: map[*alarm]bool{}}

// alarm calls f once at a time of this clock.
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
	a.timer = time.AfterFunc(Until(at), a.ring)
	alarms.set[a] = true
	return a
}

func (a *alarm) ring() {
	a.stop()
	a.once.Do(a.f)
}

func (a *alarm) stop() {
	alarms.mu.Lock()
	defer alarms.mu.Unlock()
	a.timer.Stop()
	delete(alarms.set, a)
}

// Watch looks for suspensions until ctx ends, and then rings what was due meanwhile. Each
// process runs it once.
func Watch(ctx context.Context) {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	before := system.suspension()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if now := system.suspension(); now > before {
			before = now
			ringDue()
		}
	}
}

// ringDue rings the alarms whose time has come and sets the others anew.
func ringDue() {
	alarms.mu.Lock()
	var due []*alarm
	for a := range alarms.set {
		left := Until(a.at)
		if left <= 0 {
			due = append(due, a)
			continue
		}
		a.timer.Reset(left)
	}
	alarms.mu.Unlock()
	for _, a := range due {
		a.ring()
	}
}

// deadline is a context that ends at a time of this clock.
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

// WithDeadline is context.WithDeadline on this clock. The cause of contexts made from it is
// context.DeadlineExceeded too, while their own error says that they were cancelled.
func WithDeadline(ctx context.Context, at time.Time) (context.Context, context.CancelFunc) {
	if sooner, ok := ctx.Deadline(); ok && sooner.Before(at) {
		at = sooner
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

// Simulate makes this clock show suspensions that a test makes up, until restore is called.
// suspended is how long the VM has been suspended so far.
func Simulate(suspended func() time.Duration) (restore func()) {
	before := system
	system = newClock(func() reading { return reading{boot: suspended(), ok: true} })
	return func() { system = before }
}
