package entry

import (
	"math"
	"sync"
	"time"

	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/prefix"
	"github.com/springweir/springweir/roles"
	"github.com/springweir/springweir/weightstore"
)

// demandWindow is the period over which demand is measured.
const demandWindow = 20 * time.Second

// demandTracker measures the demand that this entry receives for each pool, and estimates
// output lengths. It is safe for concurrent use; mu is a leaf lock.
type demandTracker struct {
	now func() time.Duration
	// poolOf returns the name of the pool that serves a base model.
	poolOf func(model string) string

	mu sync.Mutex
	// meters is keyed by pool. The meter of a removed pool is kept; its values decay.
	meters map[string]*roles.Meter
	// requestCounts holds the requests per required artifact, as exponentially decaying
	// sums, which were last decayed at decayedAt.
	requestCounts map[weightstore.Artifact]float64
	decayedAt     time.Duration
}

// maxCountedArtifacts bounds requestCounts. Requests for further artifacts are not counted.
const maxCountedArtifacts = 1024

// minRequestCount is the decayed count below which an artifact is dropped.
const minRequestCount = 0.01

func newDemandTracker(now func() time.Duration, poolOf func(model string) string) *demandTracker {
	return &demandTracker{
		now: now, poolOf: poolOf, decayedAt: now(),
		meters:        map[string]*roles.Meter{},
		requestCounts: map[weightstore.Artifact]float64{},
	}
}

// meter returns the meter of a pool, and creates it if needed. The caller holds mu.
func (t *demandTracker) meter(pool string) *roles.Meter {
	m := t.meters[pool]
	if m == nil {
		m = roles.NewMeter(t.now(), demandWindow)
		t.meters[pool] = m
	}
	return m
}

// expectedOutput returns the expected number of output tokens of w.
func (t *demandTracker) expectedOutput(w *forward.Work) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.meter(t.poolOf(w.Model)).ExpectedOutput(w.PromptTokens, w.Priority, w.MaxTokens)
}

// recordArrival counts a request, which requires artifact a, towards the demand, whether or
// not it is admitted.
func (t *demandTracker) recordArrival(w *forward.Work, a weightstore.Artifact, s *fleet.Snapshot) {
	sample := roles.Sample{
		Prompt:   w.PromptTokens,
		Cached:   cachedTokens(w, s),
		Priority: w.Priority,
	}
	if !w.Deadline.IsZero() {
		sample.Deadline = clock.Until(w.Deadline)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	meter := t.meter(t.poolOf(w.Model))
	sample.Output = meter.ExpectedOutput(w.PromptTokens, w.Priority, w.MaxTokens)
	meter.RecordArrival(t.now(), sample)
	if _, known := t.requestCounts[a]; known || len(t.requestCounts) < maxCountedArtifacts {
		t.requestCounts[a]++
	}
}

// artifactRates returns the recent request rate of each artifact, in requests per second.
// Counts decay with the time constant demandWindow.
func (t *demandTracker) artifactRates() map[weightstore.Artifact]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	decay := math.Exp(-(now - t.decayedAt).Seconds() / demandWindow.Seconds())
	t.decayedAt = now
	rates := make(map[weightstore.Artifact]float64, len(t.requestCounts))
	for a, n := range t.requestCounts {
		t.requestCounts[a] = n * decay
		if n*decay < minRequestCount {
			delete(t.requestCounts, a)
			continue
		}
		rates[a] = n * decay / demandWindow.Seconds()
	}
	return rates
}

// recordOutput records the output length of a complete response.
func (t *demandTracker) recordOutput(w *forward.Work, tokens int) {
	if w.Service != "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.meter(t.poolOf(w.Model)).RecordOutput(w.PromptTokens, w.Priority, w.ResumeFrom+tokens)
}

// poolDemand returns the recent demand for a pool at this entry.
func (t *demandTracker) poolDemand(pool string) roles.Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.meter(pool).Demand(t.now())
}

// cachedTokens returns the length of the longest prefix of w's prompt that an engine of the
// zone has cached.
func cachedTokens(w *forward.Work, s *fleet.Snapshot) int {
	var buf [1]prefix.Hit
	hits := s.Prefix.Chain(w.PrefixHashes).Best(buf[:0], 1, 0)
	if len(hits) == 0 {
		return 0
	}
	return max(0, min(hits[0].Blocks*prefix.BlockTokens, w.PromptTokens-1))
}
