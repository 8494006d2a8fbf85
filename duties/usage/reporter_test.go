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

// perWindow is what one VM counts in a window.
const perWindow = uint64(length / (100 * time.Millisecond))

func now() Window { return windowAt(time.Now(), length) }

// Every window is reported once, exact to the request, within a second of its end.
func TestWindowsAreReported(t *testing.T) {
	playRegion(t, 4, func(r *region) {
		first := now()
		r.serve(60 * time.Second)
		last := now()
		if wrong := r.exact(first, last-1, map[string]uint64{"north": 2 * perWindow, "south": 2 * perWindow}); wrong != "" {
			t.Errorf("reported %s", wrong)
		}
		for w := first + 1; w < last-1; w++ {
			if _, at, _ := r.platform.reported(w); at > time.Second {
				t.Errorf("window %d was reported %v after its end", w-first, at)
			}
		}
		if n, calls := r.platform.taken(); calls != n || n > int(last-first)+2 {
			t.Errorf("%d calls for %d windows", calls, n)
		}
	})
}

// Whichever way the holder is lost, the next one reports the windows in time, with all that both
// have counted.
func TestHolderIsLost(t *testing.T) {
	for _, tc := range []struct {
		name string
		lose func(v *vm)
		// south is what the others count in a window.
		gone bool
	}{
		{"stopped", func(v *vm) { go v.stop() }, false},
		{"killed", func(v *vm) { v.kill() }, true},
	} {
		for phase := range 10 {
			t.Run(fmt.Sprint(tc.name, phase), func(t *testing.T) {
				playRegion(t, 3, func(r *region) {
					r.serve(20 * time.Second)
					first := now()
					r.serve(time.Duration(phase) * length / 10)
					tc.lose(r.vms[0])
					r.serve(40 * time.Second)
					last := now() - 2
					for w := first; w < last; w++ {
						got, at, reported := r.platform.reported(w)
						switch {
						case !reported:
							t.Errorf("window %d was not reported", w-first)
						case got.Counts["south"] != perWindow:
							t.Errorf("window %d has %v", w-first, got.Counts)
						case at > late:
							t.Errorf("window %d came %v after its end", w-first, at)
						}
					}
					want := perWindow
					if tc.gone {
						want = uint64(phase) * perWindow / 10
					}
					// The dead VM's counts of its last window are those that it told.
					report, _, _ := r.platform.reported(first)
					if got := report.Counts["north"]; got != want+perWindow {
						t.Errorf("the window of the loss has %d of the VM's own, want %d", got-perWindow, want)
					}
				})
			})
		}
	}
}

// A VM that nobody hears of for a while is waited for, but not until the report is late.
func TestVMThatIsCutOffIsWaitedFor(t *testing.T) {
	for _, tc := range []struct {
		name string
		cut  time.Duration
		// whole tells whether its requests are in the report.
		whole bool
	}{
		{"for less than a report may wait", 4 * time.Second, true},
		{"for longer", 12 * time.Second, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			playRegion(t, 3, func(r *region) {
				r.serve(20*time.Second + length/2)
				w := now()
				cut := r.vms[2]
				for end := time.Now().Add(tc.cut); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
					cut.ledger.RequestStarted("north")
					cut.setCut(true)
					for _, v := range r.vms[:2] {
						for _, a := range v.ledger.Due(false) {
							for _, to := range r.vms[:2] {
								to.ledger.Take(a)
							}
						}
					}
				}
				cut.setCut(false)
				r.serve(20 * time.Second)
				report, at, _ := r.platform.reported(w)
				got := report.Counts["north"]
				if at > late || tc.whole != (got > perWindow) {
					t.Errorf("reported %v after the end with %d requests", at, got)
				}
			})
		})
	}
}

// One VM of many that is gone without a word delays no report by more than a second or so.
func TestOneOfManyIsNotWaitedForLong(t *testing.T) {
	playRegion(t, 50, func(r *region) {
		r.serve(20*time.Second + length/2)
		w := now()
		r.vms[49].kill()
		r.serve(15 * time.Second)
		for i := range Window(2) {
			if _, at, _ := r.platform.reported(w + i); at == 0 || at > fewPatience+2*readPause {
				t.Errorf("window %d was reported %v after its end", i, at)
			}
		}
	})
}

