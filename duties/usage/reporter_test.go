package usage

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/duties/usage/usagepb"
	"github.com/springweir/springweir/table"
)

// perWindow is the number of requests that one VM counts in a window.
const perWindow = uint64(length / (100 * time.Millisecond))

func windowNow() Window { return windowAt(time.Now(), length) }

// Every window is reported exactly once, with exact counts, within a second of its end.
func TestWindowsAreReported(t *testing.T) {
	runRegion(t, 4, func(r *testRegion) {
		first := windowNow()
		r.serveFor(60 * time.Second)
		last := windowNow()
		if mismatches := r.mismatches(first, last-1, map[string]uint64{"north": 2 * perWindow, "south": 2 * perWindow}); mismatches != "" {
			t.Errorf("reported %s", mismatches)
		}
		for w := first + 1; w < last-1; w++ {
			if _, delay, _ := r.platform.reported(w); delay > time.Second {
				t.Errorf("window %d was reported %v after its end", w-first, delay)
			}
		}
		if n, calls := r.platform.counts(); calls != n || n > int(last-first)+2 {
			t.Errorf("%d calls for %d windows", calls, n)
		}
	})
}

// However the holder is lost, its successor reports the windows in time, with all requests that
// both have counted.
func TestHolderLoss(t *testing.T) {
	for _, tc := range []struct {
		name string
		lose func(v *testVM)
		// killed means that the holder counts nothing more.
		killed bool
	}{
		{"stopped", func(v *testVM) { go v.stop() }, false},
		{"killed", func(v *testVM) { v.kill() }, true},
	} {
		for phase := range 10 {
			t.Run(fmt.Sprint(tc.name, phase), func(t *testing.T) {
				runRegion(t, 3, func(r *testRegion) {
					r.serveFor(20 * time.Second)
					first := windowNow()
					r.serveFor(time.Duration(phase) * length / 10)
					tc.lose(r.vms[0])
					r.serveFor(40 * time.Second)
					last := windowNow() - 2
					for w := first; w < last; w++ {
						got, delay, reported := r.platform.reported(w)
						switch {
						case !reported:
							t.Errorf("window %d was not reported", w-first)
						case got.Counts["south"] != perWindow:
							t.Errorf("window %d has %v", w-first, got.Counts)
						case delay > late:
							t.Errorf("window %d was reported %v after its end", w-first, delay)
						}
					}
					want := perWindow
					if tc.killed {
						want = uint64(phase) * perWindow / 10
					}
					// Of the last window of a killed VM, only the counts that it sent are reported.
					report, _, _ := r.platform.reported(first)
					if got := report.Counts["north"]; got != want+perWindow {
						t.Errorf("the window of the loss has %d requests of the lost VM, want %d", got-perWindow, want)
					}
				})
			})
		}
	}
}

// The reporter waits for a VM that is partitioned for a while, but not for longer than the report
// allows.
func TestWaitForPartitionedVM(t *testing.T) {
	for _, tc := range []struct {
		name        string
		partitioned time.Duration
		// included reports whether its requests are expected in the report.
		included bool
	}{
		{"shorter than the seal wait", 4 * time.Second, true},
		{"longer than the seal wait", 12 * time.Second, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runRegion(t, 3, func(r *testRegion) {
				r.serveFor(20*time.Second + length/2)
				w := windowNow()
				partitioned := r.vms[2]
				for end := time.Now().Add(tc.partitioned); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
					partitioned.ledger.RequestStarted("north")
					partitioned.setPartitioned(true)
					for _, v := range r.vms[:2] {
						for _, a := range v.ledger.Due(false) {
							for _, to := range r.vms[:2] {
								to.ledger.Take(a)
							}
						}
					}
				}
				partitioned.setPartitioned(false)
				r.serveFor(20 * time.Second)
				report, delay, _ := r.platform.reported(w)
				got := report.Counts["north"]
				if delay > late || tc.included != (got > perWindow) {
					t.Errorf("reported %v after the end with %d requests", delay, got)
				}
			})
		})
	}
}

// The sudden loss of one VM out of many delays reports by little more than fewVMsSealWait.
func TestShortWaitForOneVMOfMany(t *testing.T) {
	runRegion(t, 50, func(r *testRegion) {
		r.serveFor(20*time.Second + length/2)
		w := windowNow()
		r.vms[49].kill()
		r.serveFor(15 * time.Second)
		for i := range Window(2) {
			if _, delay, _ := r.platform.reported(w + i); delay == 0 || delay > fewVMsSealWait+2*collectRetryInterval {
				t.Errorf("window %d was reported %v after its end", i, delay)
			}
		}
	})
}

