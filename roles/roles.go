// Package roles plans when engines change between the roles prefill, decode and mixed.
//
// One planner runs for each pool and availability zone, under that zone's lease. Plan is a pure
// function: the same Snapshot, Settings and History give the same Decision in a controller, in a
// test and in package simulate. Times are monotonic durations since an origin that the caller
// chooses; no wall clock is read.
package roles

import (
	"time"

	"github.com/springweir/springweir/engine"
)

// Engine is the state of one engine of the zone as seen by the planner.
type Engine struct {
	// Name is the endpoint's name.
	Name string
	// Role is the role that the engine reports.
	Role engine.Role
	// Unavailable is set while the engine executes an order or is withheld for one.
	Unavailable bool
	// Unusable is set when the engine is leaving, withdrawn, ejected or unreachable.
	Unusable bool
	// ReportAge is the age of the newest load report.
	ReportAge time.Duration
	// Load is that report.
	Load engine.Load
}

// Class is one kind of request in the demand of a zone.
type Class struct {
	// Kind identifies the class within a Meter; Merge combines classes of the same kind.
	Kind int
	// Rate is the number of requests per second.
	Rate float64
	// Prompt is the mean number of prompt tokens to prefill, without cached ones.
	Prompt float64
	// Output is the mean number of generated tokens.
	Output float64
	// Deadline is the mean time that callers allow for a response.
	Deadline time.Duration
}

// Demand is the recent demand at the entry VMs of the zone.
type Demand struct {
	Classes []Class
	// Age is the age of the oldest contribution that is counted.
	Age time.Duration
	// Window is the time over which the rates were measured.
	Window time.Duration
	// Contributors is the number of entry VMs that contributed, and Registered the number on the
	// zone's roster.
	Contributors, Registered int
}

// Snapshot is the input of Plan. It is never modified.
type Snapshot struct {
	Engines []Engine
	Demand  Demand
	// PlatformLost is set when the lease cannot be renewed. No orders are given in this state.
	PlatformLost bool
}

// Change is the change of one engine to another role.
type Change struct {
	Engine   string
	From, To engine.Role
}

// Reason is why the planner made changes or made none.
type Reason string

// Reasons. Each is a label of the planner's counter and is shown by `springweirctl plan`.
const (
	// Gain means a change: its predicted benefit exceeds its cost.
	Gain Reason = "gain"
	// BestAlready means no change: no other distribution of roles is better.
	BestAlready Reason = "best-already"
	// GainTooSmall means no change: the benefit does not exceed the cost.
	GainTooSmall Reason = "gain-too-small"
	// NotPersistent means no change: the gain has not lasted for the stabilisation window.
	NotPersistent Reason = "not-persistent"
	// StaleReports means no change: too many load reports are old or missing.
	StaleReports Reason = "stale-reports"
	// StaleDemand means no change: the demand is old, or some entry VMs have not contributed.
	StaleDemand Reason = "stale-demand"
	// WarmingUp means no change: the demand has been measured for less than Settings.Warmup.
	WarmingUp Reason = "warming-up"
	// PlatformLost means no change: the lease cannot be renewed.
	PlatformLost Reason = "platform-lost"
	// TooManyUnavailable means no change: the maximum number of engines is unavailable.
	TooManyUnavailable Reason = "too-many-away"
	// BudgetSpent means no change: the budget of changes is exhausted.
	BudgetSpent Reason = "budget-spent"
	// MinimumStay means no change: no engine has been in its role for the minimum time.
	MinimumStay Reason = "minimum-stay"
	// BelowFloor means no change: the zone would fall below a floor.
	BelowFloor Reason = "below-floor"
	// NoDemand means no change: there is no demand.
	NoDemand Reason = "no-demand"
)

// Decision is the result of Plan.
type Decision struct {
	Changes []Change
	// Reason is why the changes were made, or why there are none.
	Reason Reason
	// Current and Target are the role counts that were compared.
	Current, Target RoleCounts
	// CurrentGoodput and TargetGoodput are their predicted goodputs (0 to 1).
	CurrentGoodput, TargetGoodput float64
	// Benefit and Cost are in seconds of full goodput.
	Benefit, Cost float64
}
