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

// leaver is a service endpoint that says it leaves.
type leaver struct {
	http.Handler
	// refuses tells whether it runs no call any more.
	refuses bool
	start   time.Time
	// calls are the seconds at which it was called, rounded down to 20: which
	// call is sent to it once it may be is drawn.
	calls []int
}

// ServeHTTP implements http.Handler.
func (l *leaver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

// TestServiceThatLeavesGetsNoNewWork shows that a service endpoint which said so
// in an answer, in a refusal, or to another entry gets no more calls, and that
// after a minute a single one finds out whether it is back.
func TestServiceThatLeavesGetsNoNewWork(t *testing.T) {
	tests := []struct {
		name          string
		refuses, told bool
		want          []int
	}{
		{"in an answer", false, false, []int{0, 60, 120}},
		{"in a refusal", true, false, []int{0, 60, 120}},
		{"to another entry", true, true, []int{60, 120}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := inMemory()
				o.more = "[endpoint \"slots-2\"]\nzone = a\nservice = slots\naddress = " + o.listenAt(2, 9600) + "\n"
				s := newSite(t, o)
				defer s.shutDown()
				l := &leaver{Handler: s.services, refuses: tt.refuses, start: time.Now()}
				s.listenFor(l, o.listenAt(2, 9600))
				if tt.told {
					s.entry.leave.Record("slots-2", incarnationLeaving, true)
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
