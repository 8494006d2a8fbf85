package forward_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/engine/fakeengine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/forward/fakeforward"
	"github.com/springweir/springweir/standin/enginemodel"
)

// disaggregatedRouter returns a router that sends prefills to one engine and up to two attempts at
// decoding to another.
func disaggregatedRouter(prefill, serve *fakeengine.Engine) fakeforward.Router {
	var targets []forward.Target
	for _, name := range []string{"b", "b again"} {
		targets = append(targets, forward.Target{Name: name, Engine: serve})
	}
	return fakeforward.Router{
		Targets:       targets,
		PrefillTarget: &forward.Target{Name: "a", Engine: prefill},
		Observers:     new(fakeforward.ObserverCounter),
	}
}

func TestKVTransfer(t *testing.T) {
	refuseImport := func(r engine.GenerateRequest) fakeengine.Behaviour {
		if r.KV != nil {
			return fakeengine.Behaviour{Refuse: failure.EndpointRefused}
		}
		return fakeengine.Behaviour{}
	}
	breakImport := func(r engine.GenerateRequest) fakeengine.Behaviour {
		if r.KV != nil {
			return fakeengine.Behaviour{Ending: fakeengine.Truncated, AfterTokens: 4}
		}
		return fakeengine.Behaviour{}
	}
	tests := []struct {
		name           string
		prefill, serve func(engine.GenerateRequest) fakeengine.Behaviour
		frozen         bool
		// imports holds, for each attempt on the serving engine, whether it imported a cache.
		imports []bool
	}{
		{name: "imported", imports: []bool{true}},
		{name: "prefill refused", prefill: behaveAlways(fakeengine.Behaviour{Refuse: failure.EndpointRefused}), imports: []bool{false}},
		{name: "prefill crashed", prefill: behaveAlways(fakeengine.Behaviour{Ending: fakeengine.Truncated}), imports: []bool{false}},
		{name: "prefill crossed", prefill: behaveAlways(fakeengine.Behaviour{Ending: fakeengine.OtherAttempt}), imports: []bool{false}},
		{name: "prefill frozen", frozen: true, imports: []bool{false}},
		{name: "import refused", serve: refuseImport, imports: []bool{true, false}},
		{name: "serving engine breaks after the import", serve: breakImport, imports: []bool{true, false}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, b, _ := twoEngines()
				a.Script(tt.prefill)
				b.Script(tt.serve)
				if tt.frozen {
					a.Freeze()
				}
				router := disaggregatedRouter(a, b)
				f := forward.New(forward.Config{Router: router, Admitter: fakeforward.AdmitAll{}})
				var sink fakeforward.Sink
				work := testWork()
				work.Deadline = time.Now().Add(10 * time.Second)
				if _, err := f.Generate(t.Context(), work, &sink); err != nil {
					t.Fatal(err)
				}
				f.Wait()
				checkObservers(t, router.Observers)
				if diff := cmp.Diff(enginemodel.AnswerText(testPrompt, 0, 12), sink.Text.String()); diff != "" {
					t.Errorf("text (-want +got):\n%s", diff)
				}
				var imports []bool
				for _, rec := range b.Attempts() {
					imports = append(imports, rec.Request.KV != nil)
				}
				if diff := cmp.Diff(tt.imports, imports); diff != "" {
					t.Errorf("imports (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestPrefillCountsAsRun: a request whose prompt was prefilled has outcome unknown, not not-run.
func TestPrefillCountsAsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, _ := twoEngines()
		b.SetUnreachable(true)
		f := forward.New(forward.Config{Router: disaggregatedRouter(a, b), Admitter: fakeforward.AdmitAll{}, MaxAttempts: 1})
		_, err := f.Generate(t.Context(), testWork(), new(fakeforward.Sink))
		if diff := cmp.Diff(errorKind{failure.EndpointUnreachable, failure.Unknown}, errorKindOf(t, err)); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	})
}
