package placement

import (
	"time"

	"github.com/springweir/springweir/health"
)

// Tuning holds the parameters of placement decisions. The gateway logs it with its field names.
type Tuning struct {
	// NearTrip and FarTrip are the assumed network round trip times to an endpoint of the local
	// availability zone and of another one.
	NearTrip, FarTrip time.Duration
	// LinkBitsPerSecond is the bandwidth of the VM's uplink; zero means unlimited.
	LinkBitsPerSecond float64
	// ServiceTime is the assumed duration of a request at a plain service, of which none was observed.
	ServiceTime time.Duration
	// PredictServiceTime learns the durations of requests to plain services and the speeds of their
	// endpoints. Otherwise all are assumed to be equal.
	PredictServiceTime bool
	// RefuseLateCalls refuses requests to plain services that waiting is predicted to make late.
	RefuseLateCalls bool
	// SlowIsNotDead lets attempts at plain services take as long as is usual for them, and does not
	// count as silent an endpoint that answers others.
	SlowIsNotDead bool
	// ComeBack is the time after which a refused caller should retry if the cause is transient.
	ComeBack time.Duration
	// InTime is the fraction of a route's objective within which the first event must be
	// predicted for a request to be accepted.
	InTime float64
	// Overhead is added to predictions for what they do not model: the network path to the caller
	// and process scheduling.
	Overhead time.Duration
	// DirectTokens is the most prefill, in tokens, that may be open at a decode engine including a
	// prompt that it is given to prefill. Prefill slows all streams of the engine.
	DirectTokens int
	// Choices is the largest number of engines compared for one request.
	Choices int
	// MaxKV is the fraction of an engine's cache memory that running requests may use.
	MaxKV float64
	// EndpointPace enables predictions at the relative speed of each engine. Otherwise all engines of a
	// service and role are assumed to be alike.
	EndpointPace bool
	// FairShares enables fair shares of services that are overloaded.
	FairShares bool
	// FairEngineShares enables them for services of engines too.
	FairEngineShares bool
	// Health holds the thresholds for ejecting endpoints.
	Health health.Config
}

// DefaultTuning returns the default parameters.
func DefaultTuning() Tuning {
	h := health.DefaultConfig()
	// One VM sends an endpoint a few requests a second at most, and the failures that its peers
	// observe are not shared in time, so waiting for five failures would take too long.
	h.ConsecutiveFailures = 3
	h.ConsecutiveSilent = 2
	h.BaseEjection = time.Second
	h.MaxEjection = 8 * time.Second
	h.TrialTimeout = 3 * time.Second
	return Tuning{
		NearTrip:    time.Millisecond,
		FarTrip:     4 * time.Millisecond,
		ServiceTime: 30 * time.Millisecond,

		PredictServiceTime: true, RefuseLateCalls: true, SlowIsNotDead: true,

		ComeBack:     100 * time.Millisecond,
		InTime:       0.9,
		Overhead:     15 * time.Millisecond,
		DirectTokens: 1500,
		Choices:      3,
		MaxKV:        0.8,
		EndpointPace: true,
		FairShares:   true,
		Health:       h,
	}
}
