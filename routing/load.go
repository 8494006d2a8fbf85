package routing

import (
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/fleet"
)

// maxPeers bounds the number of entry VMs whose unreported work is estimated. Above this number the
// local work says little about what the others send.
const maxPeers = 8

// meanSampleSize bounds the number of engines whose local work is averaged, so that the cost of a
// decision does not grow with the fleet.
const meanSampleSize = 16

// EstimatedLoad is the load of an engine as estimated from its reports and the tracked work.
type EstimatedLoad struct {
	// Requests are waiting or running. PromptTokens wait for prefill. ContextTokens belong to
	// sequences being decoded.
	Requests, PromptTokens, ContextTokens int
	// KVUsed and KVTotal are the used and total tokens of cache memory. A KVTotal of zero is
	// unknown.
	KVUsed, KVTotal int
}

// estimateLoad returns the estimated load of e. A report older than MaxReportAge is ignored in
// favour of the work in flight from the entry VMs, which is then the better estimate.
func (d *decider) estimateLoad(e *fleet.Endpoint) EstimatedLoad {
	c := &d.cfg.Costs
	if e.Age(d.r.Now) > c.MaxReportAge {
		return loadWithoutReport(e, d.peerWork(e.Role))
	}
	return c.loadFromReport(e, d.s.EntryVMs)
}

// loadFromReport returns the reported load plus the work that the report cannot include.
func (c *Costs) loadFromReport(e *fleet.Endpoint, entryVMs int) EstimatedLoad {
	unreported := e.LocalWork.Unreported.Scale(1 + c.PeerWorkFactor*float64(min(entryVMs-1, maxPeers)))
	return EstimatedLoad{
		Requests:      e.Load.Waiting + e.Load.Running + unreported.Requests,
		PromptTokens:  e.Load.WaitingTokens + unreported.PromptTokens,
		ContextTokens: e.Load.DecodeTokens + unreported.ContextTokens,
		KVUsed:        e.Load.KVUsed + unreported.ContextTokens,
		KVTotal:       e.Load.KVTotal,
	}
}

// loadWithoutReport estimates the load of an engine without a current report as the sum of the
// local work in flight and the estimated work of the other entry VMs. Half of the outstanding
// prompt tokens count as already computed.
func loadWithoutReport(e *fleet.Endpoint, peerWork fleet.Work) EstimatedLoad {
	total := e.LocalWork.InFlight.Add(peerWork)
	return EstimatedLoad{
		Requests:      total.Requests,
		PromptTokens:  total.PromptTokens / 2,
		ContextTokens: total.ContextTokens,
		KVUsed:        total.ContextTokens,
		KVTotal:       e.Load.KVTotal,
	}
}

// roleWork is the estimated work of the other entry VMs at each engine of a role.
type roleWork struct {
	role engine.Role
	work fleet.Work
}

// peerWork estimates the work that the other entry VMs of the zone have in flight at an engine of
// the role: for each of them, the mean of the local work at such engines. The local work at a
// single engine is a poor estimate, because each entry VM has only a few requests there.
func (d *decider) peerWork(role engine.Role) fleet.Work {
	for _, cached := range d.peerWorkByRole[:d.npeerWork] {
		if cached.role == role {
			return cached.work
		}
	}
	work := d.meanWork(role, float64(d.s.EntryVMs-1))
	d.peerWorkByRole[d.npeerWork] = roleWork{role, work}
	d.npeerWork++
	return work
}

// meanWork returns the mean of the local work at the engines of a role, multiplied by factor. It
// samples at most meanSampleSize engines.
func (d *decider) meanWork(role engine.Role, factor float64) fleet.Work {
	members := d.s.Engines(d.r.Artifact, role)
	n := min(len(members), meanSampleSize)
	start := 0
	if len(members) > n {
		start = d.rng.IntN(len(members))
	}
	var sum fleet.Work
	for i := range n {
		sum = sum.Add(d.s.At(members[(start+i)%len(members)]).LocalWork.InFlight)
	}
	return sum.Scale(factor / float64(max(1, n)))
}
