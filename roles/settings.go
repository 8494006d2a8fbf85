package roles

import (
	"time"

	"github.com/springweir/springweir/costs"
)

// Weights are the weights of the planner's objectives.
type Weights struct {
	// Goodput is the weight of the predicted gain.
	Goodput float64
	// Change is the cost of one role change, in seconds of full goodput.
	Change float64
}

// FavourGoodput and FavourStability are presets: the first prefers goodput, the second few role
// changes.
var (
	FavourGoodput   = Weights{Goodput: 1, Change: 0.5}
	FavourStability = Weights{Goodput: 1, Change: 10}
)

// Settings holds the parameters and limits of the planner.
type Settings struct {
	Weights Weights
	// Costs are the speeds of the pool's engines.
	Costs costs.Engine
	// ChangeTime is how long a role change makes an engine unavailable.
	ChangeTime time.Duration
	// ChangeTimeout is how long after its order an engine that still reports its old role counts as
	// changing. It covers the drain, the change and the lag of the reports.
	ChangeTimeout time.Duration
	// Horizon is how long the demand is expected to last.
	Horizon time.Duration
	// StabilisationWindow is how long a change must remain beneficial before it is made.
	StabilisationWindow time.Duration
	// MinimumStay is the minimum time that an engine stays in a role.
	MinimumStay time.Duration
	// BudgetBurst and BudgetInterval limit the changes by a token bucket with a capacity of
	// BudgetBurst, which gains one token each BudgetInterval.
	BudgetBurst    int
	BudgetInterval time.Duration
	// MaxUnavailable is the maximum number of engines that may be unavailable at the same time, in
	// multiples of stepSize.
	MaxUnavailable int
	// FloorPrefill and FloorDecode are the numbers of usable engines that must always be able to
	// prefill and to decode.
	FloorPrefill, FloorDecode int
	// MaxReportAge and MaxDemandAge are the ages above which a load report and the demand are not
	// used.
	MaxReportAge, MaxDemandAge time.Duration
	// MinFreshFraction is the fraction of usable engines whose reports must be fresh.
	MinFreshFraction float64
	// Warmup is the minimum window of demand for a decision.
	Warmup time.Duration
	// DemandHistory is how long past demand is retained, and HistoryWeight its weight against the
	// current demand once the history is full. A higher cost of changes calls for role counts that
	// suit recurring demand, with few changes in between.
	DemandHistory time.Duration
	HistoryWeight float64
	// BacklogDrainTime is the time in which a backlog is to be processed.
	BacklogDrainTime time.Duration
}

// halfHistoryChangeWeight is the cost of a change, in seconds of full goodput, at which past and
// current demand have the same weight.
const halfHistoryChangeWeight = 4

// Defaults returns the settings for weights w.
func Defaults(w Weights) Settings {
	return Settings{
		Weights:             w,
		Costs:               costs.Defaults(),
		ChangeTime:          8 * time.Second,
		ChangeTimeout:       60 * time.Second,
		Horizon:             120 * time.Second,
		StabilisationWindow: 5 * time.Second,
		MinimumStay:         30 * time.Second,
		BudgetBurst:         2,
		BudgetInterval:      30 * time.Second,
		MaxUnavailable:      1,
		FloorPrefill:        1,
		FloorDecode:         2,
		MaxReportAge:        5 * time.Second,
		MaxDemandAge:        5 * time.Second,
		MinFreshFraction:    0.75,
		Warmup:              15 * time.Second,
		BacklogDrainTime:    30 * time.Second,
		DemandHistory:       5 * time.Minute,
		HistoryWeight:       w.Change / (w.Change + halfHistoryChangeWeight),
	}
}
