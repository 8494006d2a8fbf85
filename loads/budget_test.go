package loads

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
	"github.com/springweir/springweir/weightstore"
)

var testLimits = weightstore.Limits{BytesPerSecond: 2e9, Concurrent: 2, Window: time.Second}

func budgetOf(t table.Service, holder, zone string) *Budget {
	return NewBudget(t, testLimits, holder, zone, DefaultExpiry)
}

func read(t *testing.T, b *Budget, now time.Duration) View {
	t.Helper()
	v, err := b.Read(context.Background(), now)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func claim(t *testing.T, b *Budget, v View, n int) {
	t.Helper()
	if err := b.Claim(context.Background(), v.Slots[n], "w", want("e", "x", 1)); err != nil {
		t.Fatal(err)
	}
}

// TestOneOfTwoGetsTheSlot lets two zones claim the slot that both saw free.
func TestOneOfTwoGetsTheSlot(t *testing.T) {
	rows := memtable.New()
	a, b := budgetOf(rows, "p1", "a"), budgetOf(rows, "p2", "b")
	seenByA, seenByB := read(t, a, 0), read(t, b, 0)
	claim(t, a, seenByA, 0)
	err := b.Claim(context.Background(), seenByB.Slots[0], "w", want("e", "x", 1))
	var conflict *table.ConflictError
	if !errors.As(err, &conflict) {
		t.Errorf("second claim: got %v, want a conflict", err)
	}
	if diff := cmp.Diff([]int{1}, read(t, b, 0).FreeSlots()); diff != "" {
		t.Error(diff)
	}
}

// TestDeadHolderExpires shows that a share comes back after its holder has
// been silent for the expiry, counted from when the observer first saw the row,
// and not before; and that a holder which renews keeps it.
func TestDeadHolderExpires(t *testing.T) {
	rows := memtable.New()
	dead, live, observer := budgetOf(rows, "p1", "a"), budgetOf(rows, "p2", "b"), budgetOf(rows, "p3", "c")
	claim(t, dead, read(t, dead, 0), 0)
	claim(t, live, read(t, live, 0), 1)
	const first = time.Hour // The observer comes late: what went before does not count.
	for at := time.Duration(0); at <= DefaultExpiry; at += RenewInterval {
		if free := read(t, observer, first+at).FreeSlots(); len(free) != 0 {
			t.Fatalf("free after %v: %v", at, free)
		}
		if err := live.Renew(context.Background(), read(t, live, at).Slots[1]); err != nil {
			t.Fatal(err)
		}
	}
	v := read(t, observer, first+DefaultExpiry)
	if diff := cmp.Diff([]int{0}, v.FreeSlots()); diff != "" {
		t.Fatal(diff)
	}
	claim(t, observer, v, 0)
	// The first holder wakes up: its row has moved on, and it sees so.
	own, _ := dead.HeldSlots(read(t, dead, 0))
	if len(own) != 0 {
		t.Errorf("the woken holder still counts %v as its own", own)
	}
}

// TestLostAnswers claims with a lost answer, applied at once or not at all:
// the next read tells which, and the slot is neither lost nor held twice.
func TestLostAnswers(t *testing.T) {
	for _, applied := range []bool{true, false} {
		rows := memtable.New()
		b := budgetOf(rows, "p1", "a")
		v := read(t, b, 0)
		rows.SetFault(memtable.Fault{LoseResponse: applied, Fail: !applied})
		if err := b.Claim(context.Background(), v.Slots[0], "w", want("e", "x", 1)); err == nil {
			t.Fatal("the fault was not injected")
		}
		rows.SetFault(memtable.Fault{})
		own, _ := b.HeldSlots(read(t, b, 0))
		if held := len(own) == 1; held != applied {
			t.Errorf("applied %v: held %v", applied, held)
		}
	}
}

// TestSuccessorAdopts takes over the load of a planner that died, in one
// round, without waiting for the expiry; another zone may not.
func TestSuccessorAdopts(t *testing.T) {
	rows := memtable.New()
	dead, next, other := budgetOf(rows, "p1", "a"), budgetOf(rows, "p2", "a"), budgetOf(rows, "p3", "b")
	claim(t, dead, read(t, dead, 0), 1)
	if _, orphans := other.HeldSlots(read(t, other, 0)); len(orphans) != 0 {
		t.Errorf("another zone's planner sees orphans %v", orphans)
	}
	_, orphans := next.HeldSlots(read(t, next, 0))
	if len(orphans) != 1 {
		t.Fatalf("orphans: %v", orphans)
	}
	if err := next.Adopt(context.Background(), orphans[0]); err != nil {
		t.Fatal(err)
	}
	own, _ := next.HeldSlots(read(t, next, 0))
	if len(own) != 1 || own[0].Allocation.Engine != "e" {
		t.Fatalf("after adopting: %+v", own)
	}
	if err := next.Release(context.Background(), own[0]); err != nil {
		t.Fatal(err)
	}
	if free := read(t, other, 0).FreeSlots(); len(free) != 2 {
		t.Errorf("free after release: %v", free)
	}
}

// TestWishes shows other zones' wishes as rivals until they are taken back or
// their zone falls silent.
func TestWishes(t *testing.T) {
	rows := memtable.New()
	a, b := budgetOf(rows, "p1", "a"), budgetOf(rows, "p2", "b")
	post := func(weight float64) {
		if err := a.PostDemand(context.Background(), "w", weight); err != nil {
			t.Fatal(err)
		}
	}
	post(3)
	if diff := cmp.Diff([]float64{3}, read(t, b, 0).CompetingDemand); diff != "" {
		t.Error(diff)
	}
	if own := read(t, a, 0).CompetingDemand; own != nil {
		t.Errorf("a zone rivals itself: %v", own)
	}
	if old := read(t, b, DefaultExpiry).CompetingDemand; old != nil {
		t.Errorf("a silent zone still rivals: %v", old)
	}
	post(0)
	if none := read(t, b, DefaultExpiry).CompetingDemand; none != nil {
		t.Errorf("a wish taken back still rivals: %v", none)
	}
}

func TestCorruptRow(t *testing.T) {
	rows := memtable.New()
	_, err := rows.Commit(context.Background(), table.Txn{Writes: []table.Write{{Key: slotKey(0), Value: []byte("{")}}})
	if err != nil {
		t.Fatal(err)
	}
	_, err = budgetOf(rows, "p1", "a").Read(context.Background(), 0)
	var corrupt *CorruptError
	if !errors.As(err, &corrupt) {
		t.Errorf("got %v, want *CorruptError", err)
	}
}
