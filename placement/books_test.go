package placement

import (
	"testing"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/loadshare/sharepb"
	"github.com/springweir/springweir/relay"
)

// A sum replaces the sum of the same part of the same zone, whoever collected it,
// and a datagram without work leaves what was told before.
func TestSourcesReplaceWhatTheyTold(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBooks()
	work := func(runs uint32) []*sharepb.Work { return []*sharepb.Work{{Endpoint: 1, Runs: runs}} }
	for _, step := range []struct {
		load *sharepb.Load
		want int
	}{
		{&sharepb.Load{Vm: "c1", Zone: "z", ZoneSum: true, Work: work(5)}, 5},
		{&sharepb.Load{Vm: "c2", Zone: "z", ZoneSum: true, Work: work(4)}, 4},
		{&sharepb.Load{Vm: "c2", Zone: "z", ZoneSum: true, Segment: 1, Work: work(2)}, 6},
		{&sharepb.Load{Vm: "c2", Zone: "z", ZoneSum: true, NoWork: true}, 6},
		{&sharepb.Load{Vm: "c2", Zone: "z", Work: work(1)}, 7},
		{&sharepb.Load{Vm: "c2", Zone: "z", ZoneSum: true, Segments: 1, Work: work(3)}, 4},
		{&sharepb.Load{Vm: "c3", Zone: "y", ZoneSum: true, Work: work(6)}, 10},
		{&sharepb.Load{Vm: "c3", Zone: "y", ZoneSum: true}, 4},
	} {
		b.heard(now, step.load)
		if got := b.others[1].runs; got != step.want {
			t.Errorf("after %v: %d requests run, want %d", step.load, got, step.want)
		}
	}
	b.expire(now.Add(loadshare.TTL + time.Millisecond))
	if got := b.others[1].runs; got != 0 {
		t.Errorf("%d requests of silent VMs still count", got)
	}
}

// The VM that ordered an engine to change its role may die before the change is seen:
// the engine stays left alone until its row shows the new role.
func TestChangesOutliveTheVMThatOrderedThem(t *testing.T) {
	inTime(t, func(t *testing.T, b *bed) {
		b.engine("d1", "a", engine.Decode)
		b.engine("d2", "a", engine.Decode)
		b.planner.ReceiveLoad(&sharepb.Load{Vm: "author", Changing: []uint32{loadshare.Hash("d1")}})
		time.Sleep(2 * loadshare.TTL)
		b.planner.LocalReport() // forgets the author
		b.planner.ReceiveLoad(&sharepb.Load{Vm: "other"})
		for range 20 {
			p := b.plan(b.chat(), relay.AttemptState{})
			if p.Serve.ID == "d1" {
				t.Fatal("a request goes to an engine whose change was ordered by a VM that is gone")
			}
			b.done(p)
		}
		b.dir.Put(directory.Registration{ID: "d1", Service: "llm", Zone: "a", Slots: 4, Role: engine.Prefill})
		if p := b.plan(b.letter("s"), relay.AttemptState{}); p.Prefill == nil || p.Prefill.ID != "d1" {
			t.Errorf("the changed engine gets no work: %v", p.Prefill)
		}
	})
}

// An engine that refuses looks idle to every VM. One that has refused a VM twice is left
// alone by the others too, unless there is no other.
func TestRefusalsAreToldToOthers(t *testing.T) {
	inTime(t, func(t *testing.T, b *bed) {
		b.engine("d1", "a", engine.Decode)
		b.engine("d2", "a", engine.Decode)
		for range 2 {
			b.plan(b.chat(), relay.AttemptState{Tried: []string{"d2"}}).Watch.Finished(refusedAttempt(), false)
			time.Sleep(pauseMin)
		}
		told := b.planner.LocalReport()
		if len(told.Refusing) != 1 || told.Refusing[0] != loadshare.Hash("d1") {
			t.Fatalf("tells of %v", told.Refusing)
		}
		c := newBed(t)
		c.engine("d1", "a", engine.Decode)
		c.engine("d2", "a", engine.Decode)
		c.planner.ReceiveLoad(&sharepb.Load{Vm: "other", Refusing: told.Refusing})
		for range 20 {
			p := c.plan(c.chat(), relay.AttemptState{})
			if p.Serve.ID == "d1" {
				t.Fatal("a request goes to an engine that keeps refusing another VM")
			}
			c.done(p)
		}
		if p := c.plan(c.chat(), relay.AttemptState{Tried: []string{"d2"}}); p.Serve.ID != "d1" {
			t.Errorf("with no other engine the request goes to %s", p.Serve.ID)
		}
		time.Sleep(pauseMax)
		if told := b.planner.LocalReport(); len(told.Refusing) != 0 {
			t.Errorf("still tells of %v", told.Refusing)
		}
	})
}

