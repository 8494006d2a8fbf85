package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/fleet"
	standinservice "github.com/springweir/springweir/standin/service"
)

const (
	mixedRequests = 1000
	mixedWorkers  = 8
)

// mixed makes the n-th of a mix of requests: whole and streamed chats, ones
// that are refused, that their callers leave, and calls of every outcome.
func mixed(n int, rng *rand.Rand) (request, time.Duration) {
	prompt := strings.Repeat("May a container stand here? ", 1+rng.IntN(40)) + fmt.Sprint(n)
	patience := time.Hour
	if rng.IntN(4) == 0 {
		patience = time.Duration(rng.IntN(800)) * time.Millisecond
	}
	r := chatRequest(prompt, 1+rng.IntN(40), rng.IntN(2) == 0)
	switch rng.IntN(8) {
	case 0:
		r.body = `{"model":"none","messages":[{"role":"user","content":"x"}]}`
	case 1:
		r.header = map[string]string{"Springweir-Deadline-Ms": "30"}
	case 2:
		r = request{method: http.MethodGet, path: "/s/rates/parity"}
	case 3, 4:
		// Few keys, so that calls are repeated, and reused with another body.
		r = request{
			method: http.MethodPost, path: "/s/slots/confirm", body: fmt.Sprint(rng.IntN(2)),
			header: map[string]string{"Idempotency-Key": fmt.Sprint("key-", rng.IntN(40))},
		}
	case 5:
		r = request{method: http.MethodPost, path: "/s/slots/confirm", body: "no key"}
	}
	return r, patience
}

// disturb changes how the service, the table and an engine behave, over and over.
func (s *site) disturb(ctx context.Context) {
	modes := []standinservice.Mode{standinservice.Normal, standinservice.Refuse, standinservice.CrashAfterRun, standinservice.Crossed, standinservice.Slow}
	for n := 0; ctx.Err() == nil; n++ {
		s.services.Set(modes[n%len(modes)], 300*time.Millisecond, 0)
		s.rows.SetDown(n%7 == 3)
		if n%9 == 5 {
			s.engines[n%len(s.engines)].Freeze()
		}
		time.Sleep(700 * time.Millisecond)
		for _, e := range s.engines {
			e.Thaw()
		}
	}
	s.rows.SetDown(false)
}

// TestNothingLeaks shows that what a request takes (the gate's hold, which a
// drain waits for, both reservations) is given back whatever
// becomes of it.
func TestNothingLeaks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := inMemory()
		o.engines = 4
		o.roles = []engine.Role{engine.Prefill, engine.Decode}
		s := newSite(t, o)
		defer s.shutDown()
		ctx, cancel := context.WithCancel(t.Context())
		go s.disturb(ctx)
		statuses := s.sendMixed(ctx)
		cancel()
		time.Sleep(time.Minute)
		t.Logf("answers by status: %v", statuses)
		for _, status := range []int{200, 404, 409, 503} {
			if statuses[status] == 0 {
				t.Errorf("no request got status %d, so the mix does not test it", status)
			}
		}
		for i, e := range s.engines {
			if len(e.History().Attempts) == 0 {
				t.Errorf("engine %d, which is for %s, was not used", i, o.roles[i%len(o.roles)])
			}
		}
		s.checkNothingHeld()
	})
}

// TestRefusedAfterAdmission shows that a request whose engines are all withheld
// between its admission and its attempt gives its reservation back.
func TestRefusedAfterAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, inMemory())
		defer s.shutDown()
		for i := range s.engines {
			s.entry.gate.Withhold(engineName(i), 100)
		}
		// The snapshot that admits does not show it before the next refresh.
		status, _, err := s.do(t.Context(), chatRequest("May it?", 10, false))
		if status != http.StatusServiceUnavailable || err != nil {
			t.Errorf("status %d, error %v", status, err)
		}
		s.checkNothingHeld()
	})
}

// sendMixed sends the mix and counts the answers by status; zero is none.
func (s *site) sendMixed(ctx context.Context) map[int]int {
	statuses := map[int]int{}
	var mu sync.Mutex
	var workers sync.WaitGroup
	for worker := range mixedWorkers {
		rng := rand.New(rand.NewPCG(7, uint64(worker)))
		workers.Go(func() {
			for n := worker; n < mixedRequests; n += mixedWorkers {
				r, patience := mixed(n, rng)
				ctx, cancel := context.WithTimeout(ctx, patience)
				status, _, _ := s.do(ctx, r)
				cancel()
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	return statuses
}

func (s *site) checkNothingHeld() {
	s.tb.Helper()
	d := s.entry.common
	for _, e := range d.store.Snapshot().Endpoints() {
		if n := d.gate.Streams(e.Name); n != 0 {
			s.tb.Errorf("%s: the gate counts %d attempts", e.Name, n)
		}
		if e.LocalWork != (fleet.LocalWork{}) {
			s.tb.Errorf("%s: own work %+v is still reserved", e.Name, e.LocalWork)
		}
	}
	d.provisional.byRequest.Range(func(id, name any) bool {
		s.tb.Errorf("request %v still holds a reservation at %v", id, name)
		return true
	})
	if n := s.entry.upstreams.waiting(); n != 0 {
		s.tb.Errorf("%d requests wait for admission", n)
	}
	if n := s.entry.requests.open.Load(); n != 0 {
		s.tb.Errorf("%d requests are open", n)
	}
}
