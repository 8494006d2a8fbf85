package fairshare

import (
	"math/bits"
	"time"
)

const (
	// costBuckets is the number of classes of cost, by powers of four from a millisecond. Each has a
	// credit of its own: with a common one, short requests would use up what a long one needs.
	costBuckets = 8
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller should retry. Within
	// them, callers are spread evenly over the time in which the key's share becomes available. The longest
	// is less than the two seconds within which everyone is served.
	minRetryAfter, maxRetryAfter = 100 * time.Millisecond, 1500 * time.Millisecond
)

// account is what this VM knows of one key.
type account struct {
	offered meter
	// credit is the number of requests of each class of cost that may be admitted. Each arrival adds the
	// fraction of the demand that is served, so that over time just this fraction is admitted.
	credit [costBuckets]float64
	// retryAt is the time that was last given to a refused caller.
	retryAt time.Time
}

// costBucket returns the class of a cost.
func costBucket(cost time.Duration) int {
	return min(costBuckets-1, bits.Len64(uint64(max(0, cost)/time.Millisecond))/2)
}

// maxCredit bounds the credit that requests leave which were admitted but not sent.
const maxCredit = 2

// take adds the credit of one arrival, and takes that of a request if there is enough.
func (a *account) take(cost time.Duration, fraction float64) bool {
	credit := &a.credit[costBucket(cost)]
	*credit = min(maxCredit, *credit+min(1, fraction))
	if *credit < 1 {
		return false
	}
	*credit--
	return true
}

// retryAfter returns when a refused caller should retry, given the rate, in slots, at which this VM admits the
// key: each refused caller after the one before it, in the time that its work takes at this rate. Beyond
// maxRetryAfter the times start again.
func (a *account) retryAfter(now time.Time, cost time.Duration, rate float64) time.Duration {
	a.retryAt = a.retryAt.Add(time.Duration(min(maxRetryAfter.Seconds(), cost.Seconds()/max(rate, minRate)) * float64(time.Second)))
	after := a.retryAt.Sub(now)
	switch span := maxRetryAfter - minRetryAfter; {
	case after < minRetryAfter:
		after = minRetryAfter
	case after > maxRetryAfter:
		after = minRetryAfter + (after-minRetryAfter)%span
	}
	a.retryAt = now.Add(after)
	return after
}
