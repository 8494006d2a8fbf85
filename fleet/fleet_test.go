package fleet

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/health"
	"github.com/springweir/springweir/prefix"
	"github.com/springweir/springweir/weightstore"
)

// equal fails the test if got differs from want.
func equal(t *testing.T, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

var model = weightstore.Artifact{Model: "m", Version: "1"}

func newStore(l Ledger, names ...string) *Store {
	s := NewStore("a", l, prefix.NewViews(1000))
	s.SetSpecs(specs(names...))
	return s
}

func specs(names ...string) []Spec {
	out := make([]Spec, len(names))
	for i, name := range names {
		out[i] = Spec{Name: name, Zone: "a"}
	}
	return out
}

func report(name, incarnation string, sequence uint64, at time.Duration) Report {
	load := engine.Load{Sequence: sequence, Running: int(sequence)}
	state := engine.State{Incarnation: incarnation, Role: engine.Mixed, Loaded: []weightstore.Artifact{model}, Load: load}
	return Report{Endpoint: name, State: state, MeasuredAt: at}
}

func (s *Snapshot) endpoint(name string) *Endpoint {
	for _, e := range s.Endpoints() {
		if e.Name == name {
			return e
		}
	}
	return nil
}

func group(s *Snapshot) []string {
	var names []string
	for _, slot := range s.Engines(weightstore.Artifact{Model: "m"}, engine.Mixed) {
		names = append(names, s.At(slot).Name)
	}
	return names
}

func TestReportsMergeByIncarnationAndSequence(t *testing.T) {
	tests := []struct {
		name    string
		reports []Report
		want    string
	}{
		{"in order", []Report{report("e", "i", 1, 1), report("e", "i", 2, 2)}, "i 2"},
		{"older sequence is ignored", []Report{report("e", "i", 2, 2), report("e", "i", 1, 3)}, "i 2"},
		{"new incarnation", []Report{report("e", "i", 9, 1), report("e", "j", 1, 2)}, "j 1"},
		{"late report of an exited incarnation", []Report{report("e", "j", 1, 5), report("e", "i", 9, 4)}, "j 1"},
		{"unknown endpoint", []Report{report("x", "i", 1, 1), report("e", "i", 3, 1)}, "i 3"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			batched := newStore(NewInFlightLedger(), "e")
			batched.ApplyReports(10, test.reports...)
			separate := newStore(NewInFlightLedger(), "e")
			for _, r := range test.reports {
				separate.ApplyReports(10, r)
			}
			for _, s := range []*Store{batched, separate} {
				e := s.Snapshot().endpoint("e")
				equal(t, "", test.want, fmt.Sprint(e.Incarnation, " ", e.Load.Sequence))
			}
		})
	}
}

// TestGroupsFollowSignals checks that any single leave signal removes an endpoint from its group,
// and that earlier snapshots do not change.
func TestGroupsFollowSignals(t *testing.T) {
	s := newStore(NewInFlightLedger(), "e1", "e2", "e3", "e4")
	if got := group(s.Snapshot()); got != nil {
		t.Errorf("before any report: %v", got)
	}
	for _, name := range []string{"e1", "e2", "e3", "e4"} {
		s.ApplyReports(1, report(name, "i", 1, 1))
	}
	old := s.Snapshot()
	s.SetWithheld("e1", true)
	leaving := report("e2", "i", 2, 2)
	leaving.State.Leaving = true
	s.ApplyReports(2, leaving)
	list := specs("e1", "e2", "e3", "e4")
	list[2].Leaving = true
	s.SetSpecs(list)
	equal(t, "", []string{"e4"}, group(s.Snapshot()))
	equal(t, "old snapshot changed", []string{"e1", "e2", "e3", "e4"}, group(old))
	s.SetWithheld("e1", false)
	s.SetSpecs(specs("e1", "e4"))
	equal(t, "", []string{"e1", "e4"}, group(s.Snapshot()))
}

