// Package loads plans which engine fetches which weights from the weight store,
// and when, against the store's limits for all zones together.
//
// Plan is a pure function over an immutable snapshot: the most wanted first,
// one load an engine, no more than the budget has room for. Budget keeps the
// shares of the budget in the table service. Times are monotonic durations
// since an origin that the caller chooses.
package loads

import (
	"time"

	"github.com/springweir/springweir/weightstore"
)

// Load is a load that would be useful.
type Load struct {
	// Engine is the engine's name, Incarnation the one that the want is about.
	Engine, Incarnation string
	Artifact            weightstore.Artifact
	// Bytes is the size to fetch.
	Bytes int64
	// Weight is how much it is wanted: requests a second that wait for it.
	Weight float64
}

// Phase is how far the order for a load has come, as observed.
type Phase string

// The phases.
const (
	// Ordered is a load whose order is journaled and not seen to end.
	Ordered Phase = "ordered"
	// Failed is a load whose order the engine gave up on.
	Failed Phase = "failed"
)

// Running is a load that this zone has a share for.
type Running struct {
	Load      Load
	Slot      int
	StartedAt time.Duration
	Phase     Phase
}

// EngineState is what an engine says of itself. It is never assumed from orders.
type EngineState struct {
	Engine, Incarnation string
	Loaded              []weightstore.Artifact
	// Busy is set while the engine carries out any order, or may not be sent one.
	Busy bool
	// Unavailable is set when the engine cannot be reached or has left.
	Unavailable bool
}

// Snapshot is what Plan decides on. It is never modified.
type Snapshot struct {
	Desired []Load
	Running []Running
	Engines []EngineState
	// FreeSlots are the numbers of the free slots of the budget.
	FreeSlots []int
	// CompetingDemand are the weights of what other zones want and have no slot for.
	CompetingDemand []float64
	// SlotRate is the bytes a second that one slot stands for.
	SlotRate float64
}

// Settings bound the planner.
type Settings struct {
	// MaxRunning is the number of loads of one zone at once.
	MaxRunning int
	// Overdue is how many times the expected time a load may take.
	Overdue float64
	// Grace is added to the expected time.
	Grace time.Duration
	// FirstBackoff doubles with each failure up to MaxBackoff.
	FirstBackoff, MaxBackoff time.Duration
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		MaxRunning:   2,
		Overdue:      3,
		Grace:        30 * time.Second,
		FirstBackoff: 5 * time.Second,
		MaxBackoff:   5 * time.Minute,
	}
}

// Reason is why a load is started, ended or held back.
type Reason string

// The reasons. Each is a label of the planner's counters.
const (
	// Wanted is a load that is started.
	Wanted Reason = "wanted"
	// Done is a load that the engine has, by its own word.
	Done Reason = "done"
	// Crashed is a load whose engine came back as another incarnation without it.
	Crashed Reason = "crashed"
	// Gone is a load whose engine cannot be reached.
	Gone Reason = "gone"
	// OrderFailed is a load that the engine gave up on.
	OrderFailed Reason = "order-failed"
	// TooSlow is a load that took too long.
	TooSlow Reason = "too-slow"
	// NoSlot is a want that the budget has no room for.
	NoSlot Reason = "no-slot"
	// Outranked is a want that leaves the free slots to other zones.
	Outranked Reason = "outranked"
	// BackingOff is a want that failed lately.
	BackingOff Reason = "backing-off"
	// EngineBusy is a want whose engine cannot take an order now.
	EngineBusy Reason = "engine-busy"
	// ZoneFull is a want beyond the zone's own bound.
	ZoneFull Reason = "zone-full"
)

// Start is a load to order, with the slot to claim first.
type Start struct {
	Load Load
	Slot int
}

// End is a load that is over.
type End struct {
	Running Running
	Reason  Reason
	// Unload is set when the engine may hold part of the artifact: an unload order
	// goes first, so that nothing routes to it.
	Unload bool
	// Release is set when the slot may be given back. It is not while the
	// bytes fetched are ahead of the slot's rate; the load then stays in
	// Snapshot.Running and ends again in a later round.
	Release bool
}

// Deferred is a want that was not started.
type Deferred struct {
	Load   Load
	Reason Reason
}

// Decision is what Plan decided.
type Decision struct {
	Starts   []Start
	Ends     []End
	Deferred []Deferred
}
