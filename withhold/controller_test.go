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

type bench struct {
	rows *memtable.Table
	zone *fakepeer.Zone
	c    *withhold.Controller
	hold withhold.Reservation
}

// always is a permit.
type always struct{}

func (always) Allow() error { return nil }

func newGate() *withhold.Gate {
	g := withhold.NewGate(leaving.NewSet())
	g.SetPermit(always{})
	return g
}

// newBench returns a zone of three entries, a, b and c.
func newBench(t *testing.T) *bench {
	b := &bench{rows: memtable.New(), zone: fakepeer.NewZone()}
	r := contact.Roster{}
	for _, name := range []string{"a", "b", "c"} {
		r = r.Join("z", name, name)
		b.zone.Gates[name] = newGate()
	}
	b.write(t, r)
	n := 0
	id := func() string { n++; return fmt.Sprint(n) }
	b.c = withhold.NewController("z", b.rows, b.zone, b.zone, fakepeer.Lease{}, id)
	return b
}

func (b *bench) write(t *testing.T, r contact.Roster) {
	t.Helper()
	txn := table.Txn{Writes: []table.Write{{Key: contact.Key("z"), Value: r.Encode()}}}
	if _, err := b.rows.Commit(t.Context(), txn); err != nil {
		t.Fatal(err)
	}
}

func (b *bench) roster(t *testing.T) contact.Roster {
	t.Helper()
	rows, err := b.rows.Get(t.Context(), contact.Key("z"))
	if err != nil {
		t.Fatal(err)
	}
	r, err := contact.Decode(rows[0].Value)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// withhold returns the result of Withhold as it comes.
func (b *bench) withhold(ctx context.Context) chan error {
	done := make(chan error, 1)
	go func() { done <- b.c.Withhold(ctx, "e") }()
	return done
}

func TestWithholdWaits(t *testing.T) {
	tests := []struct {
		name    string
		hold    func(*bench)
		want    withhold.WaitingError
		release func(*testing.T, *bench)
	}{
		{"for a stream",
			func(b *bench) { b.hold, _ = b.zone.Gates["b"].TryAcquire("e") }, withhold.WaitingError{Endpoint: "e", VMs: []string{"b"}},
			func(_ *testing.T, b *bench) { b.hold.Release() }},
		{"for an entry that is paused or out of reach",
			func(b *bench) { b.zone.Unresponsive["c"] = true }, withhold.WaitingError{Endpoint: "e", VMs: []string{"c"}},
			func(_ *testing.T, b *bench) { b.zone.Update(func() { b.zone.Unresponsive["c"] = false }) }},
		{"until such an entry is off the roster",
			func(b *bench) { b.zone.Unresponsive["c"] = true }, withhold.WaitingError{Endpoint: "e", VMs: []string{"c"}},
			func(t *testing.T, b *bench) {
				r := b.roster(t)
				r.VMs = r.Except("c")
				b.write(t, r)
			}},
		{"for a stream of an entry that was dropped",
			func(b *bench) { b.zone.OpenStreams["e"] = 1 }, withhold.WaitingError{Endpoint: "e", Streams: 1},
			func(_ *testing.T, b *bench) { b.zone.Update(func() { b.zone.OpenStreams["e"] = 0 }) }},
		{"for an endpoint that does not answer",
			func(b *bench) { b.zone.EndpointsUnresponsive = true }, withhold.WaitingError{Endpoint: "e", Unresponsive: true},
			func(_ *testing.T, b *bench) { b.zone.Update(func() { b.zone.EndpointsUnresponsive = false }) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				tt.hold(b)
				done := b.withhold(t.Context())
				time.Sleep(time.Minute)
				if diff := cmp.Diff(&tt.want, b.c.Waiting("e")); diff != "" {
					t.Errorf("waiting (-want +got):\n%s", diff)
				}
				tt.release(t, b)
				time.Sleep(5 * time.Second)
				select {
				case err := <-done:
					if err != nil || b.c.Waiting("e") != nil {
						t.Errorf("Withhold: %v, waiting for %v", err, b.c.Waiting("e"))
					}
				default:
					t.Error("still waits")
				}
			})
		})
	}
}

func TestWithholdEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.zone.Unresponsive["c"] = true
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		var waiting *withhold.WaitingError
		if err := <-b.withhold(ctx); !errors.As(err, &waiting) {
			t.Errorf("after the deadline: %v", err)
		}
		done := b.withhold(t.Context())
		time.Sleep(time.Second)
		if err := b.c.Restore(t.Context(), "e"); err != nil {
			t.Fatal(err)
		}
		var restored *withhold.RestoredError
		if err := <-done; !errors.As(err, &restored) {
			t.Errorf("after another controller restored it: %v", err)
		}
		lost := withhold.NewController("z", b.rows, b.zone, b.zone, fakepeer.Lease{Err: &withhold.RestoredError{}}, nil)
		if err := lost.Withhold(t.Context(), "e"); err == nil || b.zone.Gates["a"].Withheld("e") {
			t.Error("withholds without the lease")
		}
	})
}

// A controller that dies leaves its mark in the roster; its successor restores
// what nobody wants, also after writes whose answers were lost.
func TestSuccessorRestores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		if err := b.c.Withhold(t.Context(), "e"); err != nil {
			t.Fatal(err)
		}
		if err := b.c.Withhold(t.Context(), "wanted"); err != nil {
			t.Fatal(err)
		}
		lose := true
		b.rows.SetHook(func(c memtable.Call) memtable.Fault {
			fault := memtable.Fault{LoseResponse: lose && c.Op == memtable.OpCommit}
			lose = !lose && fault.LoseResponse
			return fault
		})
		successor := withhold.NewController("z", b.rows, b.zone, b.zone, fakepeer.Lease{}, func() string { return "s" })
		if err := successor.RestoreUnwanted(t.Context(), func(e string) bool { return e == "wanted" }); err != nil {
			t.Fatal(err)
		}
		for name, g := range b.zone.Gates {
			g.ApplyRoster(b.roster(t))
			if g.Withheld("e") || !g.Withheld("wanted") {
				t.Errorf("%s: e withheld %v, wanted withheld %v", name, g.Withheld("e"), g.Withheld("wanted"))
			}
		}
	})
}
