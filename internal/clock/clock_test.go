package clock

import (
	"testing"
	"testing/synctest"
	"time"
)

// kernelClocks are clocks of a kernel that a test sets.
type kernelClocks struct{ running, suspended, pause time.Duration }

func (k *kernelClocks) read() reading {
	return reading{
		before: k.running, boot: k.running + k.suspended + k.pause/2, after: k.running + k.pause, ok: true,
	}
}

// A suspension counts in full, a pause of the process between two readings not at all, and
// the clock never goes back.
func TestNowCountsSuspensions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := &kernelClocks{running: time.Hour}
		c := newClock(k.read)
		start := c.now()
		steps := []struct {
			name string
			do   func()
			want time.Duration
		}{
			{"nothing happens", func() {}, 0},
			{"time passes", func() { time.Sleep(time.Second); k.running += time.Second }, time.Second},
			{"the VM is suspended", func() { k.suspended += 10 * time.Second }, 11 * time.Second},
			{"the process is held up while it reads", func() { k.pause = 300 * time.Millisecond }, 11 * time.Second},
			{"that is over", func() { k.pause = 0 }, 11 * time.Second},
			{"the VM is suspended again", func() { k.suspended += time.Minute }, 71 * time.Second},
		}
		for _, s := range steps {
			s.do()
			if got := c.now().Sub(start); got != s.want {
				t.Errorf("%s: %v since the start, want %v", s.name, got, s.want)
			}
		}
	})
}

// The kernel is asked only when the time of day has moved against the steady clock, and then a
// suspension counts in full; a step of the time of day counts nothing.
func TestTheTimeOfDayShowsWhenToAsk(t *testing.T) {
	// The bubble's time of day and steady clock are read in one: a pause between the two readings of a
	// real time.Now looks like a step, and is asked about rightly.
	synctest.Test(t, func(t *testing.T) {
		k := &kernelClocks{running: time.Hour}
		asked := 0
		c := newWatchedClock(func() reading { asked++; return k.read() })
		asked = 0
		for range 1000 {
			c.now()
		}
		if asked != 0 {
			t.Errorf("the kernel was asked %d times while nothing happened", asked)
		}
		step := func(name string, by, suspended, want time.Duration) {
			c.apart.Add(-int64(by)) // as if the time of day had moved on
			k.suspended += suspended
			before := asked
			if got := time.Until(c.now()).Round(time.Second); got != want || asked != before+1 {
				t.Errorf("%s: the clock is %v ahead, want %v; asked %d times", name, got, want, asked-before)
			}
		}
		step("a suspension", 10*time.Second, 10*time.Second, 10*time.Second)
		step("the time of day is stepped", 2*time.Second, 0, 10*time.Second)
		step("and stepped back", -2*time.Second, 0, 10*time.Second)
		step("a suspension again", 3*time.Second, 3*time.Second, 13*time.Second)
	})
}

// Where the kernel has no clock that runs on, the time of Go's clock holds.
func TestNowWithoutSuchAClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClock(func() reading { return reading{} })
		start := c.now()
		time.Sleep(time.Second)
		if got := c.now().Sub(start); got != time.Second {
			t.Errorf("%v since the start, want 1s", got)
		}
	})
}

// The system's own clock agrees with Go's while nothing is suspended.
func TestSystemClock(t *testing.T) {
	if r := readSystem(); !r.ok || r.after < r.before {
		t.Fatalf("the kernel's clocks read %+v", r)
	}
	before := Now()
	time.Sleep(20 * time.Millisecond)
	if got := Since(before); got < 20*time.Millisecond || got > 5*time.Second {
		t.Errorf("a pause of 20 ms took %v", got)
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
