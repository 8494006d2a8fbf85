package relay

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/failure"
)

// payment names what allowed an attempt that reached an endpoint.
type payment string

const (
	// paidByFirst is the first run of a request or the first separate prefill of its prompt.
	paidByFirst payment = "first"
	// paidByRetry is a further one, for which a retry was taken from the budget.
	paidByRetry payment = "retry"
	// paidByBackup is a run that resumes on its backup without a retry.
	paidByBackup payment = "backup"
	// unpaid is a further one without a retry.
	unpaid payment = "none"
)

// arrivals counts the attempts of a request that may have reached an endpoint of its service, and the retries
// taken for them.
type arrivals struct{ runs, prefills, retries int }

// prefill records a separate prefill and returns what paid for it.
func (a *arrivals) prefill() payment {
	a.prefills++
	return a.payment(a.prefills == 1)
}

// run records a run, which resumes on its backup or not, and returns what paid for it.
func (a *arrivals) run(resumes bool) payment {
	if resumes {
		return paidByBackup
	}
	a.runs++
	return a.payment(a.runs == 1)
}

func (a *arrivals) payment(first bool) payment {
	switch {
	case first:
		return paidByFirst
	case max(0, a.runs-1)+max(0, a.prefills-1) <= a.retries:
		return paidByRetry
	}
	return unpaid
}

// recordPrefill counts a separate prefill that ended with failed, or succeeded if that is nil.
func (j *job) recordPrefill(failed *failure.Request) {
	if j.withdrawn == nil && !isUnreachable(failed) {
		j.countArrival(j.arrivals.prefill())
	}
}

// recordRun counts a run whose response has begun, or that ended with failed.
func (j *job) recordRun(failed *failure.Request) {
	if j.withdrawn == nil && !isUnreachable(failed) {
		j.countArrival(j.arrivals.run(j.resumeHandle != nil))
	}
}

func (j *job) countArrival(p payment) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_relay_arrivals_total{service=%q,paid=%q}`, j.req.Service, p)).Inc()
	if p == unpaid {
		klog.InfoS("relay: attempt without a retry from the budget", "request", j.req.ID, "service", j.req.Service, "endpoint", j.result.Endpoint,
			"runs", j.arrivals.runs, "prefills", j.arrivals.prefills, "retries", j.arrivals.retries)
	}
}
