package feedshare

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/springweir/springweir/table"
)

// The calls to the store do not grow with the VMs of a zone, and a change is known at once.
func TestOneVMOfAZoneFollowsTheStore(t *testing.T) {
	play(t, 60, func(z *zone) {
		z.put("a", "1")
		time.Sleep(5 * time.Second)
		before := z.asked()
		for i := range 10 {
			time.Sleep(3 * time.Second)
			z.put("a", fmt.Sprint(i))
			time.Sleep(100 * time.Millisecond)
			if late := z.unaware("a", fmt.Sprint(i)); late != "" {
				t.Fatalf("100 ms after change %d it is not known on %s", i, late)
			}
		}
		if n := z.asked() - before; n > 60 {
			t.Errorf("%d questions to the store in 31 s of a zone of 60 VMs, want those of one VM", n)
		}
	})
}

// Whatever happens to the VM that the others read from, a change is known within the
// bound on all VMs that reach the store.
func TestChangeIsKnownInTimeWhateverBecomesOfItsReader(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults map[int]fault
	}{
		{"unreachable", map[int]fault{0: unreachable}},
		{"frozen", map[int]fault{0: frozen}},
		{"cut off from the store", map[int]fault{0: cutFromStore}},
		{"no answers from the store", map[int]fault{0: deafToStore}},
		{"behind in versions", map[int]fault{0: behind}},
		{"the first frozen, the second unreachable", map[int]fault{0: frozen, 1: unreachable}},
		{"the first without answers, the second cut off from the store", map[int]fault{0: deafToStore, 1: cutFromStore}},
		{"a member cut off from the reader alone", map[int]fault{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			// The moment of the fault falls on all parts of a question's wait.
			for phase := range 8 {
				play(t, 20, func(z *zone) {
					z.put("a", "old")
					time.Sleep(8*time.Second + time.Duration(phase)*150*time.Millisecond)
					var excepted []int
					for i, f := range tc.faults {
						z.vms[i].set(f)
						if f != unreachable && f != behind {
							excepted = append(excepted, i)
						}
					}
					z.put("a", "new")
					time.Sleep(within)
					if late := z.unaware("a", "new", excepted...); late != "" {
						t.Errorf("phase %d: after the bound not known on %s", phase, late)
					}
					for i := range tc.faults {
						z.vms[i].set(healthy)
					}
					time.Sleep(4 * doubt)
					z.put("a", "newer")
					time.Sleep(within / 2)
					if late := z.unaware("a", "newer"); late != "" {
						t.Errorf("phase %d: after the fault not known on %s", phase, late)
					}
					before := z.asked()
					time.Sleep(10 * time.Second)
					if n := z.asked() - before; n > 45 {
						t.Errorf("phase %d: %d questions to the store in 10 s, the VMs did not go back to their reader", phase, n)
					}
				})
			}
		})
	}
}

// A VM that woke from a freeze holds an old picture. It says so until the store has
// answered it.
func TestFrozenReaderPassesOnNothingOld(t *testing.T) {
	play(t, 20, func(z *zone) {
		z.put("a", "old")
		time.Sleep(5 * time.Second)
		z.vms[0].set(frozen)
		time.Sleep(5 * time.Second)
		z.put("a", "new")
		time.Sleep(within)
		z.vms[0].set(healthy)
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			if late := z.unaware("a", "new", 0); late != "" {
				t.Fatalf("a VM went back to the old value: %s", late)
			}
		}
	})
}

// A zone that has lost the store learns of changes from the readers of the others, without many
// questions to these, and goes back to its own once it can.
func TestZoneThatLosesTheStoreLearnsFromOthers(t *testing.T) {
	for _, lost := range []fault{cutFromStore, deafToStore} {
		z := &zone{settings: Settings{PropagationLimit: within, CoalesceInterval: within / 12}, zones: 3}
		playZones(t, z, 60, func(z *zone) {
			z.put("a", "old")
			time.Sleep(10 * time.Second)
			for i := 0; i < len(z.vms); i += z.zones {
				z.vms[i].set(lost)
			}
			time.Sleep(4 * time.Second)
			for n := range 5 {
				z.put("a", fmt.Sprint("new ", n))
				time.Sleep(2 * within)
				if late := z.unaware("a", fmt.Sprint("new ", n)); late != "" {
					t.Errorf("fault %d, change %d is not known on %s", lost, n, late)
				}
			}
			for _, v := range z.vms {
				v.set(healthy)
			}
			time.Sleep(4 * doubt)
			z.put("a", "newer")
			time.Sleep(within / 2)
			if late := z.unaware("a", "newer"); late != "" {
				t.Errorf("after the fault not known on %s", late)
			}
			before := z.asked()
			time.Sleep(10 * time.Second)
			if n := z.asked() - before; n > 3*25 {
				t.Errorf("%d questions to the store in 10 s, the VMs did not go back to their readers", n)
			}
		})
	}
}

