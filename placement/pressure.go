package placement

import (
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/rolechange"
	"github.com/springweir/springweir/routes"
)

// Pressure returns the current load of the engines of a service, from all VMs.
func (p *Planner) Pressure(s *routes.Service) rolechange.Pressure {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := rolechange.Pressure{Slots: s.Engine.Slots}
	var wait time.Duration
	prefill := 0
	for _, e := range p.directory.Snapshot().Service(s.Name) {
		load := p.loads.get(e)
		inFlight := p.loads.inFlight(load)
		if e.Role != engine.Prefill {
			out.Running += inFlight.running
			continue
		}
		prefill++
		wait += p.prefillTime(e, inFlight.prefill)
	}
	if prefill > 0 {
		out.PrefillWait = wait / time.Duration(prefill)
	}
	return out
}
