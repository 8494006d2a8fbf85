package simulate

import (
	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/roles"
)

// plan runs the role planner of a zone and starts the role changes that it
// decides.
func (p *springweir) plan(s *sim, zone int) {
	if p.variant.roles == nil {
		return
	}
	z := p.zones[zone]
	d, h := roles.Plan(p.snapshot(s, zone), s.now, *p.variant.roles, z.history)
	z.history = h.Record(s.now, *p.variant.roles, d.Changes)
	for _, c := range d.Changes {
		s.changeRole(s.nodeByName(c.Engine), c.To)
	}
}

// snapshot returns the input of the zone's planner: the engines as seen by the
// first entry VM, and the demand of all entry VMs.
func (p *springweir) snapshot(s *sim, zone int) roles.Snapshot {
	z := p.zones[zone]
	snap := roles.Snapshot{PlatformLost: s.partitioned[zone]}
	for _, e := range z.entries[0].store.Snapshot().Endpoints() {
		snap.Engines = append(snap.Engines, roles.Engine{
			Name:        e.Name,
			Role:        e.Role,
			Unavailable: e.Withheld,
			Unusable:    !e.Reported || e.SelfLeaving || e.Leaving || !e.Health.Usable(s.now),
			ReportAge:   e.Age(s.now),
			Load:        e.Load,
		})
	}
	var parts []roles.Demand
	for _, vm := range z.entries {
		parts = append(parts, vm.meter.Demand(s.now))
	}
	snap.Demand = roles.Merge(parts, 0, len(z.entries))
	return snap
}

// publishWithheld updates the entry VMs on which engines are withheld for a
// role change.
func (p *springweir) publishWithheld(s *sim, zone int) {
	z := p.zones[zone]
	for i := range enginesPerZone {
		n := s.nodes[zone*enginesPerZone+i]
		if z.publishedWithheld[i] == n.changingRole {
			continue
		}
		z.publishedWithheld[i] = n.changingRole
		for _, vm := range z.entries {
			vm.store.SetWithheld(n.name, n.changingRole)
		}
	}
}

// exchangeSummaries gives the entry VMs of a zone the summaries of the other
// reachable zones.
func (p *springweir) exchangeSummaries(s *sim, zone int) {
	var summaries []fleet.ZoneSummary
	senders := (zones - 1) * s.opt.Entries
	for other := range zones {
		if other == zone || s.partitioned[zone] || s.partitioned[other] {
			continue
		}
		view := p.zones[other].entries[0].store.Snapshot()
		summaries = append(summaries, p.router.Summary(view, s.now, senders))
	}
	for _, vm := range p.zones[zone].entries {
		vm.store.SetZones(summaries, s.opt.Entries)
	}
}