// While the store is away only the first VMs ask it often, nobody forgets what is known,
// and all know of its return soon after the first does.
func TestFewAskAStoreThatIsAway(t *testing.T) {
	play(t, 60, func(z *zone) {
		z.put("a", "old")
		time.Sleep(10 * time.Second)
		z.setAway(true)
		before := z.asked()
		time.Sleep(5 * time.Second)
		if late := z.unaware("a", "old"); late != "" {
			t.Errorf("forgotten while the store is away: %s", late)
		}
		if n := z.asked() - before; n > 120 {
			t.Errorf("%d questions in 5 s to a store that is away, by 60 VMs", n)
		}
		z.put("a", "new")
		z.setAway(false)
		time.Sleep(within)
		if late := z.unaware("a", "new"); late != "" {
			t.Errorf("%v after the return not known on %s", within, late)
		}
		for _, v := range z.vms {
			if v.losses() == 0 {
				t.Errorf("VM %d did not notice that the store was away", v.index)
			}
		}
	})
}

// VMs that start ask the first of their zone and not the store, also where that one started sooner and
// did not know then that others would ask it: a first question that waits for long leaves it without
// an answer that it may pass on.
func TestVMsThatStartAskTheFirstOfTheirZone(t *testing.T) {
	z := &zone{settings: Settings{PropagationLimit: within, CoalesceInterval: within / 12}, zones: 3, headStart: 100 * time.Millisecond}
	playZones(t, z, 60, func(z *zone) {
		time.Sleep(5 * time.Second)
		if n := z.asked(); n > 30 {
			t.Errorf("60 VMs asked the store %d questions in the first 5 s", n)
		}
	})
}

// What a VM was told by another it does not tell a third: only the store's answers count.
func TestWhatWasToldIsNotPassedOn(t *testing.T) {
	play(t, 3, func(z *zone) {
		z.put("a", "1")
		time.Sleep(10 * time.Second)
		_, _, err := z.vms[2].source.cache.list(context.Background(), "t")
		var reader *NotReaderError
		if !errors.As(err, &reader) {
			t.Errorf("a VM that reads from another passes on the table: %v", err)
		}
	})
}

// A VM that missed more changes than are kept reads the table anew, from its reader.
func TestVMThatFellBehindReadsAnew(t *testing.T) {
	play(t, 4, func(z *zone) {
		z.put("gone", "1")
		time.Sleep(5 * time.Second)
		c := z.vms[0].source.cache
		for i := range 2 * maxHistory {
			version := c.at()
			c.apply(version, []table.Change{{Row: table.Row{Key: key(fmt.Sprint(i))}}}, version+1, time.Now())
		}
		_, _, err := c.changes(context.Background(), "t", 1)
		var gone *table.HistoryGoneError
		if !errors.As(err, &gone) || len(c.log) > maxHistory {
			t.Errorf("%d answers are kept, and one before them gives %v", len(c.log), err)
		}
	})
}

// When the store comes back from a copy, every VM of a zone knows the table as it is then: also when
// its versions have caught up, when the reader does not hear of it, and a VM that was cut off
// through it all.
func TestCopyOfTheStoreReachesEveryVM(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults map[int]fault
	}{
		{"all in touch", nil},
		{"the reader is cut off from the store", map[int]fault{0: cutFromStore}},
		{"the reader is frozen", map[int]fault{0: frozen}},
		{"a member is frozen", map[int]fault{7: frozen}},
		{"the whole zone is cut off", map[int]fault{0: cutFromStore, 1: cutFromStore, 2: cutFromStore, 3: cutFromStore, 4: cutFromStore, 5: cutFromStore, 6: cutFromStore, 7: cutFromStore}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			play(t, 8, func(z *zone) {
				z.put("a", "old")
				z.put("b", "old")
				time.Sleep(10 * time.Second)
				copied := z.store.Backup()
				for n := range 5 {
					z.put("a", fmt.Sprint("lost ", n))
				}
				time.Sleep(within)
				var excepted []int
				for i, f := range tc.faults {
					z.vms[i].set(f)
					excepted = append(excepted, i)
				}
				z.store.Restore(copied)
				for n := range 9 { // past the versions that were lost
					z.put("b", fmt.Sprint("new ", n))
				}
				time.Sleep(within)
				if late := z.unaware("b", "new 8", excepted...); late != "" {
					t.Errorf("not known on %s", late)
				}
				if late := z.unaware("a", "old", excepted...); late != "" {
					t.Errorf("what the copy lacks is still believed on %s", late)
				}
				for i := range tc.faults {
					z.vms[i].set(healthy)
				}
				time.Sleep(4 * doubt)
				if late := z.unaware("b", "new 8"); late != "" {
					t.Errorf("not known after the fault on %s", late)
				}
				z.put("b", "newer")
				time.Sleep(within / 2)
				if late := z.unaware("b", "newer"); late != "" {
					t.Errorf("a change after it is not known on %s", late)
				}
			})
		})
	}
}
