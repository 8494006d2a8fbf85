package roster

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/table/memtable"
)

// A region whose rows the store has lost, some or all, is written down again within two seconds, each
// VM with one write, and without more of them at once than one part of the store's tables takes.
// Nobody forgets a VM meanwhile.
func TestLostRowsAreWrittenAgain(t *testing.T) {
	const (
		rewriteTime = 2 * time.Second
		// partitionWrites is what one part of the store's tables takes in a second; more than a
		// second's worth that waits is turned away.
		partitionWrites = 150
	)
	for _, tc := range []struct{ vms, lost int }{{9, 1}, {9, 9}, {300, 20}, {300, 300}} {
		t.Run(fmt.Sprintf("%d of %d VMs", tc.lost, tc.vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows := memtable.New()
				var all []*Roster
				backup := rows.Copy()
				for i := range tc.vms {
					if i == tc.vms-tc.lost {
						time.Sleep(time.Minute)
						backup = rows.Copy()
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
				rows.ComeBack(backup)
				restored := time.Now()
				for time.Since(restored) < rewriteTime {
					time.Sleep(50 * time.Millisecond)
					for _, r := range []*Roster{all[0], all[len(all)-1]} {
						if n := len(r.Others()); n != tc.vms-1 {
							t.Fatalf("%v after the store came back a VM knows %d others", time.Since(restored), n)
						}
					}
				}
				list, _, err := rows.List(t.Context(), Table)
				if err != nil || len(list) != tc.vms {
					t.Errorf("%d rows, %v", len(list), err)
				}
				time.Sleep(3 * time.Second)
				close(written)
				var writes []time.Time
				for at := range written {
					writes = append(writes, at)
				}
				if len(writes) != tc.lost {
					t.Errorf("%d writes for %d rows", len(writes), tc.lost)
				}
				if most := maxWithin(writes, time.Second); most > 2*partitionWrites {
					t.Errorf("%d writes within a second", most)
				}
			})
		})
	}
}

// maxWithin is the highest number of times that lie within a span.
func maxWithin(times []time.Time, span time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// A VM whose row the copy holds as it was at an earlier start writes it again.
func TestRowOfAnEarlierStartIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := memtable.New()
		_, stopEarlier := startRoster(t, rows, "v1")
		time.Sleep(time.Second)
		backup := rows.Copy()
		stopEarlier()
		r, stop := startRoster(t, rows, "v1")
		defer stop()
		time.Sleep(time.Second)
		rows.ComeBack(backup)
		time.Sleep(2 * time.Second)
		list, _, err := rows.List(t.Context(), Table)
		if err != nil || len(list) != 1 || !r.isLocalRow(list[0]) {
			t.Errorf("%v, %v", list, err)
		}
	})
}

// A VM that died after the copy, and whom the copy lacks, is forgotten once it could have been back.
func TestLostVMThatDiedIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := memtable.New()
		r, stop := startRoster(t, rows, "v1")
		defer stop()
		time.Sleep(time.Second)
		backup := rows.Copy()
		_, stopOther := startRoster(t, rows, "v2")
		time.Sleep(checkInterval)
		stopOther()
		rows.ComeBack(backup)
		time.Sleep(time.Second)
		if got := otherNames(r); got != "v2" {
			t.Errorf("at first %q are known", got)
		}
		time.Sleep(rewriteGrace)
		if got := otherNames(r); got != "" {
			t.Errorf("later %q are known", got)
		}
	})
}

// A VM whose row the store loses twice within seconds counts all the while.
func TestVMStaysListedWhenItsRowIsLostTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := memtable.New()
		r, stop := startRoster(t, rows, "v1")
		defer stop()
		time.Sleep(time.Second)
		backup := rows.Copy()
		_, stopOther := startRoster(t, rows, "v2")
		defer stopOther()
		time.Sleep(checkInterval)
		rows.ComeBack(backup)
		time.Sleep(rewriteGrace - 500*time.Millisecond)
		rows.ComeBack(backup)
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			if got := otherNames(r); got != "v2" {
				t.Fatalf("%q are known", got)
			}
		}
	})
}
