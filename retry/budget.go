// Package retry decides whether a failed attempt may be followed by another one. It provides retry
// budgets and jittered exponential backoff that respects the caller's deadline. Whether a retry is
// safe is decided by the packages that send requests, such as forward and claim.
package retry

import (
	"sync"
	"time"

	"github.com/springweir/springweir/internal/clock"
)

// Limits configures a Budget.
type Limits struct {
	// Ratio is the number of retries that each first attempt earns, from 0 to 1.
	Ratio float64
	// FloorPerSecond is the number of retries earned per second regardless of the load, so that a
	// pool with little traffic can retry at all.
	FloorPerSecond float64
	// Burst is the largest number of retries that can accumulate.
	Burst float64
	// BurstRatio raises Burst by so many retries for each first attempt of the last BurstSpan.
	BurstRatio float64
	BurstSpan  time.Duration
	// StartsEmpty is set if a new budget holds no retries; otherwise it holds Burst. Where several processes
	// share a limit, a process that starts again must not spend a second time what it had spent before.
	StartsEmpty bool
}

// DefaultLimits are used if the settings define none.
var DefaultLimits = Limits{Ratio: 0.1, FloorPerSecond: 0.5, Burst: 10}

// Budget is a token bucket of retries for one pool of targets. In any period it grants at most
// Burst + BurstRatio*first attempts of the BurstSpan before + Ratio*first attempts + FloorPerSecond*seconds
// retries, which bounds the additional load that a failing endpoint causes. It is safe for concurrent
// use. Its lock is a leaf: no other lock is acquired while it is held.
type Budget struct {
	now func() time.Time

	mu     sync.Mutex
	limits Limits
	tokens float64
	last   time.Time
	// recent counts the first attempts that raise the largest number of tokens.
	recent recentCount
}

// NewBudget returns a new budget. If now is nil, clock.Now is used.
func NewBudget(l Limits, now func() time.Time) *Budget {
	now = clock.OrSystem(now)
	b := &Budget{limits: l, now: now, last: now(), recent: recentCount{start: now()}}
	if !l.StartsEmpty {
		b.tokens = l.Burst
	}
	return b
}

// Fill adds Burst retries.
func (b *Budget) Fill() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.add(b.limits.Burst)
}

// SetLimits changes the limits. Retries beyond the new Burst are lost.
func (b *Budget) SetLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	if l.BurstSpan != b.limits.BurstSpan {
		b.recent = recentCount{start: b.last}
	}
	b.limits = l
	b.add(0)
}

// First records a first attempt, which earns Ratio retries.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	if b.limits.BurstSpan > 0 {
		b.recent.add()
	}
	b.add(b.limits.Ratio)
}

// Available reports whether a retry is available.
func (b *Budget) Available() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	return b.tokens >= 1
}

// Take consumes one retry and reports whether one was available.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill() {
	now := b.now()
	if b.limits.BurstSpan > 0 {
		b.recent.advance(now, b.limits.BurstSpan)
	}
	b.add(now.Sub(b.last).Seconds() * b.limits.FloorPerSecond)
	b.last = now
}

func (b *Budget) add(n float64) {
	b.tokens = min(b.tokens+n, b.limits.Burst+b.limits.BurstRatio*float64(b.recent.total))
}

// Budgets holds a budget for each pool. It never removes one; the settings define the pools, so
// their number is bounded. It is safe for concurrent use.
type Budgets struct {
	limits Limits

	mu     sync.Mutex
	byPool map[string]*Budget
}

// NewBudgets returns an empty set whose budgets have the limits l.
func NewBudgets(l Limits) *Budgets {
	return &Budgets{limits: l, byPool: make(map[string]*Budget)}
}

// Of returns the budget of a pool and creates it on first use.
func (s *Budgets) Of(pool string) *Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.byPool[pool]
	if b == nil {
		b = NewBudget(s.limits, nil)
		s.byPool[pool] = b
	}
	return b
}
