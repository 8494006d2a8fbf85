package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/relay"
)

// workload sends requests to a test region; some of them crash endpoints.
type workload struct {
	*testRegion
	rng  *rand.Rand
	live []*directory.Endpoint
	// sent, served and rejected count the innocent requests: all of them, those with a complete
	// response, and those that the guard refused, temporarily or not.
	sent, served, rejected int
}

// restartDelay is how long it takes until a crashed endpoint is replaced.
const restartDelay = 3 * time.Second

// pickVM returns a random VM.
func (w *workload) pickVM() *testVM {
	vms := w.all()
	w.mu.Lock()
	defer w.mu.Unlock()
	return vms[w.rng.IntN(len(vms))]
}

// pickEndpoint returns a random endpoint, or nil if none accepts connections.
func (w *workload) pickEndpoint() *directory.Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	up := slices.DeleteFunc(slices.Clone(w.live), func(e *directory.Endpoint) bool { return w.down[e.ID] })
	if len(up) == 0 {
		return nil
	}
	return up[w.rng.IntN(len(up))]
}

// send sends a request through a random VM, with one retry. It reports whether the request was
// answered and whether the guard refused it. If guarded is false, the guard only observes.
func (w *workload) send(q *relay.Request, work time.Duration, guarded bool) (answered, rejected bool) {
	v := w.pickVM()
	for range 2 {
		if _, failed := v.Check(q); failed != nil && guarded {
			return false, true
		}
		e := w.pickEndpoint()
		if e == nil {
			return false, false
		}
		if w.run(v, q, e, work) == relay.RunCompleted {
			return true, false
		}
	}
	return false, false
}

// replaceCrashed removes crashed endpoints and adds a new one for each after restartDelay.
func (w *workload) replaceCrashed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.live = slices.DeleteFunc(w.live, func(e *directory.Endpoint) bool {
		if !w.down[e.ID] {
			return false
		}
		time.AfterFunc(restartDelay, func() {
			fresh := w.endpoints(1)
			w.mu.Lock()
			defer w.mu.Unlock()
			w.live = append(w.live, fresh...)
		})
		return true
	})
}

// sendInnocent sends a harmless request whose caller retries it once.
func (w *workload) sendInnocent(n int, guarded bool) {
	// A tenth repeat an earlier request, as a polling page does.
	body := fmt.Sprint("innocent ", n)
	if n%10 == 0 {
		body = fmt.Sprint("poll ", n%70)
	}
	work := 60 * time.Millisecond
	if n%5 == 0 {
		work = 1500 * time.Millisecond
	}
	answered, rejected := false, false
	for attempt := range 2 {
		if answered {
			break
		}
		var refused bool
		answered, refused = w.send(request(fmt.Sprint("caller ", n%20), fmt.Sprint("i", n, ".", attempt), body), work, guarded)
		rejected = rejected || refused
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent++
	if answered {
		w.served++
	}
	if rejected {
		w.rejected++
	}
}

// sendPoison sends requests that crash endpoints until stop, one per interval, from twenty
// addresses. Each is sent twice, as by a caller that retries.
func (w *workload) sendPoison(stop time.Time, interval time.Duration, kinds int, guarded bool) {
	for n := 0; time.Now().Before(stop); n++ {
		body := fmt.Sprint("poison ", n%kinds)
		w.addPoison(body)
		go func() {
			for range 2 {
				w.send(request(fmt.Sprint("poisoner ", n%20), fmt.Sprint("p", n), body), time.Second, guarded)
			}
		}()
		time.Sleep(interval)
	}
}

// impact is the result of a simulation: the crashed endpoints and the counts of innocent requests.
type impact struct{ crashed, sent, served, rejected int }

func (i impact) servedShare() float64 { return float64(i.served) / float64(i.sent) }

// simulate runs twelve endpoints for a minute under 150 innocent requests per second, a fifth of
// which take 1.5 s, and one request that crashes endpoints per interval, with the given number of
// different bodies.
func simulate(t *testing.T, interval time.Duration, kinds int, guarded bool) (out impact) {
	synctest.Test(t, func(t *testing.T) {
		w := &workload{testRegion: newTestRegion(t, 8), rng: rand.New(rand.NewPCG(1, 2))}
		defer w.stopAll()
		w.live = w.endpoints(12)
		stop := time.Now().Add(time.Minute)
		go w.sendPoison(stop, interval, kinds, guarded)
		for n := 0; time.Now().Before(stop); n++ {
			time.Sleep(time.Second / 150)
			go w.sendInnocent(n, guarded)
			if n%15 == 0 {
				w.replaceCrashed()
			}
		}
		time.Sleep(10 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		out = impact{crashed: w.crashed, sent: w.sent, served: w.served, rejected: w.rejected}
	})
	return out
}

// Limits how many endpoints crash and how many innocent requests fail, for a few poison requests
// sent at a low rate and at ten times that, and for a flood of different poison requests that
// crashes an endpoint per second. Each poison request may crash three endpoints.
//
// If the guard only observes, 60, 228 and 80 endpoints crash, and shares of 1.00, 0.30 and 1.00 of
// the innocent requests are served. If it refuses requests, 6, 6 and 60 crash, and all are served.
func TestImpactOnInnocentRequests(t *testing.T) {
	for _, tc := range []struct {
		name        string
		interval    time.Duration
		kinds       int
		maxCrashed  int
		minServed   float64
		maxRejected int
	}{
		{"low rate", 4 * time.Second, 2, 7, 0.99, 2},
		{"ten times the rate", 400 * time.Millisecond, 2, 7, 0.99, 2},
		{"different requests, one crash per second", 3 * time.Second, 1 << 20, 66, 0.97, 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			before, after := simulate(t, tc.interval, tc.kinds, false), simulate(t, tc.interval, tc.kinds, true)
			t.Logf("without the guard: %d crashed, %.4f served; with it: %d crashed, %.4f served, %d of %d rejected",
				before.crashed, before.servedShare(), after.crashed, after.servedShare(), after.rejected, after.sent)
			if after.crashed > tc.maxCrashed {
				t.Errorf("%d endpoints crashed, want at most %d", after.crashed, tc.maxCrashed)
			}
			if after.servedShare() < tc.minServed {
				t.Errorf("%.4f of the innocent requests were served, want at least %.2f", after.servedShare(), tc.minServed)
			}
			if after.rejected > tc.maxRejected {
				t.Errorf("%d innocent requests were rejected", after.rejected)
			}
		})
	}
}
