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

// randomRequest returns the n-th of a mix of requests and the time after which its caller
// disconnects: streamed and unstreamed chats, rejected requests, and calls with every
// outcome.
func randomRequest(n int, rng *rand.Rand) (request, time.Duration) {
	prompt := strings.Repeat("May a container stand here? ", 1+rng.IntN(40)) + fmt.Sprint(n)
	timeout := time.Hour
	if rng.IntN(4) == 0 {
		timeout = time.Duration(rng.IntN(800)) * time.Millisecond
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
		// Few keys, so that some calls are repeated, and some keys are reused with another
		// body.
		r = request{
			method: http.MethodPost, path: "/s/slots/confirm", body: fmt.Sprint(rng.IntN(2)),
			header: map[string]string{"Idempotency-Key": fmt.Sprint("key-", rng.IntN(40))},
		}
	case 5:
		r = request{method: http.MethodPost, path: "/s/slots/confirm", body: "no key"}
	}
	return r, timeout
}

// injectFaults repeatedly changes the behaviour of the service, the table and an engine
// until ctx ends.
func (s *testZone) injectFaults(ctx context.Context) {
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

// TestReservationsAreReleased checks that everything a request acquires (the gate's
// reservation, which a drain waits for, and both load reservations) is released whatever
// its outcome.
func TestReservationsAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := inMemoryOptions()
		o.engines = 4
		o.roles = []engine.Role{engine.Prefill, engine.Decode}
		s := newTestZone(t, o)
		defer s.shutDown()
		ctx, cancel := context.WithCancel(t.Context())
		go s.injectFaults(ctx)
		statuses := s.sendMixed(ctx)
		cancel()
		time.Sleep(time.Minute)
		t.Logf("responses by status: %v", statuses)
		for _, status := range []int{200, 404, 409, 503} {
			if statuses[status] == 0 {
				t.Errorf("no request got status %d: the mix does not cover it", status)
			}
		}
		for i, e := range s.engines {
			if len(e.History().Attempts) == 0 {
				t.Errorf("engine %d with role %s was not used", i, o.roles[i%len(o.roles)])
			}
		}
		s.checkNothingReserved()
	})
}

// TestRefusedAfterAdmission checks that a request whose engines are all withheld between
// its admission and its attempt releases its reservation.
func TestRefusedAfterAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestZone(t, inMemoryOptions())
		defer s.shutDown()
		for i := range s.engines {
			s.entry.gate.Withhold(engineName(i), 100)
		}
		// The snapshot used for admission shows this only after the next refresh.
		status, _, err := s.do(t.Context(), chatRequest("May it?", 10, false))
		if status != http.StatusServiceUnavailable || err != nil {
			t.Errorf("status %d, error %v", status, err)
		}
		s.checkNothingReserved()
	})
}

// sendMixed sends the mix and counts the responses by status; zero means no response.
func (s *testZone) sendMixed(ctx context.Context) map[int]int {
	statuses := map[int]int{}
	var mu sync.Mutex
	var workers sync.WaitGroup
	for worker := range mixedWorkers {
		rng := rand.New(rand.NewPCG(7, uint64(worker)))
		workers.Go(func() {
			for n := worker; n < mixedRequests; n += mixedWorkers {
				r, timeout := randomRequest(n, rng)
				ctx, cancel := context.WithTimeout(ctx, timeout)
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

func (s *testZone) checkNothingReserved() {
	s.tb.Helper()
	c := s.entry.common
	for _, e := range c.store.Snapshot().Endpoints() {
		if n := c.gate.Streams(e.Name); n != 0 {
			s.tb.Errorf("%s: the gate counts %d attempts", e.Name, n)
		}
		if e.LocalWork != (fleet.LocalWork{}) {
			s.tb.Errorf("%s: local work %+v is still reserved", e.Name, e.LocalWork)
		}
	}
	c.provisional.byRequest.Range(func(id, name any) bool {
		s.tb.Errorf("request %v still holds a reservation at %v", id, name)
		return true
	})
	if n := s.entry.upstreams.waiting(); n != 0 {
		s.tb.Errorf("%d requests are queued for admission", n)
	}
	if n := s.entry.requests.open.Load(); n != 0 {
		s.tb.Errorf("%d requests are open", n)
	}
}
