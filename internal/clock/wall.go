package clock

import (
	"sync"
	"time"
)

const (
	// wallSlack is how far the time of day may be from what is expected without being a step.
	wallSlack = 50 * time.Millisecond
	// wallPatience is how long a step must last to be believed. A clock that is wrong for a while
	// must not move what is counted by the time of day; one that was put right stays so.
	wallPatience = time.Minute
)

// WallClock is the time of day for what VMs must agree on, such as which interval something fell in. It
// goes on steadily from the time of day at its making, and follows a step only once that has lasted.
// It is safe for concurrent use.
type WallClock struct {
	steady, day func() time.Time

	mu sync.Mutex
	// offset is added to the steady clock, in nanoseconds since 1970.
	offset time.Duration
	// stepped is since when the time of day differs, and steps by how much; zero if it does not.
	stepped time.Time
	steps   time.Duration
}

// NewWallClock returns a WallClock that believes the present time of day.
func NewWallClock() *WallClock { return newWall(Now, time.Now) }

func newWall(steady, day func() time.Time) *WallClock {
	w := &WallClock{steady: steady, day: day}
	w.offset = w.apart(steady())
	return w
}

// epoch is what the steady clock is counted from here.
var epoch = Now()

// apart is how far the time of day is from the steady clock.
func (w *WallClock) apart(steady time.Time) time.Duration {
	return time.Duration(w.day().UnixNano()) - steady.Sub(epoch)
}

// Now is the time.
func (w *WallClock) Now() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.steady()
	w.watch(now)
	return time.Unix(0, int64(now.Sub(epoch)+w.offset))
}

// watch looks for steps of the time of day. The caller holds mu.
func (w *WallClock) watch(now time.Time) {
	steps := w.apart(now) - w.offset
	switch {
	case steps.Abs() <= wallSlack:
		w.stepped = time.Time{}
	case w.stepped.IsZero() || (steps-w.steps).Abs() > wallSlack:
		w.stepped, w.steps = now, steps
	case now.Sub(w.stepped) >= wallPatience:
		w.offset += steps
		w.stepped = time.Time{}
	}
}
