package rollout

import (
	"fmt"

	"github.com/springweir/springweir/failure"
)

// ConflictError reports a change based on a version that is not the newest.
type ConflictError struct {
	// Base is the version that the change is based on.
	Base Version
	// Head is the newest version, with its author and write id.
	Head Entry
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration changed: edit is on version %d, newest is %d by %s",
		e.Base, e.Head.Version, e.Head.Author)
}

// Reason implements failure.Coded.
func (e *ConflictError) Reason() failure.Reason { return failure.TableConflict }

// TooLargeError reports a document over the size limit.
type TooLargeError struct{ Size, Limit int }

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("configuration of %d bytes is over the limit of %d", e.Size, e.Limit)
}

// Reason implements failure.Coded.
func (e *TooLargeError) Reason() failure.Reason { return failure.TooLarge }

// MalformedError reports a row or update that cannot be decoded.
type MalformedError struct {
	What  string
	Cause error
}

// Error implements error.
func (e *MalformedError) Error() string { return fmt.Sprintf("malformed %s: %v", e.What, e.Cause) }

// Reason implements failure.Coded.
func (e *MalformedError) Reason() failure.Reason { return failure.Internal }

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// DigestError reports that a document's text does not match the digest of its version.
type DigestError struct{ Version Version }

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("text of configuration %d has the wrong digest", e.Version)
}

// Reason implements failure.Coded.
func (e *DigestError) Reason() failure.Reason { return failure.Internal }

// BaseMissingError reports a patch whose base version is not available.
type BaseMissingError struct{ Base Version }

// Error implements error.
func (e *BaseMissingError) Error() string {
	return fmt.Sprintf("patch is on configuration %d, which is not held", e.Base)
}

// Reason implements failure.Coded.
func (e *BaseMissingError) Reason() failure.Reason { return failure.ConfigUnconfirmed }

// MissingVersionError reports a version that is not in the history: it was never created, or
// has been pruned.
type MissingVersionError struct{ Version Version }

// Error implements error.
func (e *MissingVersionError) Error() string {
	return fmt.Sprintf("configuration %d is not in the history", e.Version)
}

// Reason implements failure.Coded.
func (e *MissingVersionError) Reason() failure.Reason { return failure.BadRequest }

// UntrustedError reports that the response of a peer does not count as contact.
type UntrustedError struct{ Peer string }

// Error implements error.
func (e *UntrustedError) Error() string { return fmt.Sprintf("peer %s is untrusted", e.Peer) }

// Reason implements failure.Coded.
func (e *UntrustedError) Reason() failure.Reason { return failure.ConfigUnconfirmed }
