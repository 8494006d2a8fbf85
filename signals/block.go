package signals

import (
	"time"

	"github.com/springweir/springweir/directory"
)

// Reason is the reason why no request may be sent to an endpoint now; empty if one may.
type Reason string

const (
	// RateLimited means that the endpoint's rate limit admits no request from this VM now.
	RateLimited Reason = "rate-limited"
	// BackingOff means that the endpoint requested a backoff from this VM, or that the ramp after
	// the backoff admits no request yet.
	BackingOff Reason = "backing-off"
)

// Block states why an endpoint accepts no request from this VM now, and estimates how long until it
// accepts one from any VM. The zero value means that the endpoint is not blocked.
type Block struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Check reports whether a request of the given priority (0 is the most urgent) may be planned for
// an endpoint, and whether the endpoint has a rate limit. draw returns random numbers from 0 to 1
// and decides whether a less urgent request yields to a more urgent one.
func (t *Tracker) Check(e *directory.Endpoint, priority int, draw func() float64) (block Block, limited bool) {
	if t.hasNoState(e) {
		return Block{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stateOf(e)
	if s == nil {
		return Block{}, false
	}
	now := t.now()
	t.expireShares(now)
	block = s.block(now)
	if block.Reason == "" && s.yieldsToUrgent(now, priority, draw) {
		block = Block{Reason: RateLimited, RetryAfter: yieldDuration}
	}
	if block.Reason == RateLimited {
		s.recordDenial(now, priority)
	}
	return block, s.limit.limited
}

// block returns the reason why the endpoint accepts no request from this VM now.
func (s *endpointState) block(now time.Time) Block {
	if wait := s.backoff.wait(now); wait > 0 {
		return Block{Reason: BackingOff, RetryAfter: wait}
	}
	if !s.limit.limited {
		return Block{}
	}
	if s.limit.wait(now) > 0 {
		return Block{Reason: RateLimited, RetryAfter: s.limit.availableIn(now)}
	}
	return Block{}
}

// Active returns the number of endpoints with a rate limit and the number of endpoints with a
// backoff in force for this VM.
func (t *Tracker) Active() (limits, backoffs int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, s := range t.states {
		if s.limit.limited {
			limits++
		}
		if s.backoff.active(now) {
			backoffs++
		}
	}
	return limits, backoffs
}

const (
	// yieldDuration is how long less urgent requests yield after a more urgent one was blocked.
	yieldDuration = time.Second
	// yieldProbability is the fraction of them that yields. The others proceed, so that no priority
	// is starved.
	yieldProbability = 0.5
)

// yieldsToUrgent reports whether a request yields to more urgent requests that were blocked.
func (s *endpointState) yieldsToUrgent(now time.Time, priority int, draw func() float64) bool {
	return s.limit.limited && priority > s.deniedPriority && now.Sub(s.deniedAt) < yieldDuration && draw() < yieldProbability
}

// recordDenial records a blocked request, unless a more urgent one was recorded within
// yieldDuration.
func (s *endpointState) recordDenial(now time.Time, priority int) {
	if now.Sub(s.deniedAt) >= yieldDuration || priority <= s.deniedPriority {
		s.deniedAt, s.deniedPriority = now, priority
	}
}