// A platform that is busy, slow or silent for a while gets its reports later, and no two that differ.
func TestPlatformThatFails(t *testing.T) {
	for name, fault := range map[string]func(ctx context.Context, deliver func()) error{
		"busy": func(context.Context, func()) error { return errFault },
		"slow": func(_ context.Context, deliver func()) error {
			time.Sleep(250 * time.Millisecond)
			deliver()
			return nil
		},
		"silent":          func(ctx context.Context, _ func()) error { <-ctx.Done(); return ctx.Err() },
		"loses answers":   func(ctx context.Context, deliver func()) error { deliver(); <-ctx.Done(); return ctx.Err() },
		"reset after all": func(_ context.Context, deliver func()) error { deliver(); return errFault },
	} {
		t.Run(name, func(t *testing.T) {
			playRegion(t, 2, func(r *region) {
				r.serve(12 * time.Second)
				first := now()
				for _, v := range r.vms {
					v.fail(fault, nil)
				}
				r.serve(7 * time.Second)
				for _, v := range r.vms {
					v.fail(nil, nil)
				}
				r.serve(20 * time.Second)
				if wrong := r.exact(first, now()-1, map[string]uint64{"north": perWindow, "south": perWindow}); wrong != "" {
					t.Errorf("reported %s", wrong)
				}
				if _, n := r.platform.taken(); n > 60 {
					t.Errorf("%d calls", n)
				}
			})
		})
	}
}

// After the store has come back from a copy, a window whose sum it may have lost is not reported with
// another one.
func TestStoreThatComesBackFromACopy(t *testing.T) {
	playRegion(t, 2, func(r *region) {
		r.serve(20 * time.Second)
		copied := r.rows.Copy()
		w := now()
		r.serve(length + time.Second) // window w is agreed on and reported
		if _, _, reported := r.platform.reported(w); !reported {
			t.Fatal("the window was not reported before")
		}
		r.vms[0].kill()
		r.vms[1].ledger.RequestStarted("south") // as if it had heard more than the dead VM
		r.rows.ComeBack(copied)
		r.mu.Lock()
		r.epochSince = time.Now()
		r.mu.Unlock()
		r.serve(30 * time.Second)
		if _, _, reported := r.platform.reported(now() - 3); !reported {
			t.Error("later windows are not reported")
		}
	})
}

// An organisation that the holder does not know the name of is left out, the others are reported.
func TestNamelessOrganisation(t *testing.T) {
	playRegion(t, 1, func(r *region) {
		r.vms[0].ledger.RequestStarted("unknown")
		r.serve(20 * time.Second)
		first, last := now()-6, now()-2
		for w := first; w <= last; w++ {
			got, _, _ := r.platform.reported(w)
			if _, told := got.Counts["unknown"]; told || len(got.Counts) > 1 || w == last && got.Counts["north"] == 0 {
				t.Errorf("reported %v", got)
			}
		}
	})
}

// Old sums are removed from the store.
func TestOldSumsAreRemoved(t *testing.T) {
	playRegion(t, 1, func(r *region) {
		r.serve(20 * time.Minute)
		rows, err := r.rows.Scan(t.Context(), Table, "", "", 1000)
		if err != nil || len(rows) < storedWindows || len(rows) > storedWindows+2*cleanEvery {
			t.Errorf("%d rows, %v", len(rows), err)
		}
	})
}

// A sum of as many organisations as there are to be fits into a row.
func TestSumOfManyOrganisations(t *testing.T) {
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
			t.Errorf("a malformed row gave %v", err)
		}
	}
}

// Of accounts whose lists differ in length nothing is taken.
func TestMalformedAccounts(t *testing.T) {
	s := newSum(1)
	s.add([]*usagepb.Account{{Boot: 1, Window: 1, Organisation: []uint64{1, 2}, Count: []uint32{1}}, {Boot: 2, Window: 2}})
	if len(s.processes) != 0 {
		t.Errorf("taken: %v", s.processes)
	}
}
