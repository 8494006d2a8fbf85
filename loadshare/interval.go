package loadshare

import (
	"time"

	"github.com/springweir/springweir/internal/clock"
)

// idleThrottle reduces the rounds of a VM that has no work to report.
type idleThrottle struct {
	// idle is set when the last round sent contained no work. lastSent is when that was sent.
	idle     bool
	lastSent time.Time
}

// shouldSend reports whether to send a round.
func (t *idleThrottle) shouldSend(now time.Time, busy bool) bool {
	if !busy && t.idle && now.Sub(t.lastSent) < idleInterval {
		return false
	}
	t.idle, t.lastSent = !busy, now
	return true
}

// interval returns the time between two rounds.
func (x *Exchange) interval() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case !x.region.usesCollectors():
		return max(minInterval, time.Duration(x.lastRoundDatagrams)*time.Second/maxDirectRate)
	case x.region.isCollector(clock.Now()):
		return collectorInterval
	}
	return memberInterval
}

// recordRound stores the number of datagrams sent in a round. toZone is the number of those that
// carried the region's total to the local zone; the next total is scheduled so that the rate for
// the zone is kept.
func (x *Exchange) recordRound(now time.Time, total, toZone int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastRoundDatagrams = total
	if toZone > 0 {
		x.region.nextZoneRound = now.Add(time.Duration(float64(toZone) / x.cfg.zoneDatagramRate() * float64(time.Second)))
	}
}

// zoneDatagramRate returns the rate at which a collector sends to its zone, in datagrams per
// second.
func (c *Config) zoneDatagramRate() float64 {
	if c.LinkBitsPerSecond <= 0 {
		return maxCollectorRate
	}
	return min(max(minCollectorRate, c.LinkBitsPerSecond*collectorLinkFraction/8/maxDatagram), maxCollectorRate)
}
