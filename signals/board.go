package signals

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/internal/clock"
)

// Config is what a Board works with.
type Config struct {
	// Now is where the time comes from; nil is the VM's clock, which goes on during a suspension.
	Now func() time.Time
}

// Board holds the signals of all endpoints. It is safe for concurrent use; its lock is a leaf.
type Board struct {
	now func() time.Time

	mu sync.Mutex
	// states are by the incarnation of the endpoint, and hold only endpoints that have sent a signal.
	states map[string]*state
}

// state is what is known of one incarnation of an endpoint.
type state struct {
	limit    Limit
	backoff  time.Time
	draining bool
}

// New returns a board that knows nothing.
func New(c Config) *Board {
	return &Board{now: clock.OrSystem(c.Now), states: map[string]*state{}}
}

// Learn takes in a response.
func (b *Board) Learn(r Response) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[r.Endpoint.Incarnation()]
	if s == nil {
		if r.Signal == (Signal{}) {
			return
		}
		s = &state{}
		b.states[r.Endpoint.Incarnation()] = s
	}
	s.learnLimit(r)
	s.learnBackoff(b.now(), r)
	s.learnDrain(r)
}

func (s *state) learnLimit(r Response) {
	limit := r.Signal.Limit
	switch {
	case limit.Kind == Malformed:
		count("limit", "malformed")
		klog.InfoS("signals: rate limit not understood, the known one stands", "endpoint", r.Endpoint.ID, "request", r.Request)
		return
	case limit == s.limit:
		return
	case limit.Kind == Unlimited:
		count("limit", "ended")
	case s.limit.Kind == Unlimited:
		count("limit", "learned")
	default:
		count("limit", "changed")
	}
	klog.InfoS("signals: rate limit", "endpoint", r.Endpoint.ID, "request", r.Request, "limited", limit.Kind == Named, "perSecond", limit.PerSecond)
	s.limit = limit
}

func (s *state) learnBackoff(now time.Time, r Response) {
	if r.Signal.Backoff <= 0 {
		return
	}
	if now.Before(s.backoff) {
		count("backoff", "changed")
	} else {
		count("backoff", "learned")
	}
	s.backoff = now.Add(r.Signal.Backoff)
	klog.InfoS("signals: backoff requested", "endpoint", r.Endpoint.ID, "request", r.Request, "for", r.Signal.Backoff)
}

func (s *state) learnDrain(r Response) {
	if !r.Signal.Draining || s.draining {
		return
	}
	s.draining = true
	count("drain", "learned")
	klog.InfoS("signals: drain announced", "endpoint", r.Endpoint.ID, "request", r.Request, "rowDraining", r.Endpoint.Draining)
}

// Keep forgets endpoints that are gone or have started again.
func (b *Board) Keep(s *directory.Snapshot) {
	live := map[string]bool{}
	for _, e := range s.All() {
		live[e.Incarnation()] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for incarnation := range b.states {
		if !live[incarnation] {
			delete(b.states, incarnation)
		}
	}
}
