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

// setLine puts another version in force whose pool has one more line.
func (e *Entry) setLine(tb testing.TB, version rollout.Version, line string) {
	text := strings.Replace(string(e.applier.Current().Text), "models = chat\n", "models = chat\n"+line+"\n", 1)
	if err := e.applier.Apply(rollout.NewDocument(version, []byte(text))); err != nil {
		tb.Fatal(err)
	}
}

// phases are the endpoints' health as decisions see it.
func (e *Entry) phases() []health.Phase {
	var list []health.Phase
	for _, endpoint := range e.common.store.Snapshot().Endpoints() {
		list = append(list, endpoint.Health.Phase)
	}
	return list
}

// TestHealthReachesSnapshots shows that what is known of endpoints stands in the
// snapshots, survives a change of settings, and changes with it: a lower share
// of ejected endpoints, and one that is gone from the tree, bring others back.
func TestHealthReachesSnapshots(t *testing.T) {
	e := idleEntry(t, 3)
	feed := func() *healthFeed { return e.upstreams.byName[poolUpstream("language")].dispatch.health }
	for i := range 3 {
		e.upstreams.track(engineName(i), "first", engine.Mixed)
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
		{"retries change", func() { e.setLine(t, 2, "retry-attempts = 2") }, []health.Phase{health.Ejected, health.Healthy, health.Healthy}},
		{"ejection gets faster", func() {
			e.setLine(t, 3, "eject-failures = 2\neject-share = 90%")
			fail("engine-1", 2)
		}, []health.Phase{health.Ejected, health.Ejected, health.Healthy}},
		{"the healthy one goes", func() {
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

// TestReplacedUpstreamIsKeptUntilIdle shows that requests which wait in an upstream whose
// settings were changed are still counted, and that the upstream then goes.
func TestReplacedUpstreamIsKeptUntilIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := inMemory()
		o.engines = 1
		s := newSite(t, o)
		defer s.shutDown()
		letter := strings.Repeat("The permit of the municipality says. ", 220)
		ctx, done := context.WithCancel(t.Context())
		defer done()
		for n := range waitingLetters {
			go func() { _, _, _ = s.do(ctx, chatRequest(fmt.Sprint(n, letter), 16, false)) }()
		}
		time.Sleep(500 * time.Millisecond)
		before := s.entry.upstreams.waiting()
		s.entry.setLine(t, 2, "queue-limit = 100")
		if after := s.entry.upstreams.waiting(); before == 0 || after != before {
			t.Errorf("%d requests wait after the change, %d before", after, before)
		}
		time.Sleep(time.Minute)
		if n := len(s.entry.upstreams.retired); n != 0 {
			t.Errorf("%d replaced upstreams are kept with nothing to do", n)
		}
	})
}

// TestSpeedsOfThePoolGovernRouting shows that a pool's speeds in the tree are
// those that its requests' times are predicted from.
func TestSpeedsOfThePoolGovernRouting(t *testing.T) {
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
	e.setLine(t, 2, "prefill-rate = 2000/s")
	if slow := predicted(); slow < usual+2*time.Second {
		t.Errorf("8000 tokens are predicted to take %v at 2000/s, and %v at the usual rate", slow, usual)
	}
}