// When the platform is busy, slow or unresponsive for some time, it still receives its reports,
// late but without contradictions.
func TestPlatformFaults(t *testing.T) {
	for name, fault := range map[string]func(ctx context.Context, deliver func()) error{
		"busy": func(context.Context, func()) error { return errFault },
		"slow": func(_ context.Context, deliver func()) error {
			time.Sleep(250 * time.Millisecond)
			deliver()
			return nil
		},
		"silent":               func(ctx context.Context, _ func()) error { <-ctx.Done(); return ctx.Err() },
		"loses responses":      func(ctx context.Context, deliver func()) error { deliver(); <-ctx.Done(); return ctx.Err() },
		"reset after delivery": func(_ context.Context, deliver func()) error { deliver(); return errFault },
	} {
		t.Run(name, func(t *testing.T) {
			runRegion(t, 2, func(r *testRegion) {
				r.serveFor(12 * time.Second)
				first := windowNow()
				for _, v := range r.vms {
					v.setFaults(fault, nil)
				}
				r.serveFor(7 * time.Second)
				for _, v := range r.vms {
					v.setFaults(nil, nil)
				}
				r.serveFor(20 * time.Second)
				if mismatches := r.mismatches(first, windowNow()-1, map[string]uint64{"north": perWindow, "south": perWindow}); mismatches != "" {
					t.Errorf("reported %s", mismatches)
				}
				if _, n := r.platform.counts(); n > 60 {
					t.Errorf("%d calls", n)
				}
			})
		})
	}
}

// After the store was restored from a backup, a window whose sum it may have lost is not reported
// with another sum.
func TestStoreRestore(t *testing.T) {
	runRegion(t, 2, func(r *testRegion) {
		r.serveFor(20 * time.Second)
		backup := r.rows.Backup()
		w := windowNow()
		r.serveFor(length + time.Second) // window w is committed and reported
		if _, _, reported := r.platform.reported(w); !reported {
			t.Fatal("the window was not reported before the restore")
		}
		r.vms[0].kill()
		r.vms[1].ledger.RequestStarted("south") // as if it had received more than the killed VM
		r.rows.Restore(backup)
		r.mu.Lock()
		r.epochSince = time.Now()
		r.mu.Unlock()
		r.serveFor(30 * time.Second)
		if _, _, reported := r.platform.reported(windowNow() - 3); !reported {
			t.Error("later windows were not reported")
		}
	})
}

// An organisation whose name the holder does not know is omitted; the others are reported.
func TestUnknownOrganisation(t *testing.T) {
	runRegion(t, 1, func(r *testRegion) {
		r.vms[0].ledger.RequestStarted("unknown")
		r.serveFor(20 * time.Second)
		first, last := windowNow()-6, windowNow()-2
		for w := first; w <= last; w++ {
			got, _, _ := r.platform.reported(w)
			if _, reported := got.Counts["unknown"]; reported || len(got.Counts) > 1 || w == last && got.Counts["north"] == 0 {
				t.Errorf("reported %v", got)
			}
		}
	})
}

// Old sums are removed from the store.
func TestOldSumsAreRemoved(t *testing.T) {
	runRegion(t, 1, func(r *testRegion) {
		r.serveFor(20 * time.Minute)
		rows, err := r.rows.Scan(t.Context(), Table, "", "", 1000)
		if err != nil || len(rows) < storedWindows || len(rows) > storedWindows+2*cleanupInterval {
			t.Errorf("%d rows, %v", len(rows), err)
		}
	})
}

// A sum of the maximum number of organisations fits into a row.
func TestSumOfManyOrganisationsFitsRow(t *testing.T) {
	counts := map[string]uint64{}
	for i := range 4500 {
		counts[fmt.Sprintf("organisation-%d-%x", i, Hash(fmt.Sprint(i))%1000)] = Hash(fmt.Sprint(i)) % 5000
	}
	rec := record{ID: "id", Counts: counts}
	value := rec.encode()
	if len(value) > table.MaxValueBytes {
		t.Errorf("%d bytes", len(value))
	}
	got, err := decode(table.Row{Value: value})
	if diff := cmp.Diff(rec, got); diff != "" || err != nil {
		t.Error(diff, err)
	}
	for _, value := range [][]byte{nil, []byte("x"), value[:len(value)/2]} {
		_, err := decode(table.Row{Value: value})
		var malformed *table.MalformedRowError
		if !errors.As(err, &malformed) {
			t.Errorf("decoding a malformed row: got error %v", err)
		}
	}
}

// Accounts with lists of different lengths are ignored.
func TestMalformedAccounts(t *testing.T) {
	s := newSum(1)
	s.add([]*usagepb.Account{{Boot: 1, Window: 1, Organisation: []uint64{1, 2}, Count: []uint32{1}}, {Boot: 2, Window: 2}})
	if len(s.processes) != 0 {
		t.Errorf("accepted accounts: %v", s.processes)
	}
}
