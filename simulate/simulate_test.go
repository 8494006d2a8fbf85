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

// short returns a trace cut down to a few seconds of its peak.
func short(t *testing.T, name string) *Trace {
	t.Helper()
	r := recipeNamed(name)
	if r.name == "" {
		t.Fatalf("no recipe %s", name)
	}
	const from, to = 4 * time.Minute, 4*time.Minute + 20*time.Second
	r.length = to
	trace := r.make(7)
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

// TestRunsAreRepeatable runs each online policy twice through a crash: every
// request is accounted for once, and both runs measure the same.
func TestRunsAreRepeatable(t *testing.T) {
	trace := short(t, "crash-in-peak")
	for _, c := range online() {
		opt := Options{Seed: 3, Lag: 500 * time.Millisecond, Entries: 3, Prefill: c.prefill, Decode: c.decode}
		first := newSim(trace, c.make(opt), opt).run()
		second := newSim(trace, c.make(opt), opt).run()
		if diff := cmp.Diff(first, second); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
		good := int(first.Goodput*float64(first.Requests) + 0.5)
		if total := good + first.Late + first.Refused; total != len(trace.Requests) {
			t.Errorf("%s: %d requests accounted for, want %d", c.name, total, len(trace.Requests))
		}
	}
}

// TestNoChangeWithoutReports freezes all reports while the roles are badly
// wrong and checks that the planner waits.
func TestNoChangeWithoutReports(t *testing.T) {
	set := roles.Defaults(roles.FavourGoodput)
	set.Warmup, set.StabilisationWindow, set.MinimumStay, set.BudgetInterval = 0, 0, 0, time.Second
	trace := short(t, "kliko-morning")
	changes := func(faults []Fault) int {
		trace.Faults = faults
		opt := Options{Seed: 3, Lag: 500 * time.Millisecond, Entries: 3}
		return newSim(trace, newSpringweir(variant{roles: &set, ledger: matched}, opt), opt).run().Changes
	}
	if n := changes(nil); n == 0 {
		t.Error("no change with reports: the test shows nothing")
	}
	if n := changes([]Fault{{Kind: FreezeReports, For: time.Hour}}); n != 0 {
		t.Errorf("%d changes on frozen reports, want 0", n)
	}
	cut := []Fault{{CutZone, 0, time.Hour, 0, 0}, {CutZone, 0, time.Hour, 1, 0}, {CutZone, 0, time.Hour, 2, 0}}
	if n := changes(cut); n != 0 {
		t.Errorf("%d changes in zones without platform, want 0", n)
	}
}

func TestLineFormat(t *testing.T) {
	line := Result{Goodput: 0.5, FirstToken: time.Second}.Line("swing", "bound", 1)
	want := regexp.MustCompile(`^POLICY trace=swing policy=bound seed=1 goodput=0\.5000 role_changes=0 ttft_p95_ms=1000 itl_p95_ms=0 refused=0$`)
	if !want.MatchString(line) {
		t.Errorf("got %q", line)
	}
}

// TestSuite runs the whole suite on a short trace: one line for each policy,
// the bound last, and plots.
func TestSuite(t *testing.T) {
	su := DefaultSuite()
	got, err := su.trace(context.Background(), short(t, "swing"), 1)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"round-robin", "least-load", "static-split", "threshold", "springweir-kliko", "springweir-szallashalo", "bound"}
	if diff := cmp.Diff(want, distinct(got, func(m Measurement) string { return m.Policy })); diff != "" {
		t.Error(diff)
	}
	if got[len(got)-1].Split == "" {
		t.Error("the bound names no split")
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
		a, b := r.make(1), r.make(1)
		if !reflect.DeepEqual(a, b) {
			t.Errorf("%s differs between two makings of one seed", r.name)
		}
		for i, q := range a.Requests {
			if q.ID != i+1 || i > 0 && q.At < a.Requests[i-1].At {
				t.Fatalf("%s: request %d is out of order", r.name, i)
			}
		}
	}
}
