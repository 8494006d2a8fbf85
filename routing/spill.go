package routing

import (
	"time"

	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/weightstore"
)

// SpillConfig holds the choices for sending to another zone.
type SpillConfig struct {
	// Enabled allows it.
	Enabled bool
	// MaxAge is the age from which a zone's summary is no longer believed; a
	// zone that is cut off is left alone after it.
	MaxAge time.Duration
	// Margin is how much earlier than here an answer must be expected there.
	Margin time.Duration
	// Horizon is the time within which room offered to others must be worked off.
	Horizon time.Duration
}

// DefaultSpill returns the defaults.
func DefaultSpill() SpillConfig {
	return SpillConfig{
		Enabled: true,
		MaxAge:  3 * time.Second,
		Margin:  200 * time.Millisecond,
		Horizon: time.Second,
	}
}

// spill decides whether r goes to another zone: only when the own zone cannot
// make its deadline (or has no endpoint at all), and another has room and time.
// A request that has hopped once stays, so nothing goes back and forth.
func (ro *Router) spill(s *fleet.Snapshot, r *Request, local Decision, served bool, rng Rand) (Decision, bool) {
	if !ro.cfg.Spill.Enabled || r.FromOtherZone || r.Service != "" {
		return Decision{}, false
	}
	if served && (r.Deadline == 0 || r.Now+local.Completion <= r.Deadline) {
		return Decision{}, false
	}
	best, found := Decision{}, false
	offset := rng.IntN(max(1, len(s.Zones)))
	for i := range s.Zones {
		z := &s.Zones[(i+offset)%len(s.Zones)]
		d, ok := ro.elsewhere(z, r)
		if !ok || served && d.Completion+ro.cfg.Spill.Margin > local.Completion {
			continue
		}
		if !found || d.Completion < best.Completion {
			best, found = d, true
		}
	}
	return best, found
}

// elsewhere predicts the answer of another zone, if it can make the deadline.
func (ro *Router) elsewhere(z *fleet.ZoneSummary, r *Request) (Decision, bool) {
	if !z.Reachable || r.Now-z.CreatedAt > ro.cfg.Spill.MaxAge || z.PromptBudget-z.PromptTokensSent < r.PromptTokens {
		return Decision{}, false
	}
	if !offers(z.Models, r.Artifact) {
		return Decision{}, false
	}
	prefill := seconds(float64(r.PromptTokens) / ro.cfg.Costs.PrefillRate)
	ttft := z.RTT + z.TTFT + prefill
	d := Decision{
		Zone:       z.Zone,
		TTFT:       ttft,
		PerToken:   z.PerToken,
		Completion: ttft + time.Duration(max(0, r.OutputTokens-1))*z.PerToken,
	}
	return d, r.Deadline == 0 || r.Now+d.Completion <= r.Deadline
}

func offers(models []weightstore.Artifact, want weightstore.Artifact) bool {
	for _, a := range models {
		if a.Model == want.Model && a.Adapter == want.Adapter && (want.Version == "" || want.Version == a.Version) {
			return true
		}
	}
	return false
}
