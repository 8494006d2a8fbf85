package retry

import (
	"sync"
	"time"

	"github.com/springweir/springweir/internal/clock"
)

// WindowLimits bound the retries in any span of a fixed length.
type WindowLimits struct {
	// Span is the length of the sliding window.
	Span time.Duration
	// Ratio is the number of retries that each first attempt of the window earns.
	Ratio float64
	// Extra is granted in each window whatever the load.
	Extra float64
}

// buckets is the number of parts into which a window's span is cut. The count
// covers one part more than the span, so it is never too low.
const buckets = 20

// Window bounds retries by what any window of a fixed length has seen. Where
// several VMs share one bound, each holds a Window with its share of Extra: their
// first attempts add up, and so do their retries, without any exchange. It is
// safe for concurrent use; its lock is a leaf.
type Window struct {
	now func() time.Time
	// start is when the window was made. Parts are counted from then on: the time of day may
	// step, and back would keep what is long past, forward would forget what is not.
	start time.Time

	mu     sync.Mutex
	limits WindowLimits
	// first and retries count by part of the span, in a ring; head is the part of now.
	first, retries [buckets + 1]int
	head           int64
}

// NewWindow returns a window that has seen nothing. A nil now is the VM's clock.
func NewWindow(l WindowLimits, now func() time.Time) *Window {
	now = clock.OrSystem(now)
	return &Window{limits: l, now: now, start: now()}
}

// SetLimits changes the limits. What was seen stays, unless the span changes.
func (w *Window) SetLimits(l WindowLimits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.Span != w.limits.Span {
		w.first, w.retries = [buckets + 1]int{}, [buckets + 1]int{}
	}
	w.limits = l
}

// First notes a first attempt.
func (w *Window) First() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn()
	w.first[w.slot()]++
}

// Take spends one retry and reports whether there was one.
func (w *Window) Take() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn()
	if float64(sum(w.retries)+1) > w.limits.Ratio*float64(sum(w.first))+w.limits.Extra {
		return false
	}
	w.retries[w.slot()]++
	return true
}

// slot is the place of the present part in the ring.
func (w *Window) slot() int64 { return w.head % (buckets + 1) }

// turn clears the parts that have passed out of the window.
func (w *Window) turn() {
	part := int64(w.now().Sub(w.start) / (w.limits.Span / buckets))
	if part-w.head > buckets {
		w.first, w.retries = [buckets + 1]int{}, [buckets + 1]int{}
		w.head = part
	}
	for w.head < part {
		w.head++
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
