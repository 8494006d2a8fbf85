package placement

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
)

const (
	// downTTL is how long an endpoint that was found down is avoided. By then its row has expired,
	// or it is back under the same incarnation.
	downTTL = 5 * time.Second
	// downRetryInterval is how often a VM tries a down endpoint if no other is left.
	downRetryInterval = 200 * time.Millisecond
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
	return !p.loads.get(e).down(now) && p.isHealthy(now, e) &&
		!p.loads.changesRole(now, e) && !slices.Contains(changing, e.ID)
}

// isHealthy reports whether an endpoint is not ejected. The caller holds mu.
func (p *Planner) isHealthy(now time.Time, e *directory.Endpoint) bool {
	return p.health.Status(e.ID).Usable(now.Sub(p.start))
}

// lastUp returns the ejected endpoints if all others of the service are down. They are no longer ejected: what fails some
// requests serves callers better than what accepts none. Engines that only prefill are left out, since others can do it.
func (d *decision) lastUp(registered, ejected []*directory.Endpoint, isDown loadSet) []*directory.Endpoint {
	isUp := func(e *directory.Endpoint) bool {
		return !e.Group().Prefills && isDown.get(e) == nil && d.p.isHealthy(d.now, e)
	}
	if len(ejected) == 0 || slices.ContainsFunc(registered, isUp) {
		return nil
	}
	var last []*directory.Endpoint
	for _, e := range ejected {
		if e.Group().Prefills || isDown.get(e) != nil || d.p.loads.changesRole(d.now, e) || d.isBlocked(e) {
			continue
		}
		klog.InfoS("placement: endpoint is no longer ejected, all others are down", "endpoint", e.ID, "service", e.Service)
		d.p.health.Readmit(d.now.Sub(d.p.start), e.ID)
		last = append(last, e)
	}
	return last
}
