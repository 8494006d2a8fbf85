package table_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// result is the outcome of a commit.
type result struct {
	Versions []table.Version
	Reason   failure.Reason
}

// mismatchAt returns a version that conflicts with an absent row if i is at, and Absent
// otherwise.
func mismatchAt(i, at int) table.Version {
	if i == at {
		return 1
	}
	return table.Absent
}

// commitAll commits txns concurrently.
func commitAll(ctx context.Context, s table.Service, txns []table.Txn) []result {
	results := make([]result, len(txns))
	var wg sync.WaitGroup
	for i, txn := range txns {
		wg.Go(func() {
			versions, err := s.Commit(ctx, txn)
			results[i] = result{Versions: versions, Reason: reason(err)}
		})
	}
	wg.Wait()
	return results
}

func TestBatcherGroups(t *testing.T) {
	const n = 100
	tests := []struct {
		name string
		// row returns the row of the i-th transaction; version returns the version that it
		// checks.
		row           func(i int) string
		version       func(i int) table.Version
		concurrency   int
		wantSucceeded int
		// maxCommits allows for a first group that the worker takes before the others are queued.
		maxCommits uint64
	}{
		{name: "independent", row: func(i int) string { return fmt.Sprint(i) }, concurrency: 1, wantSucceeded: n, maxCommits: 2},
		{name: "one conflict", row: func(i int) string { return fmt.Sprint(i) }, concurrency: 1,
			version: func(i int) table.Version { return mismatchAt(i, n/2) }, wantSucceeded: n - 1, maxCommits: n + 2},
		{name: "all on one row", row: func(int) string { return "x" }, concurrency: 4, wantSucceeded: 1, maxCommits: n},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := memtable.New()
				m.SetFault(memtable.Fault{Delay: 5 * time.Millisecond})
				s := table.NewBatcher(m, table.BatcherConfig{MaxConcurrent: tt.concurrency})
				var txns []table.Txn
				for i := range n {
					version := table.Absent
					if tt.version != nil {
						version = tt.version(i)
					}
					txns = append(txns, guarded(tt.row(i), fmt.Sprint(i), version))
				}
				succeeded := 0
				for i, r := range commitAll(t.Context(), s, txns) {
					if r.Reason == "" {
						succeeded++
						checkWritten(t, m, r, txns[i])
					} else if r.Reason != failure.TableConflict {
						t.Errorf("transaction %d: %v", i, r)
					}
				}
				if succeeded != tt.wantSucceeded {
					t.Errorf("%d succeeded, want %d", succeeded, tt.wantSucceeded)
				}
				if got := m.Counts().Commits; got > tt.maxCommits {
					t.Errorf("%d commits, want at most %d", got, tt.maxCommits)
				}
			})
		})
	}
}

// checkWritten checks that the row holds what txn wrote, at the returned version.
func checkWritten(t *testing.T, m *memtable.Table, r result, txn table.Txn) {
	t.Helper()
	w := txn.Writes[0]
	rows, err := m.Get(t.Context(), w.Key)
	if err != nil {
		t.Fatal(err)
	}
	want := []table.Row{{Key: w.Key, Version: r.Versions[0], Value: w.Value}}
	if diff := cmp.Diff(want, rows); diff != "" {
		t.Error(diff)
	}
}

// TestBatcherCancellation cancels the context of a transaction that is in flight, of one that is
// queued behind it, and of one that was refused.
func TestBatcherCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := memtable.New()
		m.SetFault(memtable.Fault{Delay: time.Second})
		s := table.NewBatcher(m, table.BatcherConfig{MaxConcurrent: 1, MaxPending: 1})
		ctx, cancel := context.WithCancel(t.Context())
		reasons := make([]failure.Reason, 3)
		var wg sync.WaitGroup
		for i := range reasons {
			wg.Go(func() {
				_, err := s.Commit(ctx, guarded(fmt.Sprint(i), "x", table.Absent))
				reasons[i] = reason(err)
			})
			synctest.Wait()
		}
		cancel()
		wg.Wait()
		want := []failure.Reason{failure.TableUnknown, failure.TableUnavailable, failure.TableUnavailable}
		if diff := cmp.Diff(want, reasons); diff != "" {
			t.Error(diff)
		}
		time.Sleep(time.Minute)
		if n := m.Counts().RowsWritten; n != 1 {
			t.Errorf("%d rows written, want 1", n)
		}
	})
}

