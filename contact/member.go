package contact

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/springweir/springweir/internal/clock"
)

// Ack tells what a process holds.
type Ack struct {
	// Instance is unique for each start of the process.
	Instance uint64
	// Config is the configuration version in force; zero is none.
	Config uint64
	// Roster is the revision of the newest roster held; zero is none.
	Roster uint64
}

// tickInterval is how often a running member moves its liveness mark.
const tickInterval = 250 * time.Millisecond

// Member is this VM's standing in its zone. Its methods are safe for
// concurrent use; Allow takes no lock.
//
// Invariants:
//   - roster never goes to a lower revision;
//   - until is in the future only if this VM was trusted by the newest roster
//     held, and had contact that it began to ask for less than Timeout before
//     until, or the lapse rule does not apply and no pause was seen since;
//   - once departed, it neither serves nor vouches.
type Member struct {
	name, zone string
	base       time.Time
	// follow is called with each roster adopted, in the order of revisions.
	onRoster func(Roster)
	// until is the end of the permission, as a duration since base.
	allowedUntil atomic.Int64

	// mu guards all below. It is held while follow runs, so it is taken before
	// any lock that follow takes.
	mu       sync.Mutex
	roster   Roster
	departed bool
	// joined is set once this process has joined the roster in the table. Until
	// then it follows the lapse rule in every zone, so that the settling time
	// after its predecessor left covers it too.
	joined bool
	// contact is when the newest successful contact began; zero is none.
	lastContact time.Time
	// paused is set by a gap in ticks, until the next contact.
	paused bool
	// pausedAt is when the process was last seen running before the gap. No
	// code ran in the gap, so a contact that began Timeout later began after it.
	pausedAt time.Time
	// seen is when this member last noted that the process runs.
	lastTick time.Time
}

// NewMember returns a member that may not serve yet. follow is called with
// each roster adopted, before the member tells anyone that it holds it; it
// must not call the member.
func NewMember(zone, name string, onRoster func(Roster)) *Member {
	now := clock.Now()
	return &Member{name: name, zone: zone, base: now, lastTick: now, onRoster: onRoster}
}

// Name returns the VM's name.
func (m *Member) Name() string { return m.name }

// Zone returns the VM's availability zone.
func (m *Member) Zone() string { return m.zone }

// Allow returns nil when this VM may take a new request, and otherwise
// *UnconfirmedError. It is called for each request.
func (m *Member) Allow() error {
	if int64(clock.Since(m.base)) < m.allowedUntil.Load() {
		return nil
	}
	return &UnconfirmedError{Status: m.Status()}
}

// Status tells whether this VM may serve, and if not, why.
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

// ApplyRoster takes in a roster if it is newer than the one held. When it returns,
// this VM vouches for nobody whom the roster shuns, and serves no more if it
// is not trusted itself.
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

// RecordJoin records that this process put itself on the roster, by a write that
// it began at began.
func (m *Member) RecordJoin(r Roster, startedAt time.Time) {
	m.ApplyRoster(r)
	m.mu.Lock()
	m.joined = true
	m.mu.Unlock()
	m.RecordContact(startedAt)
}

// NeedsJoin tells whether this process has yet to put itself on the roster, or
// was dropped from it. A VM that is shunned waits for the keeper to take it
// back or to drop it.
func (m *Member) NeedsJoin() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, listed := m.roster.Find(m.name)
	return !m.departed && (!m.joined || !listed)
}

// LastContact returns when the newest successful contact began; zero is none.
func (m *Member) LastContact() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastContact
}

// ConfirmMember tells whether this VM holds that name in good standing. A VM that has
// itself lapsed may vouch: it was asked to acknowledge the shunning of every
// VM dropped while it was on the roster, and the asker trusts it only if the
// asker's own roster does (see docs/design/config.md).
func (m *Member) ConfirmMember(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.departed && !m.lastContact.IsZero() && m.roster.IsActive(name)
}

// RecordContact records a contact that this VM began to ask for at began. The caller
// has adopted the roster and put the configuration in force that the contact
// told of: this order matters, as the permission covers both.
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

// StopServing ends the permission for good: this VM stops by plan.
func (m *Member) StopServing() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.departed = true
	m.allowedUntil.Store(0)
}

// Run keeps noting that the process runs, until done is closed.
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

// update sets until from the state. The caller holds mu.
func (m *Member) updatePermission(now time.Time) {
	m.detectPause(now)
	if m.departed || m.lastContact.IsZero() || m.paused || !m.roster.IsActive(m.name) {
		m.allowedUntil.Store(0)
		return
	}
	from := m.lastContact
	if m.joined && !m.roster.TimeoutAppliesTo(m.name) {
		from = now // without the rule only a pause ends the permission
	}
	m.allowedUntil.Store(int64(from.Add(Timeout).Sub(m.base)))
}

// notePause finds a gap of Timeout or more, in which the process was paused: it
// has to learn the newest version before it serves again, by a contact that
// began after the gap. It runs first in update, so that no other event can
// bridge the gap. The caller holds mu.
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
