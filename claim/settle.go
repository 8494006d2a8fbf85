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

// occupiedError is a write refused because the row holds somebody else's value.
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

// settle writes rec on condition that the row stands at version at, and
// returns the row's new version. A write whose answer is lost is settled by
// table.CommitSettled: the same write again, then its id read back.
//
// Why a late first try cannot hurt: it is conditional on the same version as
// its repeat, so once either has applied the other conflicts; and the row is
// never deleted while a call lives (release writes a new value), so the version
// Absent does not come back.
//
// Errors: *occupiedError, *cleanedError, *CorruptError and
// *table.UnavailableError (no effect), *table.UnknownError (ctx ended before the
// write was settled).
func (s *Store) settle(ctx context.Context, key table.Key, at table.Version, rec record) (table.Version, error) {
	txn := table.Txn{
		Checks: []table.Check{{Key: key, Version: at}},
		Writes: []table.Write{{Key: key, Value: rec.encode()}},
	}
	mine := func(row table.Row) bool {
		have, err := decode(row)
		return err == nil && have.Write == rec.Write
	}
	versions, err := table.CommitAndResolve(ctx, s.cfg.Table, txn, mine)
	if err == nil {
		return versions[0], nil
	}
	var superseded *table.SupersededError
	if errors.As(err, &superseded) {
		return 0, occupied(superseded.Rows[0])
	}
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		return s.afterConflict(ctx, key, mine)
	}
	return 0, err
}

// afterConflict reads whose value the row holds. It may be this write's own, if
// an earlier settle of it ended in doubt.
func (s *Store) afterConflict(ctx context.Context, key table.Key, mine func(table.Row) bool) (table.Version, error) {
	rows, err := s.cfg.Table.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	if rows[0].Version != table.Absent && mine(rows[0]) {
		return rows[0].Version, nil
	}
	return 0, occupied(rows[0])
}

func occupied(row table.Row) error {
	if row.Version == table.Absent {
		return &cleanedError{key: row.Key}
	}
	rec, err := decode(row)
	if err != nil {
		return err
	}
	return &occupiedError{version: row.Version, record: rec}
}

// unreachable tells whether a call failed for want of the platform.
func unreachable(err error) bool {
	var unavailable *table.UnavailableError
	var unknown *table.UnknownError
	return errors.As(err, &unavailable) || errors.As(err, &unknown)
}

// cleanedError is a row that vanished under a write: it was past its retention.
type cleanedError struct{ key table.Key }

// Error implements error.
func (e *cleanedError) Error() string { return "claim row " + e.key.String() + " was cleaned" }

// Reason implements failure.Coded.
func (e *cleanedError) Reason() failure.Reason { return failure.ClaimUnknown }

// later runs a write in the background for at most cfg.BackgroundTimeout. When too many
// are under way it is dropped, which leaves the row saying perhaps run.
func (s *Store) later(write func(ctx context.Context) error) {
	started := s.background.TryGo(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), s.cfg.BackgroundTimeout)
		defer cancel()
		for n := 1; ; n++ {
			err := write(ctx)
			if err == nil || !unreachable(err) {
				return nil
			}
			if !retry.Wait(ctx, settleBackoff.Delay(n, rand.Float64())) {
				dropped(err)
				return nil
			}
		}
	})
	if !started {
		dropped(nil)
	}
}

func dropped(cause error) {
	metrics.GetOrCreateCounter(`springweir_claim_writes_dropped_total`).Inc()
	klog.Warningf("claim: gave up a background write: %v", cause)
}
