package contact

import (
	"fmt"

	"github.com/springweir/springweir/failure"
)

// MalformedError is a row or message that cannot be decoded.
type MalformedError struct{ Cause error }

// Error implements error.
func (e *MalformedError) Error() string { return fmt.Sprintf("malformed roster: %v", e.Cause) }

// Reason implements failure.Coded.
func (e *MalformedError) Reason() failure.Reason { return failure.Internal }

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// Status is why a VM may not serve.
type Status string

// The standings.
const (
	// Active is a VM that may serve.
	Active Status = "in-force"
	// NotJoined is a VM that is not on its zone's roster, or shunned there.
	NotJoined Status = "not-joined"
	// NoContact is a VM that has been out of contact, or paused, for too long.
	NoContact Status = "no-contact"
	// Departed is a VM that stops by plan.
	Stopping Status = "departed"
)

// UnconfirmedError is a refusal to serve: this VM's configuration may be old.
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

// UnstableError is a collection of acknowledgements that a VM kept from
// completing: it did not answer, holds too little, or restarted between rounds.
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
