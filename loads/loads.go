// Package loads plans which engine fetches which weights from the weight store, and when, within
// the store's limits for all zones together.
//
// Plan is a pure function of an immutable snapshot. It starts the loads with the highest weight
// first, at most one per engine and no more than the budget allows. Budget stores the allocation of
// the budget in the table service. Times are monotonic durations since an origin that the caller
// chooses.
package loads

import (
	"time"

	"github.com/springweir/springweir/weightstore"
)

// Load is the fetch of an artifact by an engine, either desired or running.
type Load struct {
	// Engine is the engine's name, and Incarnation the incarnation that the load applies to.
	Engine, Incarnation string
	Artifact            weightstore.Artifact
	// Bytes is the size of the fetch.
	Bytes int64
	// Weight is the demand for the load: the requests per second that wait for it.
	Weight float64
}

// Phase is the observed progress of the order for a load.
type Phase string

// Phases of the order for a load.
const (
	// Ordered means that the order is journaled and not observed to have ended.
	Ordered Phase = "ordered"
	// Failed means that the engine gave up on the order.
	Failed Phase = "failed"
)

// Running is a load that this zone holds a slot for.
type Running struct {
	Load      Load
	Slot      int
	StartedAt time.Duration
	Phase     Phase
}

// EngineState is the state that an engine reports. It is never inferred from orders.
type EngineState struct {
	Engine, Incarnation string
	Loaded              []weightstore.Artifact
	// Busy is set while the engine executes an order, or must not be sent one.
	Busy bool
	// Unavailable is set when the engine is unreachable or has left.
	Unavailable bool
}

// Snapshot is the input of Plan. It is never modified.
type Snapshot struct {
	Desired []Load
	Running []Running
	Engines []EngineState
	// FreeSlots lists the numbers of the free slots of the budget.
	FreeSlots []int
	// CompetingDemand lists the weights of loads that other zones desire and have no slot for.
	CompetingDemand []float64
	// SlotRate is the fetch rate of one slot in bytes per second.
	SlotRate float64
}

// Settings holds the limits and timeouts of the planner.
type Settings struct {
	// MaxRunning is the maximum number of concurrent loads of one zone.
	MaxRunning int
	// TimeoutFactor times the expected duration, plus TimeoutGrace, is the timeout of a load.
	TimeoutFactor float64
	// TimeoutGrace is the constant part of the timeout.
	TimeoutGrace time.Duration
	// InitialBackoff doubles with each consecutive failure up to MaxBackoff.
	InitialBackoff, MaxBackoff time.Duration
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		MaxRunning:     2,
		TimeoutFactor:  3,
		TimeoutGrace:   30 * time.Second,
		InitialBackoff: 5 * time.Second,
		MaxBackoff:     5 * time.Minute,
	}
}

// Reason is why a load is started, ended or deferred.
type Reason string

// Reasons. Each is a label of the planner's counters.
const (
	// Wanted means that the load is started.
	Wanted Reason = "wanted"
	// Done means that the engine reports the artifact as loaded.
	Done Reason = "done"
	// Crashed means that the engine restarted as another incarnation without the artifact.
	Crashed Reason = "crashed"
	// EngineUnavailable means that the engine is unreachable or has left.
	EngineUnavailable Reason = "gone"
	// OrderFailed means that the engine gave up on the order.
	OrderFailed Reason = "order-failed"
	// TooSlow means that the load exceeded its timeout.
	TooSlow Reason = "too-slow"
	// NoSlot means that the budget has no free slot.
	NoSlot Reason = "no-slot"
	// Outranked means that the free slots are left to loads of other zones with a higher weight.
	Outranked Reason = "outranked"
	// BackingOff means that the load failed and its backoff has not passed.
	BackingOff Reason = "backing-off"
	// EngineBusy means that the engine cannot accept an order now.
	EngineBusy Reason = "engine-busy"
	// ZoneFull means that the zone runs its maximum number of loads.
	ZoneFull Reason = "zone-full"
)

// Start is a load to order, and the slot to claim before.
type Start struct {
	Load Load
	Slot int
}

// End is a load that has ended.
type End struct {
	Running Running
	Reason  Reason
	// Unload is set when the engine may hold part of the artifact. An unload order must precede the
	// release of the slot, so that no requests are routed to it.
	Unload bool
	// Release is set when the slot may be released. It is not set while the load has fetched more
	// bytes than the slot's rate allows; the load then stays in Snapshot.Running and ends again in
	// a later round.
	Release bool
}

// Deferred is a load that was not started.
type Deferred struct {
	Load   Load
	Reason Reason
}

// Decision is the result of Plan.
type Decision struct {
	Starts   []Start
	Ends     []End
	Deferred []Deferred
}
