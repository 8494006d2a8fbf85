package rolechange

import (
	"math"
	"time"
)

// Pressure is what the engines of a service have to do now.
type Pressure struct {
	// Running are the requests at the engines that decode, Slots the number that
	// one engine runs at once.
	Running, Slots int
	// PrefillWait is how long a prompt waits at the engines that prefill, on average.
	PrefillWait time.Duration
}

// BalanceSettings bound a Balancer.
type BalanceSettings struct {
	// InitialPrefillShare is the part of the engines that prefill before there is any work, and Enough
	// the number above which no more are ordered to for that or for MinShare. In a fleet
	// with little to do each order takes an engine away for seconds for nothing.
	InitialPrefillShare float64
	Enough              int
	// Memory is the time over which the pressure is averaged.
	Memory time.Duration
	// Busy is the wait for prefill above which an engine more is wanted there.
	Busy time.Duration
	// Room is the part of the slots that may be taken, once an engine that decodes
	// has left, for it to be moved; Full is the part above which one is moved back.
	Room, Full float64
	// Drift is how far the part that prefills may be from the chosen one, once engines have come or
	// gone, before that is restored. Engines that come have the role the platform started them with.
	Drift float64
	// MinShare and MaxShare bound the part that prefills. Mixes come and go within
	// seconds, a change takes as long, and its author may die before the next one.
	MinShare, MaxShare float64
	// Pause is the least time between two moves.
	Pause time.Duration
}

// DefaultBalance returns the defaults. They come from the rounds in
// docs/POLICY.md.
func DefaultBalance() BalanceSettings {
	return BalanceSettings{
		InitialPrefillShare: 0.6,
		Enough:              enoughPrefill,
		Memory:              8 * time.Second,
		Busy:                60 * time.Millisecond,
		Room:                0.35,
		Full:                0.8,
		Drift:               0.08,
		MinShare:            0.4,
		MaxShare:            0.67,
		Pause:               4 * time.Second,
	}
}

// leastDrift is the number of engines that prefill beyond which the chosen share is restored. In a
// small fleet a share that was chosen while one was missing is never met exactly, and each order
// takes an engine away.
const leastDrift = 1.5

// enoughPrefill is the number of engines that prefill the largest load there is to be,
// 4.8 million tokens a second, three times over for its bursts, at 200 tokens a
// millisecond.
const enoughPrefill = 72

// Balancer says how many engines should prefill, one step at a time, from the
// pressure on both sides. It belongs to one goroutine.
type Balancer struct {
	set BalanceSettings
	// running and wait are averages of the pressure, of the time at.
	running, wait float64
	at            time.Time
	worked        bool
	moved         time.Time
	// share is the part of the engines that was chosen to prefill, and size the number of engines
	// when that part was last found.
	share float64
	size  int
}

// NewBalancer returns a balancer that has seen nothing.
func NewBalancer(set BalanceSettings) *Balancer { return &Balancer{set: set} }

// Target returns how many engines should prefill.
func (b *Balancer) Target(now time.Time, shape Shape, p Pressure) int {
	b.observe(now, p)
	if !b.worked {
		return b.choose(b.bounded(b.part(b.set.InitialPrefillShare, shape), shape), shape)
	}
	want := b.bounded(b.restored(shape), shape)
	if want != shape.Prefill || now.Sub(b.moved) < b.set.Pause {
		return want
	}
	want = b.bounded(shape.Prefill+b.step(shape, p), shape)
	if want != shape.Prefill {
		b.moved = now
		b.choose(want, shape)
	}
	return want
}

// choose notes the part of a fleet that is to prefill.
func (b *Balancer) choose(prefill int, shape Shape) int {
	b.share, b.size = float64(prefill)/float64(max(1, shape.size())), shape.size()
	return prefill
}

// restored is how many engines prefill, or should again after others have come or gone.
func (b *Balancer) restored(shape Shape) int {
	if b.size == 0 {
		return b.choose(shape.Prefill, shape)
	}
	drift := math.Abs(float64(shape.Prefill) - b.share*float64(shape.size()))
	if shape.size() == b.size || drift <= max(leastDrift, b.set.Drift*float64(shape.size())) {
		b.size = shape.size()
		return shape.Prefill
	}
	return b.part(b.share, shape)
}

// part is a part of the engines, or fewer where that is more than any load needs.
func (b *Balancer) part(share float64, shape Shape) int {
	want := int(math.Round(share * float64(shape.size())))
	if want > b.set.Enough {
		return max(shape.Prefill, b.set.Enough)
	}
	return want
}

// step is 1 for one engine more that prefills, -1 for one fewer.
func (b *Balancer) step(shape Shape, p Pressure) int {
	slots := float64(max(1, p.Slots))
	busy := b.wait > float64(b.set.Busy)
	switch {
	case busy && b.running <= b.set.Room*slots*float64(shape.Decode-1):
		return 1
	case !busy && b.running > b.set.Full*slots*float64(shape.Decode):
		return -1
	}
	return 0
}

// observe takes the pressure into the averages.
func (b *Balancer) observe(now time.Time, p Pressure) {
	b.worked = b.worked || p.Running > 0 || p.PrefillWait > 0
	weight := 1.0
	if !b.at.IsZero() {
		weight = 1 - math.Exp(-now.Sub(b.at).Seconds()/b.set.Memory.Seconds())
	}
	b.at = now
	b.running += weight * (float64(p.Running) - b.running)
	b.wait += weight * (float64(p.PrefillWait) - b.wait)
}

// leastDecode is how many engines of a fleet decode at least: two, if two are left that prefill. One
// alone runs out of slots before its average shows it, and nothing decodes when it goes.
func leastDecode(size int) int {
	if size < 4 {
		return 1
	}
	return 2
}

// bounded keeps the part that prefills within its bounds, and some engines that decode.
func (b *Balancer) bounded(prefill int, shape Shape) int {
	n := float64(shape.size())
	least := min(int(math.Floor(b.set.MinShare*n)), b.set.Enough)
	most := min(int(math.Ceil(b.set.MaxShare*n)), shape.size()-leastDecode(shape.size()))
	return max(0, min(max(prefill, least), most))
}

func (s Shape) size() int { return s.Prefill + s.Decode }
