package enginemodel

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/engine"
)

const ms = time.Millisecond

// run submits the jobs at their times and returns the final event of each job.
func run(t *testing.T, p Params, role engine.Role, jobs ...submission) map[JobID]Event {
	t.Helper()
	e := New(p, role)
	var events []Event
	for _, s := range jobs {
		events = append(events, e.Advance(s.at)...)
		if err := e.Submit(s.at, s.job); err != nil {
			t.Fatal(err)
		}
	}
	ends := map[JobID]Event{}
	for _, ev := range append(events, drain(e)...) {
		if ev.Kind == Finished || ev.Kind == Prefilled {
			ends[ev.Job] = ev
		}
	}
	return ends
}

func submitAt(at time.Duration, id JobID, j Job) submission {
	j.ID = id
	return submission{at, j}
}

// TestCosts checks the effect of each cost in Params against a case computed by hand.
// Times are rounded to milliseconds: First is the time to the first token, Gap is the
// longest time between two tokens.
func TestCosts(t *testing.T) {
	p := DefaultParams()
	p.StepPerContext = 0
	longPrompt := Job{PromptTokens: 8000, OutputTokens: 1}
	chat := Job{PromptTokens: 80, OutputTokens: 101}
	repeated := longPrompt
	repeated.Hashes = hashes(0, 500)
	imported := longPrompt
	imported.Import = true
	type timing struct {
		First, Gap, End time.Duration
		Cached          int
	}
	singleSlot := func(p Params) Params { p.MaxBatch = 1; return p }
	urgent, batch := chat, longPrompt
	batch.Priority = engine.Batch
	memory := func(p Params) Params { p.KVTokens = 8500; return p }
	context := func(p Params) Params { p.StepPerContext = 10_000; return p }
	resumed := chat
	resumed.ResumeFrom = 80
	export := Job{PromptTokens: 8000, PrefillOnly: true}
	for _, tc := range []struct {
		name string
		p    Params
		role engine.Role
		jobs []submission
		job  JobID
		want timing
	}{
		// 8000 tokens at 8000 tokens per second.
		{"prefill", p, engine.Mixed, []submission{submitAt(0, 1, longPrompt)}, 1, timing{1000 * ms, 0, 1000 * ms, 0}},
		// 10 ms, then 100 steps of 18.15 ms.
		{"decode", p, engine.Mixed, []submission{submitAt(0, 1, chat)}, 1, timing{10 * ms, 18 * ms, 1825 * ms, 0}},
		// Prefill of 80 + 80 tokens, then 20 steps.
		{"resumed", p, engine.Mixed, []submission{submitAt(0, 1, resumed)}, 1, timing{20 * ms, 18 * ms, 383 * ms, 0}},
		// 100 steps of 18.15 ms + 10 µs for each of 81 to 180 tokens: 10 + 1815 + 130.5 ms.
		{"context", context(p), engine.Mixed, []submission{submitAt(0, 1, chat)}, 1, timing{10 * ms, 20 * ms, 1956 * ms, 0}},
		// A step with 512 tokens takes 64 + 18.15 ms, one with 128 takes 16 + 18.15.
		{"long prompt slows chat", p, engine.Mixed, []submission{submitAt(0, 1, chat), submitAt(500*ms, 2, longPrompt)}, 1, timing{10 * ms, 82 * ms, 2825 * ms, 0}},
		{"slows chat less on a decode engine", p, engine.Decode, []submission{submitAt(0, 1, chat), submitAt(500*ms, 2, longPrompt)}, 1, timing{10 * ms, 34 * ms, 2825 * ms, 0}},
		// 7999 of 8000 tokens, since the last prompt token is always computed.
		{"cached", p, engine.Mixed, []submission{submitAt(0, 1, repeated), submitAt(2000*ms, 2, repeated)}, 2, timing{2000 * ms, 0, 2000 * ms, 7999}},
		// 5 ms + 8000 × 320 KiB at 20 GB/s = 136 ms, then a step.
		{"imported", p, engine.Mixed, []submission{submitAt(0, 1, imported)}, 1, timing{154 * ms, 0, 154 * ms, 0}},
		// Waiting jobs start in order of priority; the running job is not preempted.
		{"urgent first", singleSlot(p), engine.Mixed, []submission{submitAt(0, 1, batch), submitAt(0, 2, batch), submitAt(1*ms, 3, urgent)}, 3, timing{1010 * ms, 18 * ms, 2825 * ms, 0}},
		{"batch last", singleSlot(p), engine.Mixed, []submission{submitAt(0, 1, batch), submitAt(0, 2, batch), submitAt(1*ms, 3, urgent)}, 2, timing{3825 * ms, 0, 3825 * ms, 0}},
		// The second job waits for memory until the first ends.
		{"memory", memory(p), engine.Mixed, []submission{submitAt(0, 1, longPrompt), submitAt(0, 2, longPrompt)}, 2, timing{2000 * ms, 0, 2000 * ms, 0}},
		// An exported cache occupies its memory for 10 s.
		{"held", memory(p), engine.Mixed, []submission{submitAt(0, 1, export), submitAt(0, 2, longPrompt)}, 2, timing{12000 * ms, 0, 12000 * ms, 0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ev, ok := run(t, tc.p, tc.role, tc.jobs...)[tc.job]
			if !ok {
				t.Fatal("job did not end")
			}
			got := timing{ev.First.Round(ms), ev.MaxGap.Round(ms), ev.At.Round(ms), ev.Cached}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// TestCacheEvicts checks that the least recently used blocks are evicted first, and
// within one prompt the last blocks.
func TestCacheEvicts(t *testing.T) {
	c := newCache(true)
	c.store([]uint64{1, 2, 3}, 6)
	c.store([]uint64{11, 12, 13}, 6)
	c.match([]uint64{1, 2, 3})
	c.store([]uint64{21, 22}, 6)
	var evicted []uint64
	for _, ch := range c.changes {
		if !ch.Stored {
			evicted = append(evicted, ch.Hash)
		}
	}
	if diff := cmp.Diff([]uint64{13, 12}, evicted); diff != "" {
		t.Errorf("evicted (-want +got):\n%s", diff)
	}
	if n := c.match([]uint64{11, 12, 13}); n != 1 {
		t.Errorf("%d blocks match, want 1", n)
	}
}

// TestOrderSuspendsEngine checks that an order without Cut pauses the jobs, and that an
// order with Cut ends them, empties the cache and refuses submissions.
func TestOrderSuspendsEngine(t *testing.T) {
	chat := Job{ID: 1, PromptTokens: 80, OutputTokens: 101, Hashes: hashes(0, 5)}
	e := New(DefaultParams(), engine.Mixed)
	if err := e.Submit(0, chat); err != nil {
		t.Fatal(err)
	}
	if err := e.BeginOrder(500*ms, Order{Duration: 2 * time.Second}); err != nil {
		t.Fatal(err)
	}
	var unavailable *UnavailableError
	if err := e.BeginOrder(600*ms, Order{}); !errors.As(err, &unavailable) || unavailable.Until != 2500*ms {
		t.Errorf("second order: got %v", err)
	}
	chat.ID = 2
	if err := e.Submit(time.Second, chat); err != nil {
		t.Errorf("submit while the adapter loads: %v", err)
	}
	if n := e.Load(2 * time.Second); n.Running != 1 || n.Waiting != 1 {
		t.Errorf("load while unavailable: %+v", n)
	}
	got := map[JobID]Event{}
	for _, ev := range drain(e) {
		got[ev.Job] = ev
	}
	if got[1].Kind != Finished || got[1].MaxGap < 2*time.Second || got[2].Kind != Finished || got[2].First < 2500*ms {
		t.Errorf("events after the adapter load: %+v", got)
	}

	now := 10 * time.Second
	chat.ID = 3
	if err := e.Submit(now, chat); err != nil {
		t.Fatal(err)
	}
	now += 100 * ms
	if err := e.BeginOrder(now, Order{Duration: time.Second, Role: engine.Prefill, Cut: true}); err != nil {
		t.Fatal(err)
	}
	if err := e.Submit(now, chat); !errors.As(err, &unavailable) {
		t.Errorf("submit while the role changes: %v", err)
	}
	var kinds []EventKind
	for _, ev := range drain(e) {
		kinds = append(kinds, ev.Kind)
	}
	if diff := cmp.Diff([]EventKind{FirstToken, Cut, OrderDone}, kinds); diff != "" {
		t.Errorf("role change (-want +got):\n%s", diff)
	}
	var role *RoleError
	if err := e.Submit(now+time.Minute, chat); !errors.As(err, &role) || e.CachedTokens(chat.Hashes) != 0 {
		t.Errorf("prefill engine: %v, %d tokens cached", err, e.CachedTokens(chat.Hashes))
	}
}

// TestCancelFreesCapacity checks that cancelled jobs release their batch slot and memory.
func TestCancelFreesCapacity(t *testing.T) {
	p := DefaultParams()
	p.MaxBatch = 1
	e := New(p, engine.Mixed)
	for id := range JobID(3) {
		if err := e.Submit(0, Job{ID: id + 1, PromptTokens: 80, OutputTokens: 1000}); err != nil {
			t.Fatal(err)
		}
	}
	if !e.Cancel(time.Second, 1) || !e.Cancel(time.Second, 2) || e.Cancel(time.Second, 1) {
		t.Error("Cancel must find running and waiting jobs, and each job only once")
	}
	ends := drain(e)
	last := ends[len(ends)-1]
	if last.Kind != Finished || last.Job != 3 || last.First > 1100*ms || e.kvUsed != 0 {
		t.Errorf("got %+v, %d tokens in use", last, e.kvUsed)
	}
	var tooLong *TooLongError
	if err := e.Submit(time.Hour, Job{ID: 9, PromptTokens: p.KVTokens, OutputTokens: 1}); !errors.As(err, &tooLong) {
		t.Errorf("job larger than the memory: got %v", err)
	}
}

// BenchmarkJob measures one job on a busy engine, without per-token events.
func BenchmarkJob(b *testing.B) {
	e := New(DefaultParams(), engine.Mixed)
	rng := rand.New(rand.NewPCG(1, 2))
	blocks := hashes(0, 1000)
	var now time.Duration
	b.ReportAllocs()
	for i := range b.N {
		now += 400 * ms
		for at, ok := e.NextEvent(); ok && at <= now; at, ok = e.NextEvent() {
			e.Advance(at)
		}
		n := 1 + rng.IntN(60)
		from := rng.IntN(900)
		j := Job{ID: JobID(i + 1), PromptTokens: n * 16, OutputTokens: 200, Hashes: blocks[from : from+n]}
		if err := e.Submit(now, j); err != nil {
			b.Fatal(err)
		}
	}
}
