package forward

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/failure"
)

// maxReroutes bounds how often one request is rerouted because its endpoint left or was withheld
// while the request waited.
const maxReroutes = 8

// recheck verifies that the plan's target may still be used after the prompt was prefilled on
// another engine or the claim was recorded. These steps take seconds, in which the endpoint may
// begin to leave. On failure nothing is sent, and the endpoint's reservation is released.
func (t *attemptTracker) recheck(plan Plan) *failure.Request {
	if plan.Recheck == nil {
		return nil
	}
	failed := plan.Recheck()
	if failed == nil {
		return nil
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_plans_changed_total{reason=%q}`, failed.Code)).Inc()
	klog.Infof("forward: request %s is not sent to %s as planned: %s", t.w.ID, plan.Target.Name, failed.Code)
	notifyNotSent(plan.Observer, failed)
	t.withdrawn = failed
	return failed
}

// shouldReroute reports whether an attempt that was not sent is to be routed again. Rerouting
// counts neither as an attempt nor against the retry budget.
func (t *attemptTracker) shouldReroute(failed *failure.Request) bool {
	if t.withdrawn == nil || failed != t.withdrawn {
		return false
	}
	t.withdrawn = nil
	t.reroutes++
	return t.reroutes <= maxReroutes
}
