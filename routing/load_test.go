package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/fleet"
)

// TestLoadWithoutReports checks the load that one of three entry VMs estimates from stale reports.
// Its work is all at e1: it must count that work at e1, plus the mean of its work at the prefill
// engines for each of the other two entry VMs.
func TestLoadWithoutReports(t *testing.T) {
	reported := engine.Load{Running: 9, WaitingTokens: 900, KVTotal: 5000}
	load := func(age time.Duration, work fleet.Work, names ...string) []EstimatedLoad {
		members := []member{{name: "other", role: engine.Decode, load: reported, age: age}}
		for _, name := range names {
			members = append(members, member{name: name, role: engine.Prefill, load: reported, age: age})
		}
		s := newFleet(t, members...)
		s.SetZones(nil, 3)
		s.Reserve(now, fleet.Reservation{Endpoint: "e1", Attempt: "a", Work: work})
		s.Reserve(now, fleet.Reservation{Endpoint: "other", Attempt: "a", Work: work})
		d := &decider{Router: New(DefaultConfig()), s: s.Snapshot(), r: newRequest(1, 1), rng: rng(1)}
		var got []EstimatedLoad
		for _, e := range d.s.Endpoints() {
			if e.Role == engine.Prefill {
				got = append(got, d.estimateLoad(e))
			}
		}
		return got
	}
	work := fleet.Work{Requests: 4, PromptTokens: 100, ContextTokens: 200}
	stale := DefaultCosts().MaxReportAge + 1
	equal(t, "stale", []EstimatedLoad{{8, 100, 400, 400, 5000}, {4, 50, 200, 200, 5000}}, load(stale, work, "e1", "e2"))
	equal(t, "stale, one engine", []EstimatedLoad{{12, 150, 600, 600, 5000}}, load(stale, work, "e1"))
	equal(t, "not yet stale", []EstimatedLoad{{15, 1050, 300, 300, 5000}, {9, 900, 0, 0, 5000}}, load(stale-1, work, "e1", "e2"))

	// In a large fleet only meanSampleSize engines are sampled.
	var many []string
	for i := range 10 * meanSampleSize {
		many = append(many, fmt.Sprintf("e%d", i))
	}
	work.Requests = 100 * meanSampleSize
	for _, a := range load(stale, work, many...)[2:] {
		if a.Requests != 0 && a.Requests != 200 {
			t.Fatalf("estimated peer work is %d requests, want 0 or 200", a.Requests)
		}
	}
}
