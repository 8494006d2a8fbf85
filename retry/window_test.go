package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// testClock is a clock that tests advance.
type testClock struct{ t time.Time }

func (c *testClock) now() time.Time { return c.t }

func TestWindowEarnsAndExpiresRetries(t *testing.T) {
	c := &testClock{time.Unix(1000, 0)}
	w := NewWindow(WindowLimits{Span: 10 * time.Second, Ratio: 0.2, Extra: 3}, c.now)
	take := func() (n int) {
		for w.Take() {
			n++
		}
		return n
	}
	if n := take(); n != 3 {
		t.Errorf("%d retries without first attempts, want the extra 3", n)
	}
	for range 50 {
		w.First()
	}
	if n := take(); n != 10 {
		t.Errorf("%d more for 50 first attempts, want 10", n)
	}
	c.t = c.t.Add(9 * time.Second)
	if n := take(); n != 0 {
		t.Errorf("%d more within the window, want 0", n)
	}
	c.t = c.t.Add(2 * time.Second)
	if n := take(); n != 3 {
		t.Errorf("%d in the next window, want 3", n)
	}
	w.SetLimits(WindowLimits{Span: 10 * time.Second, Ratio: 0.2, Extra: 5})
	if n := take(); n != 2 {
		t.Errorf("%d more after the limit increased by 2, want 2", n)
	}
}

// No window of the span's length contains more retries than the bound, wherever it starts. The
// bound is earned by the first attempts in a window that ends with the last of those retries and is
// one bucket longer than the span.
func TestWindowBoundInEverySpan(t *testing.T) {
	const span = 10 * time.Second
	limits := WindowLimits{Span: span, Ratio: 0.2, Extra: 5}
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		c := &testClock{time.Unix(1000, 0)}
		w := NewWindow(limits, c.now)
		var first, retries []time.Time
		rate := 1 + rng.IntN(100)
		for c.t.Before(time.Unix(1060, 0)) {
			if rng.IntN(200) == 0 {
				rate = 1 + rng.IntN(100) // the load changes
			}
			c.t = c.t.Add(time.Duration(rng.Int64N(int64(2 * time.Second / time.Duration(rate)))))
			w.First()
			first = append(first, c.t)
			for range rng.IntN(3) {
				if w.Take() {
					retries = append(retries, c.t)
				}
			}
		}
		for _, begin := range retries {
			n, last := 0, begin
			for _, at := range retries {
				if !at.Before(begin) && at.Before(begin.Add(span)) {
					n++
					last = at
				}
			}
			earned := 0
			for _, at := range first {
				if at.After(last.Add(-span-span/buckets)) && !at.After(last) {
					earned++
				}
			}
			if bound := limits.Ratio*float64(earned) + limits.Extra; float64(n) > bound {
				t.Fatalf("seed %d: %d retries in the span from %v, the bound is %.1f", seed, n, begin, bound)
			}
		}
	}
}
