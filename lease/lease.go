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

// Lease is a lease as held. It stays lost once it is lost: a new tenure is a
// new Lease with a higher fence. It is safe for concurrent use.
type Lease struct {
	svc   table.Service
	cfg   Config
	fence uint64
	first bool
	// epoch is that of the table service in which the tenure began: it does not outlast it.
	epoch uint64

	// mu guards the fields below. No call is made while it is held.
	mu       sync.Mutex
	version  table.Version
	deadline time.Time
	loss     LossCause
	lost     chan struct{}
}

// Authority is what a holder may act on. It is a value of one moment: ask
// again rather than keep it.
type Authority struct {
	Fence uint64
	// Deadline is monotonic, counted from before the last renewal was sent.
	Deadline time.Time
}

// Remaining returns how long the authority still lasts.
func (a Authority) Remaining() time.Duration { return clock.Until(a.Deadline) }

// Fence returns the fencing number.
func (l *Lease) Fence() uint64 { return l.fence }

// First tells whether no tenure is known before this one.
func (l *Lease) First() bool { return l.first }

// Holder returns the process that holds the lease.
func (l *Lease) Holder() Identity { return l.cfg.Identity }

// Pool returns the name of the pool.
func (l *Lease) Pool() string { return l.cfg.Pool }

// Zone returns the name of the availability zone.
func (l *Lease) Zone() string { return l.cfg.Zone }

// Authority returns the holder's authority now. The error is *LostError.
func (l *Lease) Authority() (Authority, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.loss != "":
	case clock.Until(l.deadline) <= 0:
		l.loseLocked(Expired)
	case l.version.Epoch() != l.epoch || l.cfg.epoch() != l.epoch:
		// The table service may have lost this tenure, and let another process begin one; or the
		// write that began it came into effect only after the service had lost what was decided on.
		l.loseLocked(EpochOver)
	}
	if l.loss != "" {
		return Authority{}, l.lostError()
	}
	return Authority{Fence: l.fence, Deadline: l.deadline}, nil
}

// Revoke drops the lease because a successor asked for it.
func (l *Lease) Revoke() { l.lose(Revoked) }

// Commit applies txn only if this lease still stands in the table, in the same
// transaction, and settles a lost answer: mine tells whether a row read back
// holds this write's own id. Each write must be checked by txn itself. Errors
// are *LostError, or those of table.CommitAndResolve for txn.
//
// Invariant: a renewal changes the row's version but not its fence, so a check
// at any version of this tenure proves the fence. A conflict on the lease's row
// is tried again only after reading that the tenure still stands, and then the
// earlier try can't take effect any more, because its check names a version
// that has passed.
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

// guarded puts the check of the lease's row before checks.
func (l *Lease) withGuard(checks []table.Check) []table.Check {
	l.mu.Lock()
	defer l.mu.Unlock()
	guard := table.Check{Key: Key(l.cfg.Pool, l.cfg.Zone), Version: l.version}
	return append([]table.Check{guard}, checks...)
}

// refresh reads the lease's row and tells whether it moved on from version
// within this tenure.
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

// stands tells whether row shows this tenure.
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

// renewed notes a renewal that was sent at sent and committed at version.
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
