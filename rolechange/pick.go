package rolechange

import (
	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
)

// engines returns a service's engines that stay, with the shape they will have.
func (k *Controller) engines(service string) ([]*directory.Endpoint, Shape) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []*directory.Endpoint
	var shape Shape
	for _, e := range k.cfg.Directory.Snapshot().Service(service) {
		if e.Expired {
			continue
		}
		list = append(list, e)
		role := e.Role
		if c, ok := k.changing[e.ID]; ok {
			role = c.to
		}
		if role == engine.Prefill {
			shape.Prefill++
		} else {
			shape.Decode++
		}
	}
	return list, shape
}

// pick returns the engine to move to a role: one of the zone that has most of
// the other role, with the fewest requests running.
func (k *Controller) pick(engines []*directory.Endpoint, to engine.Role) *directory.Endpoint {
	movable, byZone := k.movable(engines, to)
	var best *directory.Endpoint
	for _, e := range movable {
		if best == nil || byZone[e.Zone] > byZone[best.Zone] ||
			byZone[e.Zone] == byZone[best.Zone] && k.cfg.InFlight(e.ID) < k.cfg.InFlight(best.ID) {
			best = e
		}
	}
	return best
}

// movable returns the engines that could be moved to a role, and how many of the
// other role each zone has.
func (k *Controller) movable(engines []*directory.Endpoint, to engine.Role) ([]*directory.Endpoint, map[string]int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	byZone := map[string]int{}
	var movable []*directory.Endpoint
	for _, e := range engines {
		c, changing := k.changing[e.ID]
		if changing && c.to != to || !changing && e.Role != to {
			byZone[e.Zone]++
		}
		if !changing && e.Role != to {
			movable = append(movable, e)
		}
	}
	return movable, byZone
}
