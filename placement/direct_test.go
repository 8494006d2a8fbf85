package placement

import (
	"testing"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
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

// Guards against refusing long prompts while no engine that prefills is up and those that decode have only
// short prompts to prefill, which they nearly always have.
func TestShortPromptsDoNotBlockLongOnes(t *testing.T) {
	for _, tc := range []struct {
		name string
		open uint32
		want bool
	}{
		{"short prompts", 400, true},
		{"a long prompt", 6000, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, f *fixture) {
				f.addEngine("d", "a", engine.Decode)
				f.complete(f.plan(f.shortReq(), relay.AttemptState{}))
				f.setPeerWork("d", 1, tc.open)
				if _, failed := f.planner.Plan(f.longReq("s"), relay.AttemptState{}); (failed == nil) != tc.want {
					t.Errorf("got %v", failed)
				}
			})
		})
	}
}

// Guards against refusing short prompts while no engine that prefills is up and the only one that decodes still has
// long prompts to prefill, as one that has just changed its role.
func TestShortPromptsFollowLongOnes(t *testing.T) {
	for _, tc := range []struct {
		name string
		open uint32
		want failure.Reason
	}{
		{"a long prompt", 3000, ""},
		{"more than can be prefilled in time", 200_000, failure.DeadlineUnreachable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, f *fixture) {
				f.addEngine("d", "a", engine.Decode)
				f.complete(f.plan(f.shortReq(), relay.AttemptState{}))
				f.setPeerWork("d", 1, tc.open)
				_, failed := f.planner.Plan(f.shortReq(), relay.AttemptState{})
				got := failure.Reason("")
				if failed != nil {
					got = failed.Code
				}
				if got != tc.want {
					t.Errorf("got %q, want %q", got, tc.want)
				}
			})
		})
	}
}

// Guards against refusing long prompts while every engine that prefills is gone and engines that
// decode are free. Each of these prefills one long prompt at a time; more are refused at once.
func TestLongPromptsWithoutPrefillEngines(t *testing.T) {
	gone := map[string]func(f *fixture){
		"none was there":    func(*fixture) {},
		"down":              func(f *fixture) { f.addEngine("p", "a", engine.Prefill); f.markDown("p") },
		"changing its role": func(f *fixture) { f.addEngine("p", "a", engine.Prefill); f.roleChanges = []string{"p"} },
		"ejected": func(f *fixture) {
			f.addEngine("p", "a", engine.Prefill)
			f.addEngine("q", "a", engine.Prefill)
			for range f.planner.tuning.Health.ConsecutiveFailures {
				f.planner.newAttempt(f.t, f.dir.Snapshot().Endpoint("p")).Finished(brokenAttempt(), false)
			}
			f.markDown("q")
		},
	}
	for name, change := range gone {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, f *fixture) {
				f.addEngine("d1", "a", engine.Decode)
				f.addEngine("d2", "a", engine.Decode)
				change(f)
				var open []relay.Plan
				for range 2 {
					open = append(open, f.plan(f.longReq("s"), relay.AttemptState{}))
				}
				if open[0].Serve == open[1].Serve {
					t.Errorf("both prompts were placed on %s", open[0].Serve.ID)
				}
				_, failed := f.planner.Plan(f.longReq("s"), relay.AttemptState{})
				if failed == nil || failed.Code != failure.NoEndpoint {
					t.Errorf("a third prompt got %v, want %s", failed, failure.NoEndpoint)
				}
				open[0].Watch.FirstEvent()
				if next := f.plan(f.longReq("s"), relay.AttemptState{}); next.Serve != open[0].Serve {
					t.Errorf("the next prompt was placed on %s, which is still prefilling another", next.Serve.ID)
				}
			})
		})
	}
}
