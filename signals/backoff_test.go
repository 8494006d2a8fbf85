package signals

import (
	"testing"
	"time"
)

// bench is a board with a clock of the test's.
type bench struct {
	*Tracker
	now time.Time
}

func newBench() *bench {
	b := &bench{now: time.Unix(1000, 0)}
	b.Tracker = New(Config{VM: "vm", Now: func() time.Time { return b.now }})
	return b
}

func (b *bench) pass(d time.Duration) { b.now = b.now.Add(d) }

func (b *bench) refused(id string, born int64, backoff time.Duration) {
	b.Observe(Response{Endpoint: endpoint(id, born), Sent: b.now, Signal: Signal{Backoff: backoff}})
}

// sends tells how many of so many requests would go now.
func (b *bench) sends(n int, id string, born int64) int {
	sent := 0
	for range n {
		if _, block := b.Acquire(endpoint(id, born)); block.Reason == "" {
			sent++
		}
	}
	return sent
}

// Nothing goes to an endpoint during its backoff, which runs from the response on by the VM's clock, and
// traffic returns gradually.
func TestBackoff(t *testing.T) {
	b := newBench()
	b.refused("e1", 1, 3*time.Second)
	for range 30 {
		if n := b.sends(5, "e1", 1); n != 0 {
			t.Fatalf("%d requests went at %v", n, b.now)
		}
		b.pass(100 * time.Millisecond)
	}
	total := 0
	for step := range 15 {
		n := b.sends(1000, "e1", 1)
		if total += n; step == 0 && n != 1 || total >= 1000 {
			t.Errorf("%d requests went in step %d after the backoff, %d in all", n, step, total)
		}
		b.pass(100 * time.Millisecond)
	}
	if n := b.sends(1000, "e1", 1); n != 1000 {
		t.Errorf("%d of 1000 requests went long after the backoff", n)
	}
}

// A backoff is of one incarnation, and is not shortened by a later response.
func TestBackoffIsOfOneIncarnation(t *testing.T) {
	b := newBench()
	b.refused("e1", 1, 3*time.Second)
	b.refused("e1", 1, time.Second)
	b.pass(2 * time.Second)
	if n := b.sends(1, "e1", 1); n != 0 {
		t.Error("a shorter backoff ended the longer one")
	}
	if n := b.sends(1, "e1", 2); n != 1 {
		t.Error("the next incarnation got nothing")
	}
	if n := b.sends(1, "e2", 1); n != 1 {
		t.Error("another endpoint got nothing")
	}
}

// A request that was placed before the response is not sent after it.
func TestBackoffStopsRequestsUnderWay(t *testing.T) {
	b := newBench()
	permit, _ := b.Acquire(endpoint("e1", 1))
	if block := permit.Recheck(); block.Reason != "" {
		t.Fatal(block)
	}
	b.refused("e1", 1, time.Second)
	if block := permit.Recheck(); block != (Block{Reason: BackingOff, RetryAfter: time.Second}) {
		t.Errorf("%+v", block)
	}
	b.pass(1100 * time.Millisecond)
	if block := permit.Recheck(); block.Reason != "" {
		t.Errorf("%+v after the backoff", block)
	}
}

// A permit from before a limit was known is taken out of the limit before its request is sent, and one
// that has waited for long is taken anew.
func TestPermitsAreTakenAnew(t *testing.T) {
	b := newBench()
	e := endpoint("e1", 1)
	early, _ := b.Acquire(e)
	late, _ := b.Acquire(e)
	b.Observe(Response{Endpoint: e, Sent: b.now, Signal: Signal{Limit: Limit{Kind: Limited, PerSecond: 1}}})
	if block := early.Recheck(); block.Reason != RateLimited {
		t.Errorf("%+v although the limit has just begun", block)
	}
	b.pass(time.Second)
	if block := early.Recheck(); block.Reason != "" {
		t.Errorf("%+v", block)
	}
	if block := early.Recheck(); block.Reason != "" {
		t.Errorf("%+v for a permit that was just taken", block)
	}
	if block := late.Recheck(); block.Reason != RateLimited {
		t.Errorf("%+v for a second request", block)
	}
	early.Release()
	if block := late.Recheck(); block.Reason != "" {
		t.Errorf("%+v after the first was not sent", block)
	}
	b.pass(permitTTL + time.Millisecond)
	other, block := b.Acquire(e)
	if block.Reason != RateLimited {
		t.Errorf("%+v within a second", block)
	}
	other.Release()
}
