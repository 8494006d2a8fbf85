package retry

import "time"

// buckets is the number of buckets that cover the span of a recentCount.
const buckets = 20

// recentCount counts events within the last span, or up to one bucket less than it: never too many.
type recentCount struct {
	// start is when the count began. Buckets are counted from it and not by the time of day, because a step of the clock
	// backwards would keep expired counts, and one forwards would drop current ones.
	start time.Time
	// counts is a ring; current is the number of the current bucket, and total the sum of the ring.
	counts  [buckets]int
	current int64
	total   int
}

// advance drops the events that have expired by now.
func (c *recentCount) advance(now time.Time, span time.Duration) {
	bucket := int64(now.Sub(c.start) / (span / buckets))
	c.current = max(c.current, bucket-buckets) // after a long gap, each bucket is cleared once
	for c.current < bucket {
		c.current++
		c.total -= c.counts[c.current%buckets]
		c.counts[c.current%buckets] = 0
	}
}

// add counts an event at the time of the last advance.
func (c *recentCount) add() {
	c.counts[c.current%buckets]++
	c.total++
}
