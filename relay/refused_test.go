package relay

import (
	"slices"
	"testing"

	"golang.org/x/sys/unix"

	"github.com/springweir/springweir/failure"
)

// connectionRefused returns the failure of an endpoint that accepts no connections.
func connectionRefused() reply {
	return reply{failed: &failure.Request{Code: failure.EndpointUnreachable, Ran: failure.NotRun, Cause: unix.ECONNREFUSED}}
}

// Guards against a request that fails with endpoints left, because it has tried as many as it may and
// all of them were down. Endpoints that do not respond keep the lower bound: each costs a timeout.
func TestRefusedConnectionsAreRetriedFurther(t *testing.T) {
	for _, tc := range []struct {
		name  string
		tried reply
		n     int
		want  int
	}{
		{"a few refused connections", connectionRefused(), DefaultMaxEndpoints + 3, 200},
		{"as many as are allowed", connectionRefused(), maxRefusedConnections - 1, 200},
		{"too many", connectionRefused(), maxRefusedConnections, 0},
		{"too many that do not respond", unreachable(), DefaultMaxEndpoints, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := scenario{route: nonIdempotent, sends: append(slices.Repeat([]reply{tc.tried}, tc.n), ok("served"))}
			for i := range tc.n + 1 {
				s.plans = append(s.plans, string(rune('a'+i)))
			}
			got := runScenario(t, s)
			if got.Status != tc.want || got.Ran != failure.NotRun && tc.want == 0 {
				t.Errorf("got %+v, want status %d", got, tc.want)
			}
		})
	}
}
