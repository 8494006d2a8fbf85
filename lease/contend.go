package lease

import (
	"time"

	"github.com/springweir/springweir/table"
)

// activeContenders is how many contenders of a lease watch it closely.
const activeContenders = 4

// idleFactor is how much more seldom the other contenders read it.
const distantPollFactor = 16

// observation is the successor's timer: the version last seen, and when the
// read in which it was first seen had returned.
//
// Invariant: since is never before the row was committed at version, because
// it is taken after the read. Taking it before the read would end the
// successor's count before the holder's.
type observation struct {
	version   table.Version
	firstSeen time.Time
	// epoch is the table service's, first seen at epochSince.
	epoch          uint64
	epochFirstSeen time.Time
}

// seeEpoch notes the table service's epoch as of now.
func (o *observation) observeEpoch(epoch uint64, now time.Time) {
	if o.epoch == epoch && !o.epochFirstSeen.IsZero() {
		return
	}
	o.epoch, o.epochFirstSeen = epoch, now
}

// epochLeft returns how long a tenure may still last that the table service has lost: one of the
// epoch before ends within its term of the beginning of this one, which was no later than this
// process saw it.
func (o *observation) epochRemaining(ttl time.Duration, now time.Time) time.Duration {
	return ttl - now.Sub(o.epochFirstSeen)
}

// see notes the row's version as of now, a time after the read returned.
func (o *observation) observeVersion(version table.Version, now time.Time) {
	if o.version == version && !o.firstSeen.IsZero() {
		return
	}
	o.version = version
	o.firstSeen = now
}

// left returns how long the row must still be seen unchanged.
func (o *observation) remaining(ttl time.Duration, now time.Time) time.Duration {
	return ttl - now.Sub(o.firstSeen)
}

// takeoverWait returns how long a contender must wait before it may try to take
// the lease; zero or less means at once. ttl is the least time that it counts,
// whatever the row says.
//
// A row that was not written in this epoch, or that is absent, may be an old copy: a later holder
// whom it does not show may still have authority.
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

// fenceBits are the low bits of a fencing number, which count within an epoch.
const fenceCounterBits = 32

// epochFence is the lowest fencing number of an epoch: higher than any of the one before, of which
// the table service may have lost some.
func epochFence(epoch uint64) uint64 { return epoch << fenceCounterBits }

// pollEvery returns the mean time between a contender's reads.
func pollInterval(poll time.Duration, rank int) time.Duration {
	if rank < activeContenders {
		return poll
	}
	return poll * distantPollFactor
}
