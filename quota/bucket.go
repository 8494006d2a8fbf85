package quota

import (
	"time"

	"github.com/springweir/springweir/organisation"
)

// bucket is a token bucket that may go into debt: a request is taken while nothing is owed, whatever
// its cost. A request that costs more than the burst is thus not refused for good, and a limit is
// exceeded by the cost of one request at most.
type bucket struct {
	// level is what the bucket held at the time at; negative while it is in debt.
	level float64
	at    time.Time
}

// newBucket returns an empty bucket without debt.
func newBucket(at time.Time) bucket { return bucket{at: at} }

// refill adds what the limit has granted since the last call.
func (b *bucket) refill(now time.Time, l organisation.Limit) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level += l.PerSecond * elapsed.Seconds()
		b.at = now
	}
	b.level = min(b.level, l.Burst)
}

// take takes the cost of a request. If the bucket is in debt, it takes nothing and returns the time
// until the debt is paid.
func (b *bucket) take(now time.Time, l organisation.Limit, cost float64) (wait time.Duration) {
	b.refill(now, l)
	if b.level < 0 {
		return max(time.Millisecond, time.Duration(-b.level/l.PerSecond*float64(time.Second)))
	}
	b.level -= cost
	return 0
}

// refund gives back the cost of a request.
func (b *bucket) refund(now time.Time, l organisation.Limit, cost float64) {
	b.refill(now, l)
	b.level = min(b.level+cost, l.Burst)
}
