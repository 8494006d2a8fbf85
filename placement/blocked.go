package placement

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/relay"
	"github.com/springweir/springweir/signals"
)

// isBlocked tells whether an endpoint has said that it takes nothing from this VM now.
func (d *decision) isBlocked(e *directory.Endpoint) bool {
	block, limited := d.p.signals.Check(e, d.r.Priority(), d.p.random.Float64)
	if block.Reason == "" {
		if limited {
			d.limited = append(d.limited, e)
		}
		return false
	}
	if d.blocked == 0 || block.RetryAfter < d.blockedFor {
		d.blockedFor = block.RetryAfter
	}
	d.blocked++
	return true
}

// withLimited adds to a choice of endpoints the limited ones among the others: few VMs may use what a
// limit leaves, and a draw among many endpoints would miss them.
func (d *decision) withLimited(chosen, others []*directory.Endpoint) []*directory.Endpoint {
	if len(d.limited) == 0 {
		return chosen
	}
	list := slices.Clone(chosen)
	for _, e := range others {
		if slices.Contains(d.limited, e) && !slices.Contains(list, e) {
			list = append(list, e)
		}
	}
	return list
}

// unavailable refuses a request that no endpoint takes now.
func (d *decision) unavailable(message string) *failure.Request {
	if d.blocked == 0 {
		return noEndpoint(message, d.p.tuning.RetryAfter)
	}
	after := d.returnAfter()
	klog.InfoS("placement: refused, the endpoints take nothing now by their own signals", "request", d.r.ID, "service", d.r.Service, "try", d.try.Number,
		"blocked", d.blocked, "freeInMS", d.blockedFor.Milliseconds(), "retryAfterMS", after.Milliseconds())
	return &failure.Request{Code: failure.EndpointsLimited, Ran: failure.NotRun, RetryAfter: after, Message: message + ": they have named limits or asked for a backoff"}
}

// maxReturn bounds the time after which a refused caller may come back: another VM may have
// something left sooner.
const maxReturn = 2 * time.Second

// returnAfter is when a caller should come back: once the first endpoint takes something again, spread
// so that callers do not return together.
func (d *decision) returnAfter() time.Duration {
	first := max(d.p.tuning.RetryAfter, min(d.blockedFor, maxReturn))
	return first + time.Duration(d.p.random.Int64N(int64(first)))
}

// causeOf is a signal's reason as a cause for another plan.
func causeOf(reason signals.Reason) relay.PlanChange {
	switch reason {
	case signals.RateLimited:
		return relay.EndpointRateLimited
	case signals.BackingOff:
		return relay.EndpointBackingOff
	}
	return ""
}
