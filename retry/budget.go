// Package retry decides whether a failed try may be followed by another: a
// budget for each pool of targets, jittered exponential backoff, and never past
// the caller's deadline. Whether a repeat is safe at all is decided by the
// packages that know what was sent (forward, claim).
package retry

import (
	"sync"
	"time"

	"github.com/springweir/springweir/internal/clock"
)

// Limits are the settings of a budget.
type Limits struct {
	// Ratio is the number of retries earned by each first attempt (0 to 1).
	Ratio float64
	// FloorPerSecond is earned each second whatever the load, so that a quiet
	// pool can retry at all.
	FloorPerSecond float64
	// Burst is the most that can be saved up, in retries.
	Burst float64
}

// DefaultLimits are used where the tree of settings names none.
var DefaultLimits = Limits{Ratio: 0.1, FloorPerSecond: 0.5, Burst: 10}

// Budget is a token bucket of retries for one pool of targets. Over any span it
// grants at most Burst + Ratio*first attempts + FloorPerSecond*seconds retries,
// which bounds the load that a failing endpoint adds. It is safe for concurrent
// use; its lock is a leaf (nothing else is locked under it).
type Budget struct {
	limits Limits
	now    func() time.Time

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

// NewBudget returns a budget that starts full. A nil now is the VM's clock.
func NewBudget(l Limits, now func() time.Time) *Budget {
	now = clock.OrSystem(now)
	return &Budget{limits: l, now: now, tokens: l.Burst, last: now()}
}

// First notes a first attempt, which earns a part of a retry.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.add(b.limits.Ratio)
}

// Take spends one retry and reports whether there was one.
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
	b.add(now.Sub(b.last).Seconds() * b.limits.FloorPerSecond)
	b.last = now
}

func (b *Budget) add(n float64) { b.tokens = min(b.tokens+n, b.limits.Burst) }

// Budgets holds a budget for each pool. Pools come from the tree of settings,
// so their number is bounded.
type Budgets struct {
	limits Limits

	mu     sync.Mutex
	byPool map[string]*Budget
}

// NewBudgets returns an empty set whose budgets are made with l.
func NewBudgets(l Limits) *Budgets {
	return &Budgets{limits: l, byPool: make(map[string]*Budget)}
}

// Of returns the budget of a pool.
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
