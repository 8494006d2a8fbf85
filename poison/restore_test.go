package poison

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/table/memtable"
)

// An entry whose row is lost when the store is restored from a backup remains in force on all VMs
// and is written again within two seconds, by one VM or a few. A row that a VM had removed, and
// that the backup still holds, is removed again.
func TestEntriesAfterStoreRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms = 100
		backend := memtable.New()
		ctx, cancel := context.WithCancel(t.Context())
		var ledgers []*Ledger
		var stores []*QuarantineStore
		for range vms {
			l := NewLedger(nil, func() time.Duration { return time.Millisecond })
			q := NewQuarantineStore(l, backend, backend)
			ledgers, stores = append(ledgers, l), append(stores, q)
			go q.Run(ctx)
		}
		defer func() { cancel(); synctest.Wait() }()
		lost, removed := Subject{Key: Key{1}}, Subject{Key: Key{2}}
		quarantine := func(s Subject) {
			e := Entry{Subject: s, Crashes: 3, Term: 10 * time.Minute}
			ledgers[0].Add(e)
			stores[0].Write(e, true)
			time.Sleep(time.Second)
		}
		quarantine(removed)
		backup := backend.Backup()
		quarantine(lost)
		for _, l := range ledgers {
			l.Clear(removed.Key, anyOrigin)
		}
		stores[0].Remove(removed)
		time.Sleep(time.Second)

		var writes atomic.Int64
		backend.SetHook(func(c memtable.Call) memtable.Fault {
			if c.Op == memtable.OpCommit {
				writes.Add(1)
			}
			return memtable.Fault{}
		})
		backend.Restore(backup)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			for i, l := range ledgers {
				if !l.IsQuarantined(lost) {
					t.Fatalf("VM %d has lost the entry", i)
				}
			}
		}
		rows, _, err := backend.List(t.Context(), Table)
		if err != nil || len(rows) != 1 || rows[0].Key.Row != lost.String() {
			t.Errorf("rows = %v, %v; want one row, for the lost entry", rows, err)
		}
		for i, l := range ledgers {
			if l.IsQuarantined(removed) {
				t.Errorf("VM %d refuses a request that was cleared", i)
			}
		}
		if n := writes.Load(); n > vms/10 {
			t.Errorf("%d writes by %d VMs for two rows", n, vms)
		}
	})
}
