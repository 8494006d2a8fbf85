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

// changing starts a zone, has engine-2 replace engine-1 once the zone serves,
// and waits until engine-2 runs the order that this takes. (A replacement that
// stood in the tree from the start could be over by the time the zone serves.)
func changing(t *testing.T) *zoneA {
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

func (z *zoneA) journal(name string) order.Entry {
	z.t.Helper()
	e, err := order.NewJournal(z.rows).Read(z.t.Context(), name)
	if err != nil {
		z.t.Fatal(err)
	}
	return e
}

func (z *zoneA) marked(name string) bool {
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

// stopActing stops the pool's acting controller, on VM holder, by plan.
func (z *zoneA) stopActing(holder string) {
	z.t.Helper()
	for _, v := range z.vms {
		if v.controller.process.VM == holder {
			v.stopController()
		}
	}
}

// TestSuccessorLetsNothingBackUnread stops a controller in the middle of an
// order. Its successor plans while the journal is slow to read, and until it has
// read it, lets no entry send to the engine.
func TestSuccessorLetsNothingBackUnread(t *testing.T) {
	const journalRead = 20 * time.Second
	synctest.Test(t, func(t *testing.T) {
		z := changing(t)
		defer z.shutDown()
		// Asked before the journal is slow: a status reads it too.
		holder := z.leases("language").Holder
		z.rows.SetHook(func(c memtable.Call) memtable.Fault {
			if c.Op == memtable.OpScan && c.Keys[0].Table == order.TableName {
				return memtable.Fault{Delay: journalRead}
			}
			return memtable.Fault{}
		})
		z.stopActing(holder)
		began := time.Now()
		for time.Since(began) < journalRead {
			if !z.marked("engine-2") {
				t.Fatalf("%v after the stop entries may send to engine-2, and the journal is unread", time.Since(began))
			}
			time.Sleep(100 * time.Millisecond)
		}
		if !z.journal("engine-2").IsOpen() {
			t.Error("closed by a successor that had not read the journal")
		}
		z.await("the order is closed", func() bool { return !z.journal("engine-2").IsOpen() })
		z.await("entries may send to engine-2", func() bool { return !z.marked("engine-2") })
	})
}

// TestEngineGoneInOrder takes an engine's VM off the membership list in the
// middle of an order that the engine never ends. The order is closed as gone.
func TestEngineGoneInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := changing(t)
		defer z.shutDown()
		e := z.engines["engine-2"]
		e.Freeze()
		defer e.Thaw()
		time.Sleep(time.Minute)
		if entry := z.journal("engine-2"); !entry.IsOpen() {
			t.Fatalf("closed as %q while the engine could not be seen", entry.Outcome)
		}
		z.list.Remove("engine-2")
		z.await("the order is closed", func() bool { return !z.journal("engine-2").IsOpen() })
		if got := z.journal("engine-2").Outcome; got != order.EngineRemoved {
			t.Errorf("closed as %q", got)
		}
	})
}

// TestOnlyListedVMsLead takes a VM off the membership list and stops the acting
// controller on the other one. The VM that is not listed never leads, since
// others will take it for gone for good; one that comes and is listed does.
func TestOnlyListedVMsLead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, copiesOfTwo, engineSpec{"engine-1", engine.Mixed, []weightstore.Artifact{chat}})
		defer z.shutDown()
		z.await("the pool is led", func() bool { return z.leases("language").Holder != "" })
		acting := z.leases("language").Holder
		for _, v := range z.vms {
			if vm := v.controller.process.VM; vm != acting {
				z.list.Remove(vm)
			}
		}
		time.Sleep(10 * time.Second) // every watcher has read the list
		z.stopActing(acting)
		time.Sleep(2 * time.Minute)
		if got := z.holder("language"); got != acting {
			t.Errorf("%s leads, which is not on the list", got)
		}
		z.list.Put(membership.VM{Name: "vm3", Kind: membership.Entry, Zone: "a", Address: "10.0.1.3:7100"})
		z.startVM(3)
		z.await("vm3 leads", func() bool { return z.holder("language") == "vm3" })
	})
}

// holder returns the VM that wrote the pool's lease last.
func (z *zoneA) holder(pool string) string {
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
