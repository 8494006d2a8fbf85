package placement

import (
	"time"

	"github.com/springweir/springweir/health"
)

// Tuning holds the figures that decisions rest on.
type Tuning struct {
	// NearTrip and FarTrip are the times there and back to an endpoint of the own
	// availability zone and of another.
	NearTrip, FarTrip time.Duration
	// LinkBitsPerSecond is what the VM's own link carries; zero is no bound.
	LinkBitsPerSecond float64
	// ServiceTime is how long a plain service works on a request, as assumed.
	ServiceTime time.Duration
	// RetryAfter is when to try again after a refusal that passes by itself.
	RetryAfter time.Duration
	// ObjectiveFraction is the part of a route's objective within which the first event must
	// be predicted for a request to be taken.
	ObjectiveFraction float64
	// Overhead is added to a prediction for what it leaves out: the way to the
	// caller and the turns of the processes.
	Overhead time.Duration
	// DirectTokens is the most prefill that may be open at an engine that decodes
	// when it is given a prompt to prefill itself: it slows all streams there.
	DirectTokens int
	// Choices is the number of engines looked at for one request.
	Choices int
	// MaxKV is the part of an engine's cache memory that open requests may take.
	MaxKV float64
	// Health holds the thresholds for leaving endpoints out.
	Health health.Config
}

// DefaultTuning returns the defaults.
func DefaultTuning() Tuning {
	h := health.DefaultConfig()
	// A VM sends an endpoint a few requests a second at most, so what its peers
	// know comes too late to wait for five failures.
	h.ConsecutiveFailures = 3
	h.ConsecutiveSilent = 2
	h.BaseEjection = time.Second
	h.MaxEjection = 8 * time.Second
	h.TrialTimeout = 3 * time.Second
	return Tuning{
		NearTrip:          time.Millisecond,
		FarTrip:           4 * time.Millisecond,
		ServiceTime:       30 * time.Millisecond,
		RetryAfter:        100 * time.Millisecond,
		ObjectiveFraction: 0.9,
		Overhead:          15 * time.Millisecond,
		DirectTokens:      1500,
		Choices:           3,
		MaxKV:             0.8,
		Health:            h,
	}
}
