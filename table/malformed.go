package table

import (
	"fmt"

	"github.com/springweir/springweir/failure"
)

// MalformedRowError reports a row that can't be decoded. The last valid state remains in effect.
type MalformedRowError struct {
	Key     Key
	Version Version
	// Problem describes the expected content of the row or of the part that is malformed.
	Problem string
	Cause   error
	// Code is the reason code; empty means failure.Internal, for rows that this system writes
	// itself.
	Code failure.Reason
}

// Error implements error.
func (e *MalformedRowError) Error() string {
	return fmt.Sprintf("row %s at version %d: %s: %v", e.Key, e.Version, e.Problem, e.Cause)
}

// Unwrap returns the cause.
func (e *MalformedRowError) Unwrap() error { return e.Cause }

// Reason implements failure.Coded.
func (e *MalformedRowError) Reason() failure.Reason {
	if e.Code == "" {
		return failure.Internal
	}
	return e.Code
}
