package placement

import (
	"testing"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/loadshare/sharepb"
	"github.com/springweir/springweir/prompt"
	"github.com/springweir/springweir/relay"
)

// reportCached reports to the planner that another VM sent an engine the leading parts of a prompt.
func (f *fixture) reportCached(endpoint string, parts ...prompt.Part) {
	placed := &sharepb.Placed{Endpoint: loadshare.Hash(endpoint)}
	for _, p := range parts {
		placed.Part = append(placed.Part, loadshare.Hash(p.ID))
		placed.Tokens = append(placed.Tokens, uint32(p.Tokens))
	}
	f.planner.ReceiveLoad(&sharepb.Load{Vm: "other", Placed: []*sharepb.Placed{placed}})
}

// setBusy reports a long prefill queue at an engine to the planner.
func (f *fixture) setBusy(endpoint string) {
	f.planner.ReceiveLoad(&sharepb.Load{Vm: "rival", Work: []*sharepb.Work{{Endpoint: loadshare.Hash(endpoint), PrefillTokens: 20_000}}})
}

// An engine copies a cached prefix from another engine instead of prefilling it again.
func TestPrefixIsCopiedFromEngineThatHoldsIt(t *testing.T) {
	all, prefix := prompt.Part{ID: "all", Tokens: 2500}, prompt.Part{ID: "s", Tokens: 3500}
	small := prompt.Part{ID: "small", Tokens: minCopyTokens - 1}
	for _, tc := range []struct {
		name    string
		prepare func(f *fixture)
		prior   relay.AttemptState
		want    string
	}{
		{"no engine caches it", func(*fixture) {}, relay.AttemptState{}, ""},
		{"a busy engine caches it", func(f *fixture) { f.reportCached("near", all, prefix) }, relay.AttemptState{}, "near"},
		{"a decode engine caches it", func(f *fixture) { f.reportCached("d", all, prefix) }, relay.AttemptState{}, "d"},
		{"engines of the local and another zone cache it", func(f *fixture) { f.reportCached("far", all, prefix); f.reportCached("near", all, prefix) }, relay.AttemptState{}, "near"},
		{"an engine of another zone caches more", func(f *fixture) { f.reportCached("far", all, prefix); f.reportCached("near", all) }, relay.AttemptState{}, "far"},
		{"the prefilling engine caches nearly as much", func(f *fixture) {
			f.reportCached("free", all, prefix)
			f.reportCached("near", all, prefix, small)
		}, relay.AttemptState{}, ""},
		{"the holder failed", func(f *fixture) { f.reportCached("near", all, prefix) }, relay.AttemptState{Number: 1, Tried: []string{"near"}}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, f *fixture) {
				f.addEngine("free", "a", engine.Prefill)
				f.addEngine("near", "a", engine.Prefill)
				f.addEngine("far", "b", engine.Prefill)
				f.addEngine("d", "a", engine.Decode)
				f.complete(f.plan(f.shortReq(), relay.AttemptState{})) // creates the tracked load of all engines
				warm := f.longReq("warm")
				warm.Prompt.Parts[0].ID = "other"
				f.complete(f.plan(warm, relay.AttemptState{}))
				tc.prepare(f) // before setBusy, so that these parts count as prefilled by now
				f.setBusy("near")
				r := f.longReq("s")
				r.Prompt.Parts = []prompt.Part{all, prefix, small, {ID: "own", Tokens: 3000 - small.Tokens}}
				p := f.plan(r, tc.prior)
				got := ""
				if p.CopyFrom != nil {
					got = p.CopyFrom.ID
				}
				if p.Prefill == nil || p.Prefill.ID != "free" || got != tc.want {
					t.Errorf("prefilled by %v after a copy from %q, want a copy from %q", p.Prefill, got, tc.want)
				}
			})
		})
	}
}

// A part whose prefill has not finished must not be copied: the copying engine would get nothing
// and prefill up to 40,000 tokens itself, between the decode steps of other requests.
func TestUnfinishedPrefillIsNotCopied(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		f.addEngine("reader", "a", engine.Prefill)
		f.addEngine("free", "a", engine.Prefill)
		f.addEngine("d", "a", engine.Decode)
		f.complete(f.plan(f.shortReq(), relay.AttemptState{}))
		first := f.longReq("s")
		first.Prompt.Tokens = 46_000
		first.Prompt.Parts[1].Tokens = 40_500
		p := f.plan(first, relay.AttemptState{})
		second := f.longReq("s")
		second.Prompt.Parts[1].Tokens = 40_500
		second.Prompt.Tokens = 46_000
		q := f.plan(second, relay.AttemptState{})
		if q.CopyFrom != nil {
			t.Errorf("copied from %s, whose prefill has not finished", q.CopyFrom.ID)
		}
		q.Watch.Finished(nil, true)
		f.complete(p)
		third := f.longReq("s")
		third.Prompt.Parts[1].Tokens = 40_500
		third.Prompt.Tokens = 46_000
		if q := f.plan(third, relay.AttemptState{}); q.Prefill.ID != p.Prefill.ID && q.CopyFrom != p.Prefill {
			t.Errorf("a prompt that %s caches goes to %s, copied from %v", p.Prefill.ID, q.Prefill.ID, q.CopyFrom)
		}
	})
}
