package entry

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/service"
)

// leavingService is a service endpoint that reports that it is leaving.
type leavingService struct {
	http.Handler
	// refuses is set if the endpoint rejects all calls.
	refuses bool
	start   time.Time
	// calls holds the seconds at which it was called, rounded down to multiples of 20,
	// because the call that is routed to it after the leaving state expires is random.
	calls []int
}

// ServeHTTP implements http.Handler.
func (l *leavingService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.calls = append(l.calls, int(time.Since(l.start)/(20*time.Second))*20)
	w.Header().Set(service.LeavingHeader, "true")
	if l.refuses {
		w.Header().Set(service.AttemptHeader, r.Header.Get(service.AttemptHeader))
		w.Header().Set(service.NotRunHeader, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	l.Handler.ServeHTTP(w, r)
}

// TestLeavingServiceGetsNoNewWork checks that a service endpoint which reported that it is
// leaving, in a response, in a rejection or to another entry, gets no more calls, and that
// after a minute a single call finds out whether it is available again.
func TestLeavingServiceGetsNoNewWork(t *testing.T) {
	tests := []struct {
		name               string
		refuses, announced bool
		want               []int
	}{
		{"in a response", false, false, []int{0, 60, 120}},
		{"in a rejection", true, false, []int{0, 60, 120}},
		{"to another entry", true, true, []int{60, 120}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := inMemoryOptions()
				o.extraSettings = "[endpoint \"slots-2\"]\nzone = a\nservice = slots\naddress = " + o.listenAt(2, 9600) + "\n"
				s := newTestZone(t, o)
				defer s.shutDown()
				l := &leavingService{Handler: s.services, refuses: tt.refuses, start: time.Now()}
				s.listenFor(l, o.listenAt(2, 9600))
				if tt.announced {
					s.entry.leavingSet.Record("slots-2", incarnationLeaving, true)
				}
				for n := 0; time.Since(l.start) < 150*time.Second; n++ {
					status, body, err := s.do(t.Context(), request{
						method: http.MethodPost, path: "/s/slots/confirm",
						header: map[string]string{"Idempotency-Key": fmt.Sprint("slot-", n)},
					})
					if status != http.StatusOK || err != nil {
						t.Fatalf("status %d, error %v: %s", status, err, body)
					}
					time.Sleep(250 * time.Millisecond)
				}
				if diff := cmp.Diff(tt.want, l.calls); diff != "" {
					t.Errorf("seconds at which it was called (-want +got):\n%s", diff)
				}
			})
		})
	}
}
