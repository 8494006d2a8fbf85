package controller

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/lease"
	"github.com/springweir/springweir/membership"
	"github.com/springweir/springweir/order"
	"github.com/springweir/springweir/table/memtable"
	"github.com/springweir/springweir/weightstore"
)

// startReplacement starts a zone, makes engine-2 replace engine-1 once the zone serves, and waits
// until engine-2 runs the role change order. A replacement in the initial tree could be complete
// before the zone serves.
func startReplacement(t *testing.T) *testZone {
	const mark = "replace-by = engine-2\n"
	z := newZone(t, strings.ReplaceAll(twoEngines, mark, ""),
		engineSpec{"engine-1", engine.Mixed, []weightstore.Artifact{chat}},
		engineSpec{"engine-2", engine.Decode, []weightstore.Artifact{chat}})
	z.edit(1, strings.ReplaceAll(z.tree, "address = 10.0.2.1:9000\n", "address = 10.0.2.1:9000\n"+mark))
	z.await("engine-2 runs an order", func() bool {
		o := z.engines["engine-2"].State().Order
		return o != nil && o.Phase == engine.OrderRunning
	})
	return z
}

func (z *testZone) journalEntry(name string) order.Entry {
	z.t.Helper()
	e, err := order.NewJournal(z.rows).Read(z.t.Context(), name)
	if err != nil {
		z.t.Fatal(err)
	}
	return e
}

func (z *testZone) isWithheld(name string) bool {
	z.t.Helper()
	rows, err := z.rows.Get(z.t.Context(), contact.Key("a"))
	if err != nil {
		z.t.Fatal(err)
	}
	r, err := contact.Decode(rows[0].Value)
	if err != nil {
		z.t.Fatal(err)
	}
	_, marked := r.WithheldEpoch(name)
	return marked
}

// stopLeaseHolder stops the controller of VM holder as planned.
func (z *testZone) stopLeaseHolder(holder string) {
	z.t.Helper()
	for _, v := range z.vms {
		if v.controller.process.VM == holder {
			v.stopController()
		}
	}
}

// TestSuccessorKeepsWithholdUntilJournalRead stops a controller during an order, with a journal
// that is slow to read. The successor plans meanwhile, but must keep the engine withheld until it
// has read the journal; otherwise entries would send streams that the order interrupts.
func TestSuccessorKeepsWithholdUntilJournalRead(t *testing.T) {
	const journalRead = 20 * time.Second
	synctest.Test(t, func(t *testing.T) {
		z := startReplacement(t)
		defer z.shutDown()
		// Queried before the journal becomes slow, because a status reads it too.
		holder := z.poolLease("language").Holder
		z.rows.SetHook(func(c memtable.Call) memtable.Fault {
			if c.Op == memtable.OpScan && c.Keys[0].Table == order.TableName {
				return memtable.Fault{Delay: journalRead}
			}
			return memtable.Fault{}
		})
		z.stopLeaseHolder(holder)
		start := time.Now()
		for time.Since(start) < journalRead {
			if !z.isWithheld("engine-2") {
				t.Fatalf("%v after the stop entries may send to engine-2 before the journal is read", time.Since(start))
			}
			time.Sleep(100 * time.Millisecond)
		}
		if !z.journalEntry("engine-2").IsOpen() {
			t.Error("the order was closed before the journal was read")
		}
		z.await("the order is closed", func() bool { return !z.journalEntry("engine-2").IsOpen() })
		z.await("entries may send to engine-2", func() bool { return !z.isWithheld("engine-2") })
	})
}

// TestEngineRemovedDuringOrder removes an engine's VM from the membership list during an order that
// the engine never completes. The order must be closed with outcome EngineGone, and not before the
// removal.
func TestEngineRemovedDuringOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := startReplacement(t)
		defer z.shutDown()
		e := z.engines["engine-2"]
		e.Freeze()
		defer e.Thaw()
		time.Sleep(time.Minute)
		if entry := z.journalEntry("engine-2"); !entry.IsOpen() {
			t.Fatalf("closed as %q while the engine was unreachable", entry.Outcome)
		}
		z.list.Remove("engine-2")
		z.await("the order is closed", func() bool { return !z.journalEntry("engine-2").IsOpen() })
		if got := z.journalEntry("engine-2").Outcome; got != order.EngineRemoved {
			t.Errorf("closed as %q", got)
		}
	})
}

// TestOnlyListedVMsHoldLeases removes a VM from the membership list and stops the leading
// controller on the other one. The unlisted VM must never acquire the lease, because other VMs
// treat it as permanently removed. A new VM that is listed must acquire it.
func TestOnlyListedVMsHoldLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, copiesOfTwo, engineSpec{"engine-1", engine.Mixed, []weightstore.Artifact{chat}})
		defer z.shutDown()
		z.await("the pool's lease is held", func() bool { return z.poolLease("language").Holder != "" })
		acting := z.poolLease("language").Holder
		for _, v := range z.vms {
			if vm := v.controller.process.VM; vm != acting {
				z.list.Remove(vm)
			}
		}
		time.Sleep(10 * time.Second) // until every watcher has read the list
		z.stopLeaseHolder(acting)
		time.Sleep(2 * time.Minute)
		if got := z.lastHolder("language"); got != acting {
			t.Errorf("%s holds the lease but is not on the list", got)
		}
		z.list.Put(membership.VM{Name: "vm3", Kind: membership.Entry, Zone: "a", Address: "10.0.1.3:7100"})
		z.startVM(3)
		z.await("vm3 leads", func() bool { return z.lastHolder("language") == "vm3" })
	})
}

// lastHolder returns the VM that last wrote the pool's lease.
func (z *testZone) lastHolder(pool string) string {
	z.t.Helper()
	rows, err := z.rows.Get(z.t.Context(), lease.Key(pool, "a"))
	if err != nil {
		z.t.Fatal(err)
	}
	record, err := lease.Decode(rows[0])
	if err != nil {
		z.t.Fatal(err)
	}
	return record.Holder.VM
}
