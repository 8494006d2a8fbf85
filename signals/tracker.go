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

// Config configures a Tracker.
type Config struct {
	// VM is the name of this VM.
	VM string
	// Now returns the current time; nil uses the VM's clock, which keeps running during a
	// suspension.
	Now func() time.Time
	// Publish sends signals to all other VMs; nil sends none.
	Publish func(loadshare.Announcement)
	// Endpoints returns the latest snapshot of the endpoints; nil means that none are registered.
	Endpoints func() *directory.Snapshot
	// Drain marks an endpoint's incarnation as draining and reports whether it was not yet marked;
	// nil does nothing.
	Drain func(*directory.Endpoint) bool
}

// Tracker holds the signals of all endpoints. It is safe for concurrent use. Its lock is a leaf;
// Publish and Drain are called without holding it.
type Tracker struct {
	cfg Config
	now func() time.Time
	// idsWithState holds the IDs of the endpoints that have a state, so that requests to all other
	// endpoints take no lock. The map is replaced, never modified.
	idsWithState atomic.Pointer[map[string]bool]

	mu sync.Mutex
	// states maps the Hash of an endpoint to its state. Only endpoints that sent a signal have one.
	states  map[uint64]*endpointState
	members loadshare.Membership
	// membersConfirmedAt is when the membership was last confirmed. No share is used before
	// sharesUsableFrom, because the other VMs may not have registered this VM as live yet.
	membersConfirmedAt, sharesUsableFrom time.Time
}

// endpointState holds the signals of one incarnation of an endpoint.
type endpointState struct {
	// id and zone belong to the endpoint; they are empty until it is registered here.
	id, zone string
	// updatedAt is when a response or an update from another VM was last applied.
	updatedAt time.Time
	limit     limit
	backoff   backoff
	// deniedAt is when a request was last blocked, and deniedPriority the most urgent priority
	// blocked around that time.
	deniedAt       time.Time
	deniedPriority int
}

// New returns a Tracker without signals, whose membership is this VM alone.
func New(c Config) *Tracker {
	t := &Tracker{cfg: c, now: clock.OrSystem(c.Now), states: map[uint64]*endpointState{}}
	t.idsWithState.Store(&map[string]bool{})
	t.members = loadshare.Membership{Live: []loadshare.Member{{Name: c.VM}}, Registered: 1}
	t.membersConfirmedAt = t.now()
	return t
}

// Hash identifies an incarnation of an endpoint in messages between VMs.
func Hash(e *directory.Endpoint) uint64 { return xxhash.Sum64String(e.Incarnation()) }

// hasNoState reports whether an endpoint has no state because it sent no signal. It takes no lock.
func (t *Tracker) hasNoState(e *directory.Endpoint) bool { return !(*t.idsWithState.Load())[e.ID] }

// stateOf returns the state of an endpoint, or nil. The caller holds mu.
func (t *Tracker) stateOf(e *directory.Endpoint) *endpointState { return t.states[Hash(e)] }

// addState creates the state of an endpoint; e is nil if it is not registered here yet. The caller
// holds mu.
func (t *Tracker) addState(hash uint64, e *directory.Endpoint) *endpointState {
	s := &endpointState{}
	t.states[hash] = s
	if e != nil {
		t.bindEndpoint(hash, s, e)
	}
	return s
}

// bindEndpoint associates a state with its registered endpoint. The caller holds mu.
func (t *Tracker) bindEndpoint(hash uint64, s *endpointState, e *directory.Endpoint) {
	s.id, s.zone = e.ID, e.Zone
	t.assignShare(hash, s, 0)
	t.updateIDsWithState()
}

// updateIDsWithState rebuilds idsWithState from states. The caller holds mu.
func (t *Tracker) updateIDsWithState() {
	ids := make(map[string]bool, len(t.states))
	for _, s := range t.states {
		ids[s.id] = true
	}
	t.idsWithState.Store(&ids)
}

// Observe applies the signal of a response and publishes what changed to the other VMs.
func (t *Tracker) Observe(r Response) {
	if r.Signal == (Signal{}) && t.hasNoState(r.Endpoint) {
		return
	}
	updates := t.observeState(r)
	if r.Signal.Draining && t.markDraining(r.Endpoint, "request", r.Request) {
		updates = append(updates, &sharepb.EndpointSignal{Endpoint: Hash(r.Endpoint), Draining: true})
	}
	if len(updates) > 0 && t.cfg.Publish != nil {
		t.cfg.Publish(loadshare.Announcement{Signals: updates})
	}
}

