package contact

import (
	"fmt"

	"github.com/springweir/springweir/failure"
)

// MalformedError reports a row or message that cannot be decoded.
type MalformedError struct{ Cause error }

// Error implements error.
func (e *MalformedError) Error() string { return fmt.Sprintf("malformed roster: %v", e.Cause) }

// Reason implements failure.Coded.
func (e *MalformedError) Reason() failure.Reason { return failure.Internal }

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// Status is whether a VM may serve, and if not, why.
type Status string

// Statuses of a VM.
const (
	// Active means that the VM may serve.
	Active Status = "in-force"
	// NotJoined means that the VM is not on its zone's roster, or is excluded there.
	NotJoined Status = "not-joined"
	// NoContact means that the VM has been without contact, or paused, for too long.
	NoContact Status = "no-contact"
	// Stopping means that the VM is shutting down as planned.
	Stopping Status = "departed"
)

// UnconfirmedError reports that this VM refuses to serve because its configuration may be
// stale.
type UnconfirmedError struct{ Status Status }

// Error implements error.
func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("configuration unconfirmed: %s", e.Status)
}

// Reason implements failure.Coded.
func (e *UnconfirmedError) Reason() failure.Reason {
	if e.Status == Stopping {
		return failure.Stopping
	}
	return failure.ConfigUnconfirmed
}

// UnstableError reports that acknowledgements are incomplete because a VM did not respond,
// holds a version that is too old, or restarted between rounds.
type UnstableError struct {
	// Missing names the VMs, sorted.
	Missing []string
}

// Error implements error.
func (e *UnstableError) Error() string {
	return fmt.Sprintf("no stable acknowledgement from %v", e.Missing)
}

// Reason implements failure.Coded.
func (e *UnstableError) Reason() failure.Reason { return failure.ConfigUnconfirmed }
