// Package fleet maintains the state of the endpoints of the local availability zone and publishes
// it as immutable snapshots. Routing, admission and role planning make their decisions as pure
// functions of a snapshot.
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

// Kind is the kind of an endpoint.
type Kind uint8

// Kinds of endpoints.
const (
	Engine Kind = iota
	Service
)

// Spec is the description of an endpoint in the settings and the membership list.
type Spec struct {
	// Name is unique in the fleet.
	Name    string
	Kind    Kind
	Address string
	Pool    string
	Zone    string
	// Service is the name of the service that an endpoint of kind Service runs.
	Service string
	// Leaving is set when the settings or the membership list announce that the endpoint
	// leaves.
	Leaving bool
}

// Work is an amount of work, as a number of requests and their tokens.
type Work struct {
	Requests int
	// PromptTokens wait for prefill. ContextTokens are the context lengths of the sequences to
	// decode.
	PromptTokens  int
	ContextTokens int
}

// Add returns the sum of w and o.
func (w Work) Add(o Work) Work {
	return Work{w.Requests + o.Requests, w.PromptTokens + o.PromptTokens, w.ContextTokens + o.ContextTokens}
}

func (w Work) sub(o Work) Work {
	return Work{w.Requests - o.Requests, w.PromptTokens - o.PromptTokens, w.ContextTokens - o.ContextTokens}
}

// Scale returns w multiplied by f, rounded down.
func (w Work) Scale(f float64) Work {
	return Work{int(f * float64(w.Requests)), int(f * float64(w.PromptTokens)), int(f * float64(w.ContextTokens))}
}

// LocalWork is the work that this process has at an endpoint.
type LocalWork struct {
	// InFlight is the total. Unreported is the part that the last load report is assumed not to
	// include, as determined by the Ledger.
	InFlight, Unreported Work
}

// Endpoint is the state of one endpoint as recorded by this process. It is immutable.
type Endpoint struct {
	Spec
	Slot prefix.Slot
	// Withheld is set while this process must not send requests to the endpoint.
	Withheld bool
	// Reported is set once a report of the endpoint has been received. The fields from Incarnation
	// to Load are taken from the latest report and never inferred from orders.
	Reported    bool
	Incarnation string
	Role        engine.Role
	Loaded      []weightstore.Artifact
	// SelfLeaving is set when the endpoint itself reports that it leaves.
	SelfLeaving bool
	Load        engine.Load
	// MeasuredAt is the time of the load measurement on the clock of this process.
	MeasuredAt time.Duration
	Health     health.Status
	LocalWork  LocalWork
}

// Available reports whether new work may be sent to the endpoint, regardless of its health. Any
// single leave signal makes it unavailable.
func (e *Endpoint) Available() bool {
	return !e.Leaving && !e.SelfLeaving && !e.Withheld && (e.Reported || e.Kind == Service)
}

// Age returns the age of the load measurement.
func (e *Endpoint) Age(now time.Duration) time.Duration { return max(0, now-e.MeasuredAt) }

// GroupKey identifies a group of available endpoints that can do the same work.
type GroupKey struct {
	Kind Kind
	// Artifact is an artifact that the engines have loaded. An empty version stands for any.
	Artifact weightstore.Artifact
	Role     engine.Role
	// Service is the name of the service that an endpoint of kind Service runs.
	Service string
}

// ZoneSummary is the free capacity and speed reported by the entry VMs of another zone.
type ZoneSummary struct {
	Zone string
	// CreatedAt is the time at which the summary was made, on the clock of this process.
	CreatedAt time.Duration
	// Reachable is false while the entry VMs of the zone do not respond.
	Reachable bool
	// RTT is the round-trip time to the zone.
	RTT time.Duration
	// PromptBudget is the number of prompt tokens that this process may send to the zone until the
	// next summary. The zone has already divided its total among the senders.
	PromptBudget int
	// TTFT is the predicted time to the first token in the zone, without the prefill of the
	// request.
	TTFT time.Duration
	// PerToken is the predicted time between tokens in the zone.
	PerToken time.Duration
	// Models are the artifacts that the zone can serve.
	Models []weightstore.Artifact
	// PromptTokensSent is the number of prompt tokens sent to the zone since the summary was
	// received (see Store.RecordSpill).
	PromptTokensSent int
}
