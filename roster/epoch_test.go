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
		within = 2 * time.Second
		// partWrites is what one part of the store's tables takes in a second; more than a
		// second's worth that waits is turned away.
		partWrites = 150
	)
	for _, tc := range []struct{ vms, lost int }{{9, 1}, {9, 9}, {300, 20}, {300, 300}} {
		t.Run(fmt.Sprintf("%d of %d VMs", tc.lost, tc.vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows := memtable.New()
				var all []*Roster
				copied := rows.Backup()
				for i := range tc.vms {
					if i == tc.vms-tc.lost {
						time.Sleep(time.Minute)
						copied = rows.Backup()
					}
					r, stop := start(t, rows, fmt.Sprintf("v%03d", i))
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
				rows.Restore(copied)
				back := time.Now()
				for time.Since(back) < within {
					time.Sleep(50 * time.Millisecond)
					for _, r := range []*Roster{all[0], all[len(all)-1]} {
						if n := len(r.Others()); n != tc.vms-1 {
							t.Fatalf("%v after the store came back a VM knows %d others", time.Since(back), n)
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
				if most := mostWithin(writes, time.Second); most > 2*partWrites {
					t.Errorf("%d writes within a second", most)
				}
			})
		})
	}
}

// mostWithin is the highest number of times that lie within a span.
func mostWithin(times []time.Time, span time.Duration) int {
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
		_, stopEarlier := start(t, rows, "v1")
		time.Sleep(time.Second)
		copied := rows.Backup()
		stopEarlier()
		r, stop := start(t, rows, "v1")
		defer stop()
		time.Sleep(time.Second)
		rows.Restore(copied)
		time.Sleep(2 * time.Second)
		list, _, err := rows.List(t.Context(), Table)
		if err != nil || len(list) != 1 || !r.isOwn(list[0]) {
			t.Errorf("%v, %v", list, err)
		}
	})
}

// A VM that died after the copy, and whom the copy lacks, is forgotten once it could have been back.
func TestLostVMThatDiedIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := memtable.New()
		r, stop := start(t, rows, "v1")
		defer stop()
		time.Sleep(time.Second)
		copied := rows.Backup()
		_, stopOther := start(t, rows, "v2")
		time.Sleep(checkPeriod)
		stopOther()
		rows.Restore(copied)
		time.Sleep(time.Second)
		if got := names(r); got != "v2" {
			t.Errorf("at first %q are known", got)
		}
		time.Sleep(rewriteGrace)
		if got := names(r); got != "" {
			t.Errorf("later %q are known", got)
		}
	})
}

// A VM whose row the store loses twice within seconds counts all the while.
func TestRowLostTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := memtable.New()
		r, stop := start(t, rows, "v1")
		defer stop()
		time.Sleep(time.Second)
		copied := rows.Backup()
		_, stopOther := start(t, rows, "v2")
		defer stopOther()
		time.Sleep(checkPeriod)
		rows.Restore(copied)
		time.Sleep(rewriteGrace - 500*time.Millisecond)
		rows.Restore(copied)
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			if got := names(r); got != "v2" {
				t.Fatalf("%q are known", got)
			}
		}
	})
}
