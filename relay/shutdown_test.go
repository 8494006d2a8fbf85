package relay

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/routes"
)

// Guards against a request that a VM passes on late in its shutdown although only the expected time of its answer is before
// the end, and not its deadline.
func TestDeadlinesLateInShutdown(t *testing.T) {
	const end = 3 * time.Second
	refused := outcome{Code: failure.Stopping, Ran: failure.NotRun}
	served := outcome{Status: 200, HeadSent: true, Body: "whole", Calls: []string{"send a"}, Attempts: 1}
	for name, tc := range map[string]struct {
		timeout, lateFrom time.Duration
		sends             []reply
		want              outcome
	}{
		"early, deadline after the end": {10 * time.Second, end, []reply{ok("whole")}, served},
		"deadline after the end":        {10 * time.Second, 0, []reply{ok("whole")}, refused},
		"deadline at the end":           {end, 0, []reply{ok("whole")}, refused},
		"deadline before the end":       {end - time.Millisecond, 0, []reply{ok("whole")}, served},
		"no deadline":                   {0, 0, []reply{ok("whole")}, refused},
		"after an attempt that may have run": {10 * time.Second, changeDelay, []reply{delayed(connectionLost(), 0, requestDelay), ok("whole")},
			outcome{Status: 200, HeadSent: true, Body: "whole", Calls: []string{"send a", "send b"}, Retries: 1, Attempts: 2, Elapsed: requestDelay}},
		"after an attempt that has not run": {10 * time.Second, changeDelay, []reply{delayed(notRun(), 0, requestDelay), ok("whole")},
			outcome{Code: failure.Stopping, Ran: failure.NotRun, Calls: []string{"send a"}, Retries: 1, Attempts: 1, Elapsed: requestDelay}},
	} {
		t.Run(name, func(t *testing.T) {
			var start time.Time
			sc := scenario{
				route: routes.Route{Kind: routes.Idempotent, MaxAttempts: 2, Objective: 100 * time.Millisecond},
				plans: []string{"a", "b"}, sends: tc.sends, budget: 1, timeout: tc.timeout,
				shutdownAt: func() time.Time {
					if start.IsZero() {
						start = time.Now()
					}
					return start.Add(end)
				},
				late: func() bool { return time.Since(start) >= tc.lateFrom },
			}
			if diff := cmp.Diff(tc.want, runScenario(t, sc)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
