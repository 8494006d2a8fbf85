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

// meterWindow is how far back the demand is measured.
const meterWindow = 20 * time.Second

// expectations meters the demand that this entry sees of each pool, and learns
// how long answers are. It is safe for concurrent use; mu is a leaf.
type expectations struct {
	now func() time.Duration
	// poolOf names the pool that serves a base model.
	poolOf func(model string) string

	mu sync.Mutex
	// meters are by pool. A pool that is gone keeps its meter, which fades.
	meters map[string]*roles.Meter
	// asked counts requests by what they need loaded, as decaying sums.
	asked   map[weightstore.Artifact]float64
	decayed time.Duration
}

// maxAsked bounds the artifacts counted; a request for one more is not counted.
const maxAsked = 1024

// negligible is the decayed count below which an artifact is forgotten.
const negligible = 0.01

func newExpectations(now func() time.Duration, poolOf func(model string) string) *expectations {
	return &expectations{
		now: now, poolOf: poolOf, decayed: now(),
		meters: map[string]*roles.Meter{},
		asked:  map[weightstore.Artifact]float64{},
	}
}

// meter returns the meter of a pool. The caller holds mu.
func (x *expectations) meter(pool string) *roles.Meter {
	m := x.meters[pool]
	if m == nil {
		m = roles.NewMeter(x.now(), meterWindow)
		x.meters[pool] = m
	}
	return m
}

// output is the expected number of tokens of w's answer.
func (x *expectations) output(w *forward.Work) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.meter(x.poolOf(w.Model)).ExpectedOutput(w.PromptTokens, w.Priority, w.MaxTokens)
}

// arrived counts a request for a in the demand, whether or not it is admitted.
func (x *expectations) arrived(w *forward.Work, a weightstore.Artifact, s *fleet.Snapshot) {
	sample := roles.Sample{
		Prompt:   w.PromptTokens,
		Cached:   cachedTokens(w, s),
		Priority: w.Priority,
	}
	if !w.Deadline.IsZero() {
		sample.Deadline = clock.Until(w.Deadline)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	meter := x.meter(x.poolOf(w.Model))
	sample.Output = meter.ExpectedOutput(w.PromptTokens, w.Priority, w.MaxTokens)
	meter.RecordArrival(x.now(), sample)
	if _, known := x.asked[a]; known || len(x.asked) < maxAsked {
		x.asked[a]++
	}
}

// artifacts returns how often each artifact was asked for lately, in requests a
// second. Counts fade over about meterWindow.
func (x *expectations) artifacts() map[weightstore.Artifact]float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	keep := math.Exp(-(now - x.decayed).Seconds() / meterWindow.Seconds())
	x.decayed = now
	rates := make(map[weightstore.Artifact]float64, len(x.asked))
	for a, n := range x.asked {
		x.asked[a] = n * keep
		if n*keep < negligible {
			delete(x.asked, a)
			continue
		}
		rates[a] = n * keep / meterWindow.Seconds()
	}
	return rates
}

// learn takes in the length of a whole answer.
func (x *expectations) learn(w *forward.Work, tokens int) {
	if w.Service != "" {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.meter(x.poolOf(w.Model)).RecordOutput(w.PromptTokens, w.Priority, w.ResumeFrom+tokens)
}

// demand is what this entry was lately asked for of a pool.
func (x *expectations) demand(pool string) roles.Demand {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.meter(pool).Demand(x.now())
}

// cachedTokens is the longest part of w's prompt that an engine of the zone holds.
func cachedTokens(w *forward.Work, s *fleet.Snapshot) int {
	var buf [1]prefix.Hit
	hits := s.Prefix.Chain(w.PrefixHashes).Best(buf[:0], 1, 0)
	if len(hits) == 0 {
		return 0
	}
	return max(0, min(hits[0].Blocks*prefix.BlockTokens, w.PromptTokens-1))
}
