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

func newTestBudget(t table.Service, holder, zone string) *Budget {
	return NewBudget(t, testLimits, holder, zone, DefaultExpiry)
}

func readBudget(t *testing.T, b *Budget, now time.Duration) View {
	t.Helper()
	v, err := b.Read(context.Background(), now)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func claimSlot(t *testing.T, b *Budget, v View, n int) {
	t.Helper()
	if err := b.Claim(context.Background(), v.Slots[n], "w", testLoad("e", "x", 1)); err != nil {
		t.Fatal(err)
	}
}

// Of two zones that read a slot as free and claim it, only the first succeeds.
func TestConcurrentClaimConflicts(t *testing.T) {
	rows := memtable.New()
	a, b := newTestBudget(rows, "p1", "a"), newTestBudget(rows, "p2", "b")
	seenByA, seenByB := readBudget(t, a, 0), readBudget(t, b, 0)
	claimSlot(t, a, seenByA, 0)
	err := b.Claim(context.Background(), seenByB.Slots[0], "w", testLoad("e", "x", 1))
	var conflict *table.ConflictError
	if !errors.As(err, &conflict) {
		t.Errorf("second claim: got %v, want a conflict", err)
	}
	if diff := cmp.Diff([]int{1}, readBudget(t, b, 0).FreeSlots()); diff != "" {
		t.Error(diff)
	}
}

// A slot that is not renewed becomes free after the expiry, counted from when the observer first
// read the row, and not earlier. A slot that is renewed stays held.
func TestUnrenewedSlotExpires(t *testing.T) {
	rows := memtable.New()
	failed, live, observer := newTestBudget(rows, "p1", "a"), newTestBudget(rows, "p2", "b"), newTestBudget(rows, "p3", "c")
	claimSlot(t, failed, readBudget(t, failed, 0), 0)
	claimSlot(t, live, readBudget(t, live, 0), 1)
	const first = time.Hour // The observer starts late: the time before does not count.
	for at := time.Duration(0); at <= DefaultExpiry; at += RenewInterval {
		if free := readBudget(t, observer, first+at).FreeSlots(); len(free) != 0 {
			t.Fatalf("free after %v: %v", at, free)
		}
		if err := live.Renew(context.Background(), readBudget(t, live, at).Slots[1]); err != nil {
			t.Fatal(err)
		}
	}
	v := readBudget(t, observer, first+DefaultExpiry)
	if diff := cmp.Diff([]int{0}, v.FreeSlots()); diff != "" {
		t.Fatal(diff)
	}
	claimSlot(t, observer, v, 0)
	// The first holder resumes: the row has changed, so it no longer holds the slot.
	held, _ := failed.HeldSlots(readBudget(t, failed, 0))
	if len(held) != 0 {
		t.Errorf("the resumed holder still holds %v", held)
	}
}

// If the response to a claim is lost, whether or not the claim was applied, the next read shows
// whether the slot is held: it is neither leaked nor held twice.
func TestClaimWithLostResponse(t *testing.T) {
	for _, applied := range []bool{true, false} {
		rows := memtable.New()
		b := newTestBudget(rows, "p1", "a")
		v := readBudget(t, b, 0)
		rows.SetFault(memtable.Fault{LoseResponse: applied, Fail: !applied})
		if err := b.Claim(context.Background(), v.Slots[0], "w", testLoad("e", "x", 1)); err == nil {
			t.Fatal("the fault was not injected")
		}
		rows.SetFault(memtable.Fault{})
		slots, _ := b.HeldSlots(readBudget(t, b, 0))
		if held := len(slots) == 1; held != applied {
			t.Errorf("applied %v: held %v", applied, held)
		}
	}
}

// A planner takes over the slots of a failed predecessor of its zone at once, without waiting for
// the expiry. A planner of another zone must not.
func TestSuccessorAdoptsSlots(t *testing.T) {
	rows := memtable.New()
	failed, next, other := newTestBudget(rows, "p1", "a"), newTestBudget(rows, "p2", "a"), newTestBudget(rows, "p3", "b")
	claimSlot(t, failed, readBudget(t, failed, 0), 1)
	if _, orphans := other.HeldSlots(readBudget(t, other, 0)); len(orphans) != 0 {
		t.Errorf("another zone's planner sees orphans %v", orphans)
	}
	_, orphans := next.HeldSlots(readBudget(t, next, 0))
	if len(orphans) != 1 {
		t.Fatalf("orphans: %v", orphans)
	}
	if err := next.Adopt(context.Background(), orphans[0]); err != nil {
		t.Fatal(err)
	}
	held, _ := next.HeldSlots(readBudget(t, next, 0))
	if len(held) != 1 || held[0].Allocation.Engine != "e" {
		t.Fatalf("after adopting: %+v", held)
	}
	if err := next.Release(context.Background(), held[0]); err != nil {
		t.Fatal(err)
	}
	if free := readBudget(t, other, 0).FreeSlots(); len(free) != 2 {
		t.Errorf("free after release: %v", free)
	}
}

// The demand of another zone competes until it is withdrawn or expires.
func TestCompetingDemand(t *testing.T) {
	rows := memtable.New()
	a, b := newTestBudget(rows, "p1", "a"), newTestBudget(rows, "p2", "b")
	post := func(weight float64) {
		if err := a.PostDemand(context.Background(), "w", weight); err != nil {
			t.Fatal(err)
		}
	}
	post(3)
	if diff := cmp.Diff([]float64{3}, readBudget(t, b, 0).CompetingDemand); diff != "" {
		t.Error(diff)
	}
	if own := readBudget(t, a, 0).CompetingDemand; own != nil {
		t.Errorf("a zone competes with itself: %v", own)
	}
	if old := readBudget(t, b, DefaultExpiry).CompetingDemand; old != nil {
		t.Errorf("expired demand still competes: %v", old)
	}
	post(0)
	if none := readBudget(t, b, DefaultExpiry).CompetingDemand; none != nil {
		t.Errorf("withdrawn demand still competes: %v", none)
	}
}

func TestCorruptRow(t *testing.T) {
	rows := memtable.New()
	_, err := rows.Commit(context.Background(), table.Txn{Writes: []table.Write{{Key: slotKey(0), Value: []byte("{")}}})
	if err != nil {
		t.Fatal(err)
	}
	_, err = newTestBudget(rows, "p1", "a").Read(context.Background(), 0)
	var corrupt *CorruptError
	if !errors.As(err, &corrupt) {
		t.Errorf("got %v, want *CorruptError", err)
	}
}
