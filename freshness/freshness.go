// Package freshness bounds the age of a VM's copy of the configuration. A VM that is cut off from
// all others does not learn that an API key was revoked, so it may accept keys only while it can
// prove that its configuration was the newest one a short time ago.
//
// The proof is a Confirmation: at some point in time, the newest version acknowledged by the store
// was not later than a given version. VMs that read the store create confirmations, dated to the
// time at which they sent the query, and the other VMs receive the confirmations from them.
//
// Invariant: a confirmation is never dated later than the time for which it holds. Each VM that
// receives a confirmation dates it relative to an event that is known to precede the sender's
// reading of the age: the time at which the receiver sent its request, not the time at which the
// response arrived. A delay at any point then makes a confirmation look older than it is, never
// younger.
package freshness

import (
	"sync"
	"time"

	"github.com/springweir/springweir/internal/clock"
)

// Confirmation states that the newest version acknowledged before the time At was Version or an
// earlier one.
type Confirmation struct {
	Version uint64
	// At is measured by this VM's clock.
	At time.Time
}

// ReceivedConfirmation returns a confirmation received from another VM with a version and an age.
// The other VM must have read the age after it received a message that this VM sent at sent.
func ReceivedConfirmation(version uint64, age time.Duration, sent time.Time) Confirmation {
	return Confirmation{Version: version, At: sent.Add(-age)}
}

// Tracker holds the newest confirmations. It is safe for concurrent use; mu is a leaf in the lock
// order.
type Tracker struct {
	now func() time.Time

	mu sync.Mutex
	// appliedVersion is the version in force on this VM, and highestVersion the highest version in
	// any confirmation or in force. They can differ permanently: a store that was restored from a
	// backup confirms the version of the backup, on which a VM that has received a later one must
	// not rely.
	appliedVersion, highestVersion uint64
	// newest is the newest confirmation of any version, and current the newest confirmation that
	// covers the version in force. They differ while other VMs have a version that this VM lacks.
	newest, current Confirmation
}

// New returns a tracker without any confirmation. A nil now defaults to the VM's clock.
func New(now func() time.Time) *Tracker { return &Tracker{now: clock.OrSystem(now)} }

// SetInForce records that a version is in force on this VM. It must be called after the version
// took effect. Lower versions than before are ignored.
func (t *Tracker) SetInForce(version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.appliedVersion = max(t.appliedVersion, version)
	t.highestVersion = max(t.highestVersion, version)
	t.updateCurrent(t.newest)
}

// HasVersion reports whether any version is in force.
func (t *Tracker) HasVersion() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.appliedVersion != 0
}

// Confirm records a confirmation.
func (t *Tracker) Confirm(c Confirmation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.highestVersion = max(t.highestVersion, c.Version)
	if c.At.After(t.newest.At) {
		t.newest = c
	}
	t.updateCurrent(c)
}

// updateCurrent replaces the current confirmation by c if c is newer and no version higher than the
// one in force is known. The caller holds mu.
func (t *Tracker) updateCurrent(c Confirmation) {
	if t.highestVersion <= t.appliedVersion && c.At.After(t.current.At) {
		t.current = c
	}
}

// Age returns the maximum age of the configuration in force. The result is false if it was never
// confirmed.
func (t *Tracker) Age() (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current.At.IsZero() {
		return 0, false
	}
	return t.now().Sub(t.current.At), true
}

// Newest returns the newest confirmation for other VMs, with its current age. known is false if
// there is none.
func (t *Tracker) Newest() (version uint64, age time.Duration, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.newest.At.IsZero() {
		return 0, 0, false
	}
	return t.newest.Version, t.now().Sub(t.newest.At), true
}
