package roster

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/table/memtable"
)

// When the store loses some or all rows of a region, they are rewritten within two seconds, with
// one write per VM, at no higher rate than a partition of the store's tables accepts. No VM is
// dropped from a roster meanwhile.
func TestLostRowsAreWrittenAgain(t *testing.T) {
	const (
		rewriteTime = 2 * time.Second
		// partitionWrites is the number of writes a partition of the store's tables accepts per
		// second; beyond a backlog of one second it rejects writes.
		partitionWrites = 150
	)
	for _, tc := range []struct{ vms, lost int }{{9, 1}, {9, 9}, {300, 20}, {300, 300}} {
		t.Run(fmt.Sprintf("%d of %d VMs", tc.lost, tc.vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows := memtable.New()
				var all []*Roster
				backup := rows.Backup()
				for i := range tc.vms {
					if i == tc.vms-tc.lost {
						time.Sleep(time.Minute)
						backup = rows.Backup()
					}
					r, stop := startRoster(t, rows, fmt.Sprintf("v%03d", i))
					defer stop()
					all = append(all, r)
				}
				time.Sleep(time.Minute)
				written := make(chan time.Time, 10*tc.vms)
				rows.SetHook(func(c memtable.Call) memtable.Fault {
					if c.Op == memtable.OpCommit {
						written <- time.Now()
					}
					return memtable.Fault{}
				})
				rows.Restore(backup)
				restored := time.Now()
				for time.Since(restored) < rewriteTime {
					time.Sleep(50 * time.Millisecond)
					for _, r := range []*Roster{all[0], all[len(all)-1]} {
						if n := len(r.Others()); n != tc.vms-1 {
							t.Fatalf("%v after the restore a VM lists %d others", time.Since(restored), n)
						}
					}
				}
				list, _, err := rows.List(t.Context(), Table)
				if err != nil || len(list) != tc.vms {
					t.Errorf("%d rows listed, error %v", len(list), err)
				}
				time.Sleep(3 * time.Second)
				close(written)
				var writes []time.Time
				for at := range written {
					writes = append(writes, at)
				}
				if len(writes) != tc.lost {
					t.Errorf("%d writes for %d lost rows", len(writes), tc.lost)
				}
				if highest := maxWithin(writes, time.Second); highest > 2*partitionWrites {
					t.Errorf("%d writes within a second", highest)
				}
			})
		})
	}
}

// maxWithin returns the highest number of times within any span of the given length.
func maxWithin(times []time.Time, span time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	highest, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > span {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// A VM rewrites its row if the backup holds the row of an earlier start.
func TestRowOfAnEarlierStartIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := memtable.New()
		_, stopEarlier := startRoster(t, rows, "v1")
		time.Sleep(time.Second)
		backup := rows.Backup()
		stopEarlier()
		r, stop := startRoster(t, rows, "v1")
		defer stop()
		time.Sleep(time.Second)
		rows.Restore(backup)
		time.Sleep(2 * time.Second)
		list, _, err := rows.List(t.Context(), Table)
		if err != nil || len(list) != 1 || !r.isLocalRow(list[0]) {
			t.Errorf("%v, %v", list, err)
		}
	})
}

// A VM that died after the backup and is missing from it is removed once it has had time to rewrite
// its row.
func TestLostVMThatDiedIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := memtable.New()
		r, stop := startRoster(t, rows, "v1")
		defer stop()
		time.Sleep(time.Second)
		backup := rows.Backup()
		_, stopOther := startRoster(t, rows, "v2")
		time.Sleep(checkInterval)
		stopOther()
		rows.Restore(backup)
		time.Sleep(time.Second)
		if got := otherNames(r); got != "v2" {
			t.Errorf("before the grace period ends: listed %q, want v2", got)
		}
		time.Sleep(rewriteGrace)
		if got := otherNames(r); got != "" {
			t.Errorf("after the grace period: listed %q, want none", got)
		}
	})
}

// A VM whose row the store loses twice within seconds stays listed throughout.
func TestVMStaysListedWhenItsRowIsLostTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := memtable.New()
		r, stop := startRoster(t, rows, "v1")
		defer stop()
		time.Sleep(time.Second)
		backup := rows.Backup()
		_, stopOther := startRoster(t, rows, "v2")
		defer stopOther()
		time.Sleep(checkInterval)
		rows.Restore(backup)
		time.Sleep(rewriteGrace - 500*time.Millisecond)
		rows.Restore(backup)
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			if got := otherNames(r); got != "v2" {
				t.Fatalf("listed %q", got)
			}
		}
	})
}
