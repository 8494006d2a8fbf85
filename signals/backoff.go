package signals

import (
	"math"
	"time"

	"k8s.io/klog/v2"
)

const (
	// rampDoubling is the time in which what may be sent doubles after a backoff, from one request
	// on, and rampFor how long that bounds it.
	rampDoubling = 150 * time.Millisecond
	rampFor      = 1500 * time.Millisecond
)

// backoff is the time in which an endpoint wants nothing from this VM, and its gradual return.
type backoff struct {
	until time.Time
	// sent counts the requests that were let through since then.
	sent int
}

// learn takes in a response. Of two backoffs the one that ends later holds: each was asked for.
func (b *backoff) learn(now time.Time, r Response) {
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
	count("backoff", event)
	klog.InfoS("signals: backoff requested", "endpoint", r.Endpoint.ID, "request", r.Request, "for", r.Signal.Backoff)
}

// wait is how long until a request may go.
func (b *backoff) wait(now time.Time) time.Duration {
	since := now.Sub(b.until)
	if b.until.IsZero() || since >= rampFor {
		return 0
	}
	if since < 0 {
		return -since
	}
	due := time.Duration(math.Log2(float64(b.sent+1)) * float64(rampDoubling))
	return max(0, due-since)
}

// take lets a request go. It tells whether that is the first one since the backoff ended.
func (b *backoff) take() (first bool) {
	b.sent++
	return b.sent == 1 && !b.until.IsZero()
}

// active tells whether the endpoint wants nothing now.
func (b *backoff) active(now time.Time) bool { return now.Before(b.until) }
