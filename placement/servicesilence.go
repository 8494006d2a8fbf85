package placement

import (
	"slices"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/relay"
)

// A request may be silent for long at a slow endpoint, so that its attempt is given up late. Its VM sends
// the endpoint no others meanwhile once the request takes longer than predicted, unless the endpoint
// answers. An endpoint that is silent for good is thus avoided no later than when every attempt was
// given up early.

const (
	// overdueFraction is the part of a route's objective before which no request is overdue, and
	// overdueFactor the multiple of the predicted duration.
	overdueFraction = relay.DefaultStallFraction
	overdueFactor   = 2
	// silentFor is how long an endpoint is avoided after a request became overdue or was given up. Then it
	// gets another one, since it may be sound: a second one that is given up ejects it.
	silentFor = time.Second
)

// overdueAt returns when a request that is sent now takes longer than its endpoint should.
func (d *decision) overdueAt(o serviceOption) time.Time {
	limit := time.Duration(overdueFraction * float64(d.req.Route.Objective))
	return d.now.Add(max(limit, overdueFactor*o.end(), relay.DefaultMinStallTimeout))
}

// openCall and closeCall add and remove an open request.
func (e *endpointLoad) openCall(r *reservation) {
	if e.calls == nil {
		e.calls = map[*reservation]bool{}
	}
	e.calls[r] = true
}

func (e *endpointLoad) closeCall(r *reservation) { delete(e.calls, r) }

// isSilent reports whether an endpoint has sent nothing for longer than it should. Requests that were sent
// before the endpoint was found down say nothing about it now.
func (p *Planner) isSilent(now time.Time, e *endpointLoad) bool {
	if p.silentSince(now, e, e.silentAt) {
		return true
	}
	for r := range e.calls {
		if r.sentAt.After(e.downAt) && p.silentSince(now, e, r.call.overdueAt) && !e.heardSince(r.sentAt.Sub(p.start)) {
			return true
		}
	}
	return false
}

// silentSince reports whether an endpoint was found silent at a time within silentFor, and has sent nothing since.
func (p *Planner) silentSince(now time.Time, e *endpointLoad, at time.Time) bool {
	return !at.IsZero() && !now.Before(at) && now.Sub(at) < silentFor && !e.heardSince(at.Sub(p.start))
}

// withoutSilent returns the endpoints that are not silent, or all if all are.
func (d *decision) withoutSilent(endpoints []*directory.Endpoint) []*directory.Endpoint {
	if !d.p.tuning.SlowIsNotDead {
		return endpoints
	}
	isSilent := func(e *directory.Endpoint) bool { return d.p.isSilent(d.now, d.p.loads.get(e)) }
	if !slices.ContainsFunc(endpoints, isSilent) {
		return endpoints
	}
	if rest := slices.DeleteFunc(slices.Clone(endpoints), isSilent); len(rest) > 0 {
		return rest
	}
	return endpoints
}
