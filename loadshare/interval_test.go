package loadshare

import (
	"testing"
	"time"
)

// A VM sends in every round while it has work, once when the work has ended, and after that often
// enough not to be considered failed.
func TestIdleVMsSendSeldom(t *testing.T) {
	var throttle idleThrottle
	now := time.Now()
	for range 10 {
		if !throttle.shouldSend(now, true) {
			t.Error("a round with work is not sent")
		}
		now = now.Add(minInterval)
	}
	if !throttle.shouldSend(now, false) {
		t.Error("the end of the work is not sent")
	}
	sends, last := 0, now
	for range 200 {
		now = now.Add(minInterval)
		if !throttle.shouldSend(now, false) {
			continue
		}
		sends++
		if now.Sub(last) > TTL/2 {
			t.Errorf("nothing was sent for %v", now.Sub(last))
		}
		last = now
	}
	if maxSends := int(200*minInterval/idleInterval) + 1; sends < 2 || sends > maxSends {
		t.Errorf("an idle VM sent %d times in %v, want at most %d", sends, 200*minInterval, maxSends)
	}
	if !throttle.shouldSend(now.Add(minInterval), true) {
		t.Error("new work is not sent at once")
	}
}
