package memtable

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/springweir/springweir/table"
)

// A restore loses what was written since the backup and reuses its version numbers. No condition
// and no follower may take a reused number for the lost version.
func TestRestore(t *testing.T) {
	m := New()
	first := mustCommit(t, m, table.Txn{Writes: []table.Write{put("a", "old")}})[0]
	backup := m.Backup()
	lost := mustCommit(t, m, table.Txn{Writes: []table.Write{put("a", "lost")}})[0]
	mustCommit(t, m, table.Txn{Writes: []table.Write{put("b", "lost")}})
	_, version, err := m.List(t.Context(), "t")
	if err != nil {
		t.Fatal(err)
	}
	waiting := make(chan error, 1)
	go func() {
		_, _, err := m.Changes(context.Background(), "t", version, time.Minute)
		waiting <- err
	}()
	time.Sleep(10 * time.Millisecond)
	m.Restore(backup)
	var historyGone *table.HistoryGoneError
	if err := <-waiting; !errors.As(err, &historyGone) {
		t.Errorf("the waiting follower got %v", err)
	}
	rows, err := m.Get(t.Context(), key("a"), key("b"))
	if err != nil || string(rows[0].Value) != "old" || rows[1].Version != table.Absent {
		t.Errorf("rows %v, %v", rows, err)
	}
	again := mustCommit(t, m, table.Txn{Writes: []table.Write{put("a", "again")}})[0]
	if again.Number() != lost.Number() || again == lost || again.Epoch() != 1 || m.Epoch() != 1 {
		t.Errorf("written at %v before, at %v now, epoch %d", lost, again, m.Epoch())
	}
	for _, old := range []table.Version{first, lost} {
		var conflict *table.ConflictError
		_, err := m.Commit(t.Context(), table.Txn{Checks: []table.Check{{Key: key("a"), Version: old}}, Writes: []table.Write{put("a", "x")}})
		if !errors.As(err, &conflict) {
			t.Errorf("a check at version %v: %v", old, err)
		}
	}
	if _, _, err := m.Changes(t.Context(), "t", version, 0); !errors.As(err, &historyGone) {
		t.Errorf("changes after %v: %v", version, err)
	}
	rows, version, err = m.List(t.Context(), "t")
	if err != nil || len(rows) != 1 || version.Epoch() != 1 {
		t.Errorf("%v at %v, %v", rows, version, err)
	}
	mustCommit(t, m, table.Txn{Writes: []table.Write{put("c", "new")}})
	if changes, _, err := m.Changes(t.Context(), "t", version, 0); err != nil || len(changes) != 1 {
		t.Errorf("changes %v, %v", changes, err)
	}
}
