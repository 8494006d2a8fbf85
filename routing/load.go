package routing

import (
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/fleet"
)

// maxOthers bounds the entries whose unseen work is assumed: among more than
// these an entry's own work tells little of what the others send.
const maxOthers = 8

// meanOver bounds the engines whose own work is averaged, so that a decision's
// cost does not grow with the fleet.
const meanOver = 16

// Assumed is an engine's load as routing assumes it to be.
type Assumed struct {
	// Requests are running or waiting; PromptTokens wait for prefill;
	// ContextTokens are being decoded over.
	Requests, PromptTokens, ContextTokens int
	// KVUsed and KVTotal are tokens of cache memory; zero KVTotal is unknown.
	KVUsed, KVTotal int
}

// load is what e is assumed to have to do. A report that is too old is not
// believed at all; the entries' work in flight is then the better guess.
func (d *decider) load(e *fleet.Endpoint) Assumed {
	c := &d.cfg.Costs
	if e.Age(d.r.Now) > c.MaxReportAge {
		return guess(e, d.others(e.Role))
	}
	return c.reported(e, d.s.EntryVMs)
}

// reported adds to the report what it cannot include.
func (c *Costs) reported(e *fleet.Endpoint, entries int) Assumed {
	unseen := e.LocalWork.Unreported.Scale(1 + c.PeerWorkFactor*float64(min(entries-1, maxOthers)))
	return Assumed{
		Requests:      e.Load.Waiting + e.Load.Running + unseen.Requests,
		PromptTokens:  e.Load.WaitingTokens + unseen.PromptTokens,
		ContextTokens: e.Load.DecodeTokens + unseen.ContextTokens,
		KVUsed:        e.Load.KVUsed + unseen.ContextTokens,
		KVTotal:       e.Load.KVTotal,
	}
}

// guess is the load of an engine without a report: the own work and that of the
// other entries. Of the prompts not yet computed half is taken as done.
func guess(e *fleet.Endpoint, others fleet.Work) Assumed {
	all := e.LocalWork.InFlight.Add(others)
	return Assumed{
		Requests:      all.Requests,
		PromptTokens:  all.PromptTokens / 2,
		ContextTokens: all.ContextTokens,
		KVUsed:        all.ContextTokens,
		KVTotal:       e.Load.KVTotal,
	}
}

// roleWork is the work that the other entries are assumed to have at each
// engine of a role.
type roleWork struct {
	role engine.Role
	work fleet.Work
}

// others guesses what the zone's other entries have in flight at an engine of
// role: as much each as this one has at such engines on average. The own work at
// one engine is a bad guess of theirs, since each entry has few requests there.
func (d *decider) others(role engine.Role) fleet.Work {
	for _, known := range d.elsewhere[:d.nelsewhere] {
		if known.role == role {
			return known.work
		}
	}
	work := d.mean(role, float64(d.s.EntryVMs-1))
	d.elsewhere[d.nelsewhere] = roleWork{role, work}
	d.nelsewhere++
	return work
}

// mean is the mean own work at the engines of a role, times factor.
func (d *decider) mean(role engine.Role, factor float64) fleet.Work {
	members := d.s.Engines(d.r.Artifact, role)
	n := min(len(members), meanOver)
	from := 0
	if len(members) > n {
		from = d.rng.IntN(len(members))
	}
	var sum fleet.Work
	for i := range n {
		sum = sum.Add(d.s.At(members[(from+i)%len(members)]).LocalWork.InFlight)
	}
	return sum.Scale(factor / float64(max(1, n)))
}
