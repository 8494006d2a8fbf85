package relay

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Only the engine that prefills the prompt copies the KV cache from the holder. Neither the engine
// that imports the prefilled cache nor a second attempt whose plan has no holder does.
func TestCacheCopiedByPrefillingEngine(t *testing.T) {
	for _, tc := range []struct {
		name  string
		plans []string
		sends []reply
		want  []string
	}{
		{"elsewhere", []string{"h:p/d"}, []reply{ok(sse(1))}, []string{"prefill p copying from h", "send d import kv1"}},
		{"on the decode engine", []string{"h:d"}, []reply{ok(sse(1))}, []string{"send d copying from h"}},
		{"once", []string{"h:d", "d2"}, []reply{connectionLost(), ok(sse(1))}, []string{"send d copying from h", "send d2"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			out := runScenario(t, scenario{route: resumableStream, plans: tc.plans, sends: tc.sends, prefills: []reply{ok()}, budget: 1})
			if diff := cmp.Diff(tc.want, out.Calls); diff != "" || out.Status != 200 {
				t.Errorf("status %d, calls: %s", out.Status, diff)
			}
		})
	}
}
