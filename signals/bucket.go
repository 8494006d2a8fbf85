package signals

import "time"

// burst is the number of requests that one VM may send to one endpoint back to back after a pause.
// With shares of at most maxSharePerSecond, the VMs together stay within what endpoints tolerate,
// even if all of them have paused.
const burst = 2

// bucket paces requests at a rate by the time at which the next one is due (GCRA). The zero value
// is full.
type bucket struct {
	// due is when the next request is due if all requests arrive at the rate.
	due time.Time
}

// interval returns the time between two requests at a rate, which must be above zero.
func interval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}

// empty drains the bucket: the first request may be sent after one period and the offset.
func (b *bucket) empty(now time.Time, period, offset time.Duration) {
	b.due = now.Add(burst*period + offset)
}

// wait returns how long until a request may be sent.
func (b *bucket) wait(now time.Time, period time.Duration) time.Duration {
	return max(0, b.due.Sub(now)-(burst-1)*period)
}

// take accounts for a request that is sent at now. After a pause that has filled the bucket, the next
// ones are due later by the offset.
func (b *bucket) take(now time.Time, period, offset time.Duration) {
	if b.due.Before(now) {
		b.due = now.Add(offset)
	}
	b.due = b.due.Add(period)
}

// refund undoes the take of a request that was not sent.
func (b *bucket) refund(period time.Duration) { b.due = b.due.Add(-period) }
