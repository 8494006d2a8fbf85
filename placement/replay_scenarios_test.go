package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/loadshare/sharepb"
	"github.com/springweir/springweir/prompt"
)

var (
	slowPrefill = engineSpeed{3, 1000 / 64.2, 68}
	slowDecode  = engineSpeed{5, 1000 / 32.1, 68}
)

// Engines are three times slower than assumed, and attention dominates the time of long prompts.
// Predictions are accurate within two seconds of load, and at least 85% of the later requests meet
// their objective.
func TestReplaySlowEngines(t *testing.T) {
	for seed := range uint64(5) {
		r := newReplay(t, seed, 4, 8, 4, slowPrefill, slowDecode)
		start := r.now
		r.load(45, 12*time.Second, r.longPrompt)
		r.run(15 * time.Second)
		if ratio := medianRatio(r.between(start.Add(500*time.Millisecond), start.Add(2*time.Second))); ratio > 1.6 {
			t.Errorf("seed %d: in the first two seconds the median request takes %.2f times its prediction", seed, ratio)
		}
		if ratio := medianRatio(r.between(start.Add(2*time.Second), start.Add(12*time.Second))); ratio < 0.75 || ratio > 1.35 {
			t.Errorf("seed %d: after two seconds the median request takes %.2f times its prediction", seed, ratio)
		}
		if share := inTimeShare(r.between(start.Add(4*time.Second), start.Add(12*time.Second))); share < 0.85 {
			t.Errorf("seed %d: %.3f of the requests are in time", seed, share)
		}
	}
}

// The same kind of load on engines that are faster than assumed.
func TestReplayFastEngines(t *testing.T) {
	for seed := range uint64(3) {
		r := newReplay(t, seed, 4, 8, 4, engineSpeed{1, 1000 / 346.0, 5}, engineSpeed{1, 1000 / 150.0, 5})
		start := r.now
		r.load(200, 6*time.Second, r.longPrompt)
		r.run(8 * time.Second)
		if ratio := medianRatio(r.between(start.Add(2*time.Second), start.Add(6*time.Second))); ratio < 0.7 || ratio > 1.5 {
			t.Errorf("seed %d: the median request takes %.2f times its prediction", seed, ratio)
		}
		if share := inTimeShare(r.between(start.Add(2*time.Second), start.Add(6*time.Second))); share < 0.9 {
			t.Errorf("seed %d: %.3f of the requests are in time", seed, share)
		}
	}
}

// Bursts of requests with an uncached shared prefix. An engine instructed to copy a prefix whose
// prefill has not finished elsewhere would have to prefill all of it itself.
func TestReplayBurstsOnUncachedPrefixes(t *testing.T) {
	for seed := range uint64(5) {
		r := newReplay(t, seed, 4, 8, 4, slowPrefill, slowDecode)
		r.load(45, 4*time.Second, r.longPrompt) // fits the prefill models
		r.run(6 * time.Second)
		start, before := r.now, r.prefilledTokens
		for burst := range 6 {
			r.load(60, 250*time.Millisecond, func(n int) ([]prompt.Part, time.Duration) {
				return []prompt.Part{{ID: fmt.Sprint("hot", burst), Tokens: 20_000}, {ID: fmt.Sprint("h", burst, n), Tokens: 600}}, 900 * time.Millisecond
			})
			r.run(time.Second)
		}
		r.run(3 * time.Second)
		if share := inTimeShare(r.since(start)); share < 0.9 {
			t.Errorf("seed %d: %.3f of the requests are in time", seed, share)
		}
		if prefilled := r.prefilledTokens - before; prefilled > 6*4*20_000+60_000 {
			t.Errorf("seed %d: %d tokens prefilled for six prefixes of 20,000", seed, prefilled)
		}
	}
}

// The VM that ordered an engine to change its role fails. The other VMs avoid the engine until its
// row shows the change.
func TestReplayRoleChangeAfterOrderingVMFails(t *testing.T) {
	for seed := range uint64(5) {
		r := newReplay(t, seed, 4, 8, 4, slowPrefill, slowDecode)
		r.load(60, 8*time.Second, shortPrompt)
		r.run(2 * time.Second)
		for _, vm := range r.vms {
			vm.planner.ReceiveLoad(&sharepb.Load{Vm: "author", Changing: []uint32{roleChangeID(loadshare.Hash("d0"), engine.Decode)}})
		}
		start := r.now
		r.engines["d0"].refuses = true
		r.run(3 * time.Second)
		r.engines["d0"].refuses = false
		if lost := countLost(r.since(start)); lost > 0 {
			t.Errorf("seed %d: %d requests lost at the engine that changes its role", seed, lost)
		}
	}
}

// An engine refuses without any announcement. The VMs lose a few requests each before all of them
// avoid it.
func TestReplayRefusingEngine(t *testing.T) {
	for seed := range uint64(5) {
		r := newReplay(t, seed, 6, 8, 3, slowPrefill, slowDecode)
		r.load(60, 6*time.Second, shortPrompt)
		r.run(2 * time.Second)
		start := r.now
		r.engines["d0"].refuses = true
		r.run(3 * time.Second)
		if lost := countLost(r.since(start)); lost > 18 {
			t.Errorf("seed %d: %d of %d requests lost at an engine that refuses for 3 s", seed, lost, len(r.since(start)))
		}
	}
}

// All VMs restart at the same time. With the caches reported by the engines, much less has to be
// prefilled again.
func TestReplayRestartOfAllVMs(t *testing.T) {
	for seed := range uint64(3) {
		prefilled := map[bool]int{}
		for _, reported := range []bool{false, true} {
			r := newReplay(t, seed, 4, 8, 4, slowPrefill, slowDecode)
			r.load(45, 6*time.Second, r.longPrompt)
			r.run(8 * time.Second)
			r.startVMs()
			if reported {
				r.reportCaches()
			}
			before := r.prefilledTokens
			r.load(45, 4*time.Second, func(n int) ([]prompt.Part, time.Duration) { return r.longPrompt(10_000 + n) })
			r.run(6 * time.Second)
			prefilled[reported] = r.prefilledTokens - before
		}
		if float64(prefilled[true]) > 0.85*float64(prefilled[false]) {
			t.Errorf("seed %d: %d tokens prefilled with the reported caches, %d without", seed, prefilled[true], prefilled[false])
		}
	}
}

// Some prompts take longer than their objective on any engine. They are served late unless that
// exceeds the caller's deadline, and the short prompts beside them meet their objective.
func TestReplayPromptsBeyondObjective(t *testing.T) {
	for seed := range uint64(3) {
		r := newReplay(t, seed, 4, 8, 4, slowPrefill, slowDecode)
		r.load(30, 3*time.Second, r.longPrompt)
		r.run(3 * time.Second)
		start := r.now
		r.load(40, 8*time.Second, func(n int) ([]prompt.Part, time.Duration) {
			if n%40 == 0 {
				return []prompt.Part{{ID: fmt.Sprint("large", n), Tokens: 45_000}}, 600 * time.Millisecond
			}
			return []prompt.Part{{ID: fmt.Sprint("small", n), Tokens: 2500}}, 300 * time.Millisecond
		})
		r.run(12 * time.Second)
		large, refused := 0, 0
		var small []outcome
		for _, o := range r.since(start) {
			if o.objective < 500*time.Millisecond {
				small = append(small, o)
				continue
			}
			large++
			if o.refused {
				refused++
			}
		}
		if large < 5 || refused > 0 {
			t.Errorf("seed %d: %d of %d long prompts are refused", seed, refused, large)
		}
		if share := inTimeShare(small); share < 0.93 {
			t.Errorf("seed %d: %.3f of the short prompts are in time", seed, share)
		}
	}
}

// twoPrefixPrompt returns a prompt with two shared parts, the second of which is drawn from
// thousands.
func (r *replay) twoPrefixPrompt(n int) ([]prompt.Part, time.Duration) {
	suffix := int(min(18_300, 2890/math.Exp(0.5)*math.Exp(r.random.NormFloat64())))
	return []prompt.Part{
		{ID: fmt.Sprint("system", r.random.IntN(4)), Tokens: 2520}, {ID: fmt.Sprint("subject", r.random.IntN(8875)), Tokens: 3780},
		{ID: fmt.Sprint("own", r.scheduled, n), Tokens: suffix},
	}, 250 * time.Millisecond
}

// A burst nearly fills a large fleet whose VMs receive each other's reports 60 to 120 ms late. If
// all VMs chose the engine that looks least loaded, they would fill it before the next reports
// arrive, and only 0.61 and 0.44 of the two halves of the burst would be in time.
func TestReplayBurstWithDelayedReports(t *testing.T) {
	for seed := range uint64(2) {
		r := newReplay(t, seed, 30, 62, 42, engineSpeed{5, 1000 / 307.0, 15.4}, engineSpeed{5, 1000 / 153.5, 15.4})
		r.reportInterval, r.reportDelay = 60*time.Millisecond, 60*time.Millisecond
		r.load(800, 8*time.Second, r.twoPrefixPrompt)
		r.run(8 * time.Second)
		for half, want := range []float64{0.87, 0.95} {
			start := r.now
			r.load([]float64{3000, 2200}[half], 2*time.Second, r.twoPrefixPrompt)
			r.run(2 * time.Second)
			if share := inTimeShare(r.between(start, r.now.Add(-300*time.Millisecond))); share < want {
				t.Errorf("seed %d: %.3f of half %d are in time, want %.2f", seed, share, half, want)
			}
		}
	}
}

// Fewer engines are compared when peer reports are less frequent.
func TestNumChoicesFollowsReportInterval(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		d := &decision{p: f.planner}
		if n := d.numChoices(); n != f.planner.tuning.Choices {
			t.Errorf("%d choices for a VM without peers", n)
		}
		receiveEvery := func(every time.Duration) int {
			for range 5 * reportIntervalSamples {
				time.Sleep(every)
				f.planner.ReceiveLoad(&sharepb.Load{Vm: "other"})
			}
			return d.numChoices()
		}
		for _, tc := range []struct {
			every time.Duration
			want  int
		}{{10 * time.Millisecond, 3}, {25 * time.Millisecond, 2}, {100 * time.Millisecond, 1}, {10 * time.Millisecond, 3}} {
			if n := receiveEvery(tc.every); n != tc.want {
				t.Errorf("%d choices with a report every %v, want %d", n, tc.every, tc.want)
			}
		}
	})
}

// Two software versions serve side by side, which cannot use each other's KV caches: nearly as many prompts are
// in time as with one version, also while most of one version's engines are gone.
func TestReplaySoftwareVersionsSideBySide(t *testing.T) {
	for _, tc := range []struct {
		name string
		// prefill and decode are the numbers of engines of the second version, of 8 and 4.
		prefill, decode int
	}{{"one version", 0, 0}, {"half of each role", 4, 2}, {"a quarter", 2, 1}, {"only engines that decode", 0, 2}} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(3) {
				r := newReplay(t, seed, 4, 8, 4, engineSpeed{5, 1000 / 307.0, 15.4}, engineSpeed{5, 1000 / 153.5, 15.4})
				for i := range tc.prefill {
					r.engines[fmt.Sprint("p", i)].software = "v2"
				}
				for i := range tc.decode {
					r.engines[fmt.Sprint("d", i)].software = "v2"
				}
				r.startVMs()
				start := r.now
				r.load(300, 8*time.Second, r.longPrompt)
				r.run(9 * time.Second)
				share := inTimeShare(r.between(start.Add(2*time.Second), start.Add(8*time.Second)))
				t.Logf("seed %d: %.3f in time, %d tokens prefilled", seed, share, r.prefilledTokens)
				if share < 0.9 {
					t.Errorf("seed %d: %.3f of the prompts are in time", seed, share)
				}
			}
		})
	}
}
