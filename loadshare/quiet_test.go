package loadshare

import (
	"testing"
	"time"
)

// A VM tells every round while it has work, tells once that the work has ended, and
// after that often enough that nobody takes it for dead.
func TestQuietVMsTellSeldom(t *testing.T) {
	var q quiet
	now := time.Now()
	for range 10 {
		if !q.tell(now, true) {
			t.Error("a round with work is not told")
		}
		now = now.Add(minInterval)
	}
	if !q.tell(now, false) {
		t.Error("the end of the work is not told")
	}
	told, last := 0, now
	for range 200 {
		now = now.Add(minInterval)
		if !q.tell(now, false) {
			continue
		}
		told++
		if now.Sub(last) > TTL/2 {
			t.Errorf("nothing was told for %v", now.Sub(last))
		}
		last = now
	}
	if most := int(200*minInterval/quietInterval) + 1; told < 2 || told > most {
		t.Errorf("a quiet VM told %d times in %v, at most %d wanted", told, 200*minInterval, most)
	}
	if !q.tell(now.Add(minInterval), true) {
		t.Error("new work is not told at once")
	}
}
