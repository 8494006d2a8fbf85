package feedshare

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/springweir/springweir/table"
)

// The number of calls to the store must not grow with the number of VMs in a zone, and a change
// must reach all of them within 100 ms.
func TestOneVMPerZoneFollowsStore(t *testing.T) {
	runZone(t, 60, func(z *zone) {
		z.put("a", "1")
		time.Sleep(5 * time.Second)
		before := z.callCount()
		for i := range 10 {
			time.Sleep(3 * time.Second)
			z.put("a", fmt.Sprint(i))
			time.Sleep(100 * time.Millisecond)
			if missing := z.vmsWithout("a", fmt.Sprint(i)); missing != "" {
				t.Fatalf("100 ms after change %d it has not reached %s", i, missing)
			}
		}
		if n := z.callCount() - before; n > 60 {
			t.Errorf("a zone of 60 VMs sent %d queries to the store in 31 s, want at most 60", n)
		}
	})
}

// Whatever fault the VM has that the others read from, a change reaches all VMs that can read
// from the store within the propagation limit.
func TestChangePropagatesDespiteReaderFaults(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults map[int]fault
	}{
		{"unreachable", map[int]fault{0: unreachable}},
		{"frozen", map[int]fault{0: frozen}},
		{"the store refuses its queries", map[int]fault{0: storeFails}},
		{"no responses from the store", map[int]fault{0: storeHangs}},
		{"stale version", map[int]fault{0: stale}},
		{"the first frozen, the second unreachable", map[int]fault{0: frozen, 1: unreachable}},
		{"the first without responses, the store refuses the second", map[int]fault{0: storeHangs, 1: storeFails}},
		{"no fault", map[int]fault{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			// The phases spread the fault over the wait of a query.
			for phase := range 8 {
				runZone(t, 20, func(z *zone) {
					z.put("a", "old")
					time.Sleep(8*time.Second + time.Duration(phase)*150*time.Millisecond)
					var excepted []int
					for i, f := range tc.faults {
						z.vms[i].setFault(f)
						if f != unreachable && f != stale {
							excepted = append(excepted, i)
						}
					}
					z.put("a", "new")
					time.Sleep(propagationLimit)
					if missing := z.vmsWithout("a", "new", excepted...); missing != "" {
						t.Errorf("phase %d: after the propagation limit the change has not reached %s", phase, missing)
					}
					for i := range tc.faults {
						z.vms[i].setFault(healthy)
					}
					time.Sleep(4 * peerBackoff)
					z.put("a", "newer")
					time.Sleep(propagationLimit / 2)
					if missing := z.vmsWithout("a", "newer"); missing != "" {
						t.Errorf("phase %d: after the fault the change has not reached %s", phase, missing)
					}
					before := z.callCount()
					time.Sleep(10 * time.Second)
					if n := z.callCount() - before; n > 45 {
						t.Errorf("phase %d: %d queries to the store in 10 s, the VMs did not return to their reader", phase, n)
					}
				})
			}
		})
	}
}

// A reader that resumes after a freeze has an old table. It must refuse queries until the store
// has responded to it.
func TestResumedReaderServesNoStaleRows(t *testing.T) {
	runZone(t, 20, func(z *zone) {
		z.put("a", "old")
		time.Sleep(5 * time.Second)
		z.vms[0].setFault(frozen)
		time.Sleep(5 * time.Second)
		z.put("a", "new")
		time.Sleep(propagationLimit)
		z.vms[0].setFault(healthy)
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			if missing := z.vmsWithout("a", "new", 0); missing != "" {
				t.Fatalf("VMs returned to the old value: %s", missing)
			}
		}
	})
}

