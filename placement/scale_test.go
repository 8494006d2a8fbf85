package placement

import (
	"fmt"
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
