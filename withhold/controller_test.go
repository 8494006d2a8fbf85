package withhold_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/leaving"
	"github.com/springweir/springweir/peer/fakepeer"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
	"github.com/springweir/springweir/withhold"
)

type fixture struct {
	rows        *memtable.Table
	zone        *fakepeer.Zone
	controller  *withhold.Controller
	reservation withhold.Reservation
}

// allowAll is a permit that always allows.
type allowAll struct{}

func (allowAll) Allow() error { return nil }

func newGate() *withhold.Gate {
	g := withhold.NewGate(leaving.NewSet())
	g.SetPermit(allowAll{})
	return g
}

// newFixture returns a zone of three entries, a, b and c.
func newFixture(t *testing.T) *fixture {
	f := &fixture{rows: memtable.New(), zone: fakepeer.NewZone()}
	r := contact.Roster{}
	for _, name := range []string{"a", "b", "c"} {
		r = r.Join("z", name, name)
		f.zone.Gates[name] = newGate()
	}
	f.write(t, r)
	n := 0
	id := func() string { n++; return fmt.Sprint(n) }
	f.controller = withhold.NewController("z", f.rows, f.zone, f.zone, fakepeer.Lease{}, id)
	return f
}

func (f *fixture) write(t *testing.T, r contact.Roster) {
	t.Helper()
	txn := table.Txn{Writes: []table.Write{{Key: contact.Key("z"), Value: r.Encode()}}}
	if _, err := f.rows.Commit(t.Context(), txn); err != nil {
		t.Fatal(err)
	}
}

func (f *fixture) roster(t *testing.T) contact.Roster {
	t.Helper()
	rows, err := f.rows.Get(t.Context(), contact.Key("z"))
	if err != nil {
		t.Fatal(err)
	}
	r, err := contact.Decode(rows[0].Value)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// withhold starts Withhold and returns a channel for its result.
func (f *fixture) withhold(ctx context.Context) chan error {
	done := make(chan error, 1)
	go func() { done <- f.controller.Withhold(ctx, "e") }()
	return done
}

func TestWithholdWaits(t *testing.T) {
	tests := []struct {
		name    string
		block   func(*fixture)
		want    withhold.WaitingError
		unblock func(*testing.T, *fixture)
	}{
		{"for a stream",
			func(f *fixture) { f.reservation, _ = f.zone.Gates["b"].TryAcquire("e") }, withhold.WaitingError{Endpoint: "e", VMs: []string{"b"}},
			func(_ *testing.T, f *fixture) { f.reservation.Release() }},
		{"for an entry that is paused or out of reach",
			func(f *fixture) { f.zone.Unresponsive["c"] = true }, withhold.WaitingError{Endpoint: "e", VMs: []string{"c"}},
			func(_ *testing.T, f *fixture) { f.zone.Update(func() { f.zone.Unresponsive["c"] = false }) }},
		{"until such an entry is off the roster",
			func(f *fixture) { f.zone.Unresponsive["c"] = true }, withhold.WaitingError{Endpoint: "e", VMs: []string{"c"}},
			func(t *testing.T, f *fixture) {
				r := f.roster(t)
				r.VMs = r.Except("c")
				f.write(t, r)
			}},
		{"for a stream of an entry that was dropped",
			func(f *fixture) { f.zone.OpenStreams["e"] = 1 }, withhold.WaitingError{Endpoint: "e", Streams: 1},
			func(_ *testing.T, f *fixture) { f.zone.Update(func() { f.zone.OpenStreams["e"] = 0 }) }},
		{"for an endpoint that does not answer",
			func(f *fixture) { f.zone.EndpointsUnresponsive = true }, withhold.WaitingError{Endpoint: "e", Unresponsive: true},
			func(_ *testing.T, f *fixture) { f.zone.Update(func() { f.zone.EndpointsUnresponsive = false }) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				tt.block(f)
				done := f.withhold(t.Context())
				time.Sleep(time.Minute)
				if diff := cmp.Diff(&tt.want, f.controller.Waiting("e")); diff != "" {
					t.Errorf("waiting (-want +got):\n%s", diff)
				}
				tt.unblock(t, f)
				time.Sleep(5 * time.Second)
				select {
				case err := <-done:
					if err != nil || f.controller.Waiting("e") != nil {
						t.Errorf("Withhold: %v, waiting for %v", err, f.controller.Waiting("e"))
					}
				default:
					t.Error("Withhold has not returned")
				}
			})
		})
	}
}

func TestWithholdFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.zone.Unresponsive["c"] = true
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		var waiting *withhold.WaitingError
		if err := <-f.withhold(ctx); !errors.As(err, &waiting) {
			t.Errorf("after the deadline: %v", err)
		}
		done := f.withhold(t.Context())
		time.Sleep(time.Second)
		if err := f.controller.Restore(t.Context(), "e"); err != nil {
			t.Fatal(err)
		}
		var restored *withhold.RestoredError
		if err := <-done; !errors.As(err, &restored) {
			t.Errorf("after another controller restored it: %v", err)
		}
		lost := withhold.NewController("z", f.rows, f.zone, f.zone, fakepeer.Lease{Err: &withhold.RestoredError{}}, nil)
		if err := lost.Withhold(t.Context(), "e"); err == nil || f.zone.Gates["a"].Withheld("e") {
			t.Error("endpoint withheld without the lease")
		}
	})
}

// TestSuccessorRestoresUnwanted: a controller that exits leaves its mark in the roster. Its
// successor restores the endpoints that are no longer wanted withheld, also if responses to its
// writes are lost.
func TestSuccessorRestoresUnwanted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		if err := f.controller.Withhold(t.Context(), "e"); err != nil {
			t.Fatal(err)
		}
		if err := f.controller.Withhold(t.Context(), "wanted"); err != nil {
			t.Fatal(err)
		}
		lose := true
		f.rows.SetHook(func(c memtable.Call) memtable.Fault {
			fault := memtable.Fault{LoseResponse: lose && c.Op == memtable.OpCommit}
			lose = !lose && fault.LoseResponse
			return fault
		})
		successor := withhold.NewController("z", f.rows, f.zone, f.zone, fakepeer.Lease{}, func() string { return "s" })
		if err := successor.RestoreUnwanted(t.Context(), func(e string) bool { return e == "wanted" }); err != nil {
			t.Fatal(err)
		}
		for name, g := range f.zone.Gates {
			g.ApplyRoster(f.roster(t))
			if g.Withheld("e") || !g.Withheld("wanted") {
				t.Errorf("%s: e withheld %v, wanted withheld %v", name, g.Withheld("e"), g.Withheld("wanted"))
			}
		}
	})
}
