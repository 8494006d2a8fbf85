// Package clock provides a monotonic clock for ages, leases and deadlines that includes
// the time for which the VM was suspended. Go's own monotonic clock stops during a
// suspension: after one of ten seconds, a lease of six seconds would still appear held, and
// an idle connection that its server has closed would still appear usable.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// system is the clock used by the functions of this package.
var system = newCachedClock(readSystem)

// Now returns the current time. Times of this clock are comparable with each other, and with
// those of time.Now only if the VM has not been suspended since the process started. Only
// differences of them are meaningful: adding the suspended time makes their time of day wrong.
func Now() time.Time { return system.now() }

// Since returns the time elapsed since t, including suspensions.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the duration until t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// OrSystem returns now, or Now if now is nil. It supplies the default of configurations
// with an injectable clock.
func OrSystem(now func() time.Time) func() time.Time {
	if now == nil {
		return Now
	}
	return now
}

// reading holds the values of two kernel clocks; boot was read between before and after.
type reading struct {
	// before and after are CLOCK_MONOTONIC, which stops while the VM is suspended. boot is
	// CLOCK_BOOTTIME, which does not.
	before, boot, after time.Duration
	// ok is false if the kernel does not provide these clocks.
	ok bool
}

func readSystem() reading {
	before, ok1 := readKernel(unix.CLOCK_MONOTONIC)
	boot, ok2 := readKernel(unix.CLOCK_BOOTTIME)
	after, ok3 := readKernel(unix.CLOCK_MONOTONIC)
	return reading{before: before, boot: boot, after: after, ok: ok1 && ok2 && ok3}
}

func readKernel(id int32) (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0, false // an old kernel: suspensions can't be detected
	}
	return time.Duration(t.Nano()), true
}

// clock adds the suspended time to time.Now, and thus follows the virtual time of package
// testing/synctest.
type clock struct {
	read func() reading
	// skipUnchanged makes now call read only if the offset between the wall clock and Go's
	// monotonic clock has changed, as it does in a suspension. Both come with time.Now, at a
	// sixth of the cost of read. It is false if read is simulated.
	skipUnchanged bool
	// lastOffset is that offset at the last call of read, in nanoseconds.
	lastOffset atomic.Int64
	// base is the difference between the two kernel clocks at the start, and suspended the
	// increase since then in nanoseconds.
	//
	// Invariant: suspended never decreases, and increases only through a suspension. The
	// increase is computed from after, the later of the two monotonic readings, and base from
	// before, so that a pause of this process between the readings lowers the result and never
	// raises it.
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

// newCachedClock returns a clock that reads the kernel clocks only if the offset between the wall
// clock and the monotonic clock has changed by at least minSuspension.
func newCachedClock(read func() reading) *clock {
	c := newClock(read)
	c.skipUnchanged = true
	c.lastOffset.Store(wallOffset(time.Now()))
	return c
}

// minSuspension is the shortest suspension that is detected. No user of this package depends on
// shorter ones.
const minSuspension = 2 * time.Millisecond

// processStart is the origin of the monotonic clock in wallOffset.
var processStart = time.Now()

// wallOffset returns the wall clock minus the monotonic clock at t, in nanoseconds.
func wallOffset(t time.Time) int64 { return t.UnixNano() - int64(t.Sub(processStart)) }

func (c *clock) now() time.Time {
	t := time.Now()
	offset := wallOffset(t)
	if c.skipUnchanged && time.Duration(offset-c.lastOffset.Load()).Abs() < minSuspension {
		return t.Add(time.Duration(c.suspended.Load()))
	}
	suspended := c.suspension()
	c.lastOffset.Store(offset) // only after c.suspended was updated, so that concurrent calls see it
	return t.Add(suspended)
}

// suspension reads the kernel clocks and returns how long the VM has been suspended since the
// start of the process.
func (c *clock) suspension() time.Duration {
	r := c.read()
	current := c.suspended.Load()
	if !r.ok {
		return time.Duration(current)
	}
	observed := int64(r.boot - r.after - c.base)
	for observed > current {
		if c.suspended.CompareAndSwap(current, observed) {
			return time.Duration(observed)
		}
		current = c.suspended.Load()
	}
	return time.Duration(current)
}
