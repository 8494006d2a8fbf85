package placement

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/relay"
)

const (
	// downTTL is how long an endpoint that was found down is avoided. By then its row has expired,
	// or it is back under the same incarnation.
	downTTL = 5 * time.Second
	// downRetryInterval is how often a VM tries a down endpoint if no other is left.
	downRetryInterval = 200 * time.Millisecond
	// groupPeakTTL is how long a former size of a group that has shrunk is its reference: longer than it
	// takes to replace a crashed endpoint.
	groupPeakTTL = 10 * time.Second
	// suspectRetryAfter is the shortest time after which a suspect should retry. It takes seconds to
	// replace a crashed endpoint.
	suspectRetryAfter = time.Second
)

// down reports whether the endpoint was found down within downTTL.
func (e *endpointLoad) down(now time.Time) bool {
	return !e.downAt.IsZero() && now.Sub(e.downAt) < downTTL
}

// recordServed records that the endpoint has served a request. One that was sent before the endpoint
// was found down says nothing: its response may have been on the way.
func (e *endpointLoad) recordServed(sentAt time.Time) {
	if sentAt.After(e.downAt) {
		e.downAt = time.Time{}
	}
}

// MarkDown records that an endpoint accepts no more connections.
func (p *Planner) MarkDown(e *directory.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markDown(p.loads.get(e))
}

// IsDown reports whether an endpoint was found down within downTTL.
func (p *Planner) IsDown(e *directory.Endpoint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	load := p.loads.byID[e.ID]
	return load != nil && load.startedAt == e.StartedAt && load.down(p.now())
}

// markDown records that an endpoint accepts no more connections. The caller holds mu.
func (p *Planner) markDown(load *endpointLoad) {
	wasDown := load.down(p.now())
	load.downAt = p.now()
	p.loads.recordDown(load)
	if !wasDown {
		p.recordGroups(p.directory.Snapshot())
	}
	p.onDown()
}

// isUp reports whether an endpoint is neither down nor ejected nor changing its role. changing holds
// the IDs of the engines whose role change this VM has ordered. The caller holds mu.
func (p *Planner) isUp(e *directory.Endpoint, changing []string) bool {
	now := p.now()
	return !p.loads.get(e).down(now) && p.health.Status(e.ID).Usable(now.Sub(p.start)) &&
		!p.loads.changesRole(now, e) && !slices.Contains(changing, e.ID)
}

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
}

// minRetryReserve is the number of endpoints that stay up for others at least when a suspect is tried
// again: another request that nothing is known of may crash one of them meanwhile.
const minRetryReserve = 2

// suspectOf returns the suspect that an attempt is. As many endpoints stay up as it is suspected of
// having crashed, and one more for the first attempt of a request: it repeats another one, of which
// more copies may be running. A stream that has begun is less suspect and would be cut, so
// minRetryReserve does not hold for it.
func suspectOf(prior relay.AttemptState) suspect {
	s := suspect{key: prior.Suspicion.Key, reserve: prior.Suspicion.Crashes, copiesOn: prior.Suspicion.CopiesOn}
	switch {
	case prior.Streaming:
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
// the same endpoints to be up, so that copies of the request on different VMs crash no more.
// changing is as for isUp. The caller holds mu.
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
	usual := len(unaffected) + len(withCopy)
	if size := p.groups[g]; size != nil {
		usual = max(usual, size.reference(now))
	}
	reserved := min(s.reserve, usual-1)
	return append(withCopy, rendezvousTop(s.key, unaffected, max(0, len(unaffected)-reserved))...)
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
	klog.InfoS("placement: refused, suspected of crashing endpoints and too few are up", "request", d.req.ID, "service", d.req.Service, "try", d.prior.Number,
		"crashes", d.prior.Suspicion.Crashes, "withheld", d.numWithheld, "retryAfterMS", retryAfter.Milliseconds())
	return &failure.Request{
		Code: failure.CrashSuspected, Ran: failure.NotRun, RetryAfter: retryAfter,
		Message: "endpoints crashed while this request was at work there, and too few are up to run it again",
	}
}
