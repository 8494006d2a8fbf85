package roster

import (
	"context"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// startRoster runs a VM's roster and returns a function that stops it.
func startRoster(t *testing.T, rows *memtable.Table, name string) (r *Roster, stop func()) {
	t.Helper()
	r = New(rows, rows, VM{Name: name, Zone: "a", Address: "10.0.0.1:1", Boot: NewBoot()}, func([]VM) {})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	return r, func() {
		cancel()
		<-done
	}
}

func otherNames(r *Roster) string {
	set := map[string]bool{}
	for _, vm := range r.Others() {
		set[vm.Name] = true
	}
	return strings.Join(slices.Sorted(maps.Keys(set)), " ")
}

func TestVMsDiscoverEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := memtable.New()
		first, stopFirst := startRoster(t, rows, "v1")
		defer stopFirst()
		time.Sleep(time.Second)
		second, stopSecond := startRoster(t, rows, "v2")
		defer stopSecond()
		time.Sleep(time.Second)
		if got := otherNames(second); got != "v1" {
			t.Errorf("the VM that started second lists %q", got)
		}
		time.Sleep(2 * checkInterval)
		if got := otherNames(first); got != "v2" {
			t.Errorf("the VM that started first lists %q", got)
		}
		first.Add(VM{Name: "v3", Address: "10.0.0.3:1"})
		if got := otherNames(first); got != "v2 v3" {
			t.Errorf("after Add: listed %q", got)
		}
	})
}

// The row of a VM that is permanently gone is removed; the rows of running VMs stay indefinitely.
func TestRowsOfLostVMsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := memtable.New()
		first, stopFirst := startRoster(t, rows, "v1")
		defer stopFirst()
		second, stopSecond := startRoster(t, rows, "v2")
		defer stopSecond()
		_, stopLost := startRoster(t, rows, "lost")
		time.Sleep(time.Minute)
		stopLost()
		time.Sleep(staleAfter - refreshInterval)
		if got := otherNames(first); got != "lost v2" {
			t.Errorf("before the row is stale: listed %q", got)
		}
		time.Sleep(3 * refreshInterval)
		if got := otherNames(first); got != "v2" {
			t.Errorf("after the row became stale: listed %q", got)
		}
		time.Sleep(24 * time.Hour)
		if got := otherNames(first) + " " + otherNames(second); got != "v2 v1" {
			t.Errorf("after a day: listed %q", got)
		}
	})
}

// A VM whose row was removed while it was unreachable rewrites it.
func TestRemovedRowIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := memtable.New()
		_, stopFirst := startRoster(t, rows, "v1")
		defer stopFirst()
		second, stopSecond := startRoster(t, rows, "v2")
		defer stopSecond()
		time.Sleep(time.Minute)
		if _, err := rows.Commit(t.Context(), table.Txn{Writes: []table.Write{{Key: rowKey("v1"), Delete: true}}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * checkInterval)
		if got := otherNames(second); got != "v1" {
			t.Errorf("listed %q", got)
		}
	})
}

// Only the first start under a name may take shares that an earlier start could have used.
func TestFirstStartIsKnownFromTheRow(t *testing.T) {
	for name, tc := range map[string]struct {
		prepare func(t *testing.T, rows *memtable.Table)
		want    bool
	}{
		"no row":                       {func(*testing.T, *memtable.Table) {}, true},
		"no row in a restored store":   {func(_ *testing.T, rows *memtable.Table) { rows.Restore(rows.Backup()) }, true},
		"the store was away":           {func(_ *testing.T, rows *memtable.Table) { failOnce(rows, memtable.Fault{Fail: true}) }, true},
		"the response was lost":        {func(_ *testing.T, rows *memtable.Table) { failOnce(rows, memtable.Fault{LoseResponse: true}) }, false},
		"the row of an earlier start":  {startOnce, false},
		"the same in a restored store": {func(t *testing.T, rows *memtable.Table) { startOnce(t, rows); rows.Restore(rows.Backup()) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows := memtable.New()
				tc.prepare(t, rows)
				r, stop := startRoster(t, rows, "v1")
				defer stop()
				time.Sleep(3 * retryInterval)
				stored, err := rows.Get(t.Context(), rowKey("v1"))
				if err != nil || !r.isLocalRow(stored[0]) {
					t.Errorf("the VM's row is %q, %v", stored[0].Value, err)
				}
				if got := r.FirstStart(); got != tc.want {
					t.Errorf("first start: %t, want %t", got, tc.want)
				}
			})
		})
	}
}

// startOnce starts and stops a VM.
func startOnce(t *testing.T, rows *memtable.Table) {
	_, stop := startRoster(t, rows, "v1")
	time.Sleep(time.Second)
	stop()
}

// failOnce injects a fault into the next transaction.
func failOnce(rows *memtable.Table, f memtable.Fault) {
	failed := false
	rows.SetHook(func(c memtable.Call) memtable.Fault {
		if failed || c.Op != memtable.OpCommit {
			return memtable.Fault{}
		}
		failed = true
		return f
	})
}
