package routing

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/fleet"
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

const now = time.Minute

// member is one engine of a test fleet.
type member struct {
	name     string
	role     engine.Role
	load     engine.Load
	age      time.Duration
	loaded   []weightstore.Artifact
	leaving  bool
	withheld bool
	health   health.Status
	cached   []uint64
	gap      bool
}

func newFleet(t testing.TB, members ...member) *fleet.Store {
	t.Helper()
	s := fleet.NewStore("a", fleet.NewMatchedLedger(fleet.DefaultReservationExpiry), prefix.NewViews(prefix.DefaultPairs))
	specs := make([]fleet.Spec, 0, len(members))
	reports := make([]fleet.Report, 0, len(members))
	for _, m := range members {
		if m.loaded == nil {
			m.loaded = []weightstore.Artifact{model}
		}
		if m.load.KVTotal == 0 {
			m.load.KVTotal = 400_000
		}
		specs = append(specs, fleet.Spec{Name: m.name, Zone: "a"})
		state := engine.State{Incarnation: "i", Role: m.role, Loaded: m.loaded, Leaving: m.leaving, Load: m.load}
		reports = append(reports, fleet.Report{Endpoint: m.name, State: state, MeasuredAt: now - m.age})
	}
	s.SetSpecs(specs)
	s.ApplyReports(now, reports...)
	for _, m := range members {
		s.SetWithheld(m.name, m.withheld)
		s.SetHealth(m.name, m.health)
		s.ApplyEvents(m.name, 0, engine.CacheEvents{Incarnation: "i", Snapshot: m.cached, Next: 1})
		if m.gap {
			s.ApplyEvents(m.name, 1, engine.CacheEvents{Incarnation: "i", Next: 9})
		}
	}
	s.PublishPrefixes()
	return s
}

func rng(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func newRequest(prompt, output int) *Request {
	return &Request{Artifact: weightstore.Artifact{Model: "m"}, PromptTokens: prompt, OutputTokens: output, Now: now}
}

func hashChain(n int, seed uint64) []uint64 {
	hashes := make([]uint64, n)
	for i := range hashes {
		hashes[i] = seed<<32 + uint64(i)
	}
	return hashes
}

// route formats a decision as "prefill>serve", "serve" or "zone:z", and an error as its text.
func route(d Decision, err error) string {
	var noEndpoint *NoEndpointError
	switch {
	case errors.As(err, &noEndpoint):
		return noEndpoint.Error()
	case d.Zone != "":
		return "zone:" + d.Zone
	case d.PrefillEndpoint != nil:
		return d.PrefillEndpoint.Name + ">" + d.Endpoint.Name
	}
	return d.Endpoint.Name
}

func TestDecide(t *testing.T) {
	busy := engine.Load{Running: 30, WaitingTokens: 20_000, DecodeTokens: 60_000}
	decoding := engine.Load{Running: 30, DecodeTokens: 60_000}
	long := newRequest(8000, 200)
	long.PrefixHashes = hashChain(500, 1)
	adapter := newRequest(100, 10)
	adapter.Artifact.Adapter = "x"
	version := newRequest(100, 10)
	version.Artifact.Version = "2"
	retry := newRequest(100, 10)
	retry.Tried = []string{"e1"}
	two := weightstore.Artifact{Model: "m", Version: "2"}
	tests := []struct {
		name    string
		members []member
		r       *Request
		want    string
	}{
		{"least loaded", []member{{name: "e1", role: engine.Mixed, load: busy}, {name: "e2", role: engine.Mixed}}, newRequest(100, 10), "e2"},
		{"leaving", []member{{name: "e1", role: engine.Mixed, leaving: true}, {name: "e2", role: engine.Mixed, load: busy}}, newRequest(100, 10), "e2"},
		{"withheld", []member{{name: "e1", role: engine.Mixed, withheld: true}}, newRequest(100, 10), "no available endpoint serves m"},
		{"adapter not loaded", []member{{name: "e1", role: engine.Mixed}}, adapter, "no available endpoint serves m"},
		{"version as loaded", []member{{name: "e1", role: engine.Mixed}, {name: "e2", role: engine.Mixed, load: busy, loaded: []weightstore.Artifact{two}}}, version, "e2"},
		{"tried", []member{{name: "e1", role: engine.Mixed}}, retry, "no endpoint can take m now: 1 tried"},
		{"ejected", []member{{name: "e1", role: engine.Mixed, health: health.Status{Phase: health.Ejected, Until: now + 1}}}, newRequest(1, 1), "no endpoint can take m now: 1 ejected"},
		{"half-open", []member{{name: "e1", role: engine.Mixed, health: health.Status{Phase: health.Ejected, Until: now}}}, newRequest(1, 1), "e1"},
		{"too small", []member{{name: "e1", role: engine.Mixed, load: engine.Load{KVTotal: 50}}}, newRequest(100, 1), "no endpoint can take m now: 1 too-small"},
		{"prefill engine cannot serve alone", []member{{name: "e1", role: engine.Prefill}}, newRequest(1, 1), "no endpoint can take m now: 1 prefill-only"},
		{"cached prefix", []member{{name: "e1", role: engine.Mixed}, {name: "e2", role: engine.Mixed, cached: hashChain(500, 1)}}, long, "e2"},
		{"cached prefix behind a long queue", []member{{name: "e1", role: engine.Mixed}, {name: "e2", role: engine.Mixed, load: busy, cached: hashChain(500, 1)}}, long, "e1"},
		{"a gap halves the cached tokens", []member{{name: "e1", role: engine.Mixed, cached: hashChain(400, 1)}, {name: "e2", role: engine.Mixed, cached: hashChain(500, 1), gap: true}}, long, "e1"},
		{"pair for a long prompt beside decoding", []member{{name: "p1", role: engine.Prefill}, {name: "d1", role: engine.Decode, load: decoding}}, long, "p1>d1"},
		{"decode engine prefills a short prompt", []member{{name: "p1", role: engine.Prefill, load: busy}, {name: "d1", role: engine.Decode, load: decoding}}, newRequest(50, 10), "d1"},
		{"a long prompt without a prefill engine", []member{{name: "d1", role: engine.Decode, load: decoding}}, long, "d1"},
		{"a long prompt behind others without a prefill engine", []member{{name: "p1", role: engine.Prefill, health: health.Status{Phase: health.Ejected, Until: now + 1}}, {name: "d1", role: engine.Decode, load: busy}}, long, "d1"},
		{"stale report is ignored", []member{{name: "e1", role: engine.Mixed, load: busy, age: 20 * time.Second}, {name: "e2", role: engine.Mixed, load: decoding}}, newRequest(100, 10), "e1"},
		{"memory full", []member{{name: "e1", role: engine.Mixed, load: engine.Load{Running: 2, KVUsed: 399_000, DecodeTokens: 1000}}, {name: "e2", role: engine.Mixed, load: engine.Load{Running: 2, KVUsed: 8000, DecodeTokens: 8000}}}, newRequest(8000, 200), "e2"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newFleet(t, test.members...).Snapshot()
			for seed := range uint64(5) {
				got := route(New(DefaultConfig()).Decide(s, test.r, rng(seed)))
				equal(t, fmt.Sprintf("seed %d", seed), test.want, got)
			}
		})
	}
}

