package retry

import (
	"sync"
	"time"

	"github.com/springweir/springweir/internal/clock"
)

// WindowLimits configures a Window.
type WindowLimits struct {
	// Span is the length of the sliding window.
	Span time.Duration
	// Ratio is the number of retries that each first attempt in the window earns.
	Ratio float64
	// Extra is the number of retries granted in each window regardless of the load.
	Extra float64
}

// buckets is the number of buckets that cover the span of a window. The counts include one more
// bucket than the span, so they are never too low.
const buckets = 20

// Window bounds the retries in any time window of a fixed length by the first attempts in it.
// Several VMs can share one bound without communication if each has a Window with its share of
// Extra, because both their first attempts and their retries add up. It is safe for concurrent use.
// Its lock is a leaf: no other lock is acquired while it is held.
type Window struct {
	now func() time.Time
	// start is when the window was created. Buckets are counted from it and not by the time of day,
	// because a step of the clock backwards would keep expired counts, and one forwards would drop
	// current ones.
	start time.Time

	mu     sync.Mutex
	limits WindowLimits
	// first and retries are rings of counts by bucket; current is the number of the current bucket.
	first, retries [buckets + 1]int
	current        int64
}

// NewWindow returns an empty window. If now is nil, clock.Now is used.
func NewWindow(l WindowLimits, now func() time.Time) *Window {
	now = clock.OrSystem(now)
	return &Window{limits: l, now: now, start: now()}
}

// SetLimits changes the limits. It keeps the counts unless the span changes.
func (w *Window) SetLimits(l WindowLimits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.Span != w.limits.Span {
		w.first, w.retries = [buckets + 1]int{}, [buckets + 1]int{}
	}
	w.limits = l
}

// First records a first attempt.
func (w *Window) First() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.first[w.slot()]++
}

// Available reports whether a retry is available.
func (w *Window) Available() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.available()
}

// Take consumes one retry and reports whether one was available.
func (w *Window) Take() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if !w.available() {
		return false
	}
	w.retries[w.slot()]++
	return true
}

// available reports whether the limits allow one more retry. The caller holds mu and has advanced
// the window.
func (w *Window) available() bool {
	return float64(sum(w.retries)+1) <= w.limits.Ratio*float64(sum(w.first))+w.limits.Extra
}

// slot returns the index of the current bucket in the rings.
func (w *Window) slot() int64 { return w.current % (buckets + 1) }

// advance moves to the current bucket and clears the buckets that have left the window.
func (w *Window) advance() {
	bucket := int64(w.now().Sub(w.start) / (w.limits.Span / buckets))
	if bucket-w.current > buckets {
		w.first, w.retries = [buckets + 1]int{}, [buckets + 1]int{}
		w.current = bucket
	}
	for w.current < bucket {
		w.current++
		w.first[w.slot()], w.retries[w.slot()] = 0, 0
	}
}

func sum(counts [buckets + 1]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
