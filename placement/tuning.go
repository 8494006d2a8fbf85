package placement

import (
	"time"

	"github.com/springweir/springweir/health"
)

// Tuning holds the parameters of placement decisions.
type Tuning struct {
	// SameZoneRoundTrip and CrossZoneRoundTrip are the assumed network round trip times to an
	// endpoint of the local availability zone and of another one.
	SameZoneRoundTrip, CrossZoneRoundTrip time.Duration
	// LinkBitsPerSecond is the bandwidth of the VM's uplink; zero means unlimited.
	LinkBitsPerSecond float64
	// ServiceTime is the assumed duration of a request at a plain service.
	ServiceTime time.Duration
	// RetryAfter is the retry-after time of refusals with a transient cause.
	RetryAfter time.Duration
	// ObjectiveFraction is the fraction of a route's objective within which the first event must be
	// predicted for a request to be accepted.
	ObjectiveFraction float64
	// Overhead is added to predictions for what they do not model: the network path to the caller
	// and process scheduling.
	Overhead time.Duration
	// MaxDirectPrefill is the most prefill, in tokens, that may be open at a decode engine
	// including a prompt that it is given to prefill. Prefill slows all streams of the engine.
	MaxDirectPrefill int
	// Choices is the largest number of engines compared for one request.
	Choices int
	// MaxKVFraction is the fraction of an engine's cache memory that running requests may use.
	MaxKVFraction float64
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
		SameZoneRoundTrip:  time.Millisecond,
		CrossZoneRoundTrip: 4 * time.Millisecond,
		ServiceTime:        30 * time.Millisecond,
		RetryAfter:         100 * time.Millisecond,
		ObjectiveFraction:  0.9,
		Overhead:           15 * time.Millisecond,
		MaxDirectPrefill:   1500,
		Choices:            3,
		MaxKVFraction:      0.8,
		Health:             h,
	}
}
