package routing

import (
	"time"

	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/weightstore"
)

// SpillConfig configures the forwarding of requests to other availability zones.
type SpillConfig struct {
	// Enabled allows forwarding to other zones.
	Enabled bool
	// MaxAge is the age from which the summary of a zone is ignored, so that a partitioned zone
	// receives no more requests.
	MaxAge time.Duration
	// Margin is how much earlier than in the local zone the response must be expected in another
	// zone.
	Margin time.Duration
	// Horizon is the time within which the prompt tokens offered to other zones can be prefilled.
	Horizon time.Duration
}

// DefaultSpill returns the default configuration.
func DefaultSpill() SpillConfig {
	return SpillConfig{
		Enabled: true,
		MaxAge:  3 * time.Second,
		Margin:  200 * time.Millisecond,
		Horizon: time.Second,
	}
}

// spill selects another zone for r if the local zone cannot meet the deadline or has no usable
// endpoint, and the other zone has the prompt budget and can meet the deadline. A request received
// from another zone stays, so that requests do not bounce between zones.
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
		d, ok := ro.estimateZone(z, r)
		if !ok || served && d.Completion+ro.cfg.Spill.Margin > local.Completion {
			continue
		}
		if !found || d.Completion < best.Completion {
			best, found = d, true
		}
	}
	return best, found
}

// estimateZone predicts the response times of another zone, and reports whether the zone can accept
// r and meet its deadline.
func (ro *Router) estimateZone(z *fleet.ZoneSummary, r *Request) (Decision, bool) {
	if !z.Reachable || r.Now-z.CreatedAt > ro.cfg.Spill.MaxAge || z.PromptBudget-z.PromptTokensSent < r.PromptTokens {
		return Decision{}, false
	}
	if !hasArtifact(z.Models, r.Artifact) {
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

// hasArtifact reports whether models contains the requested artifact. An empty version matches any.
func hasArtifact(models []weightstore.Artifact, requested weightstore.Artifact) bool {
	for _, a := range models {
		if a.Model == requested.Model && a.Adapter == requested.Adapter && (requested.Version == "" || requested.Version == a.Version) {
			return true
		}
	}
	return false
}
