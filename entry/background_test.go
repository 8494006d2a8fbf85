package entry

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/internal/network"
	"github.com/springweir/springweir/internal/pipenet"
	"github.com/springweir/springweir/rollout"
	"github.com/springweir/springweir/settings"
	"github.com/springweir/springweir/weightstore"
)

// zoneSizes are the zone sizes in engines: a small pool and the target size.
var zoneSizes = []int{12, 400}

// idleEntry returns an entry with the given number of engines, all of which have reported.
// It does not run.
func idleEntry(tb testing.TB, engines int) *Entry {
	n := network.Network{Listen: func(string) (net.Listener, error) { return pipenet.Listen(), nil }}
	return idleEntryOn(tb, n, &settings.Process{VM: "vm1", Zone: "a"}, engines)
}

func idleEntryOn(tb testing.TB, n network.Network, p *settings.Process, engines int) *Entry {
	e, err := NewWithNetwork(n, p, Platform{})
	if err != nil {
		tb.Fatal(err)
	}
	var tree strings.Builder
	tree.WriteString("[zone \"a\"]\n[pool \"language\"]\nmodels = chat\n[model \"chat\"]\nversion = 1\n")
	for i := range engines {
		fmt.Fprintf(&tree, "[endpoint \"engine-%d\"]\nzone = a\npool = language\naddress = 10.0.%d.%d:9000\n", i, i/250, 1+i%250)
	}
	if err := e.applier.Apply(rollout.NewDocument(1, []byte(tree.String()))); err != nil {
		tb.Fatal(err)
	}
	for i := range engines {
		e.common.store.ApplyReports(0, fleet.Report{Endpoint: engineName(i), State: engine.State{
			Incarnation: "first", Role: engine.Mixed, Loaded: []weightstore.Artifact{{Model: "chat", Version: "1"}},
		}})
	}
	return e
}

// BenchmarkRefreshSpecs measures the refresh that an entry performs four times a second,
// without any change.
func BenchmarkRefreshSpecs(b *testing.B) {
	for _, engines := range zoneSizes {
		b.Run(fmt.Sprint("engines=", engines), func(b *testing.B) {
			e := idleEntry(b, engines)
			b.ReportAllocs()
			for b.Loop() {
				e.specs.refresh()
			}
		})
	}
}

// BenchmarkReservation measures the overhead of the fleet's snapshots for one request: a
// reservation at admission, one for the attempt, and the health update after it, each of
// which creates a new snapshot. share-at-1000/s is the fraction of a core used at 1,000
// requests a second.
func BenchmarkReservation(b *testing.B) {
	for _, engines := range zoneSizes {
		b.Run(fmt.Sprint("engines=", engines), func(b *testing.B) {
			e := idleEntry(b, engines)
			store := e.common.store
			feed := e.upstreams.byName[poolUpstream("language")].dispatch.health
			work := fleet.Work{Requests: 1, PromptTokens: 500, ContextTokens: 500}
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				name, id := engineName(n%engines), fmt.Sprint("request-", n)
				n++
				now := e.common.now()
				store.Reserve(now, fleet.Reservation{Endpoint: name, Attempt: id, Work: work})
				store.Reserve(now, fleet.Reservation{Endpoint: name, Attempt: id + ".1", Work: work})
				store.Release(now, name, id)
				store.Release(now, name, id+".1")
				feed.publish()
			}
			each := b.Elapsed() / time.Duration(b.N)
			b.ReportMetric((1000 * each).Seconds(), "share-at-1000/s")
		})
	}
}

// TestRefreshSpecs checks that a refresh applies each change, and that without a change it
// keeps the same snapshot.
func TestRefreshSpecs(t *testing.T) {
	e := idleEntry(t, 3)
	steps := []struct {
		name   string
		change func()
		want   int
	}{
		{"all serve", func() {}, 3},
		{"one reports that it is leaving", func() { e.common.leavingSet.Record("engine-0", "first", true) }, 2},
		{"it restarted", func() { e.common.leavingSet.Record("engine-0", "second", false) }, 3},
		{"one is withheld", func() { e.gate.Withhold("engine-1", 1) }, 2},
		{"one is drained in the tree", func() { e.leavingSet.SetTree([]string{"engine-2"}) }, 1},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			step.change()
			e.specs.refresh()
			snapshot := e.common.store.Snapshot()
			if got := len(snapshot.Engines(weightstore.Artifact{Model: "chat"}, engine.Mixed)); got != step.want {
				t.Errorf("%d engines are available, want %d", got, step.want)
			}
			e.specs.refresh()
			if e.common.store.Snapshot() != snapshot {
				t.Error("a refresh without a change made a new snapshot")
			}
		})
	}
}

// BenchmarkShareTick measures the sharing that an entry performs four times a second, here
// for all engines of the zone, as if it polled every one.
func BenchmarkShareTick(b *testing.B) {
	for _, engines := range zoneSizes {
		b.Run(fmt.Sprint("engines=", engines), func(b *testing.B) {
			e := idleEntry(b, engines)
			for _, endpoint := range e.common.store.Snapshot().Endpoints() {
				e.reports.recordPolled(fleet.Report{Endpoint: endpoint.Name, State: engine.State{Incarnation: "first", Role: engine.Mixed}})
			}
			b.ReportAllocs()
			for b.Loop() {
				e.reports.publish()
				e.reports.mergeShared()
			}
		})
	}
}
