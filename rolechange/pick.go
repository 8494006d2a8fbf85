package rolechange

import (
	"cmp"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
)

// engines returns the engines of a service except those with an expired row, and their number by
// software version and role once the pending changes are complete.
func (c *Controller) engines(service string) ([]*directory.Endpoint, softwareCounts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*directory.Endpoint
	counts := softwareCounts{}
	for _, e := range c.cfg.Directory.Snapshot().Service(service) {
		if e.Expired {
			continue
		}
		list = append(list, e)
		role := e.Role
		if p, ok := c.changing[e.ID]; ok {
			role = p.to
		}
		counts.add(e.Software(), role)
	}
	return list, counts
}

// pick returns the engine to move to a role: of the software version that deviates most from its share
// of the prefill engines that are wanted, in the availability zone with the most engines of the other
// role, the one with the fewest requests in flight. It returns nil if no engine can be moved.
func (c *Controller) pick(engines []*directory.Endpoint, counts softwareCounts, want int, to engine.Role) *directory.Endpoint {
	movable, byZone := c.movable(engines, counts, to)
	var best *directory.Endpoint
	for _, e := range movable {
		if best == nil {
			best = e
			continue
		}
		order := cmp.Or(cmp.Compare(counts.surplus(e.Software(), want, to), counts.surplus(best.Software(), want, to)), cmp.Compare(byZone[e.Zone], byZone[best.Zone]))
		if order > 0 || order == 0 && c.cfg.InFlight(e.ID) < c.cfg.InFlight(best.ID) {
			best = e
		}
	}
	return best
}

// movable returns the engines that can be moved to a role, and the number of engines of the other
// role in each availability zone.
func (c *Controller) movable(engines []*directory.Endpoint, counts softwareCounts, to engine.Role) ([]*directory.Endpoint, map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	byZone := map[string]int{}
	var movable []*directory.Endpoint
	for _, e := range engines {
		p, changing := c.changing[e.ID]
		if changing && p.to != to || !changing && e.Role != to {
			byZone[e.Zone]++
		}
		if !changing && e.Role != to && counts.mayMove(e.Software(), to) {
			movable = append(movable, e)
		}
	}
	return movable, byZone
}
