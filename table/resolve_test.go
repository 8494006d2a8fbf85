package table_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

func key(row string) table.Key { return table.Key{Table: "t", Row: row} }

func put(row, value string) table.Write { return table.Write{Key: key(row), Value: []byte(value)} }

// guarded returns a transaction that writes value to row if the row is at version.
func guarded(row, value string, version table.Version) table.Txn {
	return table.Txn{
		Checks: []table.Check{{Key: key(row), Version: version}},
		Writes: []table.Write{put(row, value)},
	}
}

func hasValue(value string) func(table.Row) bool {
	return func(r table.Row) bool { return string(r.Value) == value }
}

func mustCommit(t *testing.T, s table.Service, txn table.Txn) []table.Version {
	t.Helper()
	versions, err := s.Commit(t.Context(), txn)
	if err != nil {
		t.Fatal(err)
	}
	return versions
}

// reason returns the reason code of err, or empty.
func reason(err error) failure.Reason {
	if err == nil {
		return ""
	}
	return failure.ReasonOf(err)
}

// firstCommit returns a hook that injects f into the first commit only.
func firstCommit(f memtable.Fault) func(memtable.Call) memtable.Fault {
	var once sync.Once
	return func(c memtable.Call) (out memtable.Fault) {
		if c.Op == memtable.OpCommit {
			once.Do(func() { out = f })
		}
		return out
	}
}

func TestCommitAndResolve(t *testing.T) {
	lost := memtable.Fault{LoseResponse: true}
	late := memtable.Fault{ApplyAfter: time.Minute}
	ownTxn := guarded("a", "mine", 1)
	other := func(row, value string) table.Txn { return table.Txn{Writes: []table.Write{put(row, value)}} }
	tests := []struct {
		name  string
		txn   table.Txn
		fault memtable.Fault
		// between are the transactions of others right after the first attempt.
		between []table.Txn
		// before is another writer's transaction before the first attempt.
		before *table.Txn
		// after is another writer's transaction after ten seconds.
		after        *table.Txn
		want         failure.Reason
		wantVersions []table.Version
		// wantValue is the value of row "a" two minutes later.
		wantValue string
	}{
		{name: "no fault", txn: ownTxn, wantVersions: []table.Version{2}, wantValue: "mine"},
		{name: "response lost", txn: ownTxn, fault: lost, wantVersions: []table.Version{2}, wantValue: "mine"},
		{name: "never arrives", txn: ownTxn, fault: memtable.Fault{Hang: true}, want: failure.TableUnknown, wantValue: "old"},
		{name: "arrives after the repeat", txn: ownTxn, fault: late, wantVersions: []table.Version{2}, wantValue: "mine"},
		{name: "arrives after the repeat and another write", txn: ownTxn, fault: late,
			between: []table.Txn{other("a", "theirs")}, want: failure.TableConflict, wantValue: "theirs"},
		{name: "refused", txn: ownTxn, fault: memtable.Fault{Fail: true}, want: failure.TableUnavailable, wantValue: "old"},
		{name: "plain conflict", txn: guarded("a", "mine", 9), want: failure.TableConflict, wantValue: "old"},
		{name: "lost, then overwritten", txn: ownTxn, fault: lost,
			between: []table.Txn{other("a", "theirs")}, want: failure.TableSuperseded, wantValue: "theirs"},
		{name: "lost, one of two overwritten", txn: table.Txn{
			Checks: ownTxn.Checks, Writes: []table.Write{put("a", "mine"), put("b", "mine")}}, fault: lost,
			between: []table.Txn{other("a", "theirs")}, wantVersions: []table.Version{table.Absent, 2}, wantValue: "theirs"},
		{name: "lost conflict", txn: ownTxn, fault: lost,
			before: &table.Txn{Writes: []table.Write{put("a", "theirs")}}, want: failure.TableConflict, wantValue: "theirs"},
		{name: "lost creation, another's row", txn: guarded("new", "mine", table.Absent), fault: late,
			between: []table.Txn{other("new", "theirs")}, want: failure.TableSuperseded, wantValue: "old"},
		{name: "conflict on a row that becomes absent again", txn: table.Txn{
			Checks: append(guarded("new", "", table.Absent).Checks, ownTxn.Checks...), Writes: ownTxn.Writes}, fault: late,
			between: []table.Txn{other("new", "theirs")}, after: &table.Txn{Writes: []table.Write{{Key: key("new"), Delete: true}}},
			wantVersions: []table.Version{2}, wantValue: "mine"},
		{name: "lost delete, created again", txn: table.Txn{Checks: ownTxn.Checks, Writes: []table.Write{{Key: key("a"), Delete: true}}},
			fault: lost, between: []table.Txn{other("a", "theirs")}, want: failure.TableSuperseded, wantValue: "theirs"},
		{name: "unguarded", txn: other("a", "mine"), want: failure.TableInvalid, wantValue: "old"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := memtable.New()
				mustCommit(t, m, table.Txn{Writes: []table.Write{put("a", "old"), put("b", "old")}})
				if tt.before != nil {
					mustCommit(t, m, *tt.before)
				}
				m.SetHook(firstCommit(tt.fault))
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
				defer cancel()
				go func() {
					// This is before the repetition, which waits at least 10 ms.
					time.Sleep(time.Millisecond)
					for _, txn := range tt.between {
						mustCommit(t, m, txn)
					}
					if tt.after != nil {
						time.Sleep(10 * time.Second)
						mustCommit(t, m, *tt.after)
					}
				}()
				versions, err := table.CommitAndResolve(ctx, m, tt.txn, hasValue("mine"))
				if diff := cmp.Diff(tt.want, reason(err)); diff != "" {
					t.Errorf("%v: %s", err, diff)
				}
				if diff := cmp.Diff(tt.wantVersions, versions); diff != "" {
					t.Error(diff)
				}
				time.Sleep(2 * time.Minute)
				rows, _ := m.Get(t.Context(), key("a"))
				if diff := cmp.Diff(tt.wantValue, string(rows[0].Value)); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// TestCommitAndResolveRetriesDuringOutage loses a response and then takes the table down: the
// refusals that follow don't resolve the outcome.
func TestCommitAndResolveRetriesDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := memtable.New()
		m.SetHook(firstCommit(memtable.Fault{LoseResponse: true}))
		go func() {
			time.Sleep(time.Millisecond)
			m.SetDown(true)
			time.Sleep(time.Minute)
			m.SetDown(false)
		}()
		versions, err := table.CommitAndResolve(t.Context(), m, guarded("a", "mine", table.Absent), hasValue("mine"))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]table.Version{1}, versions); diff != "" {
			t.Error(diff)
		}
		if n := m.Counts().Commits; n > 100 {
			t.Errorf("%d attempts in a minute of outage, want at most 100", n)
		}
	})
}

