package simulate

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/roles"
)

// peakTrace returns 20 seconds of a trace's peak, with faults moved into that
// interval.
func peakTrace(t *testing.T, name string) *Trace {
	t.Helper()
	r := findRecipe(name)
	if r.name == "" {
		t.Fatalf("no recipe %s", name)
	}
	const from, to = 4 * time.Minute, 4*time.Minute + 20*time.Second
	r.length = to
	trace := r.build(7)
	var kept []Request
	for _, q := range trace.Requests {
		if q.At >= from && q.At < to {
			q.At -= from
			kept = append(kept, q)
		}
	}
	trace.Requests = kept
	for i := range trace.Faults {
		trace.Faults[i].At = 5 * time.Second
		trace.Faults[i].For = 5 * time.Second
	}
	return trace
}

// TestRunsAreRepeatable checks that two runs of each online policy through a
// crash give equal results and count every request exactly once.
func TestRunsAreRepeatable(t *testing.T) {
	trace := peakTrace(t, "crash-in-peak")
	for _, c := range onlinePolicies() {
		opt := Options{Seed: 3, Lag: 500 * time.Millisecond, Entries: 3, Prefill: c.prefill, Decode: c.decode}
		first := newSim(trace, c.newPolicy(opt), opt).run()
		second := newSim(trace, c.newPolicy(opt), opt).run()
		if diff := cmp.Diff(first, second); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
		good := int(first.Goodput*float64(first.Requests) + 0.5)
		if total := good + first.Late + first.Refused; total != len(trace.Requests) {
			t.Errorf("%s: %d requests accounted for, want %d", c.name, total, len(trace.Requests))
		}
	}
}

// TestNoChangeWithoutReports guards against role changes based on outdated
// data: with unsuitable initial roles, the planner must change nothing while
// reports are frozen or the zones have no connection to the platform.
func TestNoChangeWithoutReports(t *testing.T) {
	settings := roles.Defaults(roles.FavourGoodput)
	settings.Warmup, settings.StabilisationWindow, settings.MinimumStay, settings.BudgetInterval = 0, 0, 0, time.Second
	trace := peakTrace(t, "kliko-morning")
	changes := func(faults []Fault) int {
		trace.Faults = faults
		opt := Options{Seed: 3, Lag: 500 * time.Millisecond, Entries: 3}
		return newSim(trace, newSpringweir(variant{roles: &settings, newLedger: newMatchedLedger}, opt), opt).run().Changes
	}
	if n := changes(nil); n == 0 {
		t.Error("no role change with current reports, so the checks below prove nothing")
	}
	if n := changes([]Fault{{Kind: FreezeReports, For: time.Hour}}); n != 0 {
		t.Errorf("%d role changes with frozen reports, want 0", n)
	}
	partitions := []Fault{{PartitionZone, 0, time.Hour, 0, 0}, {PartitionZone, 0, time.Hour, 1, 0}, {PartitionZone, 0, time.Hour, 2, 0}}
	if n := changes(partitions); n != 0 {
		t.Errorf("%d role changes in zones without the platform, want 0", n)
	}
}

func TestLineFormat(t *testing.T) {
	line := Result{Goodput: 0.5, FirstToken: time.Second}.Line("swing", "bound", 1)
	want := regexp.MustCompile(`^POLICY trace=swing policy=bound seed=1 goodput=0\.5000 role_changes=0 ttft_p95_ms=1000 itl_p95_ms=0 refused=0$`)
	if !want.MatchString(line) {
		t.Errorf("got %q", line)
	}
}

// TestSuite checks that a short trace gives one measurement for each policy,
// with the bound last, and that the plots are written.
func TestSuite(t *testing.T) {
	su := DefaultSuite()
	got, err := su.runTrace(context.Background(), peakTrace(t, "swing"), 1)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"round-robin", "least-load", "static-split", "threshold", "springweir-kliko", "springweir-szallashalo", "bound"}
	if diff := cmp.Diff(want, distinct(got, func(m Measurement) string { return m.Policy })); diff != "" {
		t.Error(diff)
	}
	if got[len(got)-1].Split == "" {
		t.Error("the bound has no split")
	}
	dir := t.TempDir()
	if err := Plot(dir, got); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"goodput.svg", "changes.svg"} {
		if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v, %v", name, info, err)
		}
	}
}

func TestUnknownExperiment(t *testing.T) {
	err := Main(context.Background(), &bytes.Buffer{}, DefaultSuite(), "nonsense", "")
	if _, ok := err.(*ExperimentError); !ok {
		t.Errorf("got %v, want *ExperimentError", err)
	}
}

func TestTraces(t *testing.T) {
	for _, r := range recipes()[:3] {
		r.length = time.Minute
		a, b := r.build(1), r.build(1)
		if !reflect.DeepEqual(a, b) {
			t.Errorf("%s: two builds from the same seed differ", r.name)
		}
		for i, q := range a.Requests {
			if q.ID != i+1 || i > 0 && q.At < a.Requests[i-1].At {
				t.Fatalf("%s: request %d is out of order", r.name, i)
			}
		}
	}
}
