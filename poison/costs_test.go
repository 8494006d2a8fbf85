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

// load is a fleet under requests, some of which crash endpoints.
type load struct {
	*region
	rng  *rand.Rand
	live []*directory.Endpoint
	// sent, served and wronged count the innocent requests: all, those with a whole answer and
	// those that were refused or held back as if they crashed endpoints.
	sent, served, wronged int
}

// engineAway is how long an endpoint that crashed is away.
const engineAway = 3 * time.Second

// pickVM draws a VM.
func (l *load) pickVM() *vm {
	vms := l.all()
	l.mu.Lock()
	defer l.mu.Unlock()
	return vms[l.rng.IntN(len(vms))]
}

// pickEndpoint draws an endpoint, or returns nil if none takes connections.
func (l *load) pickEndpoint() *directory.Endpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	up := slices.DeleteFunc(slices.Clone(l.live), func(e *directory.Endpoint) bool { return l.gone[e.ID] })
	if len(up) == 0 {
		return nil
	}
	return up[l.rng.IntN(len(up))]
}

// send sends a request through a VM that is drawn, with a second try, and tells whether it was
// answered, and whether it was refused. With guarded unset the guard only watches.
func (l *load) send(q *relay.Request, work time.Duration, guarded bool) (answered, turnedAway bool) {
	v := l.pickVM()
	for range 2 {
		if failed := v.Check(q); failed != nil && guarded {
			return false, true
		}
		e := l.pickEndpoint()
		if e == nil {
			return false, false
		}
		if l.run(v, q, e, work) == relay.RunCompleted {
			return true, false
		}
	}
	return false, false
}

// replace has endpoints that crashed come back as new ones.
func (l *load) replace() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.live = slices.DeleteFunc(l.live, func(e *directory.Endpoint) bool {
		if !l.gone[e.ID] {
			return false
		}
		time.AfterFunc(engineAway, func() {
			fresh := l.endpoints(1)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.live = append(l.live, fresh...)
		})
		return true
	})
}

// innocent sends a request of a caller that sends it once more if that fails.
func (l *load) innocent(n int, guarded bool) {
	// A tenth are repeats of what was sent before, as of a page that polls.
	body := fmt.Sprint("innocent ", n)
	if n%10 == 0 {
		body = fmt.Sprint("poll ", n%70)
	}
	work := 60 * time.Millisecond
	if n%5 == 0 {
		work = 1500 * time.Millisecond
	}
	answered, turnedAway := false, false
	for try := range 2 {
		if answered {
			break
		}
		var refused bool
		answered, refused = l.send(request(fmt.Sprint("caller ", n%20), fmt.Sprint("i", n, ".", try), body), work, guarded)
		turnedAway = turnedAway || refused
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	if answered {
		l.served++
	}
	if turnedAway {
		l.wronged++
	}
}

// poisoner sends requests that crash endpoints until a time, each with one try more, as callers
// do, from twenty addresses.
func (l *load) poisoner(stop time.Time, pause time.Duration, kinds int, guarded bool) {
	for n := 0; time.Now().Before(stop); n++ {
		body := fmt.Sprint("poison ", n%kinds)
		l.harmful(body)
		go func() {
			for range 2 {
				l.send(request(fmt.Sprint("poisoner ", n%20), fmt.Sprint("p", n), body), time.Second, guarded)
			}
		}()
		time.Sleep(pause)
	}
}

// costs are what a load came to.
type costs struct{ lost, sent, served, wronged int }

func (c costs) share() float64 { return float64(c.served) / float64(c.sent) }

// play plays 150 innocent requests a second for a minute, a fifth of which take 1.5 s, on twelve
// endpoints, beside requests that crash endpoints: one each pause, of some kinds.
func play(t *testing.T, pause time.Duration, kinds int, guarded bool) (out costs) {
	synctest.Test(t, func(t *testing.T) {
		l := &load{region: newRegion(t, 8), rng: rand.New(rand.NewPCG(1, 2))}
		defer l.end()
		l.live = l.endpoints(12)
		stop := time.Now().Add(time.Minute)
		go l.poisoner(stop, pause, kinds, guarded)
		for n := 0; time.Now().Before(stop); n++ {
			time.Sleep(time.Second / 150)
			go l.innocent(n, guarded)
			if n%15 == 0 {
				l.replace()
			}
		}
		time.Sleep(10 * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		out = costs{lost: l.lost, sent: l.sent, served: l.served, wronged: l.wronged}
	})
	return out
}

// The load of the incident, at its rate and at ten times that, and a flood of different
// requests that lose an endpoint a second. Each such request may cost three endpoints.
//
// Where the guard only watches: 60, 228 and 80 endpoints are lost, and 1.00, 0.30 and 1.00 of
// the others are served. Where it refuses: 6, 6 and 60, and all are served.
func TestWhatItCostsOthers(t *testing.T) {
	for _, tc := range []struct {
		name       string
		pause      time.Duration
		kinds      int
		lost       int
		served     float64
		maxWronged int
	}{
		{"at the rate of the incident", 4 * time.Second, 2, 7, 0.99, 2},
		{"at ten times that", 400 * time.Millisecond, 2, 7, 0.99, 2},
		{"a new request each three seconds, so an endpoint a second", 3 * time.Second, 1 << 20, 66, 0.97, 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			before, after := play(t, tc.pause, tc.kinds, false), play(t, tc.pause, tc.kinds, true)
			t.Logf("without: %d lost, %.4f served; with: %d lost, %.4f served, %d of %d refused or held back",
				before.lost, before.share(), after.lost, after.share(), after.wronged, after.sent)
			if after.lost > tc.lost {
				t.Errorf("%d endpoints were lost, want %d at most", after.lost, tc.lost)
			}
			if after.share() < tc.served {
				t.Errorf("%.4f of the others were served, want %.2f", after.share(), tc.served)
			}
			if after.wronged > tc.maxWronged {
				t.Errorf("%d innocent requests were refused or held back", after.wronged)
			}
		})
	}
}