// A zone that can't read from the store receives changes from the readers of the other zones,
// with few queries, and returns to its own reader after the fault.
func TestZoneWithoutStoreReadsFromOtherZones(t *testing.T) {
	for _, storeFault := range []fault{storeFails, storeHangs} {
		z := &zone{settings: Settings{PropagationLimit: propagationLimit, CoalesceInterval: propagationLimit / 12}, zones: 3}
		runZones(t, z, 60, func(z *zone) {
			z.put("a", "old")
			time.Sleep(10 * time.Second)
			for i := 0; i < len(z.vms); i += z.zones {
				z.vms[i].setFault(storeFault)
			}
			time.Sleep(4 * time.Second)
			for n := range 5 {
				z.put("a", fmt.Sprint("new ", n))
				time.Sleep(2 * propagationLimit)
				if missing := z.vmsWithout("a", fmt.Sprint("new ", n)); missing != "" {
					t.Errorf("fault %d: change %d has not reached %s", storeFault, n, missing)
				}
			}
			for _, v := range z.vms {
				v.setFault(healthy)
			}
			time.Sleep(4 * peerBackoff)
			z.put("a", "newer")
			time.Sleep(propagationLimit / 2)
			if missing := z.vmsWithout("a", "newer"); missing != "" {
				t.Errorf("after the fault the change has not reached %s", missing)
			}
			before := z.callCount()
			time.Sleep(10 * time.Second)
			if n := z.callCount() - before; n > 3*25 {
				t.Errorf("%d queries to the store in 10 s, the VMs did not return to their readers", n)
			}
		})
	}
}

// While the store is unavailable only the first VMs query it often, all VMs keep the table, and
// all receive the changes soon after the store has recovered.
func TestFewVMsPollUnavailableStore(t *testing.T) {
	runZone(t, 60, func(z *zone) {
		z.put("a", "old")
		time.Sleep(10 * time.Second)
		z.setStoreDown(true)
		before := z.callCount()
		time.Sleep(5 * time.Second)
		if missing := z.vmsWithout("a", "old"); missing != "" {
			t.Errorf("VMs without the row during the store's outage: %s", missing)
		}
		if n := z.callCount() - before; n > 120 {
			t.Errorf("60 VMs sent %d queries in 5 s to an unavailable store, want at most 120", n)
		}
		z.put("a", "new")
		z.setStoreDown(false)
		time.Sleep(propagationLimit)
		if missing := z.vmsWithout("a", "new"); missing != "" {
			t.Errorf("%v after the store's recovery the change has not reached %s", propagationLimit, missing)
		}
		for _, v := range z.vms {
			if v.outageCount() == 0 {
				t.Errorf("VM %d did not report the store's outage", v.index)
			}
		}
	})
}

// Starting VMs query the first VM of their zone and not the store. This includes the case in
// which that VM starts earlier and doesn't yet know that others will query it: if its first query
// waited long, it would have nothing to serve until then.
func TestStartingVMsReadFromFirstOfZone(t *testing.T) {
	z := &zone{settings: Settings{PropagationLimit: propagationLimit, CoalesceInterval: propagationLimit / 12}, zones: 3, headStart: 100 * time.Millisecond}
	runZones(t, z, 60, func(z *zone) {
		time.Sleep(5 * time.Second)
		if n := z.callCount(); n > 30 {
			t.Errorf("60 VMs sent %d queries to the store in the first 5 s, want at most 30", n)
		}
	})
}

// Guards against every VM reading a large table from the store when a fleet starts, because the first
// of its zone takes longer to read it than a query waits.
func TestStartingVMsWaitForReaderOfLargeTable(t *testing.T) {
	z := &zone{settings: Settings{PropagationLimit: propagationLimit, CoalesceInterval: propagationLimit / 3}, zones: 3, storeDelay: time.Second}
	runZones(t, z, 90, func(z *zone) {
		z.put("a", "1")
		time.Sleep(2 * time.Second)
		if n := z.callCount(); n > 2*z.zones {
			t.Errorf("90 VMs sent %d queries to the store in the first 2 s, want at most %d", n, 2*z.zones)
		}
		for _, v := range z.vms {
			if v.value("a") != "1" {
				t.Errorf("VM %d has not read the table", v.index)
			}
		}
	})
}

