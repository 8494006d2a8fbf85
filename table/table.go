// Package table is the client interface of the platform's transactional table service:
// conditional writes of several rows in one transaction. All state that must be consistent or
// durable across VMs is kept there.
//
// The interface is narrow so that another wire format can be substituted. Package table/memtable
// is the in-memory fake; Client uses HTTP.
package table

import (
	"context"
	"fmt"

	"github.com/springweir/springweir/failure"
)

// Key identifies one row.
type Key struct {
	// Table is the name of the table.
	Table string `json:"table"`
	// Row is the key within the table. Scans return rows in its byte order.
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

// Check is a condition: the row must be at Version when the transaction commits.
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

// Txn is a transaction. It is applied as a whole or not at all, and only if every check holds.
type Txn struct {
	Checks []Check `json:"checks"`
	Writes []Write `json:"writes"`
}

// Service is the platform's table service. Implementations are safe for concurrent use. Errors
// are *UnavailableError, *UnknownError, *ConflictError or *InvalidError.
type Service interface {
	// Get reads rows in one request and one consistent snapshot, in the order of keys. Absent
	// rows have version Absent.
	Get(ctx context.Context, keys ...Key) ([]Row, error)
	// Scan reads up to limit rows of a table whose key begins with prefix and is greater than
	// after, in key order.
	Scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error)
	// Commit applies txn and returns the new version of each write, in order (Absent for
	// deletes). *UnknownError means that the write may have taken effect, or may still do so.
	// Repeating the same conditional txn resolves it: either it applies, or it conflicts and
	// reading back the writer's id in the row's value shows whether the first attempt was
	// applied.
	Commit(ctx context.Context, txn Txn) ([]Version, error)
}

// UnavailableError reports a call that had no effect.
type UnavailableError struct{ Cause error }

// Error implements error.
func (e *UnavailableError) Error() string { return fmt.Sprintf("table unavailable: %v", e.Cause) }

// Reason implements failure.Coded.
func (e *UnavailableError) Reason() failure.Reason { return failure.TableUnavailable }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// StaleEpochError reports a response, or a condition, that belongs to an earlier epoch of the
// store.
type StaleEpochError struct {
	// Epoch is the epoch that it belongs to, and Newest the newest known one.
	Epoch, Newest uint64
}

// Error implements error.
func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("the store was restored from a backup: epoch %d has ended, %d is the newest", e.Epoch, e.Newest)
}

// Reason implements failure.Coded.
func (e *StaleEpochError) Reason() failure.Reason { return failure.TableEpochOver }

// UnknownError reports a write that may or may not have taken effect, or may still do so.
type UnknownError struct{ Cause error }

// Error implements error.
func (e *UnknownError) Error() string { return fmt.Sprintf("table write unknown: %v", e.Cause) }

// Reason implements failure.Coded.
func (e *UnknownError) Reason() failure.Reason { return failure.TableUnknown }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// ConflictError reports a transaction that was refused because a check did not hold. It had no
// effect.
type ConflictError struct {
	// Key is the first row whose check failed.
	Key Key `json:"key"`
	// Want is the version that the check required.
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
