// Package table is the system's view of the platform's transactional table
// service: conditional writes over several rows in one transaction. Everything
// that must be agreed on or kept goes through it.
//
// The interface is narrow so that another wire format can be swapped in.
// Package table/memtable is the in-memory fake; Client speaks HTTP.
package table

import (
	"context"
	"fmt"

	"github.com/springweir/springweir/failure"
)

// Key names one row.
type Key struct {
	// Table is the name of the table.
	Table string `json:"table"`
	// Row is the key within the table. Scans go by its byte order.
	Row string `json:"row"`
}

// String returns table/row.
func (k Key) String() string { return k.Table + "/" + k.Row }

// Row is a row as read.
type Row struct {
	Key     Key     `json:"key"`
	Version Version `json:"version"`
	// Value is nil when the row is absent.
	Value []byte `json:"value"`
}

// Check is a condition: the row must stand at Version when the transaction commits.
type Check struct {
	Key     Key     `json:"key"`
	Version Version `json:"version"`
}

// Write replaces the value of a row, or deletes the row.
type Write struct {
	Key    Key    `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is applied wholly or not at all. It takes effect only if every check holds.
type Txn struct {
	Checks []Check `json:"checks"`
	Writes []Write `json:"writes"`
}

// Service is the platform's table service. Implementations are safe for
// concurrent use. Errors are *UnavailableError, *UnknownError, *ConflictError or
// *InvalidError.
type Service interface {
	// Get reads rows in one request and one consistent snapshot. Absent rows
	// come back with version Absent, in the order asked for.
	Get(ctx context.Context, keys ...Key) ([]Row, error)
	// Scan reads up to limit rows of a table whose key begins with prefix and
	// is greater than after, in key order.
	Scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error)
	// Commit applies txn and returns the new version of each write, in order
	// (Absent for deletes). *UnknownError means the write may have taken
	// effect, or may yet do so. Repeating the same conditional txn settles it:
	// either it applies, or it conflicts and reading back the writer's own id
	// in the row's value tells whether the first try won.
	Commit(ctx context.Context, txn Txn) ([]Version, error)
}

// UnavailableError is a call that certainly had no effect.
type UnavailableError struct{ Cause error }

// Error implements error.
func (e *UnavailableError) Error() string { return fmt.Sprintf("table unavailable: %v", e.Cause) }

// Reason implements failure.Coded.
func (e *UnavailableError) Reason() failure.Reason { return failure.TableUnavailable }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// StaleEpochError is an answer, or a condition, of an epoch of the store that is over.
type StaleEpochError struct {
	// Epoch is the epoch that it belongs to, and Newest the newest that is known.
	Epoch, Newest uint64
}

// Error implements error.
func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("the store has come back from a copy: epoch %d is over, %d is the newest", e.Epoch, e.Newest)
}

// Reason implements failure.Coded.
func (e *StaleEpochError) Reason() failure.Reason { return failure.TableEpochOver }

// UnknownError is a write that may or may not have taken effect.
type UnknownError struct{ Cause error }

// Error implements error.
func (e *UnknownError) Error() string { return fmt.Sprintf("table write unknown: %v", e.Cause) }

// Reason implements failure.Coded.
func (e *UnknownError) Reason() failure.Reason { return failure.TableUnknown }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// ConflictError is a transaction refused because a check did not hold. It
// certainly had no effect.
type ConflictError struct {
	// Key is the first row whose check failed.
	Key Key `json:"key"`
	// Want is the version that the check named.
	Want Version `json:"want"`
	// Have is the row's version.
	Have Version `json:"have"`
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("table conflict on %s: want version %s, have %s", e.Key, e.Want, e.Have)
}

// Reason implements failure.Coded.
func (e *ConflictError) Reason() failure.Reason { return failure.TableConflict }
