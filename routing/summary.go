package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/weightstore"
)

// Summary is what this zone tells the others of its room. Each of senders entry
// VMs elsewhere is offered an equal part of half of the room, so that all of
// them together cannot fill the zone before its next summary. A zone whose
// reports are stale offers nothing.
func (ro *Router) Summary(s *fleet.Snapshot, now time.Duration, senders int) fleet.ZoneSummary {
	out := fleet.ZoneSummary{Zone: s.Zone, CreatedAt: now, Reachable: true}
	var waits, steps []time.Duration
	room := 0
	for _, e := range s.Endpoints() {
		if e.Kind != fleet.Engine || !e.Available() || !e.Health.Usable(now) || e.Age(now) > ro.cfg.Costs.MaxReportAge {
			continue
		}
		out.Models = withArtifacts(out.Models, e.Loaded)
		load := ro.cfg.Costs.reported(e, s.EntryVMs)
		step := ro.cfg.Costs.step(load.Requests, load.ContextTokens)
		if e.Role != engine.Decode {
			waits = append(waits, ro.cfg.Costs.prefill(load.PromptTokens, e.Role, step))
			room += ro.roomOf(load)
		}
		if e.Role != engine.Prefill {
			steps = append(steps, ro.cfg.Costs.step(load.Requests+1, load.ContextTokens))
		}
	}
	out.PromptBudget = room / 2 / max(1, senders)
	out.TTFT, out.PerToken = median(waits), median(steps)
	if len(steps) == 0 {
		out.PromptBudget = 0
	}
	return out
}

// roomOf is the prompt tokens that an engine can prefill within Spill.Horizon,
// bounded by its free cache memory.
func (ro *Router) roomOf(load Assumed) int {
	room := int(ro.cfg.Costs.PrefillRate*ro.cfg.Spill.Horizon.Seconds()) - load.PromptTokens
	if load.KVTotal > 0 {
		room = min(room, load.KVTotal-load.KVUsed-load.PromptTokens)
	}
	if load.Requests >= ro.cfg.Costs.MaxBatch {
		return 0
	}
	return max(0, room)
}

func withArtifacts(all, more []weightstore.Artifact) []weightstore.Artifact {
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
