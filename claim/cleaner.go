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
	// maxSweepRows bounds the rows that one Sweep reads.
	maxSweepRows = table.MaxGetRows
	// maxDeleteRows bounds the rows of one transaction: each takes a check and a write.
	maxDeleteRows = table.MaxTxnRows / 2
	// maxDeleteAttempts bounds the attempts of one transaction that meets conflicts.
	maxDeleteAttempts = 4
)

// Cleaner deletes rows past their retention. One sweep makes one scan of 1,000 rows and at most
// eight transactions, usually none. Only one process at a time should run a Cleaner; concurrent
// ones merely conflict with each other. It is not safe for concurrent use.
//
// Invariant: a row in state claimed outlives every process that could still dispatch its call. It
// is therefore kept for cfg.UnknownRetention, and never for less than a response is. A process that
// is paused for longer than that between its claim and its dispatch is not covered.
type Cleaner struct {
	store *Store
	// cursor is the row after which the next sweep begins.
	cursor string
}

// NewCleaner returns a Cleaner for the rows of s.
func NewCleaner(s *Store) *Cleaner { return &Cleaner{store: s} }

// Run sweeps at the given interval, with jitter, until ctx ends. It skips sweeps while active
// returns false. At one sweep per second it covers 1,000 rows per second; at 200 claims per second
// and a retention of one day, a full pass takes five hours.
func (c *Cleaner) Run(ctx context.Context, interval time.Duration, active func() bool) {
	for loop.Sleep(ctx, loop.Jitter(interval)) {
		if !active() {
			continue
		}
		if _, err := c.Sweep(ctx); err != nil {
			klog.V(1).Infof("claim: sweep failed: %v", err)
		}
	}
}

// Sweep reads the next rows and deletes the expired ones. It returns the number of deleted rows;
// its errors are those of table.Service.
func (c *Cleaner) Sweep(ctx context.Context) (int, error) {
	rows, err := c.store.cfg.Table.Scan(ctx, Table, "", c.cursor, maxSweepRows)
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

// advance moves the cursor past rows, and back to the start after the last row of the table.
func (c *Cleaner) advance(rows []table.Row) {
	if len(rows) < maxSweepRows {
		c.cursor = ""
		return
	}
	c.cursor = rows[len(rows)-1].Key.Row
}

func (c *Cleaner) expired(rows []table.Row, now time.Time) []table.Row {
	var out []table.Row
	for _, row := range rows {
		rec, err := decode(row)
		if err == nil && millis(now)-rec.At > c.retentionFor(row.Key, rec.State).Milliseconds() {
			out = append(out, row)
		}
	}
	return out
}

func (c *Cleaner) retentionFor(key table.Key, st state) time.Duration {
	retention := c.store.cfg.Retention
	if serviceRetention := c.store.cfg.ServiceRetention; serviceRetention != nil {
		retention = cmp.Or(serviceRetention(serviceOf(key)), retention)
	}
	if st == claimed {
		return max(c.store.cfg.UnknownRetention, retention)
	}
	return retention
}

// delete removes rows, unless they changed since they were read, in transactions of at most
// maxDeleteRows.
func (c *Cleaner) delete(ctx context.Context, rows []table.Row) (int, error) {
	deleted := 0
	for chunk := range slices.Chunk(rows, maxDeleteRows) {
		n, err := c.deleteChunk(ctx, chunk)
		if err != nil {
			return deleted, err
		}
		deleted += n
	}
	return deleted, nil
}

// deleteChunk deletes rows in one transaction. A row that has changed since it was read is skipped.
func (c *Cleaner) deleteChunk(ctx context.Context, rows []table.Row) (int, error) {
	for range maxDeleteAttempts {
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