// observeState applies the limit and the backoff of a response, and returns the updates to publish.
func (t *Tracker) observeState(r Response) []*sharepb.EndpointSignal {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stateOf(r.Endpoint)
	if s == nil {
		if r.Signal.Limit.Kind == Unlimited && r.Signal.Backoff == 0 {
			return nil
		}
		s = t.addState(Hash(r.Endpoint), r.Endpoint)
	}
	s.updatedAt = t.now()
	s.backoff.observe(s.updatedAt, r)
	return t.observeLimit(s, r)
}

// observeLimit applies the rate limit of a response, and returns the updates to publish. The caller
// holds mu.
func (t *Tracker) observeLimit(s *endpointState, r Response) []*sharepb.EndpointSignal {
	if r.Signal.Limit.Kind == Malformed {
		countEvent("limit", "malformed")
		klog.InfoS("signals: malformed rate limit ignored, keeping the previous one", "endpoint", r.Endpoint.ID, "request", r.Request)
		return nil
	}
	previous := s.limit
	if !s.limit.observe(s.updatedAt, r.Signal.Limit, r.Sent) {
		return nil
	}
	t.handleLimitChange(Hash(r.Endpoint), s, previous, "request", r.Request)
	return []*sharepb.EndpointSignal{s.limit.toProto(Hash(r.Endpoint))}
}

// markDraining marks an endpoint as draining and reports whether it was not yet marked. The caller
// does not hold mu.
func (t *Tracker) markDraining(e *directory.Endpoint, sourceKey string, source any) bool {
	if t.cfg.Drain == nil || !t.cfg.Drain(e) {
		return false
	}
	countEvent("drain", "learned")
	klog.InfoS("signals: drain announced", "endpoint", e.ID, sourceKey, source)
	return true
}

// Receive applies the updates that another VM published. It ignores a drain of an endpoint that is
// not registered here yet; the endpoint's next response repeats it.
func (t *Tracker) Receive(updates []*sharepb.EndpointSignal) {
	for _, update := range updates {
		if update.Version > 0 {
			t.mergeLimit(update)
		}
		if !update.Draining {
			continue
		}
		if e := t.findEndpoint(update.Endpoint); e != nil {
			t.markDraining(e, "from", "another VM")
		}
	}
}

func (t *Tracker) mergeLimit(update *sharepb.EndpointSignal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[update.Endpoint]
	if s == nil {
		s = t.addState(update.Endpoint, t.findEndpoint(update.Endpoint))
	}
	s.updatedAt = t.now()
	previous := s.limit
	if s.limit.merge(s.updatedAt, update) {
		t.handleLimitChange(update.Endpoint, s, previous, "version", update.Version)
	}
}

// findEndpoint returns the endpoint with the given Hash, or nil if it is not registered here.
func (t *Tracker) findEndpoint(hash uint64) *directory.Endpoint {
	if t.cfg.Endpoints == nil {
		return nil
	}
	for _, e := range t.cfg.Endpoints().All() {
		if Hash(e) == hash {
			return e
		}
	}
	return nil
}

// handleLimitChange handles a new version of a limit. If the limit itself changed, it assigns or
// drops this VM's share, counts the event and logs it. The caller holds mu.
func (t *Tracker) handleLimitChange(hash uint64, s *endpointState, previous limit, sourceKey string, source any) {
	current := s.limit
	if current.limited == previous.limited && current.perSecond == previous.perSecond {
		return
	}
	event := "changed"
	switch {
	case !current.limited:
		event = "ended"
		s.limit.dropShare()
	case !previous.limited:
		event = "learned"
	}
	if current.limited {
		t.assignShare(hash, s, 0)
	}
	countEvent("limit", event)
	klog.InfoS("signals: rate limit "+event, "endpoint", s.id, "perSecond", current.perSecond, "ownPerSecond", s.limit.share.perSecond, "rank", s.limit.share.rank, sourceKey, source)
}
