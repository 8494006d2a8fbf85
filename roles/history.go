package roles

import (
	"time"

	"github.com/springweir/springweir/engine"
)

// Made is a change that was ordered.
type Made struct {
	Engine string
	To     engine.Role
	At     time.Duration
}

// Remembered is the demand at a moment.
type Remembered struct {
	At      time.Duration
	Classes []Class
}

// samples is the number of demands that a whole Memory holds.
const samples = 8

// History is what the planner remembers between rounds. It is a value: Plan
// and Record return a new one and leave the old one as it was.
//
// A planner that takes over a lease starts with NewHistory: every engine
// counts as just changed and the budget is empty, so that a row of takeovers
// cannot make more changes than one planner may.
type History struct {
	// Began is when this planner took over.
	Began time.Duration
	// Tokens is the budget left at TokensAt.
	Tokens   float64
	TokensAt time.Duration
	// Changes holds the last change of each engine that had one.
	Changes []Made
	// Past is the demand remembered, oldest first.
	Past []Remembered
	// Wanted is the shape that was better in the last round, and WantedSince
	// is when it first was. Wanting is false when none was.
	Wanting     bool
	Wanted      RoleCounts
	WantedSince time.Duration
}

// NewHistory returns the history of a planner that takes over at now.
func NewHistory(now time.Duration) History {
	return History{Began: now, TokensAt: now}
}

// Record returns the history with changes ordered at now.
func (h History) Record(now time.Duration, s Settings, changes []Change) History {
	if len(changes) == 0 {
		return h
	}
	h = h.refill(now, s)
	h.Tokens -= float64(len(changes))
	h.Wanting = false
	ordered := make(map[string]bool, len(changes))
	for _, c := range changes {
		ordered[c.Engine] = true
	}
	kept := make([]Made, 0, len(h.Changes)+len(changes))
	for _, m := range h.Changes {
		if !ordered[m.Engine] {
			kept = append(kept, m)
		}
	}
	for _, c := range changes {
		kept = append(kept, Made{Engine: c.Engine, To: c.To, At: now})
	}
	h.Changes = kept
	return h
}

// settled returns the engines as they will be once the changes ordered lately
// are done and reported. An engine that does not yet report the role it was
// ordered to take counts as away and in that role: its last report may be from
// before the change, and counting it in its old role would let the zone fall
// below a floor. After Settle its report is believed: the change has failed.
func (h History) settled(engines []Engine, now time.Duration, s Settings) []Engine {
	out := make([]Engine, len(engines))
	copy(out, engines)
	for i := range out {
		for _, m := range h.Changes {
			if m.Engine == out[i].Name && m.To != out[i].Role && now-m.At < s.Settle {
				out[i].Role = m.To
				out[i].Unavailable = true
			}
		}
	}
	return out
}

// refill adds the tokens gained since the last round.
func (h History) refill(now time.Duration, s Settings) History {
	if now > h.TokensAt {
		h.Tokens += float64(now-h.TokensAt) / float64(s.BudgetInterval)
		h.TokensAt = now
	}
	if limit := float64(s.BudgetBurst); h.Tokens > limit {
		h.Tokens = limit
	}
	return h
}

// want notes that shape t is wanted at now and returns since when it, or a
// shape that asks for the same kind of move, has been.
func (h History) want(now time.Duration, current, t RoleCounts) History {
	if h.Wanting && sameDirection(current, h.Wanted, t) {
		h.Wanted = t
		return h
	}
	h.Wanting = true
	h.Wanted = t
	h.WantedSince = now
	return h
}

// remember adds the demand to what is remembered when it is time to.
func (h History) remember(now time.Duration, classes []Class, s Settings) History {
	n := len(h.Past)
	if s.Memory <= 0 || n > 0 && now-h.Past[n-1].At < s.Memory/samples {
		return h
	}
	past := make([]Remembered, 0, n+1)
	for _, r := range h.Past {
		if now-r.At <= s.Memory {
			past = append(past, r)
		}
	}
	h.Past = append(past, Remembered{At: now, Classes: classes})
	return h
}

// forget notes that no other shape is wanted.
func (h History) forget() History {
	h.Wanting = false
	return h
}

// stayed returns how long the named engine has surely been in its role.
func (h History) stayed(now time.Duration, name string) time.Duration {
	since := h.Began
	for _, m := range h.Changes {
		if m.Engine == name {
			since = m.At
		}
	}
	return now - since
}
