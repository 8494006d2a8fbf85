package placement

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/loadshare/sharepb"
	"github.com/springweir/springweir/relay"
)

// addFleet registers n engines, a third of which prefill, at once.
func (f *fixture) addFleet(n int) {
	list := make([]directory.Registration, n)
	for i := range list {
		role := engine.Decode
		if i%3 == 0 {
			role = engine.Prefill
		}
		list[i] = directory.Registration{ID: fmt.Sprint("e", i), StartedAt: 1, Service: "llm", Zone: string(rune('a' + i%5)), Slots: 12, Role: role}
	}
	f.dir.Put(list...)
}

// fleetFixture returns a planner that knows n engines and has one request in flight.
func fleetFixture(t testing.TB, n int) *fixture {
	f := newFixture(t)
	f.addFleet(n)
	f.plan(f.longReq("s"), relay.AttemptState{})
	f.planner.LocalReport()
	return f
}

var fleetSizes = []int{100, 1000, 10_000}

func BenchmarkLocalReport(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := fleetFixture(b, n)
			for b.Loop() {
				f.planner.LocalReport()
			}
		})
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := fleetFixture(b, n)
			for b.Loop() {
				f.complete(f.plan(f.longReq("s"), relay.AttemptState{}))
			}
		})
	}
}

func BenchmarkEndpointChange(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := fleetFixture(b, n)
			for i := 0; b.Loop(); i++ {
				f.dir.Put(directory.Registration{ID: "e0", StartedAt: int64(i), Service: "llm", Zone: "a", Slots: 12, Role: engine.Prefill})
			}
		})
	}
}

// placedReports returns a report of a prompt at each of n engines.
func placedReports(n int) []*sharepb.Load {
	list := make([]*sharepb.Load, n)
	for i := range list {
		e := directory.Registration{ID: fmt.Sprint("e", i), StartedAt: 1}
		list[i] = &sharepb.Load{Vm: "other", NoWork: true, Placed: []*sharepb.Placed{{Endpoint: loadshare.Hash(e.Incarnation()), Part: []uint32{1, 2}, Tokens: []uint32{100, 100}}}}
	}
	return list
}

func BenchmarkReceivePlaced(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFixture(b)
			f.addFleet(n)
			reports := placedReports(n)
			for i := 0; b.Loop(); i++ {
				f.planner.ReceiveLoad(reports[i%n])
			}
		})
	}
}

// fastest returns the shortest duration of several calls of f.
func fastest(f func()) time.Duration {
	shortest := time.Hour
	for range 20 {
		start := time.Now()
		f()
		shortest = min(shortest, time.Since(start))
	}
	return shortest
}

// checkIndependentOfFleet checks that the cost of an operation does not grow with the number of engines
// that a VM knows: with a hundred times as many, it may be a tenth of proportional.
func checkIndependentOfFleet(t *testing.T, operation func(n int) func()) {
	t.Helper()
	const small, large = 100, 10_000
	atSmall, atLarge := fastest(operation(small)), fastest(operation(large))
	t.Logf("%v with %d engines, %v with %d", atSmall, small, atLarge, large)
	if atLarge > large/small/10*atSmall {
		t.Errorf("%v with %d engines, %v with %d", atSmall, small, atLarge, large)
	}
}

// Guards against a search of all endpoints for each prompt that another VM reports.
func TestCostOfReportedPromptsIsIndependentOfFleet(t *testing.T) {
	checkIndependentOfFleet(t, func(n int) func() {
		f := newFixture(t)
		f.addFleet(n)
		reports, next := placedReports(n), 0
		return func() {
			for range 5 { // twenty calls report a prompt at each of a hundred engines
				f.planner.ReceiveLoad(reports[next])
				next++
			}
		}
	})
}

// Guards against a report to the other VMs, many times a second, that visits all endpoints.
func TestCostOfReportIsIndependentOfFleet(t *testing.T) {
	checkIndependentOfFleet(t, func(n int) func() {
		f := fleetFixture(t, n)
		return func() {
			for range 10 {
				if report := f.planner.LocalReport(); len(report.Work) == 0 {
					t.Fatal("the request in flight is not reported")
				}
			}
		}
	})
}

// Guards against work on all endpoints whenever the registration of one changes.
func TestCostOfEndpointChangeIsIndependentOfFleet(t *testing.T) {
	checkIndependentOfFleet(t, func(n int) func() {
		f := fleetFixture(t, n)
		f.dir.Put(directory.Registration{ID: "e0", StartedAt: 2, Service: "llm", Zone: "a", Slots: 12, Role: engine.Prefill})
		changed := f.dir.Snapshot()
		return func() {
			for range 10 {
				f.planner.SetEndpoints(changed)
			}
		}
	})
}

// The holders of a prompt's prefix hold as much of it as those that a search of all engines finds.
func TestHoldersAreFoundByIndex(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	f := newFixture(t)
	f.addFleet(60)
	ids := func() (list []chunk) {
		for i, n := 0, 1+rng.IntN(3); i < n; i++ {
			list = append(list, chunk{id: uint32(10*i + rng.IntN(4)), tokens: 100 * (i + 1)})
		}
		return list
	}
	for range 3000 {
		e := f.dir.Snapshot().Endpoint(fmt.Sprint("e", rng.IntN(60)))
		switch rng.IntN(40) {
		case 0:
			f.dir.Remove(e.ID)
			f.dir.Put(e.Registration)
		case 1:
			f.restartEngine(e.ID, e.StartedAt+1, e.Role)
		default:
			load := f.planner.loads.getEngine(e, 700)
			load.cache.insert(ids(), f.planner.now().Add(time.Duration(rng.IntN(2)-1)*time.Hour))
		}
		chunks := ids()
		d := &decision{p: f.planner, req: f.longReq("s"), now: f.planner.now(), service: f.planner.config().Service("llm")}
		d.endpoints = d.usable(nil)
		want := holders{byZone: map[string]holder{}}
		var beyond []string
		tokens := rng.IntN(3) * 100
		for _, role := range []engine.Role{engine.Prefill, engine.Decode} {
			for _, e := range d.enginesWithRole(role) {
				load := d.engineLoad(e)
				found := holder{e, load.cache.copyableTokens(d.now, chunks)}
				if found.tokens > want.byZone[e.Zone].tokens {
					want.byZone[e.Zone] = found
				}
				if found.tokens > want.largest.tokens {
					want.largest = found
				}
				if role == engine.Prefill && load.cache.cachedTokens(chunks) > tokens {
					beyond = append(beyond, e.ID)
				}
			}
		}
		got := d.findHolders(chunks)
		for zone, h := range got.byZone {
			if h.engine.Zone != zone || d.engineLoad(h.engine).cache.copyableTokens(d.now, chunks) != h.tokens {
				t.Fatalf("%s in %s is said to hold %d tokens", h.engine.ID, zone, h.tokens)
			}
		}
		sameTokens := func(a, b holder) bool { return a.tokens == b.tokens }
		if !sameTokens(got.largest, want.largest) || !maps.EqualFunc(got.byZone, want.byZone, sameTokens) {
			t.Fatalf("holders %v of %v, want as many tokens as %v of %v", got.largest, got.byZone, want.largest, want.byZone)
		}
		var listed []string
		for _, e := range d.cacheHolders(d.enginesWithRole(engine.Prefill), chunks, tokens) {
			listed = append(listed, e.ID)
		}
		if !slices.Equal(listed, beyond) {
			t.Fatalf("%v cache more than %d tokens, want %v", listed, tokens, beyond)
		}
	}
}
