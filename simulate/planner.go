package simulate

import (
	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/roles"
)

// plan runs the role planner of a zone and orders its changes.
func (p *springweir) plan(s *sim, zone int) {
	if p.variant.roles == nil {
		return
	}
	z := p.zones[zone]
	d, h := roles.Plan(p.snapshot(s, zone), s.now, *p.variant.roles, z.history)
	z.history = h.Record(s.now, *p.variant.roles, d.Changes)
	for _, c := range d.Changes {
		s.changeRole(s.named(c.Engine), c.To)
	}
}

// snapshot is what the zone's planner knows: the first entry VM's view of the
// engines and the demand of all.
func (p *springweir) snapshot(s *sim, zone int) roles.Snapshot {
	z := p.zones[zone]
	snap := roles.Snapshot{PlatformLost: s.cut[zone]}
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

// tell passes on to the entry VMs which engines are withheld.
func (p *springweir) tell(s *sim, zone int) {
	z := p.zones[zone]
	for i := range enginesPerZone {
		n := s.nodes[zone*enginesPerZone+i]
		if z.withheld[i] == n.withheld {
			continue
		}
		z.withheld[i] = n.withheld
		for _, vm := range z.entries {
			vm.store.SetWithheld(n.name, n.withheld)
		}
	}
}

// exchange gives the entry VMs of a zone the summaries of the others that it
// can reach.
func (p *springweir) exchange(s *sim, zone int) {
	var summaries []fleet.ZoneSummary
	senders := (zones - 1) * s.opt.Entries
	for other := range zones {
		if other == zone || s.cut[zone] || s.cut[other] {
			continue
		}
		view := p.zones[other].entries[0].store.Snapshot()
		summaries = append(summaries, p.router.Summary(view, s.now, senders))
	}
	for _, vm := range p.zones[zone].entries {
		vm.store.SetZones(summaries, s.opt.Entries)
	}
}
