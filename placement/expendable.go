package placement

import (
	"slices"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/relay"
)

// suspectRetryAfter is the shortest time after which a suspect should retry. It takes seconds to
// replace a crashed endpoint.
const suspectRetryAfter = time.Second

// suspect is a request that may crash endpoints.
type suspect struct {
	// key identifies the request on all VMs. It is zero if other requests are suspected of other crashes:
	// all of them then run on the same endpoints, so that together they crash no more than one would.
	key uint32
	// reserve is the number of endpoints of a group that must stay up if it crashes all others; zero
	// if the request is not suspected.
	reserve int
	// copiesOn holds the IDs of the endpoints on which copies of the request are running.
	copiesOn []string
	// preferred is set if the request may run on the reserved endpoints too if the others refuse it.
	preferred bool
}

// minRetryReserve is the number of endpoints that stay up for others at least when a suspect is tried
// again: another request that nothing is known of may crash one of them meanwhile.
const minRetryReserve = 2

// suspectOf returns the suspect that an attempt is. As many endpoints stay up as it is suspected of
// having crashed, and one more for the first attempt of a request: it repeats another one, of which
// more copies may be running. A stream that has begun is less suspect and would be cut, so
// minRetryReserve does not hold for it. A request of which nothing is known prefers the endpoints on which copies
// of it run, or otherwise to leave one.
func suspectOf(prior relay.AttemptState) suspect {
	s := suspect{key: prior.Suspicion.Key, reserve: prior.Suspicion.Crashes, copiesOn: prior.Suspicion.CopiesOn}
	switch {
	case prior.Streaming:
	case prior.Suspicion.Unknown:
		return suspect{key: s.key, reserve: 1, copiesOn: s.copiesOn, preferred: true}
	case s.reserve == 0 && prior.Suspicion.Bystander:
		s.reserve = 1
	case s.reserve > 0 && len(prior.Tried) == 0:
		s.reserve++
	case s.reserve > 0:
		s.reserve = max(s.reserve, minRetryReserve)
	}
	if prior.Suspicion.Others {
		s.key = 0
	}
	return s
}

// expendableIn returns the endpoints of a group on which a suspect may run. At most all but one of
// the group's usual number are reserved for others; an endpoint on which a copy of the suspect runs
// cannot be reserved, since the copy may crash it. All VMs choose the same ones, as far as they know
// the same endpoints to be up, so that copies of the request on different VMs crash no more. Invariant: all
// suspects leave one and the same endpoint, whichever of the registered ones their VMs know, unless copies run
// there. changing is as for isUp. The caller holds mu.
func (p *Planner) expendableIn(g directory.Group, s suspect, changing []string) []*directory.Endpoint {
	now := p.now()
	var unaffected, withCopy []*directory.Endpoint
	for _, e := range p.directory.Snapshot().Service(g.Service) {
		switch {
		case e.Group() != g, !p.isUp(e, changing):
		case slices.Contains(s.copiesOn, e.ID):
			withCopy = append(withCopy, e)
		default:
			unaffected = append(unaffected, e)
		}
	}
	if s.preferred && len(withCopy) > 0 {
		return withCopy
	}
	usual := len(unaffected) + len(withCopy)
	if size := p.groups[g]; size != nil {
		usual = max(usual, size.reference(now))
	}
	reserved := min(s.reserve, usual-1)
	candidates := unaffected
	if reserved > 0 && !s.preferred {
		candidates = rendezvousTop(0, unaffected, max(0, len(unaffected)-1))
	}
	return append(withCopy, rendezvousTop(s.key, candidates, max(0, len(unaffected)-reserved))...)
}

// expendable returns the endpoints on which the request may run: all of them unless it is suspected
// of crashing endpoints.
func (d *decision) expendable(endpoints []*directory.Endpoint) []*directory.Endpoint {
	if d.suspect.reserve == 0 {
		return endpoints
	}
	allowed := map[directory.Group][]*directory.Endpoint{}
	var list []*directory.Endpoint
	for _, e := range endpoints {
		g := e.Group()
		if _, known := allowed[g]; !known {
			allowed[g] = d.p.expendableIn(g, d.suspect, d.changing)
		}
		if slices.Contains(allowed[g], e) {
			list = append(list, e)
		}
	}
	d.numWithheld = len(endpoints) - len(list)
	return list
}

// isExpendable reports whether a suspect may still run on an endpoint.
func (p *Planner) isExpendable(s suspect, e *directory.Endpoint) bool {
	if s.reserve == 0 {
		return true
	}
	changing := p.roleChanges() // takes a lock of its own, so it is not called under mu
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.expendableIn(e.Group(), s, changing), func(allowed *directory.Endpoint) bool {
		return allowed.ID == e.ID
	})
}

// withheld returns the refusal of a suspect that may run on none of the endpoints that are up.
func (d *decision) withheld() *failure.Request {
	retryAfter := suspectRetryAfter + time.Duration(d.p.random.Int64N(int64(suspectRetryAfter)))
	d.logRefusal("placement: refused, suspected of crashing endpoints and too few are up", "request", d.req.ID, "service", d.req.Service, "try", d.prior.Number,
		"crashes", d.prior.Suspicion.Crashes, "withheld", d.numWithheld, "retryAfterMS", retryAfter.Milliseconds())
	return &failure.Request{
		Code: failure.CrashSuspected, Ran: failure.NotRun, RetryAfter: retryAfter,
		Message: "endpoints crashed while this request was at work there, and too few are up to run it again",
	}
}
