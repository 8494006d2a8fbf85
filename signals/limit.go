package signals

import (
	"time"

	"github.com/springweir/springweir/loadshare/sharepb"
)

const (
	// republishInterval is how often a limit that responses still report is published to the other
	// VMs.
	republishInterval = 500 * time.Millisecond
	// clearAfter is how long no response may have reported a limit, and clearResponses how many
	// responses must have arrived without one, before the limit is considered over.
	clearAfter     = 1500 * time.Millisecond
	clearResponses = 2
	// probeAfter is how long a limit may be unconfirmed before VMs send a request to probe whether
	// it still holds: first the VM of rank 0, then each further rank probeStep later. probeStep is
	// longer than it takes for a response to reach all VMs as an update.
	probeAfter = 1500 * time.Millisecond
	probeStep  = 600 * time.Millisecond
	// maxPerSecond caps limits: a higher one constrains no VM.
	maxPerSecond = 1e6
)

// limit holds the rate limit of one incarnation of an endpoint, and this VM's share of it.
type limit struct {
	// version grows with each observation by any VM.
	version   uint32
	limited   bool
	perSecond float64
	// reportedAt is when a response to any VM last reported the limit, as far as received here, and
	// versionAt when the current version was created or received.
	reportedAt, versionAt time.Time
	// unlimitedResponses counts this VM's responses without a limit to requests sent after
	// reportedAt.
	unlimitedResponses int

	share  share
	bucket bucket
	// lastAcquiredAt is when this VM last acquired a permit.
	lastAcquiredAt time.Time
}

// observe applies a response to this VM. It reports whether to publish the new version.
func (l *limit) observe(now time.Time, reported Limit, sent time.Time) (publish bool) {
	switch reported.Kind {
	case Limited:
		return l.observeLimited(now, min(reported.PerSecond, maxPerSecond))
	case Unlimited:
		return l.observeUnlimited(now, sent)
	}
	return false
}

func (l *limit) observeLimited(now time.Time, perSecond float64) (publish bool) {
	unchanged := l.limited && l.perSecond == perSecond
	l.limited, l.perSecond, l.reportedAt, l.unlimitedResponses = true, perSecond, now, 0
	if unchanged && now.Sub(l.versionAt) < republishInterval {
		return false
	}
	l.version++
	l.versionAt = now
	return true
}

// observeUnlimited handles a response without a limit. Responses may arrive out of order, so it
// counts only those to requests sent after the limit was last reported.
func (l *limit) observeUnlimited(now, sent time.Time) (publish bool) {
	if !l.limited || !sent.After(l.reportedAt) {
		return false
	}
	if l.unlimitedResponses++; l.unlimitedResponses < clearResponses || now.Sub(l.reportedAt) < clearAfter {
		return false
	}
	l.limited = false
	l.version++
	l.versionAt = now
	return true
}

// merge applies an update from another VM if its version is newer or, at the same version, its
// limit stricter. It reports whether the update was applied.
func (l *limit) merge(now time.Time, update *sharepb.EndpointSignal) bool {
	perSecond := float64(update.LimitMilli) / 1000
	newer := update.Version > l.version
	stricter := update.Version == l.version && update.Limited && (!l.limited || perSecond < l.perSecond)
	if !newer && !stricter {
		return false
	}
	l.version, l.limited, l.perSecond, l.versionAt, l.unlimitedResponses = update.Version, update.Limited, perSecond, now, 0
	if l.limited {
		l.reportedAt = now
	}
	return true
}

// toProto returns the update that is published to the other VMs.
func (l *limit) toProto(hash uint64) *sharepb.EndpointSignal {
	return &sharepb.EndpointSignal{Endpoint: hash, Version: l.version, Limited: l.limited, LimitMilli: uint64(l.perSecond * 1000)}
}

// setShare assigns this VM's share. A new share is usable from the given time on; a replacement
// keeps the time of the share that it replaces.
func (l *limit) setShare(from time.Time, s share) {
	s.usableFrom = from
	if l.share.perSecond > 0 {
		s.usableFrom = l.share.usableFrom
	}
	acquired := l.share.perSecond == 0 && s.perSecond > 0
	l.share = s
	if acquired {
		l.bucket.empty(s.usableFrom, interval(s.perSecond), s.offset)
	}
}

// dropShare gives up the share; the next one counts as new.
func (l *limit) dropShare() { l.share.perSecond = 0 }

// wait returns how long until this VM may send a request, within its share or as a probe.
func (l *limit) wait(now time.Time) time.Duration {
	probeAt := l.reportedAt.Add(probeAfter + time.Duration(l.share.rank)*probeStep)
	if next := l.lastAcquiredAt.Add(probeAfter); next.After(probeAt) {
		probeAt = next
	}
	untilProbe := max(0, probeAt.Sub(now))
	if l.share.perSecond == 0 {
		return untilProbe
	}
	return min(untilProbe, max(l.share.usableFrom.Sub(now), l.bucket.wait(now, interval(l.share.perSecond))))
}

// availableIn estimates how long until the endpoint accepts a request from any VM.
func (l *limit) availableIn(now time.Time) time.Duration {
	wait := l.wait(now)
	if l.share.perSecond == 0 && l.perSecond >= minSharedRate {
		wait = min(wait, interval(l.perSecond))
	}
	return wait
}
