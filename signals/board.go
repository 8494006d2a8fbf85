package signals

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/loadshare/sharepb"
)

// Config is what a Tracker works with.
type Config struct {
	// VM is this VM's name.
	VM string
	// Now is where the time comes from; nil is the VM's clock, which goes on during a suspension.
	Now func() time.Time
	// Publish sends signals to all other VMs; nil sends none.
	Publish func(loadshare.Announcement)
	// Endpoints returns the newest picture of the endpoints; nil names none.
	Endpoints func() *directory.Snapshot
	// Drain makes an endpoint's incarnation a draining one, and tells whether it was not yet; nil does
	// nothing.
	Drain func(*directory.Endpoint) bool
}

// Tracker holds the signals of all endpoints. It is safe for concurrent use; its lock is a leaf, and
// Publish and Drain are called without it.
type Tracker struct {
	cfg Config
	now func() time.Time
	// known are the IDs of the endpoints that have a state, so that all others cost no lock. It is
	// replaced, never changed.
	known atomic.Pointer[map[string]bool]

	mu sync.Mutex
	// states are by the hash of the endpoint's incarnation, and hold only endpoints that have sent a
	// signal.
	states  map[uint64]*state
	members loadshare.Membership
	// membersAt is when the members were last confirmed, and sharesFrom before when no share is used,
	// since the others may not know yet that this VM is there.
	membersAt, sharesFrom time.Time
}

// state is what is known of one incarnation of an endpoint.
type state struct {
	// id and zone are the endpoint's, empty until it is known here.
	id, zone string
	// touched is when something was last learned of it.
	touched time.Time
	limit   limit
	backoff backoff
	// denied is when a request was last not let through, and deniedPriority the most urgent one of
	// that moment.
	denied         time.Time
	deniedPriority int
}

// New returns a board that knows nothing, of a VM that knows no other.
func New(c Config) *Tracker {
	b := &Tracker{cfg: c, now: clock.OrSystem(c.Now), states: map[uint64]*state{}}
	b.known.Store(&map[string]bool{})
	b.members = loadshare.Membership{Live: []loadshare.Member{{Name: c.VM}}, Registered: 1}
	b.membersAt = b.now()
	return b
}

// Hash names an incarnation of an endpoint between VMs.
func Hash(e *directory.Endpoint) uint64 { return xxhash.Sum64String(e.Incarnation()) }

// quiet tells whether an endpoint has sent no signal.
func (b *Tracker) quiet(e *directory.Endpoint) bool { return !(*b.known.Load())[e.ID] }

// stateOf returns the state of an endpoint, or nil. The caller holds mu.
func (b *Tracker) stateOf(e *directory.Endpoint) *state { return b.states[Hash(e)] }

// add makes a state, of an endpoint that may not be registered here yet: nil. The caller holds mu.
func (b *Tracker) add(endpoint uint64, e *directory.Endpoint) *state {
	s := &state{}
	b.states[endpoint] = s
	if e != nil {
		b.bind(endpoint, s, e)
	}
	return s
}

// bind names the endpoint of a state. The caller holds mu.
func (b *Tracker) bind(endpoint uint64, s *state, e *directory.Endpoint) {
	s.id, s.zone = e.ID, e.Zone
	b.share(endpoint, s, 0)
	b.noteKnown()
}

// noteKnown takes in which endpoints have a state. The caller holds mu.
func (b *Tracker) noteKnown() {
	ids := make(map[string]bool, len(b.states))
	for _, s := range b.states {
		ids[s.id] = true
	}
	b.known.Store(&ids)
}

// Observe takes in a response.
func (b *Tracker) Observe(r Response) {
	if r.Signal == (Signal{}) && b.quiet(r.Endpoint) {
		return
	}
	updates := b.learnState(r)
	if r.Signal.Draining && b.drain(r.Endpoint, "request", r.Request) {
		updates = append(updates, &sharepb.EndpointSignal{Endpoint: Hash(r.Endpoint), Draining: true})
	}
	if len(updates) > 0 && b.cfg.Publish != nil {
		b.cfg.Publish(loadshare.Announcement{Signals: updates})
	}
}

