package signals

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
)

// permitTTL is how long a permit may wait for its request to be sent. Requests that wait longer
// would gather and go at once.
const permitTTL = 500 * time.Millisecond

// Permit lets one request go to an endpoint. It belongs to one attempt.
type Permit struct {
	board    *Tracker
	endpoint *directory.Endpoint
	// taken is when the permit was taken out of the limit; zero for an endpoint without one.
	taken time.Time
	// every is the interval that was taken, zero for a probe of a VM without a share.
	every time.Duration
}

// Acquire returns a permit for a request to an endpoint, or why there is none.
func (b *Tracker) Acquire(e *directory.Endpoint) (*Permit, Block) {
	p := &Permit{board: b, endpoint: e}
	if b.quiet(e) {
		return p, Block{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.lapse(now)
	return p, p.take(now)
}

// take takes the permit out of what the endpoint allows. The caller holds the board's lock.
func (p *Permit) take(now time.Time) Block {
	s := p.board.stateOf(p.endpoint)
	if s == nil {
		return Block{}
	}
	if block := s.block(now); block.Reason != "" {
		return block
	}
	if s.backoff.take() {
		count("backoff", "ended")
		klog.InfoS("signals: backoff ended", "endpoint", s.id)
	}
	if !s.limit.limited {
		return Block{}
	}
	p.taken, p.every = now, 0
	s.limit.takenAt = now
	if s.limit.share.perSecond > 0 {
		p.every = interval(s.limit.share.perSecond)
		s.limit.bucket.take(now, p.every)
	}
	return Block{}
}

// Recheck tells whether the request may still be sent, just before it is. A permit from before the
// limit was known, or one that has waited for long, is taken anew.
func (p *Permit) Recheck() Block {
	if p == nil || p.board.quiet(p.endpoint) {
		return Block{}
	}
	p.board.mu.Lock()
	defer p.board.mu.Unlock()
	now := p.board.now()
	p.board.lapse(now)
	s := p.board.stateOf(p.endpoint)
	if s == nil {
		return Block{}
	}
	if s.backoff.active(now) {
		return s.block(now)
	}
	if !s.limit.limited || !p.taken.IsZero() && now.Sub(p.taken) <= permitTTL {
		return Block{}
	}
	p.release(s)
	return p.take(now)
}

// Release gives back the permit of a request that was not sent.
func (p *Permit) Release() {
	if p == nil || p.taken.IsZero() {
		return
	}
	p.board.mu.Lock()
	defer p.board.mu.Unlock()
	p.release(p.board.stateOf(p.endpoint))
}

// release gives the permit back. The caller holds the board's lock.
func (p *Permit) release(s *state) {
	if s == nil || p.taken.IsZero() {
		return
	}
	if p.every > 0 {
		s.limit.bucket.giveBack(p.every)
	}
	if s.limit.takenAt.Equal(p.taken) {
		s.limit.takenAt = time.Time{}
	}
	p.taken, p.every = time.Time{}, 0
}
