// Package object defines the interface to the platform's object store.
package object

import (
	"context"
	"fmt"

	"github.com/springweir/springweir/failure"
)

// Store stores immutable blobs by name. Implementations are safe for concurrent
// use. Errors are *UnavailableError, *MissingError or *InvalidError.
type Store interface {
	// Put stores data under name. Putting the same name twice with the same
	// data is idempotent.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns the data stored under name.
	Get(ctx context.Context, name string) ([]byte, error)
	// Delete removes the data stored under name. It is idempotent: a missing
	// name is not an error.
	Delete(ctx context.Context, name string) error
}

// UnavailableError reports a failed call. A Put or Delete may have taken effect.
type UnavailableError struct{ Cause error }

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("object store unavailable: %v", e.Cause)
}

// Reason implements failure.Coded.
func (e *UnavailableError) Reason() failure.Reason { return failure.ObjectUnavailable }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// MissingError reports a name under which nothing is stored.
type MissingError struct{ Name string }

// Error implements error.
func (e *MissingError) Error() string { return fmt.Sprintf("object %q is missing", e.Name) }

// Reason implements failure.Coded.
func (e *MissingError) Reason() failure.Reason { return failure.ObjectMissing }
