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

// permit is a fake Permit.
type permit struct{ err error }

func (p permit) Allow() error { return p.err }

func newTestGate() *Gate {
	g := NewGate(leaving.NewSet())
	g.SetPermit(permit{})
	return g
}

func TestGateCountsAndRefuses(t *testing.T) {
	g := newTestGate()
	h, err := g.TryAcquire("e")
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
	h.Release()
	h.Release()
	if g.Streams("e") != 0 {
		t.Errorf("%d streams after a release that was repeated", g.Streams("e"))
	}
	if s := g.Restore("e", 2); !s.Withheld {
		t.Error("an older decision was taken")
	}
	if s := g.Restore("e", 4); s.Withheld {
		t.Error("a newer decision was not taken")
	}
	if s := g.Withhold("e", 3); s.Withheld || s.Epoch != 4 {
		t.Errorf("a late Withhold was taken: %+v", s)
	}
}

func TestGateAsksPermit(t *testing.T) {
	g := NewGate(leaving.NewSet())
	g.SetPermit(permit{err: &contact.UnconfirmedError{Status: contact.NoContact}})
	var unconfirmed *contact.UnconfirmedError
	if _, err := g.TryAcquire("e"); !errors.As(err, &unconfirmed) {
		t.Errorf("TryAcquire without permission: %v", err)
	}
	if g.Streams("e") != 0 {
		t.Error("a refused attempt is counted")
	}
}

func TestGateRefusesLeaving(t *testing.T) {
	set := leaving.NewSet()
	g := NewGate(set)
	g.SetPermit(permit{})
	set.SetTree([]string{"e"})
	_, err := g.TryAcquire("e")
	var refused *LeavingError
	if !errors.As(err, &refused) || refused.Signal != leaving.SignalTree {
		t.Errorf("TryAcquire on a leaving endpoint: %v", err)
	}
}

func TestGateFollowsRosters(t *testing.T) {
	g := newTestGate()
	r := contact.Roster{Revision: 4}.Withhold("e").Withhold("f")
	g.ApplyRoster(r)
	g.ApplyRoster(contact.Roster{Revision: 5}) // older
	if !g.Withheld("e") || !g.Withheld("f") || g.Withheld("new") {
		t.Error("does not follow the roster")
	}
	g.Withhold("h", r.Revision+1) // a message that runs ahead of the roster
	g.ApplyRoster(r.Restore("e"))
	if g.Withheld("e") || !g.Withheld("f") || !g.Withheld("h") {
		t.Error("does not follow the next roster")
	}
}

// A process that was paused for as long as it takes to drop its VM starts
// nothing new when it wakes, before any of its loops has run. What it had begun
// still counts, which is all that the entry itself can say.
func TestGateOfWokenProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(leaving.NewSet())
		m := contact.NewMember("z", "a", g.ApplyRoster)
		g.SetPermit(m)
		m.RecordJoin(contact.Roster{}.Join("z", "b", "b").Join("z", "c", "c").Join("z", "a", "a"), time.Now())
		if _, err := g.TryAcquire("e"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(contact.RemovalDelay) // nothing ticks
		_, err := g.TryAcquire("e")
		var refused *contact.UnconfirmedError
		if !errors.As(err, &refused) || g.Streams("e") != 1 {
			t.Errorf("after waking: %v, %d streams", err, g.Streams("e"))
		}
	})
}

// Once a gate says that nothing runs on a withheld endpoint, nothing does.
func TestGateRace(t *testing.T) {
	g := newTestGate()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 2000 {
				h, err := g.TryAcquire("e")
				if err == nil && g.Streams("e") < 1 {
					t.Error("an attempt runs uncounted")
				}
				h.Release()
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
			h, err := g.TryAcquire("engine-17")
			if err != nil {
				b.Fatal(err)
			}
			h.Release()
		}
	})
}

// An attempt that holds an endpoint asks again after a wait: it may not go where the endpoint
// leaves or is withheld by now, nor at all where this VM may start nothing.
func TestGateRecheck(t *testing.T) {
	set := leaving.NewSet()
	g := NewGate(set)
	p := &permit{}
	g.SetPermit(p)
	if _, err := g.TryAcquire("e"); err != nil {
		t.Fatal(err)
	}
	if err := g.Recheck("e"); err != nil {
		t.Errorf("at once: %v", err)
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
