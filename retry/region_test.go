package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// testClock is a clock that tests advance.
type testClock struct{ t time.Time }

func (c *testClock) now() time.Time { return c.t }

func TestSavedRetriesExpireWithTheirFirstAttempts(t *testing.T) {
	c := &testClock{time.Unix(1000, 0)}
	limits := Limits{Ratio: 0.2, BurstRatio: 0.1, BurstSpan: 10 * time.Second, Burst: 3, FloorPerSecond: 0.5, StartsEmpty: true}
	b := NewBudget(limits, c.now)
	take := func() (n int) {
		for b.Take() {
			n++
		}
		return n
	}
	if n := take(); n != 0 {
		t.Errorf("%d retries of a new budget, want 0", n)
	}
	for range 50 {
		b.First()
	}
	if n := take(); n != 8 {
		t.Errorf("%d retries for 50 first attempts, want 3 + 50*0.1", n)
	}
	for range 50 {
		b.First()
	}
	c.t = c.t.Add(11 * time.Second)
	if n := take(); n != 3 {
		t.Errorf("%d retries when the first attempts have left the window, want 3", n)
	}
	c.t = c.t.Add(4 * time.Second)
	if n := take(); n != 2 {
		t.Errorf("%d retries after 4 s, want 2", n)
	}
	c.t = c.t.Add(time.Minute)
	limits.Burst = 1
	b.SetLimits(limits)
	if n := take(); n != 1 {
		t.Errorf("%d retries after the limit was reduced, want 1", n)
	}
}

// region is a set of VMs whose callers' requests all fail and are retried where the budget allows it.
type region struct {
	limits         RegionLimits
	clock          *testClock
	vms            []*Budget
	first, retries []time.Time
}

func (r *region) restart(vm int) { r.vms[vm] = NewBudget(r.limits.PerVM(len(r.vms)), r.clock.now) }

func (r *region) request(vm, retries int) {
	r.vms[vm].First()
	r.first = append(r.first, r.clock.t)
	for range retries {
		if r.vms[vm].Take() {
			r.retries = append(r.retries, r.clock.t)
		}
	}
}

// within returns how many times lie in [from, to).
func within(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// No window of the span's length contains more retries than its first attempts and those of the window before allow,
// wherever it starts, however the load changes and moves between VMs, and whenever VMs restart.
func TestRegionBoundInEverySpan(t *testing.T) {
	limits := RegionLimits{Span: 10 * time.Second, Ratio: 0.2, Extra: 30}
	for seed := range uint64(50) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			r := &region{limits: limits, clock: &testClock{time.Unix(1000, 0)}, vms: make([]*Budget, 1+rng.IntN(12))}
			for i := range r.vms {
				r.restart(i)
			}
			rate, busy := 1+rng.IntN(100), rng.IntN(len(r.vms))
			for r.clock.t.Before(time.Unix(1060, 0)) {
				if rng.IntN(100) == 0 {
					rate, busy = 1+rng.IntN(100), rng.IntN(len(r.vms))
				}
				if rng.IntN(20) == 0 {
					r.restart(rng.IntN(len(r.vms)))
				}
				r.clock.t = r.clock.t.Add(time.Duration(rng.Int64N(int64(2 * time.Second / time.Duration(rate)))))
				r.request((busy+rng.IntN(2))%len(r.vms), rng.IntN(3))
			}
			for _, from := range r.retries {
				n := within(r.retries, from, from.Add(limits.Span))
				requests := max(within(r.first, from, from.Add(limits.Span)), within(r.first, from.Add(-limits.Span), from))
				if bound := limits.Ratio*float64(requests) + limits.Extra; float64(n) > bound {
					t.Fatalf("%d retries in the window from %v, the bound is %.1f", n, from, bound)
				}
			}
		})
	}
}
