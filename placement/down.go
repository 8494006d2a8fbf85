package placement

import (
	"slices"
	"time"

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
	return !p.loads.get(e).down(now) && p.health.Status(e.ID).Usable(now.Sub(p.start)) &&
		!p.loads.changesRole(now, e) && !slices.Contains(changing, e.ID)
}
