package entry

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/health"
)

// phase returns the health phase of an endpoint in the current snapshot.
func (s *testZone) phase(name string) health.Phase {
	for _, e := range s.entry.common.store.Snapshot().Endpoints() {
		if e.Name == name {
			return e.Health.Phase
		}
	}
	s.tb.Errorf("no endpoint %s", name)
	return 0
}

// TestEjectedServiceIsProbedBeforeCalls checks that an ejected endpoint whose calls must
// not be repeated gets no call before it has accepted a connection, and gets calls again
// after that.
func TestEjectedServiceIsProbedBeforeCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := inMemoryOptions()
		address := o.listenAt(2, 9600)
		o.extraSettings = "[endpoint \"slots-2\"]\nzone = a\nservice = slots\naddress = " + address + "\n"
		s := newTestZone(t, o)
		defer s.shutDown()
		keys := 0
		call := func(times int) {
			for range times {
				keys++
				status, body, err := s.do(t.Context(), request{
					method: http.MethodPost, path: "/s/slots/confirm",
					header: map[string]string{"Idempotency-Key": fmt.Sprint("slot-", keys)},
				})
				if status != http.StatusOK || err != nil {
					t.Errorf("status %d, error %v: %s", status, err, body)
				}
			}
		}
		call(40)
		if got := s.phase("slots-2"); got != health.Ejected {
			t.Fatalf("nothing listens at slots-2, but its phase is %d", got)
		}
		// Each call records the endpoint's phase at the time of the call.
		during := map[health.Phase]bool{}
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			during[s.phase("slots-2")] = true
			s.services.ServeHTTP(w, r)
		})
		s.listenFor(handler, address)
		for range 200 {
			call(2)
			time.Sleep(100 * time.Millisecond)
		}
		if diff := cmp.Diff(map[health.Phase]bool{health.Healthy: true}, during); diff != "" {
			t.Errorf("phases of slots-2 at its calls (-want +got):\n%s", diff)
		}
	})
}
