package placement

import (
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/rolechange"
	"github.com/springweir/springweir/routes"
)

// Pressure tells what the engines of a service have to do now, for all VMs.
func (p *Planner) Pressure(s *routes.Service) rolechange.Pressure {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := rolechange.Pressure{Slots: s.Engine.Slots}
	var wait time.Duration
	prefill := 0
	for _, e := range p.directory.Snapshot().Service(s.Name) {
		k := p.books.of(e)
		open := p.books.open(k)
		if e.Role != engine.Prefill {
			out.Running += open.runs
			continue
		}
		prefill++
		wait += p.paceOf(s.Name, e.Role).time(open.prefill)
	}
	if prefill > 0 {
		out.PrefillWait = wait / time.Duration(prefill)
	}
	return out
}
