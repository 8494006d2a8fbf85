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
	b.planner.ReceiveLoad(&sharepb.Load{Vm: "rival-of-" + engine, Work: []*sharepb.Work{
		{Endpoint: loadshare.Hash(engine), Runs: runs, PrefillTokens: prefillTokens},
	}})
}

// However crowded the engines are that only prefill, one that decodes is given no more
// than a little prefill: it would hold up all streams there, and the longest answers
// would miss their deadlines.
func TestStreamsAreNotHeldUpByLongPrefills(t *testing.T) {
	for _, tc := range []struct {
		name         string
		tokens       int
		open         uint32
		prefillsSelf bool
	}{
		{"a short prompt", 1000, 0, true},
		{"a short prompt behind others", 1000, 1000, false},
		{"a long prompt", 3000, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inTime(t, func(t *testing.T, b *bed) {
				b.engine("p", "a", engine.Prefill)
				b.engine("d", "a", engine.Decode)
				b.done(b.plan(b.chat(), relay.AttemptState{})) // the books of all engines are made
				b.occupies("p", 0, 20_000)
				b.occupies("d", 0, tc.open)
				r := b.letter("s")
				r.Prompt.Tokens, r.Prompt.Parts = tc.tokens, nil
				if p := b.plan(r, relay.AttemptState{}); (p.Prefill == nil) != tc.prefillsSelf {
					t.Errorf("prefilled by %v, by the engine that decodes itself %t wanted", p.Prefill, tc.prefillsSelf)
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
		b.done(b.plan(b.chat(), relay.AttemptState{}))
		b.occupies("d1", 0, 4000)
		for range 8 {
			p := b.plan(b.letter("s"), relay.AttemptState{})
			if p.Prefill == nil || p.Serve.ID != "d2" {
				t.Errorf("imported by %v, prefilled by %v", p.Serve.ID, p.Prefill)
			}
			b.done(p)
		}
	})
}
