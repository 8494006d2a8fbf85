package lease

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/table"
)

// Lease is one tenure of a lease. Once lost it stays lost: the next tenure is a new Lease with a
// higher fencing token. It is safe for concurrent use.
type Lease struct {
	svc   table.Service
	cfg   Config
	fence uint64
	first bool
	// sameVM is set if this VM held the previous tenure.
	sameVM bool
	// epoch is the table service's epoch in which the tenure began. The tenure ends with it.
	epoch uint64

	// mu guards the fields below. It is not held during calls to the table service.
	mu       sync.Mutex
	version  table.Version
	deadline time.Time
	loss     LossCause
	lost     chan struct{}
}

// Authority is what a holder may act on. It is valid only at the moment it is returned: request
// it again rather than store it.
type Authority struct {
	Fence uint64
	// Deadline is a monotonic time, counted from before the last renewal was sent.
	Deadline time.Time
}

// Remaining returns the time until the deadline.
func (a Authority) Remaining() time.Duration { return clock.Until(a.Deadline) }

// Fence returns the fencing token.
func (l *Lease) Fence() uint64 { return l.fence }

// First reports whether the lease's row did not exist before this tenure.
func (l *Lease) First() bool { return l.first }

// SameVM reports whether this VM held the previous tenure too, so that no other VM has acted since.
func (l *Lease) SameVM() bool { return l.sameVM }

// Holder returns the process that holds the lease.
func (l *Lease) Holder() Identity { return l.cfg.Identity }

// Pool returns the name of the pool.
func (l *Lease) Pool() string { return l.cfg.Pool }

// Zone returns the name of the availability zone.
func (l *Lease) Zone() string { return l.cfg.Zone }

// Authority returns the holder's present authority. The error is *LostError.
func (l *Lease) Authority() (Authority, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.loss != "":
	case clock.Until(l.deadline) <= 0:
		l.loseLocked(Expired)
	case l.version.Epoch() != l.epoch || l.cfg.epoch() != l.epoch:
		// After a restore the table service may have lost this tenure and have granted one to
		// another process. Or the write that began this tenure took effect only after the service
		// had lost the state on which the decision was based.
		l.loseLocked(EpochOver)
	}
	if l.loss != "" {
		return Authority{}, l.lostError()
	}
	return Authority{Fence: l.fence, Deadline: l.deadline}, nil
}

// Revoke drops the lease at the request of a successor.
func (l *Lease) Revoke() { l.lose(Revoked) }

// Commit applies txn only if this tenure's row is current in the table, checked in the same
// transaction, and resolves a lost response: isOwnWrite reports whether a row that was read back
// holds the id of this write. txn must itself check each row that it writes. Errors are
// *LostError, or those of table.CommitAndResolve for txn.
//
// Invariant: a renewal changes the row's version but not its fencing token, so a check at any
// version of this tenure proves the token. A conflict on the lease's row is retried only after a
// read has shown that the tenure is current. The earlier attempt can then no longer take effect,
// because it checks a version that has passed.
func (l *Lease) Commit(ctx context.Context, txn table.Txn, isOwnWrite func(table.Row) bool) ([]table.Version, error) {
	var supersededErr error
	for {
		if _, err := l.Authority(); err != nil {
			return nil, err
		}
		guardedTxn := table.Txn{Checks: l.withGuard(txn.Checks), Writes: txn.Writes}
		versions, err := table.CommitAndResolve(ctx, l.svc, guardedTxn, isOwnWrite)
		var conflict *table.ConflictError
		if !errors.As(err, &conflict) {
			return versions, err
		}
		var superseded *table.SupersededError
		if errors.As(err, &superseded) {
			supersededErr = err
		}
		changed, refreshErr := l.refresh(ctx, guardedTxn.Checks[0].Version)
		if refreshErr != nil {
			return nil, refreshErr
		}
		if !changed {
			return nil, cmp.Or(supersededErr, err)
		}
		countRetry(err)
	}
}

// withGuard prepends the check of the lease's row to checks.
func (l *Lease) withGuard(checks []table.Check) []table.Check {
	l.mu.Lock()
	defer l.mu.Unlock()
	guard := table.Check{Key: Key(l.cfg.Pool, l.cfg.Zone), Version: l.version}
	return append([]table.Check{guard}, checks...)
}

// refresh reads the lease's row and reports whether it has changed since version within this
// tenure.
func (l *Lease) refresh(ctx context.Context, version table.Version) (bool, error) {
	rows, err := l.svc.Get(ctx, Key(l.cfg.Pool, l.cfg.Zone))
	if err != nil {
		return false, err
	}
	row := rows[0]
	if !l.showsTenure(row) {
		l.lose(Superseded)
		_, err := l.Authority()
		return false, err
	}
	l.mu.Lock()
	l.version = max(l.version, row.Version)
	l.mu.Unlock()
	return row.Version != version, nil
}

// showsTenure reports whether row shows this tenure as current.
func (l *Lease) showsTenure(row table.Row) bool {
	if row.Version == table.Absent {
		return false
	}
	rec, err := Decode(row)
	if err != nil {
		return false
	}
	return rec.Fence == l.fence && rec.Holder.Process == l.cfg.Identity.Process && !rec.Released
}

// recordRenewal records a renewal that was sent at sentAt and committed at version.
func (l *Lease) recordRenewal(version table.Version, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = max(l.version, version)
	l.deadline = sentAt.Add(l.cfg.TTL - l.cfg.Margin)
}

func (l *Lease) lose(cause LossCause) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.loss == "" {
		l.loseLocked(cause)
	}
}

func (l *Lease) loseLocked(cause LossCause) {
	l.loss = cause
	close(l.lost)
	countLoss(cause)
}

func (l *Lease) lostError() *LostError {
	return &LostError{Pool: l.cfg.Pool, Zone: l.cfg.Zone, Fence: l.fence, Cause: l.loss}
}
