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

// Backoff between the attempts to resolve a write. Each wait is drawn uniformly between half the
// bound and the bound.
const (
	retryFirstWait = 20 * time.Millisecond
	retryMaxWait   = time.Second
)

// SupersededError reports a write whose response was lost, and whose rows now hold another
// writer's values. The version numbers don't show whether the write took effect before that; a
// caller that knows the values may find out from Rows.
type SupersededError struct {
	// Rows are the written rows as read back.
	Rows []Row
	// Conflict is the conflict of the repeated transaction.
	Conflict *ConflictError
}

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("table write superseded, its effect is unknown: %v", e.Conflict)
}

// Reason implements failure.Coded.
func (e *SupersededError) Reason() failure.Reason { return failure.TableSuperseded }

// Unwrap returns the conflict.
func (e *SupersededError) Unwrap() error { return e.Conflict }

// CommitAndResolve commits txn and, if the response is lost, determines the outcome. isOwnWrite
// reports whether a row that was read back holds the id of this write.
//
// The returned versions are those of this write. For a row that another writer has written since,
// the version is Absent, so that a later condition on it fails. A transaction that only deletes
// leaves no id to read back; after a lost response it ends in *SupersededError at best. Errors:
//
//   - *ConflictError: txn had no effect, and never will.
//   - *UnavailableError: the only attempt had no effect.
//   - *UnknownError: ctx ended before the outcome was known.
//   - *SupersededError: see there.
//   - *InvalidError: txn is invalid, or checks no row that it writes (see below).
//
// Invariant: at most one of the copies of txn that are sent takes effect, however late they
// arrive. txn must therefore check a row that it also writes. The copy that applies changes that
// row's version, versions are never reused, and so the check of every other copy fails. A check
// for Absent guarantees this only while the row is not deleted: rows created by such a
// transaction must outlive every copy that can still be in flight.
func CommitAndResolve(ctx context.Context, s Service, txn Txn, isOwnWrite func(Row) bool) ([]Version, error) {
	if !checksWrittenRow(txn) {
		return nil, &InvalidError{Problem: "the transaction must check a row that it writes"}
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
			unknownErr = err // the first unresolved error is always an *UnknownError
		}
		if !loop.Sleep(ctx, jitter(wait)) {
			return nil, unknownErr
		}
		// While the responses to writes are lost, those to reads may still arrive.
		if versions, applied := readBack(ctx, s, txn, isOwnWrite); applied {
			return versions, nil
		}
	}
}

// readBack returns the versions of the written rows if they show that the write took effect. If
// they don't show it, the outcome remains unknown.
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

// isUnresolved reports whether the outcome of the write is still unknown after err. A refused
// repetition doesn't resolve an earlier attempt whose response was lost.
func isUnresolved(err, unknownErr error) bool {
	var unknown *UnknownError
	var unavailable *UnavailableError
	return errors.As(err, &unknown) || unknownErr != nil && errors.As(err, &unavailable)
}

// resolveConflict reads the rows back after a repetition met a conflict.
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
	// A version is never reused, so no copy can take effect any more. But a deletion makes the
	// row absent again, and an early copy may arrive after it.
	if conflict.Want == Absent {
		return nil, &UnknownError{Cause: conflict}
	}
	return nil, conflict
}

// ownVersions returns the versions of the rows that hold this write. One such row proves that all
// were written, because a transaction is atomic.
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

// neverApplied reports whether the rows read back prove that no copy of txn has taken effect. A
// version counts the writes of its row, so a row that was checked at v and is still at v was not
// written, and one at v+1 without this write's id was written once, by another writer. This
// doesn't hold for a row that txn deletes: another writer may have created it again at v+1.
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

// checksWrittenRow reports whether txn checks a row that it also writes.
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