// TestCommitAndResolveWithoutResponses loses the response to every write: reading back resolves a
// write that took effect.
func TestCommitAndResolveWithoutResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := memtable.New()
		m.SetFault(memtable.Fault{LoseResponse: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		versions, err := table.CommitAndResolve(ctx, m, guarded("a", "mine", table.Absent), hasValue("mine"))
		if diff := cmp.Diff([]table.Version{1}, versions); diff != "" || err != nil {
			t.Errorf("%v: %s", err, diff)
		}
		if _, err := table.CommitAndResolve(ctx, m, guarded("a", "late", table.Absent), hasValue("late")); reason(err) != failure.TableUnknown {
			t.Errorf("a write that conflicts with another row, without responses: %v", err)
		}
	})
}

// randomFault draws a fault for a call.
func randomFault(r *rand.Rand) memtable.Fault {
	f := memtable.Fault{Delay: time.Duration(r.IntN(20)) * time.Millisecond}
	switch r.IntN(6) {
	case 0:
		f.LoseResponse = true
	case 1:
		f.ApplyAfter = time.Duration(r.IntN(3000)) * time.Millisecond
	case 2:
		f.Fail = true
	}
	return f
}

// TestCommitAndResolveHistories has writers append their ids to a few rows through a Batcher and
// random faults. Afterwards a successful write must be present once, a failed one must be absent,
// and a superseded one may be either.
func TestCommitAndResolveHistories(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runHistory(t, seed) })
		})
	}
}

func runHistory(t *testing.T, seed uint64) {
	const writers, writes = 6, 15
	m := memtable.New()
	var mu sync.Mutex // guards r and results
	r := rand.New(rand.NewPCG(seed, 0))
	results := make(map[string]error)
	m.SetHook(func(memtable.Call) memtable.Fault {
		mu.Lock()
		defer mu.Unlock()
		return randomFault(r)
	})
	s := table.NewBatcher(m, table.BatcherConfig{MaxConcurrent: 2})
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			for i := range writes {
				id := fmt.Sprintf("%d.%d", w, i)
				err := appendID(t.Context(), s, key(fmt.Sprint(i%3)), id)
				mu.Lock()
				results[id] = err
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Minute) // delayed writes take effect
	m.SetHook(nil)
	rows, err := m.Scan(t.Context(), "t", "", "", 0)
	if err != nil {
		t.Fatal(err)
	}
	checkHistory(t, rows, results)
}

// appendID appends id to a row at most once.
func appendID(ctx context.Context, s table.Service, k table.Key, id string) error {
	rows, err := s.Get(ctx, k)
	if err != nil {
		return err
	}
	txn := guarded(k.Row, string(rows[0].Value)+id+" ", rows[0].Version)
	isOwnWrite := func(r table.Row) bool { return strings.HasSuffix(string(r.Value), id+" ") }
	_, err = table.CommitAndResolve(ctx, s, txn, isOwnWrite)
	return err
}

func checkHistory(t *testing.T, rows []table.Row, results map[string]error) {
	t.Helper()
	counts := make(map[string]int)
	for _, row := range rows {
		for _, id := range strings.Fields(string(row.Value)) {
			counts[id]++
		}
	}
	done, superseded := 0, 0
	for id, err := range results {
		var supersededErr *table.SupersededError
		switch n := counts[id]; {
		case err == nil && n == 1:
			done++
		case errors.As(err, &supersededErr) && n <= 1:
			superseded++
		case err == nil || n != 0:
			t.Errorf("write %s returned %v and is present %d times", id, err, n)
		}
	}
	if done == 0 {
		t.Error("no write succeeded")
	}
	t.Logf("%d writes succeeded, %d superseded, %d others", done, superseded, len(results)-done-superseded)
}
