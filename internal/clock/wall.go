package clock

import (
	"sync"
	"time"
)

const (
	// stepTolerance is the deviation from the expected wall clock that is not considered a step.
	stepTolerance = 50 * time.Millisecond
	// stepConfirmTime is how long a step must persist before it is followed. A temporarily wrong
	// clock must not affect values that depend on the wall clock; a corrected clock persists.
	stepConfirmTime = time.Minute
)

// WallClock is a wall clock for values that VMs must agree on, such as the interval of an event.
// It advances with the monotonic clock from the wall clock at its creation and follows a step of
// the wall clock only after stepConfirmTime. It is safe for concurrent use.
type WallClock struct {
	monotonic, wall func() time.Time

	mu sync.Mutex
	// offset is the wall clock, as the time since 1970, minus the monotonic time since epoch.
	offset time.Duration
	// stepSince is when the wall clock was first seen to deviate, or zero if it does not.
	// stepSize is the deviation.
	stepSince time.Time
	stepSize  time.Duration
}

// NewWallClock returns a WallClock that starts at the current wall clock.
func NewWallClock() *WallClock { return newWallClock(Now, time.Now) }

func newWallClock(monotonic, wall func() time.Time) *WallClock {
	w := &WallClock{monotonic: monotonic, wall: wall}
	w.offset = w.offsetFrom(monotonic())
	return w
}

// epoch is the origin of the monotonic clock in WallClock.
var epoch = Now()

// offsetFrom returns the current wall clock, as the time since 1970, minus the monotonic time
// since epoch.
func (w *WallClock) offsetFrom(monotonic time.Time) time.Duration {
	return time.Duration(w.wall().UnixNano()) - monotonic.Sub(epoch)
}

// Now returns the current time.
func (w *WallClock) Now() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.monotonic()
	w.detectStep(now)
	return time.Unix(0, int64(now.Sub(epoch)+w.offset))
}

// detectStep detects steps of the wall clock and follows those that persist. The caller holds mu.
func (w *WallClock) detectStep(now time.Time) {
	step := w.offsetFrom(now) - w.offset
	switch {
	case step.Abs() <= stepTolerance:
		w.stepSince = time.Time{}
	case w.stepSince.IsZero() || (step-w.stepSize).Abs() > stepTolerance:
		w.stepSince, w.stepSize = now, step
	case now.Sub(w.stepSince) >= stepConfirmTime:
		w.offset += step
		w.stepSince = time.Time{}
	}
}