// restart registers an engine that started again under its ID.
func (b *bed) restart(id string, born int64, role engine.Role) {
	b.dir.Put(directory.Registration{ID: id, StartedAt: born, Service: "llm", Zone: "a", Slots: 4, Role: role})
}

// An engine that starts again under its ID holds nothing and has nothing to do: the work
// and the refusals of the start before are not its own, nor what other VMs told of that.
func TestRestartedEngineIsNotTakenForTheOneBefore(t *testing.T) {
	inTime(t, func(t *testing.T, b *bed) {
		b.restart("d1", 1, engine.Decode)
		open := b.plan(b.letter("s"), relay.AttemptState{Number: 1, Colocated: true})
		for range 3 {
			time.Sleep(pauseMax)
			b.plan(b.letter("s"), relay.AttemptState{Number: 1, Colocated: true}).Watch.Finished(refusedAttempt(), false)
		}
		b.planner.ReceiveLoad(&sharepb.Load{Vm: "other", Work: []*sharepb.Work{{Endpoint: loadshare.Hash("d1@1"), PrefillTokens: 20_000}}})
		if !b.planner.CacheKnown("d1") || len(b.planner.LocalReport().Refusing) != 1 {
			t.Fatal("the first start is not known")
		}

		b.restart("d1", 2, engine.Decode)
		k := b.planner.books.of(b.dir.Snapshot().Endpoint("d1"))
		if b.planner.books.open(k) != (work{}) || k.refusals != 0 || k.cache != nil {
			t.Errorf("the new start is believed to have %+v open, %d refusals, cache %v", b.planner.books.open(k), k.refusals, k.cache)
		}
		b.planner.ReceiveLoad(&sharepb.Load{Vm: "third", Placed: []*sharepb.Placed{{
			Endpoint: loadshare.Hash("d1@1"), Part: []uint32{loadshare.Hash("all")}, Tokens: []uint32{2500},
		}}})
		open.Watch.Finished(broke(), false)
		if b.planner.CacheKnown("d1") || b.planner.books.open(k) != (work{}) {
			t.Error("the end of the first start's work, or late news of it, counts for the second")
		}
		if own := b.planner.LocalReport(); len(own.Work) != 0 || len(own.Refusing) != 0 {
			t.Errorf("told of the new start: %+v", own)
		}
	})
}

// A look at the start before, from a snapshot taken earlier, does not bring it back.
func TestEarlierStartOfAnEngineIsNotTakenUpAgain(t *testing.T) {
	inTime(t, func(t *testing.T, b *bed) {
		b.restart("d1", 1, engine.Decode)
		before := b.dir.Snapshot().Endpoint("d1")
		b.restart("d1", 2, engine.Decode)
		now := b.planner.books.of(b.dir.Snapshot().Endpoint("d1"))
		if b.planner.books.of(before) == now || b.planner.books.byID["d1"] != now {
			t.Error("two starts share a book")
		}
	})
}

// A start that was ejected for its failures does not keep the next one from work.
func TestRestartedEngineIsNotEjected(t *testing.T) {
	inTime(t, func(t *testing.T, b *bed) {
		b.restart("d1", 1, engine.Decode)
		b.restart("d2", 1, engine.Decode)
		for range 3 {
			b.plan(b.letter("s"), relay.AttemptState{Number: 1, Colocated: true, Tried: []string{"d2"}}).Watch.Finished(broke(), false)
		}
		usable := func() int { return len((&decision{p: b.planner, r: b.chat(), now: b.planner.now()}).usable(nil)) }
		if usable() != 1 {
			t.Fatalf("%d engines usable, want the sound one", usable())
		}
		b.restart("d1", 2, engine.Decode)
		if usable() != 2 {
			t.Error("the ejection of the start before holds")
		}
	})
}
