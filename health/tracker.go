package health

import (
	"slices"
	"sync"
	"time"
)

// Result is how a request to an endpoint went.
type Result uint8

// The results.
const (
	// Succeeded means that the endpoint did its part.
	Succeeded Result = iota
	// Failed means that the endpoint broke, refused without cause or gave a
	// wrong answer.
	Failed
	// Unresponsive means that nothing came for so long that the attempt was given up.
	Unresponsive
	// Abandoned tells nothing of the endpoint: the caller went away.
	Abandoned
)

// Ticket binds a result to the request that it is about. The zero Ticket is not valid.
type Ticket struct {
	endpoint    string
	incarnation string
	// trial is the number of the trial that the request is, or zero.
	trial uint64
}

// Trial tells whether the request is a half-open trial.
func (t Ticket) Trial() bool { return t.trial != 0 }

// Tracker follows the endpoints of one zone. It is safe for concurrent use: mu
// guards every field, and nothing else is locked or called under it.
//
// Invariants: in each group with members at least one is healthy; at most
// allowed(size) are not; an endpoint has at most one trial whose result counts.
type Tracker struct {
	mu      sync.Mutex
	cfg     Config
	members map[string]*member
	groups  map[string][]*member
	trials  uint64
	// changed names the members whose status changed since TakeChanges.
	changed map[string]bool
}

// Change is a new status of an endpoint.
type Change struct {
	Endpoint string
	Status   Status
}

// member is the state of one endpoint.
type member struct {
	name        string
	incarnation string
	groups      []string
	status      Status
	trial       uint64
	failures    int
	silent      int
	// level is the number of doublings of the next ejection.
	level    int
	returned time.Duration
	recent   window
}

// NewTracker returns a tracker without members.
func NewTracker(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, members: make(map[string]*member), groups: make(map[string][]*member), changed: make(map[string]bool)}
}

// Configure changes the thresholds. What is known of the endpoints stays; a group
// of which fewer may now be out gets some of them back.
func (t *Tracker) Configure(cfg Config) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cfg = cfg
	for group := range t.groups {
		t.relieve(group)
	}
}

// TakeChanges returns the endpoints whose status has changed since the last
// call, with the newest. A call about one endpoint may change another: the last
// one of a group is returned to work.
func (t *Tracker) TakeChanges() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := make([]Change, 0, len(t.changed))
	for name := range t.changed {
		c := Change{Endpoint: name}
		if m := t.members[name]; m != nil {
			c.Status = m.status
		}
		changes = append(changes, c)
	}
	clear(t.changed)
	return changes
}

// become gives m a new status.
func (t *Tracker) become(m *member, s Status) {
	m.status = s
	t.changed[m.name] = true
}

// Set adds an endpoint or takes in its new incarnation, which starts healthy.
// Groups are the sets within which it may not be the last one ejected, such as
// the engines of a pool that serve the same model in the same role.
func (t *Tracker) Set(name, incarnation string, groups []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[name]
	if m != nil && m.incarnation == incarnation && slices.Equal(m.groups, groups) {
		return
	}
	if m == nil || m.incarnation != incarnation {
		t.leave(m)
		m = &member{name: name, incarnation: incarnation}
		t.members[name] = m
		t.changed[name] = true
	} else {
		t.leave(m)
	}
	m.groups = slices.Clone(groups)
	for _, g := range groups {
		t.groups[g] = append(t.groups[g], m)
		t.relieve(g)
	}
}

// Remove drops an endpoint.
func (t *Tracker) Remove(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leave(t.members[name])
	delete(t.members, name)
}

// leave takes m out of its groups and keeps their invariant.
func (t *Tracker) leave(m *member) {
	if m == nil {
		return
	}
	for _, g := range m.groups {
		t.groups[g] = slices.DeleteFunc(t.groups[g], func(o *member) bool { return o == m })
		t.relieve(g)
		if len(t.groups[g]) == 0 {
			delete(t.groups, g)
		}
	}
}

// relieve returns endpoints of a group that has become too small to do without
// them, the one with the least time left first.
func (t *Tracker) relieve(group string) {
	members := t.groups[group]
	for t.out(members) > t.allowed(len(members)) {
		var first *member
		for _, m := range members {
			if m.status.Phase != Healthy && (first == nil || m.status.Until < first.status.Until) {
				first = m
			}
		}
		t.heal(first.status.Until, first)
	}
}

// Status returns the health of an endpoint; an unknown one is healthy.
func (t *Tracker) Status(name string) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[name]; m != nil {
		return m.status
	}
	return Status{}
}

// Begin is called before a request is sent. It tells whether it may be, and
// takes the trial if the endpoint is half-open.
func (t *Tracker) Begin(now time.Duration, name string) (Ticket, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[name]
	if m == nil {
		return Ticket{endpoint: name}, true
	}
	if !m.status.Usable(now) {
		return Ticket{}, false
	}
	ticket := Ticket{endpoint: name, incarnation: m.incarnation}
	if m.status.HalfOpen(now) {
		t.trials++
		m.trial = t.trials
		ticket.trial = m.trial
		t.become(m, Status{Phase: Trial, Until: now + t.cfg.TrialTimeout})
	}
	return ticket, true
}

// StillValid tells whether the endpoint of a ticket may still be sent to: it has neither started
// again nor been ejected since, and a trial still is the ticket's own.
func (t *Tracker) StillValid(now time.Duration, ticket Ticket) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[ticket.endpoint]
	switch {
	case m == nil:
		return ticket.incarnation == ""
	case m.incarnation != ticket.incarnation:
		return false
	case m.status.Phase == Trial:
		return m.trial == ticket.trial
	}
	return m.status.Usable(now)
}

// RecordActivity is called when a token or answer comes from an endpoint: it is slow
// perhaps, but not frozen.
func (t *Tracker) RecordActivity(ticket Ticket) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.about(ticket); m != nil {
		m.silent = 0
	}
}

// End takes in the result of a request. Results that come late, for another
// incarnation or for a trial that was given up, count for nothing.
func (t *Tracker) End(now time.Duration, ticket Ticket, result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.about(ticket)
	switch {
	case m == nil:
	case ticket.trial != 0:
		t.endTrial(now, m, ticket.trial, result)
	case m.status.Phase == Healthy:
		t.endUsual(now, m, result)
	}
}

func (t *Tracker) about(ticket Ticket) *member {
	m := t.members[ticket.endpoint]
	if m == nil || m.incarnation != ticket.incarnation {
		return nil
	}
	return m
}

func (t *Tracker) endTrial(now time.Duration, m *member, trial uint64, result Result) {
	if m.status.Phase != Trial || m.trial != trial {
		return
	}
	switch result {
	case Succeeded:
		t.heal(now, m)
	case Abandoned:
		t.become(m, Status{Phase: Ejected, Until: now})
	default:
		t.eject(now, m, causeTrial)
	}
}

func (t *Tracker) endUsual(now time.Duration, m *member, result Result) {
	switch result {
	case Abandoned:
		return
	case Succeeded:
		m.failures, m.silent = 0, 0
		m.recent.add(now, t.cfg.Window, 1, 0)
		return
	case Unresponsive:
		m.silent++
	}
	m.failures++
	m.recent.add(now, t.cfg.Window, 1, 1)
	cause := t.outlier(now, m)
	switch {
	case cause == "":
	case t.mayEject(m):
		t.eject(now, m, cause)
	default:
		count("kept_total", cause)
	}
}
