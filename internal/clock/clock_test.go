package clock

import (
	"testing"
	"testing/synctest"
	"time"
)

// kernelClocks simulates the kernel clocks.
type kernelClocks struct{ running, suspended, pause time.Duration }

func (k *kernelClocks) read() reading {
	return reading{
		before: k.running, boot: k.running + k.suspended + k.pause/2, after: k.running + k.pause, ok: true,
	}
}

// A suspension is counted in full, a pause of the process between two readings is not counted,
// and the clock never goes back.
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
			{"the process pauses between two readings", func() { k.pause = 300 * time.Millisecond }, 11 * time.Second},
			{"the pause ends", func() { k.pause = 0 }, 11 * time.Second},
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

// The kernel clocks are read only after the offset between wall clock and monotonic clock has
// changed. A suspension is then counted in full, and a step of the wall clock is not counted.
func TestKernelIsReadOnlyAfterWallClockOffsetChange(t *testing.T) {
	// In a synctest bubble both clocks are read atomically. Outside, a pause between the two
	// readings of time.Now looks like a step and rightly causes a read.
	synctest.Test(t, func(t *testing.T) {
		k := &kernelClocks{running: time.Hour}
		reads := 0
		c := newCachedClock(func() reading { reads++; return k.read() })
		reads = 0
		for range 1000 {
			c.now()
		}
		if reads != 0 {
			t.Errorf("the kernel clocks were read %d times without a change", reads)
		}
		step := func(name string, by, suspended, want time.Duration) {
			c.lastOffset.Add(-int64(by)) // as if the wall clock had advanced
			k.suspended += suspended
			before := reads
			if got := time.Until(c.now()).Round(time.Second); got != want || reads != before+1 {
				t.Errorf("%s: the clock is %v ahead, want %v; %d reads, want 1", name, got, want, reads-before)
			}
		}
		step("a suspension", 10*time.Second, 10*time.Second, 10*time.Second)
		step("the time of day is stepped", 2*time.Second, 0, 10*time.Second)
		step("and stepped back", -2*time.Second, 0, 10*time.Second)
		step("a suspension again", 3*time.Second, 3*time.Second, 13*time.Second)
	})
}

// Without CLOCK_BOOTTIME the clock follows time.Now.
func TestNowWithoutBoottimeClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClock(func() reading { return reading{} })
		start := c.now()
		time.Sleep(time.Second)
		if got := c.now().Sub(start); got != time.Second {
			t.Errorf("%v since the start, want 1s", got)
		}
	})
}

// The system clock agrees with Go's clock while the VM is not suspended.
func TestSystemClock(t *testing.T) {
	if r := readSystem(); !r.ok || r.after < r.before {
		t.Fatalf("got kernel clocks %+v", r)
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
