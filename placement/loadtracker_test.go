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

// A sum replaces the previous sum of the same segment and zone, whichever VM collected it, and a
// datagram without work keeps the previous report.
func TestReportReplacesPreviousOfItsSource(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := newLoadTracker()
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
		tracker.receive(now, step.load)
		if got := tracker.peerWork[1].running; got != step.want {
			t.Errorf("after %v: %d running requests, want %d", step.load, got, step.want)
		}
	}
	tracker.expire(now.Add(loadshare.TTL + time.Millisecond))
	if got := tracker.peerWork[1].running; got != 0 {
		t.Errorf("%d requests of expired reports still count", got)
	}
}

// The VM that ordered an engine to change its role may fail before the change is visible. The
// engine must get no requests until its row shows the new role.
func TestRoleChangeOutlivesOrderingVM(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		f.addEngine("d1", "a", engine.Decode)
		f.addEngine("d2", "a", engine.Decode)
		f.planner.ReceiveLoad(&sharepb.Load{Vm: "author", Changing: []uint32{roleChangeID(loadshare.Hash("d1"), engine.Decode)}})
		time.Sleep(2 * loadshare.TTL)
		f.planner.LocalReport() // drops the report of the ordering VM
		f.planner.ReceiveLoad(&sharepb.Load{Vm: "other"})
		for range 20 {
			p := f.plan(f.shortReq(), relay.AttemptState{})
			if p.Serve.ID == "d1" {
				t.Fatal("a request goes to an engine whose role change was ordered by a VM that has failed")
			}
			f.complete(p)
		}
		f.dir.Put(directory.Registration{ID: "d1", Service: "llm", Zone: "a", Slots: 4, Role: engine.Prefill})
		if p := f.plan(f.longReq("s"), relay.AttemptState{}); p.Prefill == nil || p.Prefill.ID != "d1" {
			t.Errorf("the engine gets no request in its new role: prefilled by %v", p.Prefill)
		}
	})
}

// reportChange makes the planner receive the report of another VM that has ordered an engine to change
// its role, and has seen the given role last.
func (f *fixture) reportChange(id string, role engine.Role) {
	author := newFixture(f.t)
	author.addEngine(id, "a", role)
	author.roleChanges = []string{id}
	f.planner.ReceiveLoad(&sharepb.Load{Vm: "author", Changing: author.planner.LocalReport().Changing})
}

// Guards against a report of a role change that arrives after the row of the new role: the engine
// would be left alone for seconds.
func TestLateReportOfRoleChangeHasNoEffect(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		f.addEngine("d1", "a", engine.Prefill)
		f.reportChange("d1", engine.Prefill)
		if _, failed := f.planner.Plan(f.shortReq(), relay.AttemptState{}); failed == nil {
			t.Fatal("a request goes to an engine that changes its role")
		}
		f.addEngine("d1", "a", engine.Decode)
		f.reportChange("d1", engine.Prefill)
		if _, failed := f.planner.Plan(f.shortReq(), relay.AttemptState{}); failed != nil {
			t.Errorf("refused after the change: %v", failed)
		}
		f.reportChange("d1", engine.Decode)
		if _, failed := f.planner.Plan(f.shortReq(), relay.AttemptState{}); failed == nil {
			t.Error("a request goes to an engine that changes its role once more")
		}
	})
}

// An engine that refuses looks idle to every VM. Once it has refused one VM twice, the other VMs
// avoid it too unless it is the only engine.
func TestRefusalsAreReportedToPeers(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		f.addEngine("d1", "a", engine.Decode)
		f.addEngine("d2", "a", engine.Decode)
		for range 2 {
			f.plan(f.shortReq(), relay.AttemptState{Tried: []string{"d2"}}).Watch.Finished(refusedAttempt(), false)
			time.Sleep(minPause)
		}
		report := f.planner.LocalReport()
		if len(report.Refusing) != 1 || report.Refusing[0] != loadshare.Hash("d1") {
			t.Fatalf("refusing endpoints: %v", report.Refusing)
		}
		peer := newFixture(t)
		peer.addEngine("d1", "a", engine.Decode)
		peer.addEngine("d2", "a", engine.Decode)
		peer.planner.ReceiveLoad(&sharepb.Load{Vm: "other", Refusing: report.Refusing})
		for range 20 {
			p := peer.plan(peer.shortReq(), relay.AttemptState{})
			if p.Serve.ID == "d1" {
				t.Fatal("a request goes to an engine that refuses another VM")
			}
			peer.complete(p)
		}
		if p := peer.plan(peer.shortReq(), relay.AttemptState{Tried: []string{"d2"}}); p.Serve.ID != "d1" {
			t.Errorf("with no other engine the request goes to %s", p.Serve.ID)
		}
		time.Sleep(maxPause)
		if report := f.planner.LocalReport(); len(report.Refusing) != 0 {
			t.Errorf("refusing endpoints after the pause: %v", report.Refusing)
		}
	})
}

