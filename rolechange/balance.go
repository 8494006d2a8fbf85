package rolechange

import (
	"math"
	"time"
)

// Pressure is the current load on the engines of a service.
type Pressure struct {
	// Running is the number of requests on the decode engines, Slots the number that one engine
	// runs concurrently.
	Running, Slots int
	// PrefillWait is the average time that a prompt waits at the prefill engines.
	PrefillWait time.Duration
}

// BalanceSettings configure a Balancer. Shares are fractions of the engines of a service.
type BalanceSettings struct {
	// Share is the share of prefill engines before there is any work.
	// Enough is the number of prefill engines above which neither this share nor
	// MinShare orders more: in an underused fleet, each order takes an engine out of service
	// for seconds without any benefit.
	Share  float64
	Enough int
	// Memory is the time constant of the exponential average of the pressure.
	Memory time.Duration
	// Busy is the prefill wait above which one more prefill engine is wanted.
	Busy time.Duration
	// Room is the greatest fraction of the remaining decode slots in use at which
	// a decode engine may be moved to prefill. Full is the fraction above which a prefill
	// engine is moved to decode.
	Room, Full float64
	// Drift is how far the share of prefill engines may deviate from the chosen one after
	// engines were added or removed, before the chosen share is restored. The platform assigns the
	// initial role of added engines.
	Drift float64
	// MinShare and MaxShare bound the share of prefill engines. The mix of requests
	// changes within seconds, a role change takes as long, and the VM that orders it may fail
	// before the next one.
	MinShare, MaxShare float64
	// Pause is the least time between two moves.
	Pause time.Duration
}

// DefaultBalance returns the default settings.
func DefaultBalance() BalanceSettings {
	return BalanceSettings{
		Share:    0.6,
		Enough:   sufficientPrefill,
		Memory:   8 * time.Second,
		Busy:     60 * time.Millisecond,
		Room:     0.35,
		Full:     0.8,
		Drift:    0.08,
		MinShare: 0.4,
		MaxShare: 0.67,
		Pause:    4 * time.Second,
	}
}

// minDriftEngines is the least deviation, in prefill engines, at which the chosen share is
// restored. In a small fleet, a share that was chosen while an engine was missing cannot be met
// exactly, and each order takes an engine out of service.
const minDriftEngines = 1.5

// sufficientPrefill is the number of prefill engines that serve three times the largest expected
// load of 4.8 million tokens per second, the margin being for bursts, at 200 tokens per
// millisecond.
const sufficientPrefill = 72

// Balancer determines how many engines should prefill, one step at a time, from the pressure on
// prefill and decode. It is not safe for concurrent use.
type Balancer struct {
	settings BalanceSettings
	// running and wait are averages of the pressure as of observedAt.
	running, wait float64
	observedAt    time.Time
	// sawWork is set once any pressure was observed.
	sawWork bool
	movedAt time.Time
	// share is the chosen share of prefill engines, and size the number of engines when the fleet
	// was last found to match it.
	share float64
	size  int
}

// NewBalancer returns a balancer without any observations.
func NewBalancer(settings BalanceSettings) *Balancer { return &Balancer{settings: settings} }

// Target returns how many engines should prefill.
func (b *Balancer) Target(now time.Time, counts RoleCounts, p Pressure) int {
	b.observe(now, p)
	if !b.sawWork {
		return b.setShare(b.clamp(b.prefillFor(b.settings.Share, counts), counts), counts)
	}
	want := b.clamp(b.restored(counts), counts)
	if want != counts.Prefill || now.Sub(b.movedAt) < b.settings.Pause {
		return want
	}
	want = b.clamp(counts.Prefill+b.step(counts, p), counts)
	if want != counts.Prefill {
		b.movedAt = now
		b.setShare(want, counts)
	}
	return want
}

// setShare records the share that corresponds to a number of prefill engines, and returns that
// number.
func (b *Balancer) setShare(prefill int, counts RoleCounts) int {
	b.share, b.size = float64(prefill)/float64(max(1, counts.total())), counts.total()
	return prefill
}

// restored returns the current number of prefill engines, or the number that restores the chosen
// share if it has drifted since engines were added or removed.
func (b *Balancer) restored(counts RoleCounts) int {
	if b.size == 0 {
		return b.setShare(counts.Prefill, counts)
	}
	drift := math.Abs(float64(counts.Prefill) - b.share*float64(counts.total()))
	if counts.total() == b.size || drift <= max(minDriftEngines, b.settings.Drift*float64(counts.total())) {
		b.size = counts.total()
		return counts.Prefill
	}
	return b.prefillFor(b.share, counts)
}

// prefillFor returns the number of prefill engines for a share. Above Enough it orders
// no more engines than already prefill.
func (b *Balancer) prefillFor(share float64, counts RoleCounts) int {
	want := int(math.Round(share * float64(counts.total())))
	if want > b.settings.Enough {
		return max(counts.Prefill, b.settings.Enough)
	}
	return want
}

// step returns the change of the number of prefill engines: 1, 0 or -1.
func (b *Balancer) step(counts RoleCounts, p Pressure) int {
	slots := float64(max(1, p.Slots))
	busy := b.wait > float64(b.settings.Busy)
	switch {
	case busy && b.running <= b.settings.Room*slots*float64(counts.Decode-1):
		return 1
	case !busy && b.running > b.settings.Full*slots*float64(counts.Decode):
		return -1
	}
	return 0
}

// observe updates the averages with the current pressure.
func (b *Balancer) observe(now time.Time, p Pressure) {
	b.sawWork = b.sawWork || p.Running > 0 || p.PrefillWait > 0
	weight := 1.0
	if !b.observedAt.IsZero() {
		weight = 1 - math.Exp(-now.Sub(b.observedAt).Seconds()/b.settings.Memory.Seconds())
	}
	b.observedAt = now
	b.running += weight * (float64(p.Running) - b.running)
	b.wait += weight * (float64(p.PrefillWait) - b.wait)
}

// minDecode returns the least number of decode engines in a fleet: two if that leaves two prefill
// engines, otherwise one. A single decode engine runs out of slots before its average shows it, and
// no engine decodes if it fails.
func minDecode(total int) int {
	if total < 4 {
		return 1
	}
	return 2
}

// clamp limits the number of prefill engines to the configured shares, and leaves minDecode decode
// engines.
func (b *Balancer) clamp(prefill int, counts RoleCounts) int {
	n := float64(counts.total())
	lower := min(int(math.Floor(b.settings.MinShare*n)), b.settings.Enough)
	upper := min(int(math.Ceil(b.settings.MaxShare*n)), counts.total()-minDecode(counts.total()))
	return max(0, min(max(prefill, lower), upper))
}

func (c RoleCounts) total() int { return c.Prefill + c.Decode }
