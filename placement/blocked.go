package placement

import (
	"slices"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/relay"
	"github.com/springweir/springweir/signals"
)

// isBlocked reports whether the endpoint's own signals (rate limit or backoff) forbid sending it
// this request now. It records blocked and rate-limited endpoints in d.
func (d *decision) isBlocked(e *directory.Endpoint) bool {
	block, limited := d.p.signals.Check(e, d.req.Priority(), d.p.random.Float64)
	if block.Reason == "" {
		if limited {
			d.rateLimited = append(d.rateLimited, e)
		}
		return false
	}
	if d.numBlocked == 0 || block.RetryAfter < d.unblockedAfter {
		d.unblockedAfter = block.RetryAfter
	}
	d.numBlocked++
	return true
}

// withRateLimited adds to the chosen endpoints the rate-limited ones among the others. Few VMs may
// use what remains of a limit, and a sample of many endpoints would rarely include them.
func (d *decision) withRateLimited(chosen, others []*directory.Endpoint) []*directory.Endpoint {
	if len(d.rateLimited) == 0 {
		return chosen
	}
	list := slices.Clone(chosen)
	for _, e := range others {
		if slices.Contains(d.rateLimited, e) && !slices.Contains(list, e) {
			list = append(list, e)
		}
	}
	return list
}

// unavailable returns the refusal of a request for which no endpoint is usable.
func (d *decision) unavailable(message string) *failure.Request {
	if d.numWithheld > 0 {
		return d.withheld()
	}
	if d.numBlocked == 0 {
		return noEndpoint(message, d.p.tuning.ComeBack)
	}
	retryAfter := d.retryAfter()
	d.logRefusal("placement: refused, endpoints are rate-limited or backing off", "request", d.req.ID, "service", d.req.Service, "try", d.prior.Number,
		"blocked", d.numBlocked, "freeInMS", d.unblockedAfter.Milliseconds(), "retryAfterMS", retryAfter.Milliseconds())
	return &failure.Request{Code: failure.EndpointsLimited, Ran: failure.NotRun, RetryAfter: retryAfter, Message: message + ": they have named limits or asked for a backoff"}
}

// maxRetryAfter bounds the retry-after time of a refusal that is due to endpoint signals: another
// VM may have part of the limit left sooner.
const maxRetryAfter = 2 * time.Second

// retryAfter returns when a caller should retry: after the first endpoint is unblocked, with jitter
// so that callers do not return at the same time.
func (d *decision) retryAfter() time.Duration {
	earliest := max(d.p.tuning.ComeBack, min(d.unblockedAfter, maxRetryAfter))
	return earliest + time.Duration(d.p.random.Int64N(int64(earliest)))
}

// planCause converts the reason of a signal to the cause of a changed plan.
func planCause(reason signals.Reason) relay.PlanChange {
	switch reason {
	case signals.RateLimited:
		return relay.EndpointRateLimited
	case signals.BackingOff:
		return relay.EndpointBackingOff
	}
	return ""
}
