package table

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/loop"
)

// Backoff between the tries that settle a write. Each wait is drawn evenly
// between half the bound and the bound.
const (
	retryFirstWait = 20 * time.Millisecond
	retryMaxWait   = time.Second
)

// SupersededError is a write whose answer was lost, and whose rows now hold
// what somebody else wrote. Whether the write took effect before that cannot be
// told from the version numbers; Rows may tell those who know the values.
type SupersededError struct {
	// Rows are the written rows as read back.
	Rows []Row
	// Conflict is what the repeated transaction met.
	Conflict *ConflictError
}

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("table write superseded, its own effect is unknown: %v", e.Conflict)
}

// Reason implements failure.Coded.
func (e *SupersededError) Reason() failure.Reason { return failure.TableSuperseded }

// Unwrap returns the conflict.
func (e *SupersededError) Unwrap() error { return e.Conflict }

// CommitAndResolve commits txn and settles a lost answer. mine tells whether a row
// read back holds the id of this very write.
//
// Returned versions are those of this write; for a row that somebody else has
// written since, it is Absent, so that a later condition on it fails. A
// transaction that only deletes leaves no id to read back and ends, after a lost
// answer, in *SupersededError at best. Errors:
//
//   - *ConflictError: txn certainly had no effect, and never will.
//   - *UnavailableError: the only try certainly had no effect.
//   - *UnknownError: ctx ended before the write was settled.
//   - *SupersededError: see there.
//   - *InvalidError: txn is bad, or does not guard itself (see below).
//
// Invariant: at most one of the copies of txn that are sent ever takes effect,
// however late they arrive. txn must therefore check a row that it also
// writes. The copy that applies moves that row's version, versions never come
// back, and so the check of every other copy fails. A check for Absent gives
// this only while nobody deletes the row: rows made by such a transaction must
// outlive every copy that can still be in flight.
func CommitAndResolve(ctx context.Context, s Service, txn Txn, isOwnWrite func(Row) bool) ([]Version, error) {
	if !checksWrittenRow(txn) {
		return nil, &InvalidError{Problem: "a write to be settled must check a row that it writes"}
	}
	var unknownErr error
	for wait := retryFirstWait; ; wait = min(2*wait, retryMaxWait) {
		versions, err := s.Commit(ctx, txn)
		var conflict *ConflictError
		switch {
		case err == nil:
			return versions, nil
		case errors.As(err, &conflict) && unknownErr != nil:
			versions, err = resolveConflict(ctx, s, txn, isOwnWrite, conflict)
		}
		if !isUnresolved(err, unknownErr) {
			return versions, err
		}
		if unknownErr == nil {
			unknownErr = err // The first open error is always an *UnknownError.
		}
		if !loop.Sleep(ctx, jitter(wait)) {
			return nil, unknownErr
		}
		// While answers of writes are lost, those of reads may still come.
		if versions, applied := readBack(ctx, s, txn, isOwnWrite); applied {
			return versions, nil
		}
	}
}

// readBack returns the versions of the rows written if they show that the
// write took effect. That they do not proves nothing.
func readBack(ctx context.Context, s Service, txn Txn, isOwnWrite func(Row) bool) ([]Version, bool) {
	rows, err := readWritten(ctx, s, txn)
	if err != nil {
		return nil, false
	}
	return ownVersions(rows, isOwnWrite)
}

// readWritten reads the rows that txn writes.
func readWritten(ctx context.Context, s Service, txn Txn) ([]Row, error) {
	keys := make([]Key, len(txn.Writes))
	for i, w := range txn.Writes {
		keys[i] = w.Key
	}
	return s.Get(ctx, keys...)
}

// isOpen tells whether the write is still unsettled after err. A refused repeat
// settles nothing about an earlier try whose answer was lost.
func isUnresolved(err, unknownErr error) bool {
	var unknown *UnknownError
	var unavailable *UnavailableError
	return errors.As(err, &unknown) || unknownErr != nil && errors.As(err, &unavailable)
}

// settleConflict reads back after a repeat met a conflict.
func resolveConflict(ctx context.Context, s Service, txn Txn, isOwnWrite func(Row) bool, conflict *ConflictError) ([]Version, error) {
	rows, err := readWritten(ctx, s, txn)
	if err != nil {
		return nil, err
	}
	if versions, applied := ownVersions(rows, isOwnWrite); applied {
		return versions, nil
	}
	if !neverApplied(txn, rows) {
		return nil, &SupersededError{Rows: rows, Conflict: conflict}
	}
	// A version never comes back, so no copy can take effect any more. But
	// absence comes back with a delete, and an early copy may arrive after it.
	if conflict.Want == Absent {
		return nil, &UnknownError{Cause: conflict}
	}
	return nil, conflict
}

// ownVersions returns the versions of the rows that hold this write. One such
// row proves that all were written, as a transaction applies wholly.
func ownVersions(rows []Row, isOwnWrite func(Row) bool) ([]Version, bool) {
	versions := make([]Version, len(rows))
	applied := false
	for i, r := range rows {
		if r.Version != Absent && isOwnWrite(r) {
			versions[i] = r.Version
			applied = true
		}
	}
	return versions, applied
}

// neverApplied tells whether the rows read back prove that no copy of txn has
// taken effect. A version counts the writes of its row, so a row checked at v
// that is still at v was not written, and one at v+1 that is not ours was
// written once, by somebody else. After a delete of ours, though, somebody may
// have made the row anew at v+1.
func neverApplied(txn Txn, rows []Row) bool {
	checked := checkedVersions(txn)
	for i, r := range rows {
		v := checked[r.Key]
		if v == Absent || r.Version == Absent {
			continue
		}
		if r.Version == v || r.Version == v+1 && !txn.Writes[i].Delete {
			return true
		}
	}
	return false
}

// guardsItself tells whether txn checks a row that it also writes.
func checksWrittenRow(txn Txn) bool {
	checked := checkedVersions(txn)
	for _, w := range txn.Writes {
		if _, ok := checked[w.Key]; ok {
			return true
		}
	}
	return false
}

func checkedVersions(txn Txn) map[Key]Version {
	checked := make(map[Key]Version, len(txn.Checks))
	for _, c := range txn.Checks {
		checked[c.Key] = c.Version
	}
	return checked
}

// jitter draws a wait between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2)
}
