package signals

import (
	"testing"
	"time"
)

// testTracker is a Tracker with a manual clock.
type testTracker struct {
	*Tracker
	now time.Time
}

func newTestTracker() *testTracker {
	tracker := &testTracker{now: time.Unix(1000, 0)}
	tracker.Tracker = New(Config{VM: "vm", Now: func() time.Time { return tracker.now }})
	return tracker
}

func (t *testTracker) advance(d time.Duration) { t.now = t.now.Add(d) }

func (t *testTracker) observeBackoff(id string, startedAt int64, backoff time.Duration) {
	t.Observe(Response{Endpoint: endpoint(id, startedAt), Sent: t.now, Signal: Signal{Backoff: backoff}})
}

// admitted acquires n permits and returns how many were granted.
func (t *testTracker) admitted(n int, id string, startedAt int64) int {
	sent := 0
	for range n {
		if _, block := t.Acquire(endpoint(id, startedAt)); block.Reason == "" {
			sent++
		}
	}
	return sent
}

// No request is sent during an endpoint's backoff, which starts with the response by the VM's
// clock. Afterwards traffic ramps up.
func TestBackoff(t *testing.T) {
	tracker := newTestTracker()
	tracker.observeBackoff("e1", 1, 3*time.Second)
	for range 30 {
		if n := tracker.admitted(5, "e1", 1); n != 0 {
			t.Fatalf("%d requests were admitted at %v, during the backoff", n, tracker.now)
		}
		tracker.advance(100 * time.Millisecond)
	}
	total := 0
	for step := range 15 {
		n := tracker.admitted(1000, "e1", 1)
		if total += n; step == 0 && n != 1 || total >= 1000 {
			t.Errorf("%d requests were admitted in step %d after the backoff, %d in total", n, step, total)
		}
		tracker.advance(100 * time.Millisecond)
	}
	if n := tracker.admitted(1000, "e1", 1); n != 1000 {
		t.Errorf("%d of 1000 requests were admitted long after the backoff", n)
	}
}

// A backoff applies to one incarnation only, and a later response does not shorten it.
func TestBackoffAppliesToOneIncarnation(t *testing.T) {
	tracker := newTestTracker()
	tracker.observeBackoff("e1", 1, 3*time.Second)
	tracker.observeBackoff("e1", 1, time.Second)
	tracker.advance(2 * time.Second)
	if n := tracker.admitted(1, "e1", 1); n != 0 {
		t.Error("a shorter backoff ended the longer one")
	}
	if n := tracker.admitted(1, "e1", 2); n != 1 {
		t.Error("the next incarnation was blocked")
	}
	if n := tracker.admitted(1, "e2", 1); n != 1 {
		t.Error("another endpoint was blocked")
	}
}

// A backoff that arrives between Acquire and sending blocks the request.
func TestRecheckBlocksDuringBackoff(t *testing.T) {
	tracker := newTestTracker()
	permit, _ := tracker.Acquire(endpoint("e1", 1))
	if block := permit.Recheck(); block.Reason != "" {
		t.Fatal(block)
	}
	tracker.observeBackoff("e1", 1, time.Second)
	if block := permit.Recheck(); block != (Block{Reason: BackingOff, RetryAfter: time.Second}) {
		t.Errorf("%+v", block)
	}
	tracker.advance(1100 * time.Millisecond)
	if block := permit.Recheck(); block.Reason != "" {
		t.Errorf("%+v after the backoff", block)
	}
}

// Recheck charges a permit that was acquired before the limit was known to that limit, and acquires
// a permit again that is older than permitTTL.
func TestRecheckReacquiresPermits(t *testing.T) {
	tracker := newTestTracker()
	e := endpoint("e1", 1)
	early, _ := tracker.Acquire(e)
	late, _ := tracker.Acquire(e)
	tracker.Observe(Response{Endpoint: e, Sent: tracker.now, Signal: Signal{Limit: Limit{Kind: Limited, PerSecond: 1}}})
	if block := early.Recheck(); block.Reason != RateLimited {
		t.Errorf("%+v although the limit was just reported", block)
	}
	tracker.advance(time.Second)
	if block := early.Recheck(); block.Reason != "" {
		t.Errorf("%+v", block)
	}
	if block := early.Recheck(); block.Reason != "" {
		t.Errorf("%+v for a permit that was just acquired", block)
	}
	if block := late.Recheck(); block.Reason != RateLimited {
		t.Errorf("%+v for a second request", block)
	}
	early.Release()
	if block := late.Recheck(); block.Reason != "" {
		t.Errorf("%+v after the first permit was released", block)
	}
	tracker.advance(permitTTL + time.Millisecond)
	other, block := tracker.Acquire(e)
	if block.Reason != RateLimited {
		t.Errorf("%+v within a second", block)
	}
	other.Release()
}
