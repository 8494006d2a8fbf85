package entry

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/health"
	"github.com/springweir/springweir/rollout"
	"github.com/springweir/springweir/weightstore"
)

// addPoolSetting applies a version of the settings whose pool has one more line.
func (e *Entry) addPoolSetting(tb testing.TB, version rollout.Version, line string) {
	text := strings.Replace(string(e.applier.Current().Text), "models = chat\n", "models = chat\n"+line+"\n", 1)
	if err := e.applier.Apply(rollout.NewDocument(version, []byte(text))); err != nil {
		tb.Fatal(err)
	}
}

// phases returns the health phases of the endpoints in the current snapshot.
func (e *Entry) phases() []health.Phase {
	var list []health.Phase
	for _, endpoint := range e.common.store.Snapshot().Endpoints() {
		list = append(list, endpoint.Health.Phase)
	}
	return list
}

// TestHealthReachesSnapshots checks that the health of endpoints is part of the snapshots
// and survives a change of settings. Lower thresholds eject further endpoints, and the
// removal of the last healthy endpoint from the tree puts another one back into service.
func TestHealthReachesSnapshots(t *testing.T) {
	e := idleEntry(t, 3)
	feed := func() *healthFeed { return e.upstreams.byName[poolUpstream("language")].dispatch.health }
	for i := range 3 {
		e.upstreams.recordIncarnation(engineName(i), "first", engine.Mixed)
	}
	fail := func(name string, times int) {
		for range times {
			ticket, _ := feed().begin(0, name)
			feed().end(0, ticket, health.Failed)
		}
	}
	steps := []struct {
		name   string
		change func()
		want   []health.Phase
	}{
		{"one fails", func() { fail("engine-0", 5) }, []health.Phase{health.Ejected, health.Healthy, health.Healthy}},
		{"retries change", func() { e.addPoolSetting(t, 2, "retry-attempts = 2") }, []health.Phase{health.Ejected, health.Healthy, health.Healthy}},
		{"ejection thresholds are lowered", func() {
			e.addPoolSetting(t, 3, "eject-failures = 2\neject-share = 90%")
			fail("engine-1", 2)
		}, []health.Phase{health.Ejected, health.Ejected, health.Healthy}},
		{"the healthy one is removed", func() {
			text := string(e.applier.Current().Text)
			from := strings.Index(text, "[endpoint \"engine-2\"]")
			if err := e.applier.Apply(rollout.NewDocument(4, []byte(text[:from]))); err != nil {
				t.Fatal(err)
			}
		}, []health.Phase{health.Healthy, health.Ejected}},
	}
	for _, step := range steps {
		step.change()
		if diff := cmp.Diff(step.want, e.phases()); diff != "" {
			t.Fatalf("%s (-want +got):\n%s", step.name, diff)
		}
	}
}

// TestReplacedUpstreamIsKeptUntilIdle checks that requests queued in an upstream whose
// settings were changed are still counted, and that the upstream is dropped afterwards.
func TestReplacedUpstreamIsKeptUntilIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := inMemoryOptions()
		o.engines = 1
		s := newTestZone(t, o)
		defer s.shutDown()
		prompt := strings.Repeat("The permit of the municipality says. ", 220)
		ctx, done := context.WithCancel(t.Context())
		defer done()
		for n := range queuedRequests {
			go func() { _, _, _ = s.do(ctx, chatRequest(fmt.Sprint(n, prompt), 16, false)) }()
		}
		time.Sleep(500 * time.Millisecond)
		before := s.entry.upstreams.waiting()
		s.entry.addPoolSetting(t, 2, "queue-limit = 100")
		if after := s.entry.upstreams.waiting(); before == 0 || after != before {
			t.Errorf("%d requests are queued after the change, %d before", after, before)
		}
		time.Sleep(time.Minute)
		if n := len(s.entry.upstreams.retired); n != 0 {
			t.Errorf("%d idle replaced upstreams are retained", n)
		}
	})
}

// TestPoolSpeedsAffectPrediction checks that the times of a pool's requests are predicted
// from the pool's speeds in the tree.
func TestPoolSpeedsAffectPrediction(t *testing.T) {
	e := idleEntry(t, 1)
	e.common.store.ApplyReports(0, fleet.Report{Endpoint: engineName(0), State: engine.State{
		Incarnation: "first", Role: engine.Mixed, Loaded: []weightstore.Artifact{{Model: "chat", Version: "1"}},
	}})
	predicted := func() time.Duration {
		w := &forward.Work{Model: "chat", PromptTokens: 8000, MaxTokens: 1}
		d, err := e.upstreams.byName[poolUpstream("language")].dispatch.decide(0, w, forward.Attempt{})
		if err != nil {
			t.Fatal(err)
		}
		return d.TTFT
	}
	usual := predicted()
	e.addPoolSetting(t, 2, "prefill-rate = 2000/s")
	if slow := predicted(); slow < usual+2*time.Second {
		t.Errorf("8000 tokens are predicted to take %v at 2000/s, and %v at the usual rate", slow, usual)
	}
}
