package rollout

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/table"
)

// Retention of the history. A version is kept while either limit requires it.
const (
	// KeptVersions is how many of the newest versions are always kept.
	KeptVersions = 200
	// KeptFor is how long every version is kept.
	KeptFor = 30 * 24 * time.Hour
)

// Limits of the pruner: up to 2,880 versions a day, above the 1,600 changes a day of the target
// size.
const (
	pruneInterval = 10 * time.Minute
	pruneBatch    = 20
)

// Pruner deletes old versions from the history, under the lease of one zone.
//
// Invariant: once a version may be deleted, it always may be, because its age and the head only
// increase. A delete is therefore correct whenever it takes effect, even from a pruner that was
// paused and has lost its lease. The head and the rows that Store.Put checks are never deleted.
type Pruner struct {
	zone  string
	store *Store
	auth  contact.Authority
}

// NewPruner returns the pruner for a zone.
func NewPruner(zone string, store *Store, auth contact.Authority) *Pruner {
	return &Pruner{zone: zone, store: store, auth: auth}
}

// Run prunes until ctx ends.
func (p *Pruner) Run(ctx context.Context) {
	loop.Every(ctx, pruneInterval, func() {
		n, err := p.Step(ctx)
		if err != nil {
			klog.Warningf("rollout: deleting old configurations failed: %v", err)
		}
		if n > 0 {
			klog.Infof("rollout: deleted %d old configurations", n)
		}
	})
}

// Step deletes the oldest versions that no longer have to be kept, at most pruneBatch, and
// returns their number. Only the first zone that has VMs does so.
//
// A long text is deleted before the row that names it, so a step that is interrupted in between
// is repeated by the next one and leaves no orphan.
func (p *Pruner) Step(ctx context.Context) (int, error) {
	checks, err := p.auth.Checks()
	if err != nil {
		return 0, err
	}
	zones, err := p.store.activeAckKeys(ctx)
	if err != nil || len(zones) == 0 || zones[0] != AckKey(p.zone) {
		return 0, err
	}
	newest, err := p.store.Head(ctx)
	if err != nil {
		return 0, err
	}
	rows, err := p.store.rows.Scan(ctx, Table, versionPrefix, "", pruneBatch)
	if err != nil {
		return 0, eris.Wrap(err, "read oldest configurations")
	}
	old := slices.DeleteFunc(rows, func(row table.Row) bool { return !expired(row, newest, time.Now()) })
	if len(old) == 0 {
		return 0, nil
	}
	return len(old), p.delete(ctx, checks, old)
}

// expired reports whether the version in the row no longer has to be kept. Its age is measured
// by the wall clocks of the writer and of this VM, which nothing else depends on. A row that
// cannot be decoded is kept.
func expired(row table.Row, newest Version, now time.Time) bool {
	entry, err := decodeRow[Entry](row)
	return err == nil && entry.Version+KeptVersions <= newest && now.Sub(time.Unix(entry.Written, 0)) >= KeptFor
}

func (p *Pruner) delete(ctx context.Context, checks []table.Check, rows []table.Row) error {
	txn := table.Txn{Checks: checks}
	for _, row := range rows {
		entry, err := decodeRow[Entry](row)
		if err == nil && entry.Object != "" {
			err = p.store.objects.Delete(ctx, entry.Object)
		}
		if err != nil {
			return eris.Wrap(err, "delete configuration text")
		}
		txn.Checks = append(txn.Checks, table.Check{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, table.Write{Key: row.Key, Delete: true})
	}
	if _, err := p.store.rows.Commit(ctx, txn); err != nil {
		return eris.Wrap(err, "delete configurations")
	}
	return nil
}