// A VM that starts does not wait for a reader whose store does not respond for longer than
// startupPatience.
func TestStartingVMsDoNotWaitForLostReader(t *testing.T) {
	z := &zone{settings: Settings{PropagationLimit: propagationLimit, CoalesceInterval: propagationLimit / 3}, zones: 1}
	runZones(t, z, 4, func(z *zone) {
		z.put("a", "1")
		z.vms[0].setFault(storeHangs)
		z.vms[1].setFault(storeHangs)
		time.Sleep(startupPatience + listTimeout + 2*time.Second)
		for _, v := range z.vms[2:] {
			if v.value("a") != "1" {
				t.Errorf("VM %d has not read the table", v.index)
			}
		}
	})
}

// A VM doesn't serve rows that it received from another VM; only responses of the store may be
// served.
func TestRelayedRowsAreNotServed(t *testing.T) {
	runZone(t, 3, func(z *zone) {
		z.put("a", "1")
		time.Sleep(10 * time.Second)
		_, _, err := z.vms[2].source.cache.encodedList(context.Background(), "t")
		var notReader *NotReaderError
		if !errors.As(err, &notReader) {
			t.Errorf("a VM that reads from another VM serves the table: %v", err)
		}
	})
}

// The history of changes is bounded. A VM that is further behind gets *table.HistoryGoneError and
// must read the whole table again.
func TestTrimmedHistoryForcesRelist(t *testing.T) {
	runZone(t, 4, func(z *zone) {
		z.put("gone", "1")
		time.Sleep(5 * time.Second)
		c := z.vms[0].source.cache
		for i := range 2 * maxHistoryBatches {
			version := c.currentVersion()
			c.apply(version, []table.Change{{Row: table.Row{Key: key(fmt.Sprint(i))}}}, version+1, time.Now())
		}
		_, _, err := c.changes(context.Background(), "t", 1)
		var historyGone *table.HistoryGoneError
		if !errors.As(err, &historyGone) || len(c.history) > maxHistoryBatches {
			t.Errorf("the history has %d batches, and a query before its start returns %v", len(c.history), err)
		}
	})
}

// After the store was restored from a backup, every VM has the table as restored: also once the
// new versions have passed the lost ones, when the reader doesn't learn of the restore, and on a
// VM that was partitioned all the time.
func TestRestoredStoreReachesEveryVM(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults map[int]fault
	}{
		{"no fault", nil},
		{"the store refuses the reader's queries", map[int]fault{0: storeFails}},
		{"the reader is frozen", map[int]fault{0: frozen}},
		{"a member is frozen", map[int]fault{7: frozen}},
		{"the store refuses the whole zone", map[int]fault{0: storeFails, 1: storeFails, 2: storeFails, 3: storeFails, 4: storeFails, 5: storeFails, 6: storeFails, 7: storeFails}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runZone(t, 8, func(z *zone) {
				z.put("a", "old")
				z.put("b", "old")
				time.Sleep(10 * time.Second)
				backup := z.store.Backup()
				for n := range 5 {
					z.put("a", fmt.Sprint("lost ", n))
				}
				time.Sleep(propagationLimit)
				var excepted []int
				for i, f := range tc.faults {
					z.vms[i].setFault(f)
					excepted = append(excepted, i)
				}
				z.store.Restore(backup)
				for n := range 9 { // beyond the versions that the restore reverted
					z.put("b", fmt.Sprint("new ", n))
				}
				time.Sleep(propagationLimit)
				if missing := z.vmsWithout("b", "new 8", excepted...); missing != "" {
					t.Errorf("the new value has not reached %s", missing)
				}
				if missing := z.vmsWithout("a", "old", excepted...); missing != "" {
					t.Errorf("rows that the restore reverted are still served on %s", missing)
				}
				for i := range tc.faults {
					z.vms[i].setFault(healthy)
				}
				time.Sleep(4 * peerBackoff)
				if missing := z.vmsWithout("b", "new 8"); missing != "" {
					t.Errorf("after the fault the new value has not reached %s", missing)
				}
				z.put("b", "newer")
				time.Sleep(propagationLimit / 2)
				if missing := z.vmsWithout("b", "newer"); missing != "" {
					t.Errorf("a change after the restore has not reached %s", missing)
				}
			})
		})
	}
}
