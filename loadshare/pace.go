package loadshare

import (
	"time"

	"github.com/springweir/springweir/internal/clock"
)

// quiet thins out the rounds of a VM that has nothing to tell.
type quiet struct {
	// idle is set once it was told that there is nothing, told when that was.
	idle bool
	told time.Time
}

// tell says whether a round is to be told.
func (q *quiet) tell(now time.Time, busy bool) bool {
	if !busy && q.idle && now.Sub(q.told) < quietInterval {
		return false
	}
	q.idle, q.told = !busy, now
	return true
}

// interval is the time between two rounds.
func (x *Exchange) interval() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case !x.region.collected():
		return max(minInterval, time.Duration(x.lastRound)*time.Second/directDatagrams)
	case x.region.collects(clock.Now()):
		return collectorInterval
	}
	return memberInterval
}

// noteRound takes in how many datagrams were sent, and how many of these told the own
// zone of the region: the next time for these is when the link has had that much.
func (x *Exchange) noteRound(now time.Time, all, region int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastRound = all
	if region > 0 {
		x.region.nextRound = now.Add(time.Duration(float64(region) / x.cfg.roundRate() * float64(time.Second)))
	}
}

// roundRate is the number of datagrams a second that tell the own zone of the region.
func (c *Config) roundRate() float64 {
	if c.LinkBitsPerSecond <= 0 {
		return mostDatagrams
	}
	return min(max(leastDatagrams, c.LinkBitsPerSecond*linkPart/8/maxDatagram), mostDatagrams)
}
