// Package fleet keeps what this process knows of its availability zone's
// endpoints and publishes it as immutable snapshots, over which the decisions
// of routing, admission and role planning are pure functions.
//
// Times are monotonic durations since the start of the process.
package fleet

import (
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/health"
	"github.com/springweir/springweir/prefix"
	"github.com/springweir/springweir/weightstore"
)

// Kind tells what an endpoint is.
type Kind uint8

// The kinds of endpoint.
const (
	Engine Kind = iota
	Service
)

// Spec is what the settings and the membership list say of an endpoint.
type Spec struct {
	// Name is unique in the fleet.
	Name    string
	Kind    Kind
	Address string
	Pool    string
	Zone    string
	// Service is the service that a Service endpoint runs.
	Service string
	// Leaving is set when the tree or the membership list says so.
	Leaving bool
}

// Work is an amount of requests.
type Work struct {
	Requests int
	// PromptTokens have to be prefilled; ContextTokens have to be decoded over.
	PromptTokens  int
	ContextTokens int
}

// Add returns the sum.
func (w Work) Add(o Work) Work {
	return Work{w.Requests + o.Requests, w.PromptTokens + o.PromptTokens, w.ContextTokens + o.ContextTokens}
}

func (w Work) sub(o Work) Work {
	return Work{w.Requests - o.Requests, w.PromptTokens - o.PromptTokens, w.ContextTokens - o.ContextTokens}
}

// Scale returns the work f times over, rounded down.
func (w Work) Scale(f float64) Work {
	return Work{int(f * float64(w.Requests)), int(f * float64(w.PromptTokens)), int(f * float64(w.ContextTokens))}
}

// LocalWork is this process's own work at an endpoint.
type LocalWork struct {
	// InFlight is all of it; Unreported is the part that the last load report is
	// thought not to include (what counts as unreported is the Ledger's choice).
	InFlight, Unreported Work
}

// Endpoint is one endpoint as this process sees it. It is immutable.
type Endpoint struct {
	Spec
	Slot prefix.Slot
	// Withheld is set while this process may send nothing there.
	Withheld bool
	// Reported is set once the endpoint has reported; the next fields are then
	// what it said, and are never assumed from orders.
	Reported    bool
	Incarnation string
	Role        engine.Role
	Loaded      []weightstore.Artifact
	// SelfLeaving is set when the endpoint itself says that it leaves.
	SelfLeaving bool
	Load        engine.Load
	// MeasuredAt is when the load was measured, by this process's clock.
	MeasuredAt time.Duration
	Health     health.Status
	LocalWork  LocalWork
}

// Available tells whether new work may be sent, health apart. Any one signal
// that the endpoint leaves is enough.
func (e *Endpoint) Available() bool {
	return !e.Leaving && !e.SelfLeaving && !e.Withheld && (e.Reported || e.Kind == Service)
}

// Age is how old the load figures are at now.
func (e *Endpoint) Age(now time.Duration) time.Duration { return max(0, now-e.MeasuredAt) }

// GroupKey names a group of available endpoints that can do the same work.
type GroupKey struct {
	Kind Kind
	// Artifact is what an engine has loaded. An empty version stands for any.
	Artifact weightstore.Artifact
	Role     engine.Role
	// Service is the service that a Service endpoint runs.
	Service string
}

// ZoneSummary is what another zone's entries say of their room.
type ZoneSummary struct {
	Zone string
	// CreatedAt is when the summary was made, by this process's clock.
	CreatedAt time.Duration
	// Reachable is false once the zone's entries no longer answer.
	Reachable bool
	// RTT is the time there and back.
	RTT time.Duration
	// PromptBudget is the number of prompt tokens that this process may send there until
	// the next summary; the zone has divided what it has among the senders.
	PromptBudget int
	// TTFT is the predicted time to the first token there, without its prefill.
	TTFT time.Duration
	// PerToken is the predicted time between tokens there.
	PerToken time.Duration
	// Models that the zone can serve.
	Models []weightstore.Artifact
	// PromptTokensSent is the prompt tokens that this process sent there since it got the
	// summary (see Store.RecordSpill).
	PromptTokensSent int
}
