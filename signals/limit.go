package signals

import (
	"time"

	"github.com/springweir/springweir/loadshare/sharepb"
)

const (
	// confirmEvery is how often a limit that is still named is published to the other VMs.
	confirmEvery = 500 * time.Millisecond
	// clearAfter is how long no response may have named a limit, and clearResponses how many have to
	// have come without one, before the limit is taken to be over.
	clearAfter     = 1500 * time.Millisecond
	clearResponses = 2
	// probeAfter is how long a limit may be unconfirmed before VMs send a request to see whether it
	// still holds: the first in the order of holders, and each later one probeStep after that, which is
	// longer than an answer takes to be known everywhere.
	probeAfter = 1500 * time.Millisecond
	probeStep  = 600 * time.Millisecond
	// mostPerSecond bounds limits: a higher one binds nobody.
	mostPerSecond = 1e6
)

// limit is what is known of the rate limit of one incarnation of an endpoint, and this VM's part of it.
type limit struct {
	// version grows with each observation by any VM.
	version   uint32
	limited   bool
	perSecond float64
	// namedAt is when a response was last known to name the limit, versionAt when the present
	// version of it was made or received.
	namedAt, versionAt time.Time
	// unlimited counts this VM's responses without a limit to requests sent after namedAt.
	unlimited int

	share  share
	bucket bucket
	// takenAt is when this VM last let a request go.
	takenAt time.Time
}

// observe takes in a response to this VM. It reports whether to publish the new version.
func (l *limit) observe(now time.Time, named Limit, sent time.Time) (publish bool) {
	switch named.Kind {
	case Limited:
		return l.name(now, min(named.PerSecond, mostPerSecond))
	case Unlimited:
		return l.miss(now, sent)
	}
	return false
}

func (l *limit) name(now time.Time, perSecond float64) (publish bool) {
	same := l.limited && l.perSecond == perSecond
	l.limited, l.perSecond, l.namedAt, l.unlimited = true, perSecond, now, 0
	if same && now.Sub(l.versionAt) < confirmEvery {
		return false
	}
	l.version++
	l.versionAt = now
	return true
}

// miss takes in a response without a limit. Responses may overtake each other, so only those count
// whose requests were sent after the limit was last named.
func (l *limit) miss(now, sent time.Time) (publish bool) {
	if !l.limited || !sent.After(l.namedAt) {
		return false
	}
	if l.unlimited++; l.unlimited < clearResponses || now.Sub(l.namedAt) < clearAfter {
		return false
	}
	l.limited = false
	l.version++
	l.versionAt = now
	return true
}

// merge takes in what another VM published. It reports whether that counts.
func (l *limit) merge(now time.Time, s *sharepb.EndpointSignal) bool {
	perSecond := float64(s.LimitMilli) / 1000
	newer := s.Version > l.version
	stricter := s.Version == l.version && s.Limited && (!l.limited || perSecond < l.perSecond)
	if !newer && !stricter {
		return false
	}
	l.version, l.limited, l.perSecond, l.versionAt, l.unlimited = s.Version, s.Limited, perSecond, now, 0
	if l.limited {
		l.namedAt = now
	}
	return true
}

// signal is what is published to the other VMs.
func (l *limit) signal(endpoint uint64) *sharepb.EndpointSignal {
	return &sharepb.EndpointSignal{Endpoint: endpoint, Version: l.version, Limited: l.limited, LimitMilli: uint64(l.perSecond * 1000)}
}

// setShare puts this VM's part in force: at once if it holds one already, otherwise from a time on.
func (l *limit) setShare(from time.Time, s share) {
	s.from = from
	if l.share.perSecond > 0 {
		s.from = l.share.from
	}
	fresh := l.share.perSecond == 0 && s.perSecond > 0
	l.share = s
	if fresh {
		l.bucket.empty(s.from, interval(s.perSecond))
	}
}

// dropShare makes the share one that is to be taken over anew.
func (l *limit) dropShare() { l.share.perSecond = 0 }

// wait is how long until this VM may send a request, out of its share or as a probe.
func (l *limit) wait(now time.Time) time.Duration {
	probeAt := l.namedAt.Add(probeAfter + time.Duration(l.share.rank)*probeStep)
	if next := l.takenAt.Add(probeAfter); next.After(probeAt) {
		probeAt = next
	}
	untilProbe := max(0, probeAt.Sub(now))
	if l.share.perSecond == 0 {
		return untilProbe
	}
	return min(untilProbe, max(l.share.from.Sub(now), l.bucket.wait(now, interval(l.share.perSecond))))
}

// freeIn is how long until the endpoint takes something from any VM, as far as this one can tell.
func (l *limit) freeIn(now time.Time) time.Duration {
	wait := l.wait(now)
	if l.share.perSecond == 0 && l.perSecond >= leastRate {
		wait = min(wait, interval(l.perSecond))
	}
	return wait
}
