package roles

import (
	"time"

	"github.com/springweir/springweir/engine"
)

// PastChange is a change that was ordered.
type PastChange struct {
	Engine string
	To     engine.Role
	At     time.Duration
}

// PastDemand is the demand at a time.
type PastDemand struct {
	At      time.Duration
	Classes []Class
}

// historySamples is the number of samples in a full demand history.
const historySamples = 8

// History is the planner's state between rounds. It is a value: Plan and Record return a new one
// and leave the old one unchanged.
//
// A planner that takes over a lease starts with NewHistory: every engine counts as just changed and
// the budget is empty, so that a series of takeovers cannot make more changes than a single
// planner.
type History struct {
	// StartedAt is when this planner took over.
	StartedAt time.Duration
	// Tokens is the budget that remained at RefilledAt.
	Tokens     float64
	RefilledAt time.Duration
	// Changes holds the last change of each engine that was changed.
	Changes []PastChange
	// Demands holds samples of past demand, oldest first.
	Demands []PastDemand
	// Target is the best role counts of the last round, and TargetSince is when a change in this
	// direction first became beneficial. HasTarget is false when no change was.
	HasTarget   bool
	Target      RoleCounts
	TargetSince time.Duration
}

// NewHistory returns the history of a planner that takes over at now.
func NewHistory(now time.Duration) History {
	return History{StartedAt: now, RefilledAt: now}
}

// Record returns the history with changes ordered at now.
func (h History) Record(now time.Duration, s Settings, changes []Change) History {
	if len(changes) == 0 {
		return h
	}
	h = h.refill(now, s)
	h.Tokens -= float64(len(changes))
	h.HasTarget = false
	ordered := make(map[string]bool, len(changes))
	for _, c := range changes {
		ordered[c.Engine] = true
	}
	kept := make([]PastChange, 0, len(h.Changes)+len(changes))
	for _, m := range h.Changes {
		if !ordered[m.Engine] {
			kept = append(kept, m)
		}
	}
	for _, c := range changes {
		kept = append(kept, PastChange{Engine: c.Engine, To: c.To, At: now})
	}
	h.Changes = kept
	return h
}

// expectedEngines returns the engines as they will be once recently ordered changes are complete
// and reported. An engine that does not yet report its ordered role counts as unavailable and in
// that role: its last report may be from before the change, and counting it in its old role would
// let the zone fall below a floor. After ChangeTimeout the change is considered failed, and the
// report applies.
func (h History) expectedEngines(engines []Engine, now time.Duration, s Settings) []Engine {
	out := make([]Engine, len(engines))
	copy(out, engines)
	for i := range out {
		for _, c := range h.Changes {
			if c.Engine == out[i].Name && c.To != out[i].Role && now-c.At < s.ChangeTimeout {
				out[i].Role = c.To
				out[i].Unavailable = true
			}
		}
	}
	return out
}

// refill adds the tokens accumulated since the last round.
func (h History) refill(now time.Duration, s Settings) History {
	if now > h.RefilledAt {
		h.Tokens += float64(now-h.RefilledAt) / float64(s.BudgetInterval)
		h.RefilledAt = now
	}
	if limit := float64(s.BudgetBurst); h.Tokens > limit {
		h.Tokens = limit
	}
	return h
}

// setTarget returns the history with a new target. TargetSince is unchanged if the previous target
// asked for a change in the same direction.
func (h History) setTarget(now time.Duration, current, target RoleCounts) History {
	if h.HasTarget && sameDirection(current, h.Target, target) {
		h.Target = target
		return h
	}
	h.HasTarget = true
	h.Target = target
	h.TargetSince = now
	return h
}

// recordDemand adds a sample of the demand if the last one is old enough, and drops those older
// than DemandHistory.
func (h History) recordDemand(now time.Duration, classes []Class, s Settings) History {
	n := len(h.Demands)
	if s.DemandHistory <= 0 || n > 0 && now-h.Demands[n-1].At < s.DemandHistory/historySamples {
		return h
	}
	past := make([]PastDemand, 0, n+1)
	for _, r := range h.Demands {
		if now-r.At <= s.DemandHistory {
			past = append(past, r)
		}
	}
	h.Demands = append(past, PastDemand{At: now, Classes: classes})
	return h
}

// clearTarget returns the history without a target.
func (h History) clearTarget() History {
	h.HasTarget = false
	return h
}

// timeInRole returns the minimum time that the named engine has been in its role.
func (h History) timeInRole(now time.Duration, name string) time.Duration {
	since := h.StartedAt
	for _, m := range h.Changes {
		if m.Engine == name {
			since = m.At
		}
	}
	return now - since
}
