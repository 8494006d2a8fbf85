package health

import (
	"time"
)

// Config holds the thresholds of a Tracker.
type Config struct {
	// ConsecutiveFailures is the number of consecutive failures that causes an ejection,
	// ConsecutiveSilent the number of consecutive requests without any response.
	ConsecutiveFailures, ConsecutiveSilent int
	// Window is the period over which failure rates are measured. MinRequests is the number of
	// requests in it that a rate requires.
	Window      time.Duration
	MinRequests int
	// MinRate is the lowest failure rate that can cause an ejection. RateFactor is the multiple of
	// its peers' failure rate that it must also reach.
	MinRate, RateFactor float64
	// BaseEjection is the duration of the first ejection. It doubles with each further ejection up
	// to MaxEjection. One doubling is cancelled for each period of Forgive that the endpoint has
	// been healthy.
	BaseEjection, MaxEjection, Forgive time.Duration
	// MaxFraction is the largest part of a group that may be ejected at the same time. One member
	// of a group of at least two may always be ejected.
	MaxFraction float64
	// TrialTimeout is the time after which a trial without a result is abandoned.
	TrialTimeout time.Duration
}

// DefaultConfig returns the default thresholds.
func DefaultConfig() Config {
	return Config{
		ConsecutiveFailures: 5,
		ConsecutiveSilent:   2,
		Window:              10 * time.Second,
		MinRequests:         10,
		MinRate:             0.3,
		RateFactor:          3,
		BaseEjection:        2 * time.Second,
		MaxEjection:         time.Minute,
		Forgive:             time.Minute,
		MaxFraction:         0.34,
		TrialTimeout:        15 * time.Second,
	}
}
