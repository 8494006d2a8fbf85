package enginemodel

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/springweir/springweir/engine"
)

// drain runs the engine until it is idle and returns all events.
func drain(e *Engine) []Event {
	var all []Event
	for {
		at, ok := e.NextEvent()
		if !ok {
			return all
		}
		all = append(all, e.Advance(at)...)
	}
}

func hashes(from, n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = uint64(from + i)
	}
	return out
}

type submission struct {
	at  time.Duration
	job Job
}

func randomJobs(seed uint64, n int) []submission {
	rng := rand.New(rand.NewPCG(seed, seed))
	var out []submission
	var at time.Duration
	for i := range n {
		at += time.Duration(rng.IntN(400)) * time.Millisecond
		j := Job{ID: JobID(i + 1), Priority: engine.Priority(rng.IntN(3))}
		j.PromptTokens = 16 * (1 + rng.IntN(300))
		j.Hashes = hashes(rng.IntN(4)*1000, j.PromptTokens/16)
		j.OutputTokens = 1 + rng.IntN(300)
		j.ResumeFrom = rng.IntN(2) * rng.IntN(j.OutputTokens)
		j.Import = rng.IntN(5) == 0
		j.PrefillOnly = rng.IntN(5) == 0
		out = append(out, submission{at, j})
	}
	return out
}

// play submits the jobs and returns the final event of each. With each set, the jobs emit
// an event for every token, so that every plan has a single step.
func play(t *testing.T, p Params, jobs []submission, each bool) map[JobID]Event {
	t.Helper()
	e := New(p, engine.Mixed)
	ends := map[JobID]Event{}
	var last time.Duration
	check := func(events []Event) {
		for _, ev := range events {
			if ev.At < last {
				t.Fatalf("event %+v before %v", ev, last)
			}
			last = ev.At
			if ev.Kind != Finished && ev.Kind != Prefilled {
				continue
			}
			if _, twice := ends[ev.Job]; twice {
				t.Fatalf("job %d ended twice", ev.Job)
			}
			ends[ev.Job] = ev
		}
		if blocks := len(e.cache.index); blocks > e.cacheCapacity() || e.kvUsed > p.KVTokens {
			t.Fatalf("memory overrun: %d blocks, %d of %d tokens", blocks, e.kvUsed, p.KVTokens)
		}
	}
	for _, s := range jobs {
		for at, ok := e.NextEvent(); ok && at < s.at; at, ok = e.NextEvent() {
			check(e.Advance(at))
		}
		s.job.EveryToken = each
		if err := e.Submit(s.at, s.job); err != nil {
			t.Fatal(err)
		}
	}
	check(drain(e))
	if e.kvUsed-heldTokens(e) != 0 || e.contextTokens != 0 || len(e.jobs) != 0 {
		t.Fatalf("not released: kv %d, context %d, jobs %d", e.kvUsed, e.contextTokens, len(e.jobs))
	}
	return ends
}

func heldTokens(e *Engine) int {
	n := 0
	for _, h := range e.held {
		n += h.tokens
	}
	return n
}

// TestStepRunsMatchSingleSteps checks with random jobs that plans of several equal steps
// give the same times as single steps, that every job ends once, and that the memory limit
// is kept.
func TestStepRunsMatchSingleSteps(t *testing.T) {
	p := DefaultParams()
	p.KVTokens = 20_000
	p.MaxBatch = 8
	for seed := range uint64(10) {
		jobs := randomJobs(seed, 120)
		coarse := play(t, p, jobs, false)
		fine := play(t, p, jobs, true)
		if len(coarse) != len(jobs) {
			t.Fatalf("seed %d: %d of %d jobs ended", seed, len(coarse), len(jobs))
		}
		near := cmp.Comparer(func(a, b time.Duration) bool {
			return max(a-b, b-a) < 100*time.Microsecond
		})
		if diff := cmp.Diff(fine, coarse, near); diff != "" {
			t.Fatalf("seed %d (-single +runs):\n%s", seed, diff)
		}
	}
}
