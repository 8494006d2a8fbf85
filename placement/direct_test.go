package placement

import (
	"testing"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/loadshare/sharepb"
	"github.com/springweir/springweir/relay"
)

// setPeerWork reports the work of another VM at an engine to the planner.
func (f *fixture) setPeerWork(engine string, runs, prefillTokens uint32) {
	f.planner.ReceiveLoad(&sharepb.Load{Vm: "rival-of-" + engine, Work: []*sharepb.Work{
		{Endpoint: loadshare.Hash(engine), Runs: runs, PrefillTokens: prefillTokens},
	}})
}

// A decode engine gets only little prefill, however busy the prefill engines are: a long prefill
// stalls all streams of the engine, and the longest responses would miss their deadlines.
func TestLongPrefillsStayOffDecodeEngines(t *testing.T) {
	for _, tc := range []struct {
		name         string
		tokens       int
		open         uint32
		prefillsSelf bool
	}{
		{"a short prompt", 1000, 0, true},
		{"a short prompt after other prefills", 1000, 1000, false},
		{"a long prompt", 3000, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, f *fixture) {
				f.addEngine("p", "a", engine.Prefill)
				f.addEngine("d", "a", engine.Decode)
				f.complete(f.plan(f.shortReq(), relay.AttemptState{})) // creates the tracked load of all engines
				f.setPeerWork("p", 0, 20_000)
				f.setPeerWork("d", 0, tc.open)
				r := f.longReq("s")
				r.Prompt.Tokens, r.Prompt.Parts = tc.tokens, nil
				if p := f.plan(r, relay.AttemptState{}); (p.Prefill == nil) != tc.prefillsSelf {
					t.Errorf("prefilled by %v, want by the decode engine: %t", p.Prefill, tc.prefillsSelf)
				}
			})
		})
	}
}

// Open prefills of an engine delay imports, so an import goes to the engine with the fewest.
func TestImportsAvoidPrefillingEngines(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		f.addEngine("p", "a", engine.Prefill)
		f.addEngine("d1", "a", engine.Decode)
		f.addEngine("d2", "a", engine.Decode)
		f.complete(f.plan(f.shortReq(), relay.AttemptState{}))
		f.setPeerWork("d1", 0, 4000)
		for range 8 {
			p := f.plan(f.longReq("s"), relay.AttemptState{})
			if p.Prefill == nil || p.Serve.ID != "d2" {
				t.Errorf("imported by %v, prefilled by %v", p.Serve.ID, p.Prefill)
			}
			f.complete(p)
		}
	})
}
