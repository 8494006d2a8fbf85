package roles

import (
	"time"

	"github.com/springweir/springweir/costs"
)

// Weights tell what a deployment wants more of.
type Weights struct {
	// Goodput multiplies the predicted gain.
	Goodput float64
	// Change is what one role change must be worth, in seconds of full goodput.
	Change float64
}

// FavourGoodput and FavourStability are the weights of the two deployments: the first
// weighs goodput more, the second the number of role changes.
var (
	FavourGoodput   = Weights{Goodput: 1, Change: 0.5}
	FavourStability = Weights{Goodput: 1, Change: 10}
)

// Settings bound the planner.
type Settings struct {
	Weights Weights
	// Costs are the speeds of the pool's engines.
	Costs costs.Engine
	// ChangeTime is how long a role change takes an engine away.
	ChangeTime time.Duration
	// Settle is how long after its order an engine that still reports its old
	// role counts as changing: drain, change and the reports' lag.
	Settle time.Duration
	// Horizon is how long a mix is expected to last.
	Horizon time.Duration
	// StabilizationWindow is how long a better shape must stay better before it is taken.
	StabilizationWindow time.Duration
	// MinimumStay is how long an engine keeps a role.
	MinimumStay time.Duration
	// BudgetBurst and BudgetInterval bound the changes: a token bucket that
	// holds BudgetBurst and gains one each BudgetInterval.
	BudgetBurst    int
	BudgetInterval time.Duration
	// MaxUnavailable is the number of engines that may be away at once.
	MaxUnavailable int
	// FloorPrefill and FloorDecode are the numbers of usable engines that
	// must always be able to prefill and to decode.
	FloorPrefill, FloorDecode int
	// MaxReportAge and MaxDemandAge are the ages above which a load report
	// and the demand are not decided on.
	MaxReportAge, MaxDemandAge time.Duration
	// MinFresh is the share of usable engines whose reports must be fresh.
	MinFresh float64
	// Warmup is the shortest window of demand that is decided on.
	Warmup time.Duration
	// Memory is how far back demand is remembered, and MemoryShare how much it
	// counts against the demand of now once all of Memory has been watched. A
	// deployment that weighs changes more wants a shape that suits the mixes
	// that come and go, and few changes between them.
	Memory      time.Duration
	MemoryShare float64
	// Drain is the time in which a backlog is meant to be worked off.
	Drain time.Duration
}

// memoryHalf is the weight of a change, in seconds of full goodput, at which
// the remembered demand counts as much as that of now.
const memoryHalf = 4

// Defaults returns the settings for weights w.
func Defaults(w Weights) Settings {
	return Settings{
		Weights:             w,
		Costs:               costs.Defaults(),
		ChangeTime:          8 * time.Second,
		Settle:              60 * time.Second,
		Horizon:             120 * time.Second,
		StabilizationWindow: 5 * time.Second,
		MinimumStay:         30 * time.Second,
		BudgetBurst:         2,
		BudgetInterval:      30 * time.Second,
		MaxUnavailable:      1,
		FloorPrefill:        1,
		FloorDecode:         2,
		MaxReportAge:        5 * time.Second,
		MaxDemandAge:        5 * time.Second,
		MinFresh:            0.75,
		Warmup:              15 * time.Second,
		Drain:               30 * time.Second,
		Memory:              5 * time.Minute,
		MemoryShare:         w.Change / (w.Change + memoryHalf),
	}
}
