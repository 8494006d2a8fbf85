package gateway

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/retry"
)

// regionLimits are the limits of a region in these tests.
var regionLimits = retry.RegionLimits{Span: 10 * time.Second, Ratio: 0.2, Extra: 206}

// budgetFleet plays the retry budgets of the VMs of a region. Callers' requests reach a random VM that is up.
type budgetFleet struct {
	rng *rand.Rand
	// vms holds the budget of each VM, or nil while it is down.
	vms           []*retryBudgets
	firsts, extra []time.Time
}

func newBudgetFleet(seed uint64, vms int) *budgetFleet {
	f := &budgetFleet{rng: rand.New(rand.NewPCG(seed, 0))}
	f.add(vms)
	return f
}

// share returns a random share of the VMs.
func (f *budgetFleet) share(s float64) []int {
	return f.rng.Perm(len(f.vms))[:int(s*float64(len(f.vms)))]
}

// stop stops VMs, which forget what they counted.
func (f *budgetFleet) stop(vms ...int) {
	for _, i := range vms {
		f.vms[i] = nil
	}
}

// start starts VMs that are down again. They know the roster at once; a VM that is down keeps its row there.
func (f *budgetFleet) start(vms ...int) {
	for _, i := range vms {
		if f.vms[i] == nil {
			f.vms[i] = newRetryBudgets(regionLimits)
			f.vms[i].setVMCount(len(f.vms), false)
		}
	}
}

// add adds VMs to the region, one after the other.
func (f *budgetFleet) add(n int) {
	for range n {
		added := newRetryBudgets(regionLimits)
		f.vms = append(f.vms, added)
		for _, b := range f.vms {
			if b != nil {
				b.setVMCount(len(f.vms), b == added)
			}
		}
	}
}

// request plays a request that fails with some probability and is then retried, if the budget allows that.
func (f *budgetFleet) request(failing float64) {
	f.firsts = append(f.firsts, time.Now())
	var up []*retryBudgets
	for _, b := range f.vms {
		if b != nil {
			up = append(up, b)
		}
	}
	if len(up) == 0 {
		return
	}
	budget := up[f.rng.IntN(len(up))].forService("s")
	budget.First()
	if f.rng.Float64() < failing && budget.Take() {
		f.extra = append(f.extra, time.Now())
	}
}

// play sends requests at a rate per second for some time.
func (f *budgetFleet) play(d time.Duration, rate, failing float64) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second)))
		f.request(failing)
	}
}

// count returns how many times lie in [from, from + span).
func count(times []time.Time, from time.Time, span time.Duration) int {
	begin, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(span), time.Time.Compare)
	return end - begin
}

// check compares the retries of all VMs in each window with what the limits allow for the requests of that
// window, the one before it or the one half a window before it, whichever has most.
func (f *budgetFleet) check(t *testing.T) {
	t.Helper()
	span, most := regionLimits.Span, 0.0
	for _, from := range f.extra {
		requests := max(count(f.firsts, from, span), count(f.firsts, from.Add(-span), span), count(f.firsts, from.Add(-span/2), span))
		allowed, n := regionLimits.Ratio*float64(requests)+regionLimits.Extra, count(f.extra, from, span)
		if most = max(most, float64(n)/allowed); float64(n) > allowed {
			t.Errorf("%d retries in a window, %.0f allowed for %d requests", n, allowed, requests)
			return
		}
	}
	t.Logf("%d retries, at most %.2f of those allowed in a window", len(f.extra), most)
}

// Guards against VMs that spend the retry budget of the region again after a restart, because they have forgotten
// what they spent.
func TestRestartsDoNotRenewTheRetryBudget(t *testing.T) {
	const usual = 485 // requests/s
	for name, play := range map[string]func(*budgetFleet){
		"no restart": func(f *budgetFleet) {
			f.play(10*time.Second, usual, 0)
			f.play(30*time.Second, usual, 0.8)
		},
		"most VMs killed after the first failures": func(f *budgetFleet) {
			f.play(10*time.Second, usual, 0)
			f.play(2300*time.Millisecond, usual, 0.8)
			killed := f.share(0.8)
			f.stop(killed...)
			f.play(time.Second, usual, 0.8)
			f.start(killed...)
			f.play(20*time.Second, usual, 0.8)
		},
		"kills in series": func(f *budgetFleet) {
			f.play(10*time.Second, usual, 0)
			for range 20 {
				killed := f.share(0.3)
				f.play(time.Second, usual, 0.8)
				f.stop(killed...)
				f.play(500*time.Millisecond, usual, 0.8)
				f.start(killed...)
			}
		},
		"rolling restart": func(f *budgetFleet) {
			f.play(10*time.Second, usual, 0)
			f.play(time.Second, usual, 0.8)
			for i := 0; i < len(f.vms); i += 8 {
				restarted := []int{}
				for j := i; j < min(i+8, len(f.vms)); j++ {
					restarted = append(restarted, j)
				}
				f.stop(restarted...)
				f.play(800*time.Millisecond, usual, 0.8)
				f.start(restarted...)
			}
			f.play(10*time.Second, usual, 0.8)
		},
		"kills in series with little traffic": func(f *budgetFleet) {
			f.play(10*time.Second, 20, 0)
			for range 30 {
				killed := f.share(0.8)
				f.play(300*time.Millisecond, 200, 1)
				f.stop(killed...)
				f.play(200*time.Millisecond, 200, 1)
				f.start(killed...)
			}
		},
		"most VMs lost for good": func(f *budgetFleet) {
			f.play(10*time.Second, usual, 0)
			f.play(2300*time.Millisecond, usual, 0.8)
			f.stop(f.share(0.8)...)
			f.play(20*time.Second, usual, 0.8)
		},
		"traffic ends": func(f *budgetFleet) {
			f.play(10*time.Second, usual, 0)
			f.play(2*time.Second, usual, 0.8)
			f.play(20*time.Second, 10, 1)
		},
		"VMs added": func(f *budgetFleet) {
			f.play(10*time.Second, usual, 0)
			for range 20 {
				f.play(500*time.Millisecond, usual, 0.8)
				f.add(4)
			}
			f.play(10*time.Second, usual, 0.8)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newBudgetFleet(66, 83)
				play(f)
				f.check(t)
			})
		})
	}
}