// TestReusedSlotKeepsNoState checks that an endpoint in a reused slot has no state of the removed
// endpoint that had the slot before.
func TestReusedSlotKeepsNoState(t *testing.T) {
	s := newStore(NewInFlightLedger(), "e1", "e2")
	s.ApplyReports(1, report("e1", "i", 1, 1))
	s.Reserve(1, Reservation{Endpoint: "e1", Attempt: "a", Work: Work{Requests: 1}})
	s.SetHealth("e1", health.Status{Phase: health.Ejected, Until: 100})
	s.ApplyEvents("e1", 0, engine.CacheEvents{Incarnation: "i", Snapshot: []uint64{7}, Next: 1})
	s.PublishPrefixes()
	s.SetSpecs(specs("e2", "e3"))
	s.Release(2, "e1", "a")
	s.Reserve(2, Reservation{Endpoint: "e1", Attempt: "b", Work: Work{Requests: 1}})
	got := s.Snapshot().endpoint("e3")
	if diff := cmp.Diff(&Endpoint{Spec: specs("e3")[0], Slot: 0}, got, cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if n := s.Snapshot().Prefix.Pairs(); n != 0 {
		t.Errorf("%d pairs are left in the prefix index", n)
	}
}

func TestLedgers(t *testing.T) {
	one := Work{Requests: 1, PromptTokens: 10, ContextTokens: 12}
	two := Work{Requests: 2, PromptTokens: 20, ContextTokens: 24}
	rest := Work{Requests: 2, PromptTokens: 10, ContextTokens: 24}
	decoding := Work{Requests: 2, ContextTokens: 24}
	last := Work{Requests: 1, ContextTokens: 12}
	seen := report("e", "i", 1, 1)
	seen.State.Load.Recent = []string{"x", "a"}
	steps := []struct {
		name string
		do   func(*Store)
		want map[string]LocalWork
	}{
		{"two sent", func(s *Store) {
			s.Reserve(0, Reservation{Endpoint: "e", Attempt: "a", Work: one})
			s.Reserve(0, Reservation{Endpoint: "e", Attempt: "a", Work: one})
			s.Reserve(time.Second, Reservation{Endpoint: "e", Attempt: "b", Work: one})
		}, map[string]LocalWork{"none": {InFlight: two}, "in flight": {two, two}, "matched": {two, two}}},
		{"one reported", func(s *Store) { s.ApplyReports(time.Second, seen) },
			map[string]LocalWork{"none": {InFlight: two}, "in flight": {two, two}, "matched": {two, one}}},
		{"the reported one prefilled, twice", func(s *Store) {
			s.MarkPrefilled(time.Second, "e", "a")
			s.MarkPrefilled(time.Second, "e", "a")
			s.MarkPrefilled(time.Second, "e", "nobody's")
			s.MarkPrefilled(time.Second, "nowhere", "a")
		}, map[string]LocalWork{"none": {InFlight: rest}, "in flight": {rest, rest}, "matched": {rest, one}}},
		{"the other prefilled before its report", func(s *Store) { s.MarkPrefilled(time.Second, "e", "b") },
			map[string]LocalWork{"none": {InFlight: decoding}, "in flight": {decoding, decoding}, "matched": {decoding, last}}},
		{"the other expired", func(s *Store) { s.ApplyReports(4*time.Second, report("e", "i", 2, 2)) },
			map[string]LocalWork{"none": {InFlight: decoding}, "in flight": {decoding, decoding}, "matched": {InFlight: decoding}}},
		{"one ended, twice", func(s *Store) { s.Release(4*time.Second, "e", "a"); s.Release(4*time.Second, "e", "a") },
			map[string]LocalWork{"none": {InFlight: last}, "in flight": {last, last}, "matched": {InFlight: last}}},
		{"engine restarted", func(s *Store) { s.ApplyReports(5*time.Second, report("e", "j", 1, 5*time.Second)) },
			map[string]LocalWork{"none": {}, "in flight": {}, "matched": {}}},
	}
	ledgers := map[string]Ledger{"none": NewReportedOnlyLedger(), "in flight": NewInFlightLedger(), "matched": NewMatchedLedger(3 * time.Second)}
	for name, l := range ledgers {
		s := newStore(l, "e")
		s.ApplyReports(0, report("e", "i", 0, 0))
		for _, step := range steps {
			step.do(s)
			equal(t, fmt.Sprintf("%s, %s", name, step.name), step.want[name], s.Snapshot().endpoint("e").LocalWork)
		}
	}
}

// TestStoreUnderConcurrentUse exercises the store under the race detector and checks that no
// reservation is lost.
func TestStoreUnderConcurrentUse(t *testing.T) {
	names := []string{"e1", "e2", "e3"}
	s := newStore(NewInFlightLedger(), names...)
	var group sync.WaitGroup
	for worker := range 6 {
		group.Go(func() {
			for i := range 50 {
				name := names[i%3]
				s.Reserve(1, Reservation{Endpoint: name, Attempt: fmt.Sprint(worker, " ", i), Work: Work{Requests: 1}})
				s.ApplyReports(1, report(name, "i", uint64(i+1), 1))
				s.ApplyEvents(name, 0, engine.CacheEvents{Incarnation: "i", Snapshot: []uint64{uint64(i)}, Next: uint64(i + 1)})
				s.PublishPrefixes()
			}
		})
	}
	group.Wait()
	inFlight := 0
	for _, e := range s.Snapshot().Endpoints() {
		inFlight += e.LocalWork.InFlight.Requests
	}
	if inFlight != 300 {
		t.Errorf("%d requests are in flight, want 300", inFlight)
	}
}

// BenchmarkStore measures the heap per engine and the processor time of a report, a reservation and
// its release.
func BenchmarkStore(b *testing.B) {
	for _, n := range []int{12, 400, 2400} {
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprint("engine-", i)
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := newStore(NewMatchedLedger(DefaultReservationExpiry), names...)
		for _, name := range names {
			s.ApplyReports(1, report(name, "i", 1, 1))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		perEngine := float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := uint64(2); b.Loop(); i++ {
				name := names[i%uint64(n)]
				s.ApplyReports(1, report(name, "i", i, 1))
				s.Reserve(1, Reservation{Endpoint: name, Attempt: "a", Work: Work{Requests: 1}})
				s.Release(1, name, "a")
			}
			b.ReportMetric(perEngine, "heap-B/engine")
		})
	}
}
