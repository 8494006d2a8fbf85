package clock

import (
	"testing"
	"time"
)

// day is a time of day that a test steps, on a steady clock that it moves.
type day struct{ now, step time.Duration }

func (d *day) steady() time.Time { return epoch.Add(d.now) }

func (d *day) day() time.Time { return time.Unix(1000, 0).Add(d.now + d.step) }

// pass lets time pass in small parts, in each of which the wall is read.
func (d *day) pass(w *WallClock, by time.Duration) time.Duration {
	for range int(by / time.Second) {
		d.now += time.Second
		w.Now()
	}
	return w.Now().Sub(time.Unix(1000, 0)) - d.now
}

func TestWall(t *testing.T) {
	for _, tc := range []struct {
		name string
		play func(d *day, w *WallClock) time.Duration
		off  time.Duration
	}{
		{"steady", func(d *day, w *WallClock) time.Duration { return d.pass(w, time.Hour) }, 0},
		{"a step ahead and back", func(d *day, w *WallClock) time.Duration {
			d.step = 2 * time.Second
			if off := d.pass(w, 30*time.Second); off != 0 {
				return off
			}
			d.step = 0
			return d.pass(w, 10*time.Minute)
		}, 0},
		{"steps again and again", func(d *day, w *WallClock) time.Duration {
			for range 10 {
				d.step += time.Second
				d.pass(w, 30*time.Second)
			}
			return d.pass(w, time.Second)
		}, 0},
		{"a step that lasts", func(d *day, w *WallClock) time.Duration {
			d.step = -2 * time.Second
			return d.pass(w, 2*time.Minute)
		}, -2 * time.Second},
		{"a drift below the slack", func(d *day, w *WallClock) time.Duration {
			d.step = 40 * time.Millisecond
			return d.pass(w, time.Hour)
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := &day{}
			w := newWall(d.steady, d.day)
			if off := tc.play(d, w); off != tc.off {
				t.Errorf("off by %v, want %v", off, tc.off)
			}
		})
	}
}
