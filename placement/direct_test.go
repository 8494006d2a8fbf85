package placement

import (
	"testing"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/loadshare/sharepb"
	"github.com/springweir/springweir/relay"
)

// occupies tells the bed what another VM has open at an engine.
func (b *bed) occupies(engine string, runs, prefillTokens uint32) {
	b.planner.Heard(&sharepb.Load{Vm: "rival-of-" + engine, Work: []*sharepb.Work{
		{Endpoint: loadshare.Hash(engine), Runs: runs, PrefillTokens: prefillTokens},
	}})
}

// While the engines that only prefill are crowded, one that decodes helps them, but
// not one with many requests: each step that prefills holds these up.
func TestLightEnginesThatDecodeHelpToPrefill(t *testing.T) {
	for _, tc := range []struct {
		name   string
		runs   uint32
		open   uint32
		direct bool
	}{
		{"idle", 0, 0, true},
		{"few requests", 1, 0, true},
		{"half of its slots taken", 2, 0, false},
		{"few requests, but much prefill already", 1, 2000, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inTime(t, func(t *testing.T, b *bed) {
				b.engine("p", "a", engine.Prefill)
				b.engine("d", "a", engine.Decode)
				b.done(b.plan(b.chat(), relay.Try{})) // the books of all engines are made
				b.occupies("p", 0, 20_000)
				b.occupies("d", tc.runs, tc.open)
				r := b.letter("s")
				r.Prompt.Tokens, r.Prompt.Parts = 3000, r.Prompt.Parts[2:]
				if p := b.plan(r, relay.Try{}); (p.Prefill == nil) != tc.direct {
					t.Errorf("prefilled by %v, direct %t wanted", p.Prefill, tc.direct)
				}
			})
		})
	}
}

// An import waits for what its engine prefills itself, so it goes where that is least.
func TestImportsAvoidEnginesThatPrefill(t *testing.T) {
	inTime(t, func(t *testing.T, b *bed) {
		b.engine("p", "a", engine.Prefill)
		b.engine("d1", "a", engine.Decode)
		b.engine("d2", "a", engine.Decode)
		b.done(b.plan(b.chat(), relay.Try{}))
		b.occupies("d1", 0, 4000)
		for range 8 {
			p := b.plan(b.letter("s"), relay.Try{})
			if p.Prefill == nil || p.Serve.ID != "d2" {
				t.Errorf("imported by %v, prefilled by %v", p.Serve.ID, p.Prefill)
			}
			b.done(p)
		}
	})
}
