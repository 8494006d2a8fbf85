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
