package withhold

import (
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/leaving"
)

// fakePermit is a fake Permit.
type fakePermit struct{ err error }

func (p fakePermit) Allow() error { return p.err }

func newTestGate() *Gate {
	g := NewGate(leaving.NewSet())
	g.SetPermit(fakePermit{})
	return g
}

func TestGateCountsAndRefuses(t *testing.T) {
	g := newTestGate()
	r, err := g.TryAcquire("e")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(State{Epoch: 3, Withheld: true, Streams: 1}, g.Withhold("e", 3)); diff != "" {
		t.Errorf("after Withhold (-want +got):\n%s", diff)
	}
	var refused *WithheldError
	if _, err := g.TryAcquire("e"); !errors.As(err, &refused) {
		t.Errorf("TryAcquire on a withheld endpoint: %v", err)
	}
	r.Release()
	r.Release()
	if g.Streams("e") != 0 {
		t.Errorf("%d streams after a repeated Release", g.Streams("e"))
	}
	if s := g.Restore("e", 2); !s.Withheld {
		t.Error("an older decision was applied")
	}
	if s := g.Restore("e", 4); s.Withheld {
		t.Error("a newer decision was not applied")
	}
	if s := g.Withhold("e", 3); s.Withheld || s.Epoch != 4 {
		t.Errorf("a stale Withhold was applied: %+v", s)
	}
}

func TestGateRequiresPermit(t *testing.T) {
	g := NewGate(leaving.NewSet())
	g.SetPermit(fakePermit{err: &contact.UnconfirmedError{Status: contact.NoContact}})
	var unconfirmed *contact.UnconfirmedError
	if _, err := g.TryAcquire("e"); !errors.As(err, &unconfirmed) {
		t.Errorf("TryAcquire without a permit: %v", err)
	}
	if g.Streams("e") != 0 {
		t.Error("a refused attempt is counted")
	}
}

func TestGateRefusesLeaving(t *testing.T) {
	set := leaving.NewSet()
	g := NewGate(set)
	g.SetPermit(fakePermit{})
	set.SetTree([]string{"e"})
	_, err := g.TryAcquire("e")
	var refused *LeavingError
	if !errors.As(err, &refused) || refused.Signal != leaving.SignalTree {
		t.Errorf("TryAcquire on a leaving endpoint: %v", err)
	}
}

func TestGateAppliesRosters(t *testing.T) {
	g := newTestGate()
	r := contact.Roster{Revision: 4}.Withhold("e").Withhold("f")
	g.ApplyRoster(r)
	g.ApplyRoster(contact.Roster{Revision: 5}) // stale
	if !g.Withheld("e") || !g.Withheld("f") || g.Withheld("new") {
		t.Error("roster not applied")
	}
	g.Withhold("h", r.Revision+1) // a message newer than the roster
	g.ApplyRoster(r.Restore("e"))
	if g.Withheld("e") || !g.Withheld("f") || !g.Withheld("h") {
		t.Error("next roster not applied")
	}
}

// TestGateAfterProcessPause: a process that was paused for long enough that its VM is dropped from
// the roster starts no new work when it resumes, before any of its loops has run. The work it
// started earlier still counts, since the entry cannot tell whether it ended.
func TestGateAfterProcessPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(leaving.NewSet())
		m := contact.NewMember("z", "a", g.ApplyRoster)
		g.SetPermit(m)
		m.RecordJoin(contact.Roster{}.Join("z", "b", "b").Join("z", "c", "c").Join("z", "a", "a"), time.Now())
		if _, err := g.TryAcquire("e"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(contact.RemovalDelay) // no background loop runs
		_, err := g.TryAcquire("e")
		var refused *contact.UnconfirmedError
		if !errors.As(err, &refused) || g.Streams("e") != 1 {
			t.Errorf("after the pause: %v, %d streams", err, g.Streams("e"))
		}
	})
}

// TestGateRace: once a gate reports that no attempt is in flight on a withheld endpoint, none is.
func TestGateRace(t *testing.T) {
	g := newTestGate()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 2000 {
				r, err := g.TryAcquire("e")
				if err == nil && g.Streams("e") < 1 {
					t.Error("attempt in flight but not counted")
				}
				r.Release()
			}
		})
	}
	for epoch := uint64(1); epoch < 200; epoch += 2 {
		g.Withhold("e", epoch)
		for g.Streams("e") > 0 {
		}
		g.Restore("e", epoch+1)
	}
	wg.Wait()
}

func BenchmarkTryAcquire(b *testing.B) {
	g := NewGate(leaving.NewSet())
	m := contact.NewMember("z", "a", g.ApplyRoster)
	m.RecordJoin(contact.Roster{}.Join("z", "a", "a"), time.Now())
	go m.Run(b.Context().Done())
	g.SetPermit(m)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r, err := g.TryAcquire("engine-17")
			if err != nil {
				b.Fatal(err)
			}
			r.Release()
		}
	})
}

// TestGateRecheck: an attempt with a reservation is checked again after a wait. It may not be sent
// to an endpoint that is leaving or withheld, nor by a VM without a permit.
func TestGateRecheck(t *testing.T) {
	set := leaving.NewSet()
	g := NewGate(set)
	p := &fakePermit{}
	g.SetPermit(p)
	if _, err := g.TryAcquire("e"); err != nil {
		t.Fatal(err)
	}
	if err := g.Recheck("e"); err != nil {
		t.Errorf("immediately: %v", err)
	}
	set.Record("e", "e1", true)
	var leaves *LeavingError
	if err := g.Recheck("e"); !errors.As(err, &leaves) {
		t.Errorf("leaving: %v", err)
	}
	set.Record("e", "e2", false)
	g.Withhold("e", 1)
	var withheld *WithheldError
	if err := g.Recheck("e"); !errors.As(err, &withheld) {
		t.Errorf("withheld: %v", err)
	}
	g.Restore("e", 2)
	p.err = &LeavingError{Endpoint: "this VM"}
	if err := g.Recheck("e"); err != p.err {
		t.Errorf("without a permit: %v", err)
	}
}
