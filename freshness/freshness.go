// Package freshness tells how old a VM's knowledge of the configuration can be. A VM that nobody
// can reach does not learn that a key was taken away, so it may accept keys only while it can show
// that what it knows was the newest a short while ago.
//
// What shows that is a Confirmation: at some moment the newest version that the store had
// acknowledged was no later than a given one. The VMs that read the store make confirmations, dated
// to when they sent the question that the store answered, and the others learn them from these.
//
// Invariant: a confirmation is never dated later than the moment it is true of. Each step that
// passes one on dates it by what the receiver knows to lie before the sender's reading of its age:
// when the receiver sent the question, not when the answer came. A pause anywhere on the way then
// makes a confirmation look older than it is, never younger.
package freshness

import (
	"sync"
	"time"

	"github.com/springweir/springweir/internal/clock"
)

// Confirmation says that the newest version acknowledged before a moment was Version or an earlier
// one.
type Confirmation struct {
	Version uint64
	// At is the moment, by this VM's clock.
	At time.Time
}

// ReceivedConfirmation returns the confirmation that another VM told of a version and an age. It read the age after
// something of this VM had come that was sent at sent.
func ReceivedConfirmation(version uint64, age time.Duration, sent time.Time) Confirmation {
	return Confirmation{Version: version, At: sent.Add(-age)}
}

// Tracker holds the newest confirmations. It is safe for concurrent use; mu is a leaf.
type Tracker struct {
	now func() time.Time

	mu sync.Mutex
	// inForce is the version that this VM decides by, and highest the highest that it has heard of.
	// They also differ for longer: a store that comes back from a copy confirms the version of the
	// copy, which is not what a VM may go by that knows of a later one.
	inForce, highest uint64
	// newest is the newest confirmation, of whatever version; current is the newest of a version
	// that is in force here. They differ while this VM lacks a version that others know.
	newest, current Confirmation
}

// New returns a tracker without any confirmation. A nil now is the VM's clock.
func New(now func() time.Time) *Tracker { return &Tracker{now: clock.OrSystem(now)} }

// SetInForce notes that this VM decides by a version from now on. It must be called after that is so,
// and versions must not fall.
func (t *Tracker) SetInForce(version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inForce = max(t.inForce, version)
	t.highest = max(t.highest, version)
	t.take(t.newest)
}

// Decides tells whether this VM decides by any version yet.
func (t *Tracker) Decides() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inForce != 0
}

// Confirm takes in a confirmation.
func (t *Tracker) Confirm(c Confirmation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.highest = max(t.highest, c.Version)
	if c.At.After(t.newest.At) {
		t.newest = c
	}
	t.take(c)
}

// take makes a confirmation the current one if it is of what is in force, and newer. The caller
// holds mu.
func (t *Tracker) take(c Confirmation) {
	if t.highest <= t.inForce && c.At.After(t.current.At) {
		t.current = c
	}
}

// Age is how old what this VM decides by can be; false if nothing has ever shown it.
func (t *Tracker) Age() (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current.At.IsZero() {
		return 0, false
	}
	return t.now().Sub(t.current.At), true
}

// Newest returns what to tell other VMs, with the age that the confirmation has now; false if there
// is none.
func (t *Tracker) Newest() (version uint64, age time.Duration, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.newest.At.IsZero() {
		return 0, 0, false
	}
	return t.newest.Version, t.now().Sub(t.newest.At), true
}
