package claim

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/table"
)

const (
	// sweepRows bounds the rows that one Sweep reads.
	sweepRows = table.MaxGetRows
	// deleteRows bounds the rows of one transaction: each is a check and a write.
	deleteRows = table.MaxTxnRows / 2
	// deleteTries bounds the tries of one transaction that meets conflicts.
	deleteTries = 4
)

// Cleaner deletes rows past their retention, a bounded number a sweep: one scan
// of 1,000 rows and at most eight transactions, mostly none. One process at a
// time should run one; two at once only conflict. It is not safe for concurrent
// use.
//
// Invariant: a row that says perhaps run outlives every process that could
// still dispatch its call, so it is kept for cfg.UnknownRetention, and never for less
// than an answer is. A process paused for longer than that between its claim and
// its dispatch is the one case this does not cover.
type Cleaner struct {
	store *Store
	// after is where the next sweep begins.
	after string
}

// NewCleaner returns a Cleaner of the store's rows.
func NewCleaner(s *Store) *Cleaner { return &Cleaner{store: s} }

// Run sweeps every so often, with jitter and only while it is this process's
// turn, until ctx ends. At one sweep a second it passes 1,000 rows a second, so
// 200 claims a second, kept for a day, take five hours a pass.
func (c *Cleaner) Run(ctx context.Context, every time.Duration, turn func() bool) {
	for loop.Sleep(ctx, loop.Jitter(every)) {
		if !turn() {
			continue
		}
		if _, err := c.Sweep(ctx); err != nil {
			klog.V(1).Infof("claim: sweep failed: %v", err)
		}
	}
}

// Sweep looks at the next rows and deletes those that have expired. It returns
// how many it deleted; its errors are those of table.Service.
func (c *Cleaner) Sweep(ctx context.Context) (int, error) {
	rows, err := c.store.cfg.Table.Scan(ctx, Table, "", c.after, sweepRows)
	if err != nil {
		return 0, err
	}
	expired := c.expired(rows, time.Now())
	deleted, err := c.delete(ctx, expired)
	if err != nil {
		return 0, err
	}
	c.advance(rows)
	metrics.GetOrCreateCounter(`springweir_claims_cleaned_total`).Add(deleted)
	return deleted, nil
}

// advance moves past the rows seen, and back to the start after the last.
func (c *Cleaner) advance(rows []table.Row) {
	if len(rows) < sweepRows {
		c.after = ""
		return
	}
	c.after = rows[len(rows)-1].Key.Row
}

func (c *Cleaner) expired(rows []table.Row, now time.Time) []table.Row {
	var out []table.Row
	for _, row := range rows {
		rec, err := decode(row)
		if err == nil && millis(now)-rec.At > c.keep(row.Key, rec.State).Milliseconds() {
			out = append(out, row)
		}
	}
	return out
}

func (c *Cleaner) keep(key table.Key, st state) time.Duration {
	retention := c.store.cfg.Retention
	if of := c.store.cfg.ServiceRetention; of != nil {
		retention = cmp.Or(of(serviceOf(key)), retention)
	}
	if st == claimed {
		return max(c.store.cfg.UnknownRetention, retention)
	}
	return retention
}

// delete removes rows as they were read, in as few transactions as it takes.
func (c *Cleaner) delete(ctx context.Context, rows []table.Row) (int, error) {
	deleted := 0
	for chunk := range slices.Chunk(rows, deleteRows) {
		n, err := c.deleteChunk(ctx, chunk)
		if err != nil {
			return deleted, err
		}
		deleted += n
	}
	return deleted, nil
}

// deleteChunk is one transaction. A row that has changed since is left.
func (c *Cleaner) deleteChunk(ctx context.Context, rows []table.Row) (int, error) {
	for range deleteTries {
		if len(rows) == 0 {
			return 0, nil
		}
		_, err := c.store.cfg.Table.Commit(ctx, deletion(rows))
		var conflict *table.ConflictError
		if !errors.As(err, &conflict) {
			return len(rows), err
		}
		rows = without(rows, conflict.Key)
	}
	return 0, nil
}

func deletion(rows []table.Row) table.Txn {
	var txn table.Txn
	for _, row := range rows {
		txn.Checks = append(txn.Checks, table.Check{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, table.Write{Key: row.Key, Delete: true})
	}
	return txn
}

func without(rows []table.Row, key table.Key) []table.Row {
	var out []table.Row
	for _, row := range rows {
		if row.Key != key {
			out = append(out, row)
		}
	}
	return out
}