// learnState takes in what a response says that is kept here, and returns what the other VMs are to
// know.
func (b *Tracker) learnState(r Response) []*sharepb.EndpointSignal {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(r.Endpoint)
	if s == nil {
		if r.Signal.Limit.Kind == Unlimited && r.Signal.Backoff == 0 {
			return nil
		}
		s = b.add(Hash(r.Endpoint), r.Endpoint)
	}
	s.touched = b.now()
	s.backoff.learn(s.touched, r)
	return b.learnLimit(s, r)
}

// learnLimit takes in what a response says of the rate limit, and returns what the other VMs are to
// know. The caller holds mu.
func (b *Tracker) learnLimit(s *state, r Response) []*sharepb.EndpointSignal {
	if r.Signal.Limit.Kind == Malformed {
		count("limit", "malformed")
		klog.InfoS("signals: rate limit not understood, the known one stands", "endpoint", r.Endpoint.ID, "request", r.Request)
		return nil
	}
	before := s.limit
	if !s.limit.observe(s.touched, r.Signal.Limit, r.Sent) {
		return nil
	}
	b.limitChanged(Hash(r.Endpoint), s, before, "request", r.Request)
	return []*sharepb.EndpointSignal{s.limit.signal(Hash(r.Endpoint))}
}

// drain makes an endpoint a draining one, and tells whether it was not yet. The caller does not hold
// mu.
func (b *Tracker) drain(e *directory.Endpoint, from string, value any) bool {
	if b.cfg.Drain == nil || !b.cfg.Drain(e) {
		return false
	}
	count("drain", "learned")
	klog.InfoS("signals: drain announced", "endpoint", e.ID, from, value)
	return true
}

// Receive takes in what another VM published. A drain of an endpoint that is not registered here yet is
// left to its next response.
func (b *Tracker) Receive(list []*sharepb.EndpointSignal) {
	for _, update := range list {
		if update.Version > 0 {
			b.receiveLimit(update)
		}
		if !update.Draining {
			continue
		}
		if e := b.lookUp(update.Endpoint); e != nil {
			b.drain(e, "from", "another VM")
		}
	}
}

func (b *Tracker) receiveLimit(update *sharepb.EndpointSignal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[update.Endpoint]
	if s == nil {
		s = b.add(update.Endpoint, b.lookUp(update.Endpoint))
	}
	s.touched = b.now()
	before := s.limit
	if s.limit.merge(s.touched, update) {
		b.limitChanged(update.Endpoint, s, before, "version", update.Version)
	}
}

// lookUp finds an endpoint by its hash; nil if it is not known yet.
func (b *Tracker) lookUp(endpoint uint64) *directory.Endpoint {
	if b.cfg.Endpoints == nil {
		return nil
	}
	for _, e := range b.cfg.Endpoints().All() {
		if Hash(e) == endpoint {
			return e
		}
	}
	return nil
}

// limitChanged follows a new version of a limit: a share for it, a line and a counter if it is another
// limit than before. The caller holds mu.
func (b *Tracker) limitChanged(endpoint uint64, s *state, before limit, from string, value any) {
	now := s.limit
	if now.limited == before.limited && now.perSecond == before.perSecond {
		return
	}
	event := "changed"
	switch {
	case !now.limited:
		event = "ended"
		s.limit.dropShare()
	case !before.limited:
		event = "learned"
	}
	if now.limited {
		b.share(endpoint, s, 0)
	}
	count("limit", event)
	klog.InfoS("signals: rate limit "+event, "endpoint", s.id, "perSecond", now.perSecond, "ownPerSecond", s.limit.share.perSecond, "rank", s.limit.share.rank, from, value)
}