// TestBatcherPacesCommits commits at a steady rate and then a single transaction.
func TestBatcherPacesCommits(t *testing.T) {
	const (
		perSecond = 2000
		slow      = 5 * time.Millisecond
		interval  = 25 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		m := memtable.New()
		m.SetFault(memtable.Fault{Delay: slow})
		s := table.NewBatcher(m, table.BatcherConfig{Interval: interval})
		commit := func(row string) {
			start := time.Now()
			if _, err := s.Commit(t.Context(), guarded(row, "x", table.Absent)); err != nil {
				t.Error(err)
			}
			if took := time.Since(start); took > slow+interval {
				t.Errorf("row %s took %v", row, took)
			}
		}
		var wg sync.WaitGroup
		for i := range perSecond {
			wg.Go(func() { commit(fmt.Sprint(i)) })
			time.Sleep(time.Second / perSecond)
		}
		wg.Wait()
		if n := m.Counts().Commits; n > uint64(time.Second/interval)+2 {
			t.Errorf("%d commits for %d transactions in a second", n, perSecond)
		}
		time.Sleep(interval)
		start := time.Now()
		commit("lone")
		if took := time.Since(start); took != slow {
			t.Errorf("a single transaction took %v, want %v", took, slow)
		}
	})
}

// TestBatcherReportsUnknownOutcome injects faults into the commit of a group. Each caller must
// get the reason of its outcome and no versions: a lost response leaves the outcome unknown.
func TestBatcherReportsUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for fault, want := range map[memtable.Fault]failure.Reason{
			{Delay: time.Second, LoseResponse: true}: failure.TableUnknown,
			{Delay: time.Second, Fail: true}:         failure.TableUnavailable,
			{Delay: time.Hour}:                       failure.TableUnknown,
		} {
			m := memtable.New()
			m.SetFault(fault)
			s := table.NewBatcher(m, table.BatcherConfig{MaxConcurrent: 1})
			txns := []table.Txn{guarded("a", "1", 0), guarded("b", "2", 0), guarded("c", "3", 0)}
			for i, r := range commitAll(t.Context(), s, txns) {
				if r.Reason != want || r.Versions != nil {
					t.Errorf("fault %+v: transaction %d got %v, want %v", fault, i, r, want)
				}
			}
		}
	})
}

func TestMetered(t *testing.T) {
	m := memtable.New()
	set := metrics.NewSet()
	s := table.NewMetered(m, set)
	mustCommit(t, s, table.Txn{Writes: []table.Write{put("a", "1"), put("b", "1")}})
	_, _ = s.Commit(t.Context(), guarded("a", "2", 7))
	_, _ = s.Get(t.Context(), key("a"), key("b"), key("c"))
	_, _ = s.Scan(t.Context(), "t", "", "", 0)
	m.SetDown(true)
	_, _ = s.Get(t.Context(), key("a"))
	var out bytes.Buffer
	set.WritePrometheus(&out)
	for _, want := range []string{
		`springweir_table_calls_total{op="commit"} 2`,
		`springweir_table_calls_total{op="get"} 2`,
		`springweir_table_rows_total{op="commit"} 2`,
		`springweir_table_rows_total{op="get"} 3`,
		`springweir_table_rows_total{op="scan"} 2`,
		`springweir_table_failures_total{op="commit",reason="table-conflict"} 1`,
		`springweir_table_failures_total{op="get",reason="table-unavailable"} 1`,
	} {
		if !strings.Contains(out.String(), want+"\n") {
			t.Errorf("no line %q in:\n%s", want, out.String())
		}
	}
}