// TestSamplingFindsOnlyUsableEngine checks that sampling finds the only usable engine of a large
// group.
func TestSamplingFindsOnlyUsableEngine(t *testing.T) {
	members := make([]member, 300)
	for i := range members {
		members[i] = member{name: fmt.Sprint("e", i), role: engine.Mixed, health: health.Status{Phase: health.Ejected, Until: now * 2}}
	}
	members[137].health = health.Status{}
	s := newFleet(t, members...).Snapshot()
	for seed := range uint64(20) {
		if got := route(New(DefaultConfig()).Decide(s, newRequest(10, 10), rng(seed))); got != "e137" {
			t.Fatalf("seed %d: got %s", seed, got)
		}
	}
}

// TestSamplingKeepsPrefixHits checks that engines with a cached prefix are candidates in a fleet
// much larger than the sample.
func TestSamplingKeepsPrefixHits(t *testing.T) {
	s := largeFleet(t, 2400).Snapshot()
	ro := New(DefaultConfig())
	for prompt := range uint64(200) {
		r := newRequest(4000, 50)
		r.PrefixHashes = hashChain(250, prompt+1)
		d, err := ro.Decide(s, r, rng(prompt))
		if err != nil || d.CachedTokens == 0 {
			t.Fatalf("prompt %d: cached %d, err %v", prompt, d.CachedTokens, err)
		}
	}
}

// largeFleet returns a store of n engines, every tenth of which has the hash chain of a prompt
// cached.
func largeFleet(t testing.TB, n int) *fleet.Store {
	members := make([]member, n)
	for i := range members {
		role := []engine.Role{engine.Mixed, engine.Prefill, engine.Decode}[i%3]
		load := engine.Load{Running: i % 20, DecodeTokens: 2000 * (i % 20)}
		members[i] = member{name: fmt.Sprint("e", i), role: role, load: load}
		if i%10 == 0 {
			members[i].cached = hashChain(250, uint64(i/10%200)+1)
		}
	}
	return newFleet(t, members...)
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{12, 400, 2400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := largeFleet(b, n).Snapshot()
			ro := New(DefaultConfig())
			r := newRequest(4000, 200)
			r.PrefixHashes = hashChain(250, 1)
			random := rng(1)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := ro.Decide(s, r, random); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
