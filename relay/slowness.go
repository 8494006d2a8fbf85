package relay

import (
	"sync"

	"github.com/springweir/springweir/internal/clock"
)

// An endpoint that takes longer than usual for a request is slow or silent. An attempt that is given up
// at a slow one is work for nothing, which makes the endpoint slower still. An attempt with a known
// Patience is therefore given up only after it; and rarely, if the endpoint answers others meanwhile.

const (
	// slowFraction is the fraction of the attempts that may be given up although their endpoint answers
	// others.
	slowFraction = 0.02
	// maxSlowBurst is how many of them may be given up at once after a time without any.
	maxSlowBurst = 4
)

// slowBudget bounds the attempts that are given up although their endpoint answers others. It is safe for
// concurrent use.
type slowBudget struct {
	mu   sync.Mutex
	left float64
}

// sent records an attempt.
func (b *slowBudget) sent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+slowFraction, maxSlowBurst)
}

// take reports whether an attempt may be given up, and records that it is.
func (b *slowBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// giveBack records that an attempt was not given up after all.
func (b *slowBudget) giveBack() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left++
}

// withPatience returns a condition for giving up an attempt that holds only after the patience of its
// plan, and rarely while its endpoint answers others.
func (j *job) withPatience(plan Plan, next *successor, condition func() bool) func() bool {
	if plan.Patience <= 0 {
		return condition
	}
	slow := &j.relay.slow
	slow.sent()
	return func() bool {
		next.silence = clock.Since(next.sentAt)
		if next.silence < plan.Patience {
			return false
		}
		if plan.Answering == nil || !plan.Answering() {
			return condition()
		}
		if !slow.take() {
			return false
		}
		if condition() {
			return true
		}
		slow.giveBack()
		return false
	}
}
