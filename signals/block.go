package signals

import (
	"time"

	"github.com/springweir/springweir/directory"
)

// Reason is why nothing may be sent to an endpoint now; empty if something may.
type Reason string

const (
	// RateLimited is an endpoint whose limit leaves this VM nothing now.
	RateLimited Reason = "rate-limited"
	// BackingOff is an endpoint that wants nothing from this VM for a time, or little right after it.
	BackingOff Reason = "backing-off"
)

// Block is why an endpoint takes nothing from this VM now, and for how long it does from none, as far as
// this one can tell. The zero value is none.
type Block struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Check tells whether a request of a priority (0 is the most urgent) may be planned for an endpoint, and
// whether the endpoint has a limit. draw, which returns numbers from 0 to 1, decides between requests
// of different priorities.
func (b *Tracker) Check(e *directory.Endpoint, priority int, draw func() float64) (block Block, limited bool) {
	if b.quiet(e) {
		return Block{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(e)
	if s == nil {
		return Block{}, false
	}
	now := b.now()
	b.lapse(now)
	block = s.block(now)
	if block.Reason == "" && s.yields(now, priority, draw) {
		block = Block{Reason: RateLimited, RetryAfter: yieldFor}
	}
	if block.Reason == RateLimited {
		s.deny(now, priority)
	}
	return block, s.limit.limited
}

// block is why the endpoint takes nothing from this VM now.
func (s *state) block(now time.Time) Block {
	if wait := s.backoff.wait(now); wait > 0 {
		return Block{Reason: BackingOff, RetryAfter: wait}
	}
	if !s.limit.limited {
		return Block{}
	}
	if s.limit.wait(now) > 0 {
		return Block{Reason: RateLimited, RetryAfter: s.limit.freeIn(now)}
	}
	return Block{}
}

// Active returns how many endpoints have a rate limit, and how many want nothing from this VM for a
// time.
func (b *Tracker) Active() (limits, backoffs int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, s := range b.states {
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
	// yieldFor is how long less urgent requests yield after a more urgent one was not let through.
	yieldFor = time.Second
	// yieldPart is the part of them that does. The others go on: no kind of request is to be starved.
	yieldPart = 0.5
)

// yields tells whether a request leaves its place to more urgent ones.
func (s *state) yields(now time.Time, priority int, draw func() float64) bool {
	return s.limit.limited && priority > s.deniedPriority && now.Sub(s.denied) < yieldFor && draw() < yieldPart
}

// deny notes a request that was not let through.
func (s *state) deny(now time.Time, priority int) {
	if now.Sub(s.denied) >= yieldFor || priority <= s.deniedPriority {
		s.denied, s.deniedPriority = now, priority
	}
}
