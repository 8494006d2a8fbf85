package contact

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/springweir/springweir/internal/clock"
)

// Ack is what a process reports that it holds.
type Ack struct {
	// Instance is unique for each start of the process.
	Instance uint64
	// Config is the configuration version in effect; zero means none.
	Config uint64
	// Roster is the revision of the newest roster held; zero means none.
	Roster uint64
}

// tickInterval is how often a running member records that the process runs.
const tickInterval = 250 * time.Millisecond

// Member is this VM's membership and permission to serve in its zone. Its methods are safe for
// concurrent use; Allow takes no lock.
//
// Invariants:
//   - The roster is never replaced by one with a lower revision.
//   - allowedUntil is in the future only if the newest roster held lists this VM as active, and
//     either the VM had a contact that it requested less than Timeout before allowedUntil, or
//     the timeout rule does not apply and no pause was detected since.
//   - Once departed is set, the member neither serves nor confirms other members.
type Member struct {
	name, zone string
	base       time.Time
	// onRoster is called with each roster applied, in the order of revisions.
	onRoster func(Roster)
	// allowedUntil is the end of the permission, as a duration since base.
	allowedUntil atomic.Int64

	// mu guards the fields below. It is held while onRoster runs, so it is taken before any
	// lock that onRoster takes.
	mu       sync.Mutex
	roster   Roster
	departed bool
	// joined is set once this process has joined the roster in the table. Until then it follows
	// the timeout rule in every zone, so that the removal delay after its predecessor left
	// covers this process too.
	joined bool
	// lastContact is when the newest successful contact was requested; zero means none.
	lastContact time.Time
	// paused is set when a gap between ticks is detected, until the next contact.
	paused bool
	// pausedAt is when the process was last known to run before the gap. No code ran in the
	// gap, so a contact requested at least Timeout later was requested after the gap.
	pausedAt time.Time
	// lastTick is when this member last recorded that the process runs.
	lastTick time.Time
}

// NewMember returns a member that may not serve yet. onRoster is called with each roster
// applied, before the member reports to anyone that it holds it; it must not call the member.
func NewMember(zone, name string, onRoster func(Roster)) *Member {
	now := clock.Now()
	return &Member{name: name, zone: zone, base: now, lastTick: now, onRoster: onRoster}
}

// Name returns the VM's name.
func (m *Member) Name() string { return m.name }

// Zone returns the VM's availability zone.
func (m *Member) Zone() string { return m.zone }

// Allow returns nil if this VM may accept a new request, and otherwise *UnconfirmedError. It is
// called for each request.
func (m *Member) Allow() error {
	if int64(clock.Since(m.base)) < m.allowedUntil.Load() {
		return nil
	}
	return &UnconfirmedError{Status: m.Status()}
}

// Status returns Active if this VM may serve, and otherwise the reason why not.
func (m *Member) Status() Status {
	if int64(clock.Since(m.base)) < m.allowedUntil.Load() {
		return Active
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.departed:
		return Stopping
	case !m.roster.IsActive(m.name):
		return NotJoined
	default:
		return NoContact
	}
}

// Roster returns the newest roster held.
func (m *Member) Roster() Roster {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster
}

// ApplyRoster replaces the roster held if r is newer. When it returns, this VM no longer
// confirms any VM that r excludes, and no longer serves if it is not active itself.
func (m *Member) ApplyRoster(r Roster) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.Revision <= m.roster.Revision || r.Zone != m.zone {
		return
	}
	m.roster = r
	m.onRoster(r)
	m.updatePermission(clock.Now())
}

// RecordJoin records that this process joined the roster by a write that it started at
// startedAt.
func (m *Member) RecordJoin(r Roster, startedAt time.Time) {
	m.ApplyRoster(r)
	m.mu.Lock()
	m.joined = true
	m.mu.Unlock()
	m.RecordContact(startedAt)
}

// NeedsJoin reports whether this process has not yet joined the roster, or was removed from it.
// A VM that is excluded waits until the reconciler readmits or removes it.
func (m *Member) NeedsJoin() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, listed := m.roster.Find(m.name)
	return !m.departed && (!m.joined || !listed)
}

// LastContact returns when the newest successful contact was requested; zero means none.
func (m *Member) LastContact() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastContact
}

// ConfirmMember reports whether the VM of that name is active on this VM's roster. It is false
// if this VM is stopping or never had contact. A VM whose own permission has expired may still
// confirm: while it is on the roster, it must acknowledge every exclusion before the excluded
// VM is removed, and the querying VM accepts the confirmation only if its own roster lists this
// VM as active (see docs/design/config.md).
func (m *Member) ConfirmMember(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.departed && !m.lastContact.IsZero() && m.roster.IsActive(name)
}

// RecordContact records a contact that this VM requested at startedAt. The caller must first
// have applied the roster and the configuration received in that contact, because the
// permission covers both.
func (m *Member) RecordContact(startedAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.roster.IsActive(m.name) {
		return
	}
	if startedAt.After(m.lastContact) {
		m.lastContact = startedAt
	}
	m.updatePermission(clock.Now())
}

// StopServing ends the permission permanently, because this VM is shutting down.
func (m *Member) StopServing() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.departed = true
	m.allowedUntil.Store(0)
}

// Run records periodically that the process runs, until done is closed.
func (m *Member) Run(done <-chan struct{}) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			m.tick()
		}
	}
}

func (m *Member) tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updatePermission(clock.Now())
}

// updatePermission sets allowedUntil from the state. The caller holds mu.
func (m *Member) updatePermission(now time.Time) {
	m.detectPause(now)
	if m.departed || m.lastContact.IsZero() || m.paused || !m.roster.IsActive(m.name) {
		m.allowedUntil.Store(0)
		return
	}
	from := m.lastContact
	if m.joined && !m.roster.TimeoutAppliesTo(m.name) {
		from = now // without the timeout rule only a pause ends the permission
	}
	m.allowedUntil.Store(int64(from.Add(Timeout).Sub(m.base)))
}

// detectPause detects a gap of Timeout or more, in which the process was paused. The process
// must then receive the newest version, by a contact that it requested after the gap, before it
// serves again. detectPause runs first in updatePermission, so that no other event hides the
// gap. The caller holds mu.
func (m *Member) detectPause(now time.Time) {
	pauseLimit := m.lastTick.Add(Timeout)
	if !now.Before(pauseLimit) {
		m.paused = true
		m.pausedAt = m.lastTick
	}
	if m.paused && !m.lastContact.Before(m.pausedAt.Add(Timeout)) {
		m.paused = false
	}
	m.lastTick = now
}
