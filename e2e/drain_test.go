package e2e

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// drainTimeout is twice the guaranteed 3 s, as a margin for a busy machine.
const drainTimeout = 6 * time.Second

// checkDrain makes an endpoint leave, and checks its record and the entries' metrics for new work
// sent to it later than drainTimeout afterwards.
func (s *site) checkDrain(e *endpoint, l *load, leave func()) {
	s.t.Helper()
	await(s.t, "work at "+e.name, func() bool { return len(s.history(e).Attempts) > 5 })
	leave()
	time.Sleep(drainTimeout)
	before, refusals := len(s.history(e).Attempts), s.endpointRefusals()
	l.awaitMore(10)
	if after := len(s.history(e).Attempts); after != before {
		s.t.Errorf("%d attempts started at leaving endpoint %s", after-before, e.name)
	}
	// An engine that announces its shutdown refuses requests.
	if after := s.endpointRefusals(); after != refusals {
		s.t.Errorf("%d requests were sent to a leaving engine and refused", after-refusals)
	}
}

// endpointRefusals returns the number of attempts refused by endpoints, from the entries' metrics.
func (s *site) endpointRefusals() int {
	s.t.Helper()
	sum := 0
	for _, v := range s.vms {
		sum += s.metric(v, `springweir_retries_total{reason="endpoint-refused"}`)
	}
	return sum
}

// metric reads a counter of an entry; a missing counter is zero.
func (s *site) metric(v *vm, name string) int {
	s.t.Helper()
	resp, err := client.Get("http://" + v.metrics() + "/metrics")
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, name+" "); found {
			n := 0
			_, _ = fmt.Sscan(value, &n)
			return n
		}
	}
	return 0
}
