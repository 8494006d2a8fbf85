package routing

import (
	"testing"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/weightstore"
)

func TestSpill(t *testing.T) {
	idle := fleet.ZoneSummary{
		Zone: "b", CreatedAt: now, Reachable: true, RTT: 3 * time.Millisecond, PromptBudget: 100_000,
		TTFT: 50 * time.Millisecond, PerToken: 20 * time.Millisecond, Models: []weightstore.Artifact{model},
	}
	zone := func(change func(*fleet.ZoneSummary)) fleet.ZoneSummary {
		z := idle
		change(&z)
		return z
	}
	request := func(change func(*Request)) *Request {
		r := newRequest(4000, 50)
		r.Deadline = now + 4*time.Second
		if change != nil {
			change(r)
		}
		return r
	}
	free := member{name: "e1", role: engine.Mixed}
	full := member{name: "e1", role: engine.Mixed, load: engine.Load{Running: 40, WaitingTokens: 80_000, DecodeTokens: 100_000}}
	leaving := member{name: "e1", role: engine.Mixed, leaving: true}
	tests := []struct {
		name  string
		local member
		zones []fleet.ZoneSummary
		r     *Request
		want  string
	}{
		{"local zone meets the deadline", free, []fleet.ZoneSummary{idle}, request(nil), "e1"},
		{"local zone is full", full, []fleet.ZoneSummary{idle}, request(nil), "zone:b"},
		{"local zone has no endpoint", leaving, []fleet.ZoneSummary{idle}, request(nil), "zone:b"},
		{"no deadline, no local endpoint", leaving, []fleet.ZoneSummary{idle}, request(func(r *Request) { r.Deadline = 0 }), "zone:b"},
		{"no deadline, slow local endpoint", full, []fleet.ZoneSummary{idle}, request(func(r *Request) { r.Deadline = 0 }), "e1"},
		{"from another zone", full, []fleet.ZoneSummary{idle}, request(func(r *Request) { r.FromOtherZone = true }), "e1"},
		{"from another zone, no local endpoint", leaving, []fleet.ZoneSummary{idle}, request(func(r *Request) { r.FromOtherZone = true }), "no available endpoint serves m"},
		{"partitioned", full, []fleet.ZoneSummary{zone(func(z *fleet.ZoneSummary) { z.Reachable = false })}, request(nil), "e1"},
		{"summary too old", full, []fleet.ZoneSummary{zone(func(z *fleet.ZoneSummary) { z.CreatedAt = now - 4*time.Second })}, request(nil), "e1"},
		{"budget too small", full, []fleet.ZoneSummary{zone(func(z *fleet.ZoneSummary) { z.PromptBudget = 3000 })}, request(nil), "e1"},
		{"budget used up", full, []fleet.ZoneSummary{zone(func(z *fleet.ZoneSummary) { z.PromptTokensSent = 97_000 })}, request(nil), "e1"},
		{"too late in the other zone as well", full, []fleet.ZoneSummary{zone(func(z *fleet.ZoneSummary) { z.TTFT = 5 * time.Second })}, request(nil), "e1"},
		{"model not in the other zone", full, []fleet.ZoneSummary{zone(func(z *fleet.ZoneSummary) { z.Models = nil })}, request(nil), "e1"},
		{"the faster of two", full, []fleet.ZoneSummary{zone(func(z *fleet.ZoneSummary) { z.TTFT = time.Second }), zone(func(z *fleet.ZoneSummary) { z.Zone = "c" })}, request(nil), "zone:c"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newFleet(t, test.local)
			s.SetZones(test.zones, 1)
			for seed := range uint64(5) {
				got := route(New(DefaultConfig()).Decide(s.Snapshot(), test.r, rng(seed)))
				equal(t, "", test.want, got)
			}
		})
	}
}

// TestSummaryBudgetIsExhausted passes the summary of zone b to zone a, which forwards requests
// until the prompt budget is used up and again after the next summary.
func TestSummaryBudgetIsExhausted(t *testing.T) {
	ro := New(DefaultConfig())
	other := newFleet(t, member{name: "f1", role: engine.Mixed}, member{name: "f2", role: engine.Prefill},
		member{name: "f3", role: engine.Mixed, age: time.Minute}, member{name: "f4", role: engine.Mixed, leaving: true})
	summary := ro.Summary(other.Snapshot(), now, 2)
	want := fleet.ZoneSummary{Zone: "a", CreatedAt: now, Reachable: true, PromptBudget: 4000, PerToken: 18150 * time.Microsecond, Models: []weightstore.Artifact{model}}
	equal(t, "", want, summary)
	summary.Zone = "b"
	s := newFleet(t)
	r := newRequest(1500, 50)
	var got []string
	for range 3 {
		s.SetZones([]fleet.ZoneSummary{summary}, 1)
		d, err := ro.Decide(s.Snapshot(), r, rng(1))
		got = append(got, route(d, err))
		s.RecordSpill(d.Zone, r.PromptTokens)
	}
	summary.CreatedAt++
	s.SetZones([]fleet.ZoneSummary{summary}, 1)
	got = append(got, route(ro.Decide(s.Snapshot(), r, rng(1))))
	equal(t, "", []string{"zone:b", "zone:b", "no available endpoint serves m", "zone:b"}, got)
}

// TestServiceWithLeastInFlight checks that a service call goes to the endpoint of that service with
// the least local work in flight, and is not forwarded to another zone.
func TestServiceWithLeastInFlight(t *testing.T) {
	s := newFleet(t)
	s.SetSpecs([]fleet.Spec{
		{Name: "s1", Kind: fleet.Service, Service: "slots"},
		{Name: "s2", Kind: fleet.Service, Service: "slots"},
		{Name: "s3", Kind: fleet.Service, Service: "sync"},
	})
	s.SetZones([]fleet.ZoneSummary{{Zone: "b", CreatedAt: now, Reachable: true, PromptBudget: 1 << 20}}, 1)
	s.Reserve(now, fleet.Reservation{Endpoint: "s1", Attempt: "a", Work: fleet.Work{Requests: 1}})
	call := &Request{Service: "slots", Now: now}
	if got := route(New(DefaultConfig()).Decide(s.Snapshot(), call, rng(1))); got != "s2" {
		t.Errorf("got %s, want s2", got)
	}
	call.Tried = []string{"s1", "s2"}
	if got := route(New(DefaultConfig()).Decide(s.Snapshot(), call, rng(1))); got != "no endpoint can take slots now: 2 tried" {
		t.Errorf("got %s", got)
	}
}
