package table

import (
	"fmt"

	"github.com/springweir/springweir/failure"
)

// MalformedRowError is a row that cannot be understood. What was known before stays in force.
type MalformedRowError struct {
	Key     Key
	Version Version
	// Problem is what the row should have been, or its part.
	Problem string
	Cause   error
	// Code is the failure's reason; the zero value is failure.Internal, of rows of our own.
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
