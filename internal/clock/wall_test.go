package clock

import (
	"testing"
	"time"
)

// fakeClocks simulates a monotonic clock and a wall clock that is ahead of it by step.
type fakeClocks struct{ now, step time.Duration }

func (d *fakeClocks) monotonic() time.Time { return epoch.Add(d.now) }

func (d *fakeClocks) wall() time.Time { return time.Unix(1000, 0).Add(d.now + d.step) }

// advance advances the time by one second at a time, reads the wall clock after each, and returns
// its deviation from the monotonic clock.
func (d *fakeClocks) advance(w *WallClock, by time.Duration) time.Duration {
	for range int(by / time.Second) {
		d.now += time.Second
		w.Now()
	}
	return w.Now().Sub(time.Unix(1000, 0)) - d.now
}

func TestWall(t *testing.T) {
	for _, tc := range []struct {
		name   string
		run    func(d *fakeClocks, w *WallClock) time.Duration
		offset time.Duration
	}{
		{"steady", func(d *fakeClocks, w *WallClock) time.Duration { return d.advance(w, time.Hour) }, 0},
		{"a step ahead and back", func(d *fakeClocks, w *WallClock) time.Duration {
			d.step = 2 * time.Second
			if off := d.advance(w, 30*time.Second); off != 0 {
				return off
			}
			d.step = 0
			return d.advance(w, 10*time.Minute)
		}, 0},
		{"repeated steps", func(d *fakeClocks, w *WallClock) time.Duration {
			for range 10 {
				d.step += time.Second
				d.advance(w, 30*time.Second)
			}
			return d.advance(w, time.Second)
		}, 0},
		{"a step that persists", func(d *fakeClocks, w *WallClock) time.Duration {
			d.step = -2 * time.Second
			return d.advance(w, 2*time.Minute)
		}, -2 * time.Second},
		{"a deviation below the tolerance", func(d *fakeClocks, w *WallClock) time.Duration {
			d.step = 40 * time.Millisecond
			return d.advance(w, time.Hour)
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := &fakeClocks{}
			w := newWallClock(d.monotonic, d.wall)
			if off := tc.run(d, w); off != tc.offset {
				t.Errorf("got offset %v, want %v", off, tc.offset)
			}
		})
	}
}
