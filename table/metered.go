package table

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/springweir/springweir/failure"
)

// The kinds of call, as the label op of the metrics.
const (
	opGet    = "get"
	opScan   = "scan"
	opCommit = "commit"
)

// Metered is a Service that counts the calls to another:
//
//   - springweir_table_calls_total{op}
//   - springweir_table_rows_total{op}: rows read by get and scan, written by commit
//   - springweir_table_failures_total{op,reason}
//   - springweir_table_seconds{op}: a histogram of the duration of a call
type Metered struct {
	service Service
	set     *metrics.Set
}

var _ Service = (*Metered)(nil)

// NewMetered returns a Service that forwards calls to s and counts them in set.
func NewMetered(s Service, set *metrics.Set) *Metered {
	return &Metered{service: s, set: set}
}

// Get implements Service.
func (m *Metered) Get(ctx context.Context, keys ...Key) ([]Row, error) {
	start := time.Now()
	rows, err := m.service.Get(ctx, keys...)
	m.count(opGet, start, len(rows), err)
	return rows, err
}

// Scan implements Service.
func (m *Metered) Scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error) {
	start := time.Now()
	rows, err := m.service.Scan(ctx, table, prefix, after, limit)
	m.count(opScan, start, len(rows), err)
	return rows, err
}

// Commit implements Service.
func (m *Metered) Commit(ctx context.Context, txn Txn) ([]Version, error) {
	start := time.Now()
	versions, err := m.service.Commit(ctx, txn)
	m.count(opCommit, start, len(versions), err)
	return versions, err
}

func (m *Metered) count(op string, start time.Time, rows int, err error) {
	m.counter("springweir_table_calls_total{op=%q}", op).Inc()
	m.counter("springweir_table_rows_total{op=%q}", op).Add(rows)
	m.set.GetOrCreateHistogram(fmt.Sprintf("springweir_table_seconds{op=%q}", op)).UpdateDuration(start)
	if err != nil {
		m.counter("springweir_table_failures_total{op=%q,reason=%q}", op, failure.ReasonOf(err)).Inc()
	}
}

func (m *Metered) counter(format string, labels ...any) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(format, labels...))
}
