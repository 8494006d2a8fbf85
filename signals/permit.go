package signals

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
)

// permitTTL is how long a permit may wait for its request to be sent. Requests that wait longer
// would accumulate and be sent in a burst.
const permitTTL = 500 * time.Millisecond

// Permit allows one request to an endpoint. It belongs to one attempt.
type Permit struct {
	tracker  *Tracker
	endpoint *directory.Endpoint
	// acquiredAt is when the permit was charged to the limit; zero for an endpoint without a limit.
	acquiredAt time.Time
	// period is the time charged to the bucket; zero for a probe by a VM without a share.
	period time.Duration
}

// Acquire returns a permit for a request to an endpoint, and a Block that states the reason if the
// request may not be sent now.
func (t *Tracker) Acquire(e *directory.Endpoint) (*Permit, Block) {
	p := &Permit{tracker: t, endpoint: e}
	if t.hasNoState(e) {
		return p, Block{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.expireShares(now)
	return p, p.acquire(now)
}

// acquire charges the permit to the endpoint's backoff and limit. The caller holds the tracker's
// lock.
func (p *Permit) acquire(now time.Time) Block {
	s := p.tracker.stateOf(p.endpoint)
	if s == nil {
		return Block{}
	}
	if block := s.block(now); block.Reason != "" {
		return block
	}
	if s.backoff.admit() {
		countEvent("backoff", "ended")
		klog.InfoS("signals: backoff ended", "endpoint", s.id)
	}
	if !s.limit.limited {
		return Block{}
	}
	p.acquiredAt, p.period = now, 0
	s.limit.lastAcquiredAt = now
	if s.limit.share.perSecond > 0 {
		p.period = interval(s.limit.share.perSecond)
		s.limit.bucket.take(now, p.period, s.limit.share.offset)
	}
	return Block{}
}

// Recheck returns a Block if the request may no longer be sent. Callers use it immediately before
// sending. A permit from before the limit was known, or one older than permitTTL, is acquired again.
func (p *Permit) Recheck() Block {
	if p == nil || p.tracker.hasNoState(p.endpoint) {
		return Block{}
	}
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	now := p.tracker.now()
	p.tracker.expireShares(now)
	s := p.tracker.stateOf(p.endpoint)
	if s == nil {
		return Block{}
	}
	if s.backoff.active(now) {
		return s.block(now)
	}
	if !s.limit.limited || !p.acquiredAt.IsZero() && now.Sub(p.acquiredAt) <= permitTTL {
		return Block{}
	}
	p.release(s)
	return p.acquire(now)
}

// Release returns the permit of a request that was not sent.
func (p *Permit) Release() {
	if p == nil || p.acquiredAt.IsZero() {
		return
	}
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	p.release(p.tracker.stateOf(p.endpoint))
}

// release returns the permit. The caller holds the tracker's lock.
func (p *Permit) release(s *endpointState) {
	if s == nil || p.acquiredAt.IsZero() {
		return
	}
	if p.period > 0 {
		s.limit.bucket.refund(p.period)
	}
	if s.limit.lastAcquiredAt.Equal(p.acquiredAt) {
		s.limit.lastAcquiredAt = time.Time{}
	}
	p.acquiredAt, p.period = time.Time{}, 0
}
