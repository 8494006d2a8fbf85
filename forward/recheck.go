package forward

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/failure"
)

// maxReplans bounds how often one request is routed again because its endpoint left, or was
// withheld, while the request waited.
const maxReplans = 8

// recheck looks once more at where an attempt goes, after its prompt was prefilled elsewhere or its
// claim recorded: seconds in which the endpoint may begin to leave. A failure means that nothing is
// sent; the plan's endpoint is given back.
func (t *tries) recheck(plan Plan) *failure.Request {
	if plan.Recheck == nil {
		return nil
	}
	failed := plan.Recheck()
	if failed == nil {
		return nil
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_plans_changed_total{reason=%q}`, failed.Code)).Inc()
	klog.Infof("forward: request %s is not sent to %s as planned: %s", t.w.ID, plan.Target.Name, failed.Code)
	notMade(plan.Observer, failed)
	t.withdrawn = failed
	return failed
}

// again tells whether an attempt that was not sent is to be routed again. It counts as no attempt,
// and costs no retry.
func (t *tries) again(failed *failure.Request) bool {
	if t.withdrawn == nil || failed != t.withdrawn {
		return false
	}
	t.withdrawn = nil
	t.replans++
	return t.replans <= maxReplans
}