// restartEngine registers a new incarnation of an engine under the same ID.
func (f *fixture) restartEngine(id string, startedAt int64, role engine.Role) {
	f.dir.Put(directory.Registration{ID: id, StartedAt: startedAt, Service: "llm", Zone: "a", Slots: 4, Role: role})
}

// A restarted engine has an empty cache and no work. Work and refusals of the previous incarnation,
// local or reported by peers, must not count for the new one.
func TestRestartedEngineHasNoStateOfPreviousIncarnation(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		f.restartEngine("d1", 1, engine.Decode)
		earlier := f.plan(f.longReq("s"), relay.AttemptState{Number: 1, Colocated: true})
		for range 3 {
			time.Sleep(maxPause)
			f.plan(f.longReq("s"), relay.AttemptState{Number: 1, Colocated: true}).Watch.Finished(refusedAttempt(), false)
		}
		f.planner.ReceiveLoad(&sharepb.Load{Vm: "other", Work: []*sharepb.Work{{Endpoint: loadshare.Hash("d1@1"), PrefillTokens: 20_000}}})
		if !f.planner.CacheKnown("d1") || len(f.planner.LocalReport().Refusing) != 1 {
			t.Fatal("the cache or the refusals of the first incarnation are not recorded")
		}

		f.restartEngine("d1", 2, engine.Decode)
		load := f.planner.loads.get(f.dir.Snapshot().Endpoint("d1"))
		if f.planner.loads.inFlight(load) != (work{}) || load.refusals != 0 || load.cache != nil {
			t.Errorf("the new incarnation has %+v in flight, %d refusals, cache %v", f.planner.loads.inFlight(load), load.refusals, load.cache)
		}
		f.planner.ReceiveLoad(&sharepb.Load{Vm: "third", Placed: []*sharepb.Placed{{
			Endpoint: loadshare.Hash("d1@1"), Part: []uint32{loadshare.Hash("all")}, Tokens: []uint32{2500},
		}}})
		earlier.Watch.Finished(brokenAttempt(), false)
		if f.planner.CacheKnown("d1") || f.planner.loads.inFlight(load) != (work{}) {
			t.Error("the end of a request of the first incarnation, or a late report of it, counts for the second")
		}
		if report := f.planner.LocalReport(); len(report.Work) != 0 || len(report.Refusing) != 0 {
			t.Errorf("report of the new incarnation: %+v", report)
		}
	})
}

// Looking up the previous incarnation from an older snapshot must not replace the current one.
func TestEarlierIncarnationDoesNotReplaceLater(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		f.restartEngine("d1", 1, engine.Decode)
		previous := f.dir.Snapshot().Endpoint("d1")
		f.restartEngine("d1", 2, engine.Decode)
		current := f.planner.loads.get(f.dir.Snapshot().Endpoint("d1"))
		if f.planner.loads.get(previous) == current || f.planner.loads.byID["d1"] != current {
			t.Error("two incarnations share their tracked load")
		}
	})
}

// The ejection of an incarnation must not apply to the next one.
func TestRestartedEngineIsNotEjected(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		f.restartEngine("d1", 1, engine.Decode)
		f.restartEngine("d2", 1, engine.Decode)
		for range 3 {
			f.plan(f.longReq("s"), relay.AttemptState{Number: 1, Colocated: true, Tried: []string{"d2"}}).Watch.Finished(brokenAttempt(), false)
		}
		usable := func() int { return len((&decision{p: f.planner, req: f.shortReq(), now: f.planner.now()}).usable(nil)) }
		if usable() != 1 {
			t.Fatalf("%d engines usable, want only the healthy one", usable())
		}
		f.restartEngine("d1", 2, engine.Decode)
		if usable() != 2 {
			t.Error("the ejection of the previous incarnation still applies")
		}
	})
}
