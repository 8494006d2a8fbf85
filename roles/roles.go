// Package roles decides when an engine is moved between prefill, decode and
// mixed work.
//
// One planner runs for each pool and availability zone, under that zone's
// lease. Plan is a pure function: the same Snapshot, Settings and History give
// the same Decision in a controller, in a test and in package simulate. Times
// are monotonic durations since an origin that the caller chooses; no wall
// clock is read.
package roles

import (
	"time"

	"github.com/springweir/springweir/engine"
)

// Engine is what the planner knows of one engine of the zone.
type Engine struct {
	// Name is the endpoint's name.
	Name string
	// Role is the role that the engine itself reports.
	Role engine.Role
	// Unavailable is set while the engine carries out an order or is withheld for one.
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
	// Kind tells the classes of a Meter apart; Merge adds up those of one kind.
	Kind int
	// Rate is the number of requests a second.
	Rate float64
	// Prompt is the mean number of prompt tokens to prefill (cached ones excluded).
	Prompt float64
	// Output is the mean number of tokens generated.
	Output float64
	// Deadline is the mean time that callers give.
	Deadline time.Duration
}

// Demand is what the entry VMs of the zone were asked for lately.
type Demand struct {
	Classes []Class
	// Age is the age of the oldest contribution that is counted.
	Age time.Duration
	// Window is the time over which the rates were taken.
	Window time.Duration
	// Heard is the number of entry VMs that contributed; Roster is the number
	// on the zone's roster.
	Heard, Roster int
}

// Snapshot is what the planner decides on. It is never modified.
type Snapshot struct {
	Engines []Engine
	Demand  Demand
	// PlatformLost is set when the lease cannot be renewed: no orders then.
	PlatformLost bool
}

// Change moves one engine to another role.
type Change struct {
	Engine   string
	From, To engine.Role
}

// Reason is why the planner made a change or made none.
type Reason string

// The reasons. Each is a label of the planner's counter and is shown by
// `springweirctl plan`.
const (
	// Gain is a change whose predicted gain is worth its cost.
	Gain Reason = "gain"
	// BestAlready is no change: no other shape is better.
	BestAlready Reason = "best-already"
	// GainTooSmall is no change: the gain is not worth the cost.
	GainTooSmall Reason = "gain-too-small"
	// NotPersistent is no change: the gain has not lasted long enough.
	NotPersistent Reason = "not-persistent"
	// StaleReports is no change: too many load reports are old or missing.
	StaleReports Reason = "stale-reports"
	// StaleDemand is no change: the demand is old, or entry VMs are missing from it.
	StaleDemand Reason = "stale-demand"
	// WarmingUp is no change: the demand has not been watched long enough.
	WarmingUp Reason = "warming-up"
	// PlatformLost is no change: the lease cannot be renewed.
	PlatformLost Reason = "platform-lost"
	// TooManyAway is no change: as many engines as allowed are away.
	TooManyAway Reason = "too-many-away"
	// BudgetSpent is no change: the budget of changes is spent.
	BudgetSpent Reason = "budget-spent"
	// MinimumStay is no change: no engine has been in its role long enough.
	MinimumStay Reason = "minimum-stay"
	// BelowFloor is no change: the zone would fall below a floor.
	BelowFloor Reason = "below-floor"
	// NoDemand is no change: nothing was asked for.
	NoDemand Reason = "no-demand"
)

// Decision is what Plan decided and why.
type Decision struct {
	Changes []Change
	// Reason explains the changes, or why there are none.
	Reason Reason
	// Current and Target are the shapes weighed.
	Current, Target RoleCounts
	// Now and Then are the predicted goodputs (0..1) of the two.
	Now, Then float64
	// Benefit and Cost are in seconds of full goodput.
	Benefit, Cost float64
}
