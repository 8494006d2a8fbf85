package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/prefix"
)

// script is a Source that answers from memory, or never when frozen.
type script struct {
	mu     sync.Mutex
	frozen bool
	polls  uint64
	asked  []uint64
}

func (s *script) State(ctx context.Context) (engine.State, error) {
	s.mu.Lock()
	s.polls++
	polls, frozen := s.polls, s.frozen
	s.mu.Unlock()
	if frozen {
		<-ctx.Done()
		return engine.State{}, ctx.Err()
	}
	return engine.State{Incarnation: "i", Role: engine.Mixed, Load: engine.Load{Sequence: polls, AgeMillis: 100}}, nil
}

func (s *script) Events(_ context.Context, since uint64) (engine.CacheEvents, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = append(s.asked, since)
	switch len(s.asked) {
	case 1:
		return engine.CacheEvents{Incarnation: "i", Snapshot: []uint64{1}, Next: 5}, nil
	case 2:
		return engine.CacheEvents{Incarnation: "i", Next: 9}, nil // A gap.
	}
	return engine.CacheEvents{Incarnation: "i", Snapshot: []uint64{1, 2}, Next: 9}, nil
}

func TestPoller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		now := func() time.Duration { return time.Since(start) }
		s := NewStore("a", NewInFlightLedger(), prefix.NewViews(1000))
		s.SetSpecs(specs("e1", "e2", "frozen", "other"))
		sources := map[string]*script{"e1": {}, "e2": {}, "frozen": {frozen: true}, "other": {}}
		questions := map[string]PollScope{"e1": PollStateAndCache, "e2": PollState, "frozen": PollStateAndCache}
		var shared atomic.Int64
		cfg := PollerConfig{Interval: time.Second, Timeout: 3300 * time.Millisecond, Workers: 2}
		p := NewPoller(cfg, s, now,
			func(e *Endpoint) Source { return sources[e.Name] },
			func(e *Endpoint) PollScope { return questions[e.Name] },
			func(Report) { shared.Add(1) })
		ctx, cancel := context.WithTimeout(t.Context(), 9900*time.Millisecond)
		defer cancel()
		if err := p.Run(ctx); err != nil {
			t.Fatal(err)
		}
		if got := sources["e1"].polls; got != 10 {
			t.Errorf("e1 was polled %d times in 9.9 s, want 10", got)
		}
		if got := sources["frozen"].polls; got != 3 {
			t.Errorf("the frozen engine was polled %d times, want 3", got)
		}
		if sources["other"].polls != 0 || shared.Load() != 20 {
			t.Errorf("other polled %d times, %d reports shared", sources["other"].polls, shared.Load())
		}
		if e2 := sources["e2"]; e2.polls != 10 || len(e2.asked) != 0 {
			t.Errorf("e2 was polled %d times and asked for its cache %d times, want 10 and 0", e2.polls, len(e2.asked))
		}
		snapshot := s.Snapshot()
		if e := snapshot.named("e1"); !e.Reported || now()-e.MeasuredAt < 600*time.Millisecond {
			t.Errorf("e1 known %v, measured %v ago", e.Reported, now()-e.MeasuredAt)
		}
		if snapshot.named("frozen").Reported {
			t.Error("the frozen engine is known")
		}
		hit := snapshot.Prefix.Chain([]uint64{1, 2}).Depth(snapshot.named("e1").Slot)
		if hit.Blocks != 2 || hit.Uncertain || sources["e1"].asked[2] != 0 {
			t.Errorf("after a gap: %+v, asked %v", hit, sources["e1"].asked)
		}
	})
}
