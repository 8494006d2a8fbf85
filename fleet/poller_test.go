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

// fakeSource is a Source that responds from memory, or blocks until the context is done if frozen.
type fakeSource struct {
	mu           sync.Mutex
	frozen       bool
	polls        uint64
	eventQueries []uint64
}

func (s *fakeSource) State(ctx context.Context) (engine.State, error) {
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

func (s *fakeSource) Events(_ context.Context, since uint64) (engine.CacheEvents, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eventQueries = append(s.eventQueries, since)
	switch len(s.eventQueries) {
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
		sources := map[string]*fakeSource{"e1": {}, "e2": {}, "frozen": {frozen: true}, "other": {}}
		scopes := map[string]PollScope{"e1": PollStateAndCache, "e2": PollState, "frozen": PollStateAndCache}
		var shared atomic.Int64
		cfg := PollerConfig{Interval: time.Second, Timeout: 3300 * time.Millisecond, Workers: 2}
		p := NewPoller(cfg, s, now,
			func(e *Endpoint) Source { return sources[e.Name] },
			func(e *Endpoint) PollScope { return scopes[e.Name] },
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
		if e2 := sources["e2"]; e2.polls != 10 || len(e2.eventQueries) != 0 {
			t.Errorf("e2 was polled %d times and its cache events were read %d times, want 10 and 0", e2.polls, len(e2.eventQueries))
		}
		snapshot := s.Snapshot()
		if e := snapshot.endpoint("e1"); !e.Reported || now()-e.MeasuredAt < 600*time.Millisecond {
			t.Errorf("e1: reported %v, measured %v ago", e.Reported, now()-e.MeasuredAt)
		}
		if snapshot.endpoint("frozen").Reported {
			t.Error("the frozen engine counts as reported")
		}
		hit := snapshot.Prefix.Chain([]uint64{1, 2}).Depth(snapshot.endpoint("e1").Slot)
		if hit.Blocks != 2 || hit.Uncertain || sources["e1"].eventQueries[2] != 0 {
			t.Errorf("after a gap: %+v, events requested from %v", hit, sources["e1"].eventQueries)
		}
	})
}
