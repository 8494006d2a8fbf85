package retry

import "time"

// RegionLimits bounds the retries of all VMs of a region together: in each time window of length
// Span, at most Ratio for each first attempt and Extra more.
type RegionLimits struct {
	Span         time.Duration
	Ratio, Extra float64
}

// The VMs keep to the limits without communication, whenever they start, stop or are lost. In a window
// of length Span they retry at most what they saved before it and what they earn in it:
//
//   - from first attempts, (ratioSaved + ratioEarned) * Ratio for each of the window, or of the one
//     before it if that has more;
//   - besides, (extraSaved + extraEarned) * Extra.
//
// A VM that starts again has saved nothing; one that starts for the first time may have its share. What
// remains of the limits covers retries that are sent later than they were taken, and first attempts that
// are counted later than their callers sent them.
const (
	// ratioEarned is the fraction of Ratio that a first attempt earns, and ratioSaved the fraction that a VM can
	// save for each first attempt of the last Span.
	ratioEarned = 0.6
	ratioSaved  = 0.3
	// extraEarned is the fraction of Extra that the VMs earn in each Span regardless of the load, and extraSaved
	// the fraction that they can save. One VM's share of the latter has to be at least one retry.
	extraEarned = 0.25
	extraSaved  = 0.6
)

// PerVM returns the limits of one of n VMs. Without n there is no share of the extra retries: many VMs
// may start together.
func (r RegionLimits) PerVM(n int) Limits {
	l := Limits{Ratio: ratioEarned * r.Ratio, BurstRatio: ratioSaved * r.Ratio, BurstSpan: r.Span, StartsEmpty: true}
	if n > 0 && r.Span > 0 {
		share := r.Extra / float64(n)
		l.Burst = extraSaved * share
		l.FloorPerSecond = extraEarned * share / r.Span.Seconds()
	}
	return l
}
