package lease

import (
	"time"

	"github.com/springweir/springweir/table"
)

// activeContenders is the number of contenders that read the lease's row every Config.Poll.
const activeContenders = 4

// distantPollFactor is the factor by which the other contenders read it less often.
const distantPollFactor = 16

// observation is a contender's takeover timer: the row's version, and when the read that first
// returned it had completed.
//
// Invariant: firstSeen is never before the row was committed at version, because it is taken
// after the read. If it were taken before the read, the contender's count could end before the
// holder's.
type observation struct {
	version   table.Version
	firstSeen time.Time
	// epoch is the table service's epoch, first observed at epochFirstSeen.
	epoch          uint64
	epochFirstSeen time.Time
}

// observeEpoch records the table service's epoch at now.
func (o *observation) observeEpoch(epoch uint64, now time.Time) {
	if o.epoch == epoch && !o.epochFirstSeen.IsZero() {
		return
	}
	o.epoch, o.epochFirstSeen = epoch, now
}

// epochRemaining returns how long a tenure that the table service has lost may still last. A
// tenure of the previous epoch ends within its TTL of the start of the present epoch, and that
// start was no later than this process first observed the epoch.
func (o *observation) epochRemaining(ttl time.Duration, now time.Time) time.Duration {
	return ttl - now.Sub(o.epochFirstSeen)
}

// observeVersion records the row's version at now, a time after the read returned.
func (o *observation) observeVersion(version table.Version, now time.Time) {
	if o.version == version && !o.firstSeen.IsZero() {
		return
	}
	o.version = version
	o.firstSeen = now
}

// remaining returns how long the row must still be observed unchanged.
func (o *observation) remaining(ttl time.Duration, now time.Time) time.Duration {
	return ttl - now.Sub(o.firstSeen)
}

// takeoverWait returns how long a contender must wait before it may try to take the lease; zero
// or less means that it may do so at once. ttl is a lower bound on the lease duration, whatever
// the row states.
//
// A row that is absent, or was not written in this epoch, may be an old state restored from a
// backup: a later holder that it doesn't show may still have authority.
func takeoverWait(row table.Row, rec Record, obs observation, ttl time.Duration, now time.Time) time.Duration {
	ttl = max(ttl, time.Duration(rec.TTLMillis)*time.Millisecond)
	epochWait := time.Duration(0)
	if obs.epoch != 0 && rec.Epoch != obs.epoch {
		epochWait = obs.epochRemaining(ttl, now)
	}
	if row.Version == table.Absent || rec.Released {
		return epochWait
	}
	return max(epochWait, obs.remaining(ttl, now))
}

// fenceCounterBits is the number of low bits of a fencing token that count within an epoch.
const fenceCounterBits = 32

// epochFence returns the lower bound of an epoch's fencing tokens: it is above all tokens of
// earlier epochs, including those that the table service lost in a restore.
func epochFence(epoch uint64) uint64 { return epoch << fenceCounterBits }
