package health

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxLevel bounds the number of doublings of the ejection time.
const maxLevel = 16

// Causes of an ejection, as labelled in the metrics.
const (
	causeFailures = "failures"
	causeSilent   = "silent"
	causeRate     = "rate"
	causeTrial    = "trial"
)

// count counts ejections, and ejections omitted because the group would become too small.
func count(name, cause string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("springweir_health_%s{cause=%q}", name, cause)).Inc()
}

// outlier returns the cause for which m should be ejected, or an empty string.
func (t *Tracker) outlier(now time.Duration, m *member) string {
	switch {
	case m.failures >= t.cfg.ConsecutiveFailures:
		return causeFailures
	case m.unresponsive >= t.cfg.ConsecutiveSilent:
		return causeSilent
	case t.rateIsOutlier(now, m):
		return causeRate
	}
	return ""
}

// rateIsOutlier compares the failure rate of m with the combined rate of its peers in each group.
// If all of them fail alike, the cause lies elsewhere and ejecting one does not help.
func (t *Tracker) rateIsOutlier(now time.Duration, m *member) bool {
	total, failed := m.recent.sum(now, t.cfg.Window)
	rate := float64(failed) / float64(max(1, total))
	if total < t.cfg.MinRequests || rate < t.cfg.MinRate {
		return false
	}
	for _, g := range m.groups {
		peerTotal, peerFailed := 0, 0
		for _, o := range t.groups[g] {
			if o != m {
				n, f := o.recent.sum(now, t.cfg.Window)
				peerTotal += n
				peerFailed += f
			}
		}
		if rate < t.cfg.RateFactor*float64(peerFailed)/float64(max(1, peerTotal)) {
			return false
		}
	}
	return true
}

// mayEject reports whether every group of m stays within its limit if m is ejected.
func (t *Tracker) mayEject(m *member) bool {
	for _, g := range m.groups {
		members := t.groups[g]
		if t.unavailable(members)+1 > t.maxUnavailable(len(members)) {
			return false
		}
	}
	return len(m.groups) > 0
}

// maxUnavailable returns the number of members of a group that may be unavailable at the same time.
// It is less than size, so that the last healthy member is never ejected.
func (t *Tracker) maxUnavailable(size int) int {
	byFraction := max(1, int(t.cfg.MaxFraction*float64(size)))
	return max(0, min(byFraction, size-1))
}

// unavailable returns the number of members that are not healthy.
func (t *Tracker) unavailable(members []*member) int {
	n := 0
	for _, m := range members {
		if m.status.Phase != Healthy {
			n++
		}
	}
	return n
}

func (t *Tracker) eject(now time.Duration, m *member, cause string) {
	count("ejected_total", cause)
	if t.cfg.Forgive > 0 && m.status.Phase == Healthy {
		m.level = max(0, m.level-int((now-m.healthySince)/t.cfg.Forgive))
	}
	duration := min(t.cfg.MaxEjection, t.cfg.BaseEjection<<m.level)
	t.setStatus(m, Status{Phase: Ejected, Until: now + duration})
	m.level = min(maxLevel, m.level+1)
}

// Readmit makes an endpoint healthy that no other can stand in for. Its next ejection is longer.
func (t *Tracker) Readmit(now time.Duration, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[name]; m != nil && m.status.Phase != Healthy {
		t.readmit(now, m)
	}
}

// readmit makes m healthy and resets its record, except for the level of its next ejection.
func (t *Tracker) readmit(now time.Duration, m *member) {
	t.setStatus(m, Status{})
	m.healthySince = now
	m.failures, m.unresponsive = 0, 0
	m.recent = window{}
}

// window counts results over a sliding period in two half-period buckets, so that a sum covers
// between half a period and a whole one.
type window struct {
	start         time.Duration
	total, failed [2]int
}

// rotate advances the buckets so that index 0 contains now.
func (w *window) rotate(now, period time.Duration) {
	half := period / 2
	switch elapsed := now - w.start; {
	case elapsed < half:
		return
	case elapsed < 2*half:
		w.total[1], w.failed[1] = w.total[0], w.failed[0]
		w.start += half
	default:
		w.total[1], w.failed[1] = 0, 0
		w.start = now
	}
	w.total[0], w.failed[0] = 0, 0
}

func (w *window) add(now, period time.Duration, total, failed int) {
	w.rotate(now, period)
	w.total[0] += total
	w.failed[0] += failed
}

func (w *window) sum(now, period time.Duration) (total, failed int) {
	w.rotate(now, period)
	return w.total[0] + w.total[1], w.failed[0] + w.failed[1]
}
