package settings

import (
	"fmt"
	"strings"

	"github.com/springweir/springweir/failure"
)

// NoSuchError is a lookup of a section or key that does not exist.
type NoSuchError struct {
	Section Section
	Key     string
}

// Error implements error.
func (e *NoSuchError) Error() string {
	return fmt.Sprintf("no key %q for [%s], or no such section", e.Key, e.Section)
}

// Reason implements failure.Coded.
func (e *NoSuchError) Reason() failure.Reason { return failure.BadSettings }

// ConflictError is a merge of two texts that change the same keys to different values.
type ConflictError struct{ Conflicts []Conflict }

// Error implements error, with one line per conflict.
func (e *ConflictError) Error() string {
	lines := make([]string, len(e.Conflicts))
	for i, c := range e.Conflicts {
		lines[i] = c.String()
	}
	return strings.Join(lines, "\n")
}

// Reason implements failure.Coded.
func (e *ConflictError) Reason() failure.Reason { return failure.ConfigConflict }

// ReadError is a settings file that could not be read.
type ReadError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *ReadError) Error() string { return fmt.Sprintf("reading settings: %v", e.Cause) }

// Reason implements failure.Coded.
func (e *ReadError) Reason() failure.Reason { return failure.BadSettings }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }
