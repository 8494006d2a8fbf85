package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/loadshare/sharepb"
	"github.com/springweir/springweir/prompt"
)

var (
	slowPrefill = truth{3, 1000 / 64.2, 68}
	slowDecode  = truth{5, 1000 / 32.1, 68}
)

// Engines three times as slow as assumed, whose long prompts cost by their pairs.
// Predictions are right within two seconds of load, and four in five of those requests
// come in time that could.
func TestReplayOfSlowEngines(t *testing.T) {
	for seed := range uint64(5) {
		r := newReplay(t, seed, 4, 8, 4, slowPrefill, slowDecode)
		began := r.now
		r.load(45, 12*time.Second, r.dossier)
		r.run(15 * time.Second)
		if off := offBy(r.between(began.Add(500*time.Millisecond), began.Add(2*time.Second))); off > 1.6 {
			t.Errorf("seed %d: in the first seconds the median request takes %.2f of what is predicted", seed, off)
		}
		if off := offBy(r.between(began.Add(2*time.Second), began.Add(12*time.Second))); off < 0.75 || off > 1.35 {
			t.Errorf("seed %d: after two seconds the median request takes %.2f of what is predicted", seed, off)
		}
		if share := inTimeShare(r.between(began.Add(4*time.Second), began.Add(12*time.Second))); share < 0.85 {
			t.Errorf("seed %d: %.3f come in time", seed, share)
		}
	}
}

// The same load on engines that are faster than assumed.
func TestReplayOfFastEngines(t *testing.T) {
	for seed := range uint64(3) {
		r := newReplay(t, seed, 4, 8, 4, truth{1, 1000 / 346.0, 5}, truth{1, 1000 / 150.0, 5})
		began := r.now
		r.load(200, 6*time.Second, r.dossier)
		r.run(8 * time.Second)
		if off := offBy(r.between(began.Add(2*time.Second), began.Add(6*time.Second))); off < 0.7 || off > 1.5 {
			t.Errorf("seed %d: the median request takes %.2f of what is predicted", seed, off)
		}
		if share := inTimeShare(r.between(began.Add(2*time.Second), began.Add(6*time.Second))); share < 0.9 {
			t.Errorf("seed %d: %.3f come in time", seed, share)
		}
	}
}

// Bursts of requests for subjects that nobody has read yet: an engine that were told to
// copy what another has yet to read would read it all itself.
func TestReplayOfBurstsOnUnreadSubjects(t *testing.T) {
	for seed := range uint64(5) {
		r := newReplay(t, seed, 4, 8, 4, slowPrefill, slowDecode)
		r.load(45, 4*time.Second, r.dossier) // the pace is known
		r.run(6 * time.Second)
		began, before := r.now, r.readTokens
		for burst := range 6 {
			r.load(60, 250*time.Millisecond, func(n int) ([]prompt.Part, time.Duration) {
				return []prompt.Part{{ID: fmt.Sprint("hot", burst), Tokens: 20_000}, {ID: fmt.Sprint("h", burst, n), Tokens: 600}}, 900 * time.Millisecond
			})
			r.run(time.Second)
		}
		r.run(3 * time.Second)
		if share := inTimeShare(r.since(began)); share < 0.9 {
			t.Errorf("seed %d: %.3f come in time", seed, share)
		}
		if read := r.readTokens - before; read > 6*4*20_000+60_000 {
			t.Errorf("seed %d: %d tokens read for six subjects of 20,000", seed, read)
		}
	}
}

// An engine that a VM ordered to change its role, which then died: the others leave it
// alone until its row shows the change.
func TestReplayOfAChangeWhoseAuthorDies(t *testing.T) {
	for seed := range uint64(5) {
		r := newReplay(t, seed, 4, 8, 4, slowPrefill, slowDecode)
		r.load(60, 8*time.Second, question)
		r.run(2 * time.Second)
		for _, vm := range r.vms {
			vm.planner.ReceiveLoad(&sharepb.Load{Vm: "author", Changing: []uint32{loadshare.Hash("d0")}})
		}
		began := r.now
		r.engines["d0"].refuses = true
		r.run(3 * time.Second)
		r.engines["d0"].refuses = false
		if lost := lostOf(r.since(began)); lost > 0 {
			t.Errorf("seed %d: %d requests lost at the engine that changes", seed, lost)
		}
	}
}

// An engine that refuses, of which nobody was told: the VMs lose a few requests each
// before they all leave it alone.
func TestReplayOfAnEngineThatRefuses(t *testing.T) {
	for seed := range uint64(5) {
		r := newReplay(t, seed, 6, 8, 3, slowPrefill, slowDecode)
		r.load(60, 6*time.Second, question)
		r.run(2 * time.Second)
		began := r.now
		r.engines["d0"].refuses = true
		r.run(3 * time.Second)
		if lost := lostOf(r.since(began)); lost > 18 {
			t.Errorf("seed %d: %d of %d requests lost at an engine that refuses for 3 s", seed, lost, len(r.since(began)))
		}
	}
}

// All VMs restart at once. Told what the engines hold, they read again little of it.
func TestReplayOfARestartOfAllVMs(t *testing.T) {
	for seed := range uint64(3) {
		read := map[bool]int{}
		for _, told := range []bool{false, true} {
			r := newReplay(t, seed, 4, 8, 4, slowPrefill, slowDecode)
			r.load(45, 6*time.Second, r.dossier)
			r.run(8 * time.Second)
			r.start()
			if told {
				r.tellCaches()
			}
			before := r.readTokens
			r.load(45, 4*time.Second, func(n int) ([]prompt.Part, time.Duration) { return r.dossier(10_000 + n) })
			r.run(6 * time.Second)
			read[told] = r.readTokens - before
		}
		if float64(read[true]) > 0.85*float64(read[false]) {
			t.Errorf("seed %d: %d tokens read with what engines hold, %d without", seed, read[true], read[false])
		}
	}
}

// Now and then a prompt comes that takes longer than its objective on any engine. It is
// served late, unless its caller would be gone by then; the short ones beside it stay
// in time.
func TestReplayOfPromptsThatAreAlwaysLate(t *testing.T) {
	for seed := range uint64(3) {
		r := newReplay(t, seed, 4, 8, 4, slowPrefill, slowDecode)
		r.load(30, 3*time.Second, r.dossier)
		r.run(3 * time.Second)
		began := r.now
		r.load(40, 8*time.Second, func(n int) ([]prompt.Part, time.Duration) {
			if n%40 == 0 {
				return []prompt.Part{{ID: fmt.Sprint("large", n), Tokens: 45_000}}, 600 * time.Millisecond
			}
			return []prompt.Part{{ID: fmt.Sprint("small", n), Tokens: 2500}}, 300 * time.Millisecond
		})
		r.run(12 * time.Second)
		large, refused := 0, 0
		var small []outcome
		for _, o := range r.since(began) {
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
			t.Errorf("seed %d: %.3f of the short prompts come in time", seed, share)
		}
	}
}

// permit is a prompt behind two shared parts, of which the second has thousands of subjects.
func (r *replay) permit(n int) ([]prompt.Part, time.Duration) {
	own := int(min(18_300, 2890/math.Exp(0.5)*math.Exp(r.random.NormFloat64())))
	return []prompt.Part{
		{ID: fmt.Sprint("system", r.random.IntN(4)), Tokens: 2520}, {ID: fmt.Sprint("subject", r.random.IntN(8875)), Tokens: 3780},
		{ID: fmt.Sprint("own", r.planned, n), Tokens: own},
	}, 250 * time.Millisecond
}

// A large fleet whose VMs hear of each other's work 60 to 120 ms late, in a burst that
// nearly fills its engines: VMs that all chose the engine that looked least loaded would
// fill it before they heard of it, and 0.61 and 0.44 of the burst's halves came in time.
func TestReplayOfABurstWithLateNews(t *testing.T) {
	for seed := range uint64(2) {
		r := newReplay(t, seed, 30, 62, 42, truth{5, 1000 / 307.0, 15.4}, truth{5, 1000 / 153.5, 15.4})
		r.every, r.delay = 60*time.Millisecond, 60*time.Millisecond
		r.load(800, 8*time.Second, r.permit)
		r.run(8 * time.Second)
		for half, want := range []float64{0.87, 0.95} {
			began := r.now
			r.load([]float64{3000, 2200}[half], 2*time.Second, r.permit)
			r.run(2 * time.Second)
			if share := inTimeShare(r.between(began, r.now.Add(-300*time.Millisecond))); share < want {
				t.Errorf("seed %d: %.3f of half %d come in time, want %.2f", seed, share, half, want)
			}
		}
	}
}

// The number of engines compared follows the age of the news.
func TestChoicesFollowTheAgeOfNews(t *testing.T) {
	inTime(t, func(t *testing.T, b *bed) {
		d := &decision{p: b.planner}
		if n := d.choices(); n != b.planner.tuning.Choices {
			t.Errorf("%d choices for a VM without peers", n)
		}
		hear := func(every time.Duration) int {
			for range 5 * newsGapMemory {
				time.Sleep(every)
				b.planner.ReceiveLoad(&sharepb.Load{Vm: "other"})
			}
			return d.choices()
		}
		for _, tc := range []struct {
			every time.Duration
			want  int
		}{{10 * time.Millisecond, 3}, {25 * time.Millisecond, 2}, {100 * time.Millisecond, 1}, {10 * time.Millisecond, 3}} {
			if n := hear(tc.every); n != tc.want {
				t.Errorf("%d choices with news each %v, want %d", n, tc.every, tc.want)
			}
		}
	})
}
