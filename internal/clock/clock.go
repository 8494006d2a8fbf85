// Package clock is the VM's clock for ages, leases and deadlines. It never steps, and it
// goes on while the VM is suspended: Go's own monotonic clock stands still then, so that
// after a suspension of ten seconds a lease of six would still look held, and a kept
// connection that its server closed long ago would still look fresh.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// system is the clock of this process.
var system = newWatchedClock(readSystem)

// Now is the time. Times of this clock compare with each other, and with those of time.Now
// as long as the VM has not been suspended since the process started. Only the difference of
// two of them means something: their time of day lacks what the VM was suspended for.
func Now() time.Time { return system.now() }

// Since is the time since t, suspensions included.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until is the time until t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// OrSystem returns now, or this clock for nil. It completes settings that take a clock
// from outside.
func OrSystem(now func() time.Time) func() time.Time {
	if now == nil {
		return Now
	}
	return now
}

// reading are two clocks of the kernel, read one between two readings of the other.
type reading struct {
	// before and after are of the clock that stands still while the VM is suspended, and
	// boot is of the one that does not.
	before, boot, after time.Duration
	// ok is false where the kernel has no such clocks.
	ok bool
}

func readSystem() reading {
	before, ok1 := kernel(unix.CLOCK_MONOTONIC)
	boot, ok2 := kernel(unix.CLOCK_BOOTTIME)
	after, ok3 := kernel(unix.CLOCK_MONOTONIC)
	return reading{before: before, boot: boot, after: after, ok: ok1 && ok2 && ok3}
}

func kernel(id int32) (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0, false // an old kernel: suspensions cannot be told from any other pause
	}
	return time.Duration(t.Nano()), true
}

// clock adds what the VM was suspended for to time.Now, so that time in package
// testing/synctest holds for it too.
type clock struct {
	read func() reading
	// watched tells that the time of day shows when to read: during a suspension it goes on, and the
	// steady clock does not. Both come with each time.Now, at a sixth of the price. It is not set
	// where read is made up.
	watched bool
	// apart is how far the two were apart when the kernel was last asked, in nanoseconds.
	apart atomic.Int64
	// base is how far the two clocks of the kernel were apart at the start, and suspended
	// how much more that has become.
	//
	// Invariant: suspended never falls, and rises only with a suspension: it is raised
	// only to what both readings around the other clock prove. A pause of this process
	// between the readings makes them prove less, never more.
	base      time.Duration
	suspended atomic.Int64
}

func newClock(read func() reading) *clock {
	c := &clock{read: read}
	if r := read(); r.ok {
		c.base = r.boot - r.before
	}
	return c
}

// newWatchedClock returns a clock that asks the kernel only when the time of day has moved against
// the steady clock.
func newWatchedClock(read func() reading) *clock {
	c := newClock(read)
	c.watched = true
	c.apart.Store(apart(time.Now()))
	return c
}

// shortest is the least suspension that is looked for. Nothing rests on shorter ones.
const shortest = 2 * time.Millisecond

// began is what the steady clock is counted from here.
var began = time.Now()

// apart is how far the time of day is from the steady clock.
func apart(t time.Time) int64 { return t.UnixNano() - int64(t.Sub(began)) }

func (c *clock) now() time.Time {
	t := time.Now()
	moved := apart(t)
	if c.watched && time.Duration(moved-c.apart.Load()).Abs() < shortest {
		return t.Add(time.Duration(c.suspended.Load()))
	}
	suspended := c.suspension()
	c.apart.Store(moved) // after the suspension is known to all
	return t.Add(suspended)
}

// suspension is how long the VM was suspended since the start of the process.
func (c *clock) suspension() time.Duration {
	r := c.read()
	known := c.suspended.Load()
	if !r.ok {
		return time.Duration(known)
	}
	proved := int64(r.boot - r.after - c.base)
	for proved > known {
		if c.suspended.CompareAndSwap(known, proved) {
			return time.Duration(proved)
		}
		known = c.suspended.Load()
	}
	return time.Duration(known)
}
