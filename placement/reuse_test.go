package placement

import (
	"testing"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/loadshare/sharepb"
	"github.com/springweir/springweir/prompt"
	"github.com/springweir/springweir/relay"
)

// holds tells the bed that an engine was given a prompt's leading parts.
func (b *bed) holds(endpoint string, parts ...prompt.Part) {
	placed := &sharepb.Placed{Endpoint: loadshare.Hash(endpoint)}
	for _, p := range parts {
		placed.Part = append(placed.Part, loadshare.Hash(p.ID))
		placed.Tokens = append(placed.Tokens, uint32(p.Tokens))
	}
	b.planner.ReceiveLoad(&sharepb.Load{Vm: "other", Placed: []*sharepb.Placed{placed}})
}

// busy tells the bed that an engine has much to prefill.
func (b *bed) busy(endpoint string) {
	b.planner.ReceiveLoad(&sharepb.Load{Vm: "rival", Work: []*sharepb.Work{{Endpoint: loadshare.Hash(endpoint), PrefillTokens: 20_000}}})
}

// An engine copies what another holds of the prompt rather than prefill it again.
func TestCacheIsCopiedFromItsHolder(t *testing.T) {
	all, subject := prompt.Part{ID: "all", Tokens: 2500}, prompt.Part{ID: "s", Tokens: 3500}
	small := prompt.Part{ID: "small", Tokens: minCopy - 1}
	for _, tc := range []struct {
		name    string
		prepare func(b *bed)
		try     relay.AttemptState
		want    string
	}{
		{"nobody holds it", func(*bed) {}, relay.AttemptState{}, ""},
		{"a crowded engine holds it", func(b *bed) { b.holds("near", all, subject) }, relay.AttemptState{}, "near"},
		{"one that decodes holds it", func(b *bed) { b.holds("d", all, subject) }, relay.AttemptState{}, "d"},
		{"one of the own zone and one of another", func(b *bed) { b.holds("far", all, subject); b.holds("near", all, subject) }, relay.AttemptState{}, "near"},
		{"another zone's holds more", func(b *bed) { b.holds("far", all, subject); b.holds("near", all) }, relay.AttemptState{}, "far"},
		{"the engine itself holds nearly as much", func(b *bed) {
			b.holds("free", all, subject)
			b.holds("near", all, subject, small)
		}, relay.AttemptState{}, ""},
		{"the holder failed", func(b *bed) { b.holds("near", all, subject) }, relay.AttemptState{Number: 1, Tried: []string{"near"}}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inTime(t, func(t *testing.T, b *bed) {
				b.engine("free", "a", engine.Prefill)
				b.engine("near", "a", engine.Prefill)
				b.engine("far", "b", engine.Prefill)
				b.engine("d", "a", engine.Decode)
				b.done(b.plan(b.chat(), relay.AttemptState{})) // the books of all engines are made
				warm := b.letter("warm")
				warm.Prompt.Parts[0].ID = "other"
				b.done(b.plan(warm, relay.AttemptState{}))
				tc.prepare(b) // what is told before the other work has been read by now
				b.busy("near")
				r := b.letter("s")
				r.Prompt.Parts = []prompt.Part{all, subject, small, {ID: "own", Tokens: 3000 - small.Tokens}}
				p := b.plan(r, tc.try)
				got := ""
				if p.CopyFrom != nil {
					got = p.CopyFrom.ID
				}
				if p.Prefill == nil || p.Prefill.ID != "free" || got != tc.want {
					t.Errorf("prefilled by %v after a copy from %q, want from %q", p.Prefill, got, tc.want)
				}
			})
		})
	}
}

// A part that an engine has only been given is not copied from it: the copier would get
// nothing and read it all, up to 40,000 tokens between the steps of other requests.
func TestWhatIsStillBeingReadIsNotCopied(t *testing.T) {
	inTime(t, func(t *testing.T, b *bed) {
		b.engine("reader", "a", engine.Prefill)
		b.engine("free", "a", engine.Prefill)
		b.engine("d", "a", engine.Decode)
		b.done(b.plan(b.chat(), relay.AttemptState{}))
		first := b.letter("s")
		first.Prompt.Tokens = 46_000
		first.Prompt.Parts[1].Tokens = 40_500
		p := b.plan(first, relay.AttemptState{})
		second := b.letter("s")
		second.Prompt.Parts[1].Tokens = 40_500
		second.Prompt.Tokens = 46_000
		q := b.plan(second, relay.AttemptState{})
		if q.CopyFrom != nil {
			t.Errorf("copied from %s, which has not read it yet", q.CopyFrom.ID)
		}
		q.Watch.Finished(nil, true)
		b.done(p)
		third := b.letter("s")
		third.Prompt.Parts[1].Tokens = 40_500
		third.Prompt.Tokens = 46_000
		if q := b.plan(third, relay.AttemptState{}); q.Prefill.ID != p.Prefill.ID && q.CopyFrom != p.Prefill {
			t.Errorf("a prompt that %s has read goes to %s, copied from %v", p.Prefill.ID, q.Prefill.ID, q.CopyFrom)
		}
	})
}
