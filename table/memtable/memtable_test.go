package memtable

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/table"
)

func key(row string) table.Key { return table.Key{Table: "t", Row: row} }

func put(row, value string) table.Write { return table.Write{Key: key(row), Value: []byte(value)} }

func mustCommit(t *testing.T, m *Table, txn table.Txn) []table.Version {
	t.Helper()
	versions, err := m.Commit(t.Context(), txn)
	if err != nil {
		t.Fatal(err)
	}
	return versions
}

func TestVersionsAreNeverReused(t *testing.T) {
	m := New()
	seen := map[table.Version]bool{}
	for range 3 {
		for range 2 {
			v := mustCommit(t, m, table.Txn{Writes: []table.Write{put("a", "x")}})[0]
			if seen[v] || v == table.Absent {
				t.Errorf("version %d was reused", v)
			}
			seen[v] = true
		}
		v := mustCommit(t, m, table.Txn{Writes: []table.Write{{Key: key("a"), Delete: true}}})[0]
		if v != table.Absent {
			t.Errorf("a delete returned version %d", v)
		}
	}
}

func TestConflictWritesNothing(t *testing.T) {
	m := New()
	mustCommit(t, m, table.Txn{Writes: []table.Write{put("a", "1")}})
	_, err := m.Commit(t.Context(), table.Txn{
		Checks: []table.Check{{Key: key("b"), Version: table.Absent}, {Key: key("a"), Version: 7}},
		Writes: []table.Write{put("b", "2"), put("a", "2")},
	})
	var conflict *table.ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("got %v", err)
	}
	if diff := cmp.Diff(&table.ConflictError{Key: key("a"), Want: 7, Have: 1}, conflict); diff != "" {
		t.Error(diff)
	}
	rows, _ := m.Get(t.Context(), key("a"), key("b"))
	want := []table.Row{{Key: key("a"), Version: 1, Value: []byte("1")}, {Key: key("b")}}
	if diff := cmp.Diff(want, rows); diff != "" {
		t.Error(diff)
	}
}

func TestScan(t *testing.T) {
	m := New()
	for _, row := range []string{"b/2", "a/1", "b/1", "c/1", "b/3", "b"} {
		mustCommit(t, m, table.Txn{Writes: []table.Write{put(row, row)}})
	}
	mustCommit(t, m, table.Txn{Writes: []table.Write{{Key: key("b/2"), Delete: true}}})
	tests := []struct {
		prefix, after string
		limit         int
		want          string
	}{
		{want: "a/1 b b/1 b/3 c/1"},
		{prefix: "b/", want: "b/1 b/3"},
		{prefix: "b/", after: "b/1", want: "b/3"},
		{prefix: "b/", after: "a", want: "b/1 b/3"},
		{prefix: "b/", after: "b/3", want: ""},
		{limit: 2, want: "a/1 b"},
		{prefix: "z", want: ""},
	}
	for _, tt := range tests {
		rows, err := m.Scan(t.Context(), "t", tt.prefix, tt.after, tt.limit)
		if err != nil {
			t.Fatal(err)
		}
		var names []string
		for _, r := range rows {
			names = append(names, string(r.Value))
		}
		if diff := cmp.Diff(tt.want, strings.Join(names, " ")); diff != "" {
			t.Errorf("prefix %q after %q limit %d: %s", tt.prefix, tt.after, tt.limit, diff)
		}
	}
}

func TestInvalidTxns(t *testing.T) {
	long := strings.Repeat("x", table.MaxNameBytes+1)
	tests := map[string]table.Txn{
		"two writes of a row":  {Writes: []table.Write{put("a", "1"), put("a", "2")}},
		"empty row":            {Writes: []table.Write{put("", "1")}},
		"long name":            {Checks: []table.Check{{Key: key(long)}}},
		"large value":          {Writes: []table.Write{put("a", strings.Repeat("x", table.MaxValueBytes+1))}},
		"too many rows":        {Checks: make([]table.Check, table.MaxTxnRows+1)},
		"a delete and a value": {Writes: []table.Write{{Key: key("a"), Value: []byte("x"), Delete: true}}},
	}
	for name, txn := range tests {
		m := New()
		_, err := m.Commit(t.Context(), txn)
		var invalid *table.InvalidError
		if !errors.As(err, &invalid) || m.Counts().RowsWritten != 0 {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

func TestFaults(t *testing.T) {
	write := table.Txn{Writes: []table.Write{put("a", "1")}}
	tests := []struct {
		name        string
		fault       Fault
		down        bool
		wantUnknown bool
		// wantErr is false when the commit succeeds.
		wantErr bool
		// wantNow and wantLater are whether the row is present just after the response and a
		// minute later.
		wantNow, wantLater bool
		wantTook           time.Duration
	}{
		{name: "none", wantNow: true, wantLater: true},
		{name: "down", down: true, wantErr: true},
		{name: "fail", fault: Fault{Fail: true}, wantErr: true},
		{name: "slow", fault: Fault{Delay: time.Second}, wantNow: true, wantLater: true, wantTook: time.Second},
		{name: "response lost", fault: Fault{LoseResponse: true}, wantErr: true, wantUnknown: true, wantNow: true, wantLater: true},
		{name: "applied late", fault: Fault{ApplyAfter: time.Second}, wantErr: true, wantUnknown: true, wantLater: true},
		{name: "hang", fault: Fault{Hang: true}, wantErr: true, wantUnknown: true, wantTook: 10 * time.Second},
		{name: "too slow", fault: Fault{Delay: time.Minute}, wantErr: true, wantUnknown: true, wantTook: 10 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := New()
				m.SetDown(tt.down)
				m.SetHook(func(c Call) Fault {
					if c.Op == OpCommit {
						return tt.fault
					}
					return Fault{}
				})
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				start := time.Now()
				_, err := m.Commit(ctx, write)
				if took := time.Since(start); took != tt.wantTook {
					t.Errorf("took %v, want %v", took, tt.wantTook)
				}
				var unknown *table.UnknownError
				if (err != nil) != tt.wantErr || errors.As(err, &unknown) != tt.wantUnknown {
					t.Errorf("got error %v", err)
				}
				m.SetDown(false)
				if got := present(t, m); got != tt.wantNow {
					t.Errorf("row present: %v, want %v", got, tt.wantNow)
				}
				time.Sleep(time.Minute)
				if got := present(t, m); got != tt.wantLater {
					t.Errorf("row present later: %v, want %v", got, tt.wantLater)
				}
			})
		})
	}
}

func present(t *testing.T, m *Table) bool {
	t.Helper()
	rows, err := m.Get(t.Context(), key("a"))
	if err != nil {
		t.Fatal(err)
	}
	return rows[0].Version != table.Absent
}
