package claim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/retry"
	"github.com/springweir/springweir/table"
)

// occupiedError reports a write that was rejected because the row holds another writer's value.
type occupiedError struct {
	version table.Version
	record  record
}

// Error implements error.
func (e *occupiedError) Error() string {
	return fmt.Sprintf("claim is %s by %s at version %d", e.record.State, e.record.Owner, e.version)
}

// Reason implements failure.Coded.
func (e *occupiedError) Reason() failure.Reason { return failure.TableConflict }

// write writes rec on condition that the row's version is expected, and returns the row's new
// version. If the response to the write is lost, table.CommitAndResolve repeats the same write and
// then looks for its ID in the row.
//
// A first attempt that arrives late does no harm. It is conditional on the same version as its
// repeat, so once one of them has been applied the other conflicts. The row is never deleted while
// a call is active (Release writes a new value), so the version Absent does not recur.
//
// Errors: *occupiedError, *cleanedError, *CorruptError and *table.UnavailableError (no effect),
// *table.UnknownError (ctx ended before the write was resolved).
func (s *Store) write(ctx context.Context, key table.Key, expected table.Version, rec record) (table.Version, error) {
	txn := table.Txn{
		Checks: []table.Check{{Key: key, Version: expected}},
		Writes: []table.Write{{Key: key, Value: rec.encode()}},
	}
	isOwn := func(row table.Row) bool {
		have, err := decode(row)
		return err == nil && have.Write == rec.Write
	}
	versions, err := table.CommitAndResolve(ctx, s.cfg.Table, txn, isOwn)
	if err == nil {
		return versions[0], nil
	}
	var superseded *table.SupersededError
	if errors.As(err, &superseded) {
		return 0, conflictError(superseded.Rows[0])
	}
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		return s.resolveConflict(ctx, key, isOwn)
	}
	return 0, err
}

// resolveConflict checks whose value the row holds. It may be that of this very write, if an
// earlier call of write returned *table.UnknownError.
func (s *Store) resolveConflict(ctx context.Context, key table.Key, isOwn func(table.Row) bool) (table.Version, error) {
	rows, err := s.cfg.Table.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	if rows[0].Version != table.Absent && isOwn(rows[0]) {
		return rows[0].Version, nil
	}
	return 0, conflictError(rows[0])
}

func conflictError(row table.Row) error {
	if row.Version == table.Absent {
		return &cleanedError{key: row.Key}
	}
	rec, err := decode(row)
	if err != nil {
		return err
	}
	return &occupiedError{version: row.Version, record: rec}
}

// unreachable reports whether err means that the table was unavailable or its response was lost.
func unreachable(err error) bool {
	var unavailable *table.UnavailableError
	var unknown *table.UnknownError
	return errors.As(err, &unavailable) || errors.As(err, &unknown)
}

// cleanedError reports that the row was deleted concurrently because its retention had passed.
type cleanedError struct{ key table.Key }

// Error implements error.
func (e *cleanedError) Error() string { return "claim row " + e.key.String() + " was cleaned" }

// Reason implements failure.Coded.
func (e *cleanedError) Reason() failure.Reason { return failure.ClaimUnknown }

// runInBackground retries write for at most cfg.BackgroundTimeout. If maxBackground writes are
// already in flight, the write is dropped, which leaves the row in state claimed.
func (s *Store) runInBackground(write func(ctx context.Context) error) {
	started := s.background.TryGo(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), s.cfg.BackgroundTimeout)
		defer cancel()
		for n := 1; ; n++ {
			err := write(ctx)
			if err == nil || !unreachable(err) {
				return nil
			}
			if !retry.Wait(ctx, backgroundBackoff.Delay(n, rand.Float64())) {
				countDropped(err)
				return nil
			}
		}
	})
	if !started {
		countDropped(nil)
	}
}

func countDropped(cause error) {
	metrics.GetOrCreateCounter(`springweir_claim_writes_dropped_total`).Inc()
	klog.Warningf("claim: background write abandoned: %v", cause)
}
