package health

import (
	"slices"
	"sync"
	"time"
)

// Result is the outcome of a request to an endpoint.
type Result uint8

// Outcomes of a request.
const (
	// Succeeded means that the endpoint handled the request.
	Succeeded Result = iota
	// Failed means that the endpoint failed, refused the request without cause or sent an invalid
	// response.
	Failed
	// Unresponsive means that the attempt timed out without any response.
	Unresponsive
	// Abandoned says nothing about the endpoint: the caller disconnected.
	Abandoned
)

// Ticket associates a result with its request. The zero Ticket is not valid.
type Ticket struct {
	endpoint    string
	incarnation string
	// trial is the number of the trial if the request is one, otherwise zero.
	trial uint64
}

// Trial reports whether the request is a half-open trial.
func (t Ticket) Trial() bool { return t.trial != 0 }

// Tracker tracks the health of the endpoints of one zone. It is safe for concurrent use: mu guards
// every field, and no other lock is taken and no callback made under it.
//
// Invariants: each non-empty group has at least one healthy member, and at most
// maxUnavailable(size) members that are not; an endpoint has at most one trial whose result counts.
type Tracker struct {
	mu      sync.Mutex
	cfg     Config
	members map[string]*member
	groups  map[string][]*member
	// unhealthy is the number of members that are not healthy.
	unhealthy int
	trials    uint64
	// changed contains the names of the members whose status has changed since TakeChanges.
	changed map[string]bool
}

// Change is the new status of an endpoint.
type Change struct {
	Endpoint string
	Status   Status
}

// member is the state of one endpoint.
type member struct {
	name         string
	incarnation  string
	groups       []string
	status       Status
	trial        uint64
	failures     int
	unresponsive int
	// level is the number of doublings of the next ejection.
	level        int
	healthySince time.Duration
	recent       window
}

// NewTracker returns a tracker without endpoints.
func NewTracker(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, members: make(map[string]*member), groups: make(map[string][]*member), changed: make(map[string]bool)}
}

// Configure replaces the thresholds. The state of the endpoints is kept, but a group of which fewer
// members may now be unavailable has some of them readmitted.
func (t *Tracker) Configure(cfg Config) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cfg = cfg
	for group := range t.groups {
		t.enforceMinimum(group)
	}
}

// TakeChanges returns the endpoints whose status has changed since the last call, with their
// current status. A call for one endpoint may change another, because endpoints are readmitted when
// their group becomes too small.
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

// unhealthyCount returns 1 for a member that is not healthy, otherwise 0.
func unhealthyCount(s Status) int {
	if s.Phase == Healthy {
		return 0
	}
	return 1
}

// setStatus changes the status of m and marks it as changed.
func (t *Tracker) setStatus(m *member, s Status) {
	t.unhealthy += unhealthyCount(s) - unhealthyCount(m.status)
	m.status = s
	t.changed[m.name] = true
}

// Set adds an endpoint or updates its incarnation and groups. A new incarnation starts healthy.
// Groups are the sets of which it may not be the last healthy member, such as the engines of a pool
// that serve the same model in the same role.
func (t *Tracker) Set(name, incarnation string, groups []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[name]
	if m != nil && m.incarnation == incarnation && slices.Equal(m.groups, groups) {
		return
	}
	if m == nil || m.incarnation != incarnation {
		t.drop(m)
		m = &member{name: name, incarnation: incarnation}
		t.members[name] = m
		t.changed[name] = true
	} else {
		t.removeFromGroups(m)
	}
	m.groups = slices.Clone(groups)
	for _, g := range groups {
		t.groups[g] = append(t.groups[g], m)
		t.enforceMinimum(g)
	}
}

// Remove removes an endpoint.
func (t *Tracker) Remove(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(t.members[name])
	delete(t.members, name)
}

// drop removes m from the counts and its groups. m may be nil.
func (t *Tracker) drop(m *member) {
	if m != nil {
		t.unhealthy -= unhealthyCount(m.status)
	}
	t.removeFromGroups(m)
}

// removeFromGroups removes m from its groups and restores their invariant. m may be nil.
func (t *Tracker) removeFromGroups(m *member) {
	if m == nil {
		return
	}
	for _, g := range m.groups {
		t.groups[g] = slices.DeleteFunc(t.groups[g], func(o *member) bool { return o == m })
		t.enforceMinimum(g)
		if len(t.groups[g]) == 0 {
			delete(t.groups, g)
		}
	}
}

// enforceMinimum readmits members of a group while too many of them are unavailable, starting with
// the one with the earliest Until.
func (t *Tracker) enforceMinimum(group string) {
	if t.unhealthy == 0 {
		return // spares large groups the count when members join or leave
	}
	members := t.groups[group]
	for t.unavailable(members) > t.maxUnavailable(len(members)) {
		var earliest *member
		for _, m := range members {
			if m.status.Phase != Healthy && (earliest == nil || m.status.Until < earliest.status.Until) {
				earliest = m
			}
		}
		t.readmit(earliest.status.Until, earliest)
	}
}

// Status returns the health of an endpoint. An unknown endpoint is healthy.
func (t *Tracker) Status(name string) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[name]; m != nil {
		return m.status
	}
	return Status{}
}

// AllHealthy reports whether all endpoints are healthy.
func (t *Tracker) AllHealthy() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unhealthy == 0
}

// Begin must be called before a request is sent. It reports whether the request may be sent, and
// makes it the trial if the endpoint is half-open.
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
		t.setStatus(m, Status{Phase: Trial, Until: now + t.cfg.TrialTimeout})
	}
	return ticket, true
}

// StillValid reports whether the endpoint of a ticket may still receive the request: it has not
// been restarted or ejected since Begin, and a trial in progress is the one of the ticket.
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

// RecordActivity is called when a token or a response arrives from an endpoint. It resets the count
// of consecutive unresponsive requests, because the endpoint may be slow but is not frozen.
func (t *Tracker) RecordActivity(ticket Ticket) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.memberOf(ticket); m != nil {
		m.unresponsive = 0
	}
}

// End records the result of a request. Results of another incarnation or of an abandoned trial are
// ignored.
func (t *Tracker) End(now time.Duration, ticket Ticket, result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.memberOf(ticket)
	switch {
	case m == nil:
	case ticket.trial != 0:
		t.endTrial(now, m, ticket.trial, result)
	case m.status.Phase == Healthy:
		t.endRegular(now, m, result)
	}
}

// memberOf returns the member of a ticket, or nil if its incarnation is not the current one.
func (t *Tracker) memberOf(ticket Ticket) *member {
	m := t.members[ticket.endpoint]
	if m == nil || m.incarnation != ticket.incarnation {
		return nil
	}
	return m
}

// endTrial applies the result of a trial.
func (t *Tracker) endTrial(now time.Duration, m *member, trial uint64, result Result) {
	if m.status.Phase != Trial || m.trial != trial {
		return
	}
	switch result {
	case Succeeded:
		t.readmit(now, m)
	case Abandoned:
		t.setStatus(m, Status{Phase: Ejected, Until: now})
	default:
		t.eject(now, m, causeTrial)
	}
}

// endRegular applies the result of a request to a healthy endpoint.
func (t *Tracker) endRegular(now time.Duration, m *member, result Result) {
	switch result {
	case Abandoned:
		return
	case Succeeded:
		m.failures, m.unresponsive = 0, 0
		m.recent.add(now, t.cfg.Window, 1, 0)
		return
	case Unresponsive:
		m.unresponsive++
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
