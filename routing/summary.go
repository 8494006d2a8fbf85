package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/weightstore"
)

// Summary returns what this zone reports to other zones about its free capacity. Each of the
// senders, the entry VMs of other zones, receives an equal share of half of the available prompt
// budget, so that together they cannot fill the zone before its next summary. Engines with stale
// reports are not counted.
func (ro *Router) Summary(s *fleet.Snapshot, now time.Duration, senders int) fleet.ZoneSummary {
	out := fleet.ZoneSummary{Zone: s.Zone, CreatedAt: now, Reachable: true}
	var waits, steps []time.Duration
	budget := 0
	for _, e := range s.Endpoints() {
		if e.Kind != fleet.Engine || !e.Available() || !e.Health.Usable(now) || e.Age(now) > ro.cfg.Costs.MaxReportAge {
			continue
		}
		out.Models = addMissing(out.Models, e.Loaded)
		load := ro.cfg.Costs.loadFromReport(e, s.EntryVMs)
		step := ro.cfg.Costs.stepTime(load.Requests, load.ContextTokens)
		if e.Role != engine.Decode {
			waits = append(waits, ro.cfg.Costs.prefillTime(load.PromptTokens, e.Role, step))
			budget += ro.promptBudget(load)
		}
		if e.Role != engine.Prefill {
			steps = append(steps, ro.cfg.Costs.stepTime(load.Requests+1, load.ContextTokens))
		}
	}
	out.PromptBudget = budget / 2 / max(1, senders)
	out.TTFT, out.PerToken = median(waits), median(steps)
	if len(steps) == 0 {
		out.PromptBudget = 0
	}
	return out
}

// promptBudget returns the number of prompt tokens that an engine can prefill within Spill.Horizon,
// limited by its free cache memory. It is zero when the batch is full.
func (ro *Router) promptBudget(load EstimatedLoad) int {
	budget := int(ro.cfg.Costs.PrefillRate*ro.cfg.Spill.Horizon.Seconds()) - load.PromptTokens
	if load.KVTotal > 0 {
		budget = min(budget, load.KVTotal-load.KVUsed-load.PromptTokens)
	}
	if load.Requests >= ro.cfg.Costs.MaxBatch {
		return 0
	}
	return max(0, budget)
}

func addMissing(all, more []weightstore.Artifact) []weightstore.Artifact {
	for _, a := range more {
		if !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	return all
}

func median[T cmp.Ordered](all []T) T {
	var zero T
	if len(all) == 0 {
		return zero
	}
	slices.Sort(all)
	return all[len(all)/2]
}
