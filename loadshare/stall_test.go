package loadshare

import (
	"testing"
	"time"
)

// A VM is stalled from the time at which a round is long overdue until it has caught up after that round.
func TestStallDetector(t *testing.T) {
	const interval = 10 * time.Millisecond
	d, start := &stallDetector{}, time.Now()
	check := func(after time.Duration, want bool) {
		t.Helper()
		if got := d.stalled(start.Add(after)); got != want {
			t.Errorf("after %v: %t", after, got)
		}
	}
	check(time.Hour, false) // before the first round
	d.expect(start, interval)
	check(0, false)
	check(interval, false)
	check(interval+minStall-1, false)
	check(interval+minStall, true)
	check(time.Second, true)
	d.expect(start.Add(time.Second), interval)
	check(time.Second, true)
	check(time.Second+CatchUpTime-1, true)
	check(time.Second+CatchUpTime, false)
	d.expect(start.Add(time.Second+interval), interval)
	check(time.Second+interval, false)
}
