package signals

import (
	"math"
	"time"

	"k8s.io/klog/v2"
)

const (
	// rampDoublingTime is the time in which the number of requests admitted after a backoff
	// doubles, starting at one. The ramp lasts for rampDuration.
	rampDoublingTime = 150 * time.Millisecond
	rampDuration     = 1500 * time.Millisecond
)

// backoff holds the end of the backoff that an endpoint requested from this VM, and the state of
// the ramp that follows it.
type backoff struct {
	until time.Time
	// sent counts the requests admitted since until was set.
	sent int
}

// observe applies the backoff of a response. Of two overlapping backoffs the later end applies,
// because the endpoint requested both.
func (b *backoff) observe(now time.Time, r Response) {
	if r.Signal.Backoff <= 0 {
		return
	}
	event := "learned"
	if now.Before(b.until) {
		event = "changed"
	}
	if until := now.Add(r.Signal.Backoff); until.After(b.until) {
		b.until, b.sent = until, 0
	}
	countEvent("backoff", event)
	klog.InfoS("signals: backoff requested", "endpoint", r.Endpoint.ID, "request", r.Request, "for", r.Signal.Backoff)
}

// wait returns how long until the next request may be sent.
func (b *backoff) wait(now time.Time) time.Duration {
	elapsed := now.Sub(b.until)
	if b.until.IsZero() || elapsed >= rampDuration {
		return 0
	}
	if elapsed < 0 {
		return -elapsed
	}
	due := time.Duration(math.Log2(float64(b.sent+1)) * float64(rampDoublingTime))
	return max(0, due-elapsed)
}

// admit records a request and reports whether it is the first since the backoff ended.
func (b *backoff) admit() (first bool) {
	b.sent++
	return b.sent == 1 && !b.until.IsZero()
}

// active reports whether the backoff is in force.
func (b *backoff) active(now time.Time) bool { return now.Before(b.until) }
