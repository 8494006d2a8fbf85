package health

import (
	"time"
)

// Config holds the thresholds.
type Config struct {
	// ConsecutiveFailures and ConsecutiveSilent eject when reached.
	ConsecutiveFailures, ConsecutiveSilent int
	// Window is the time over which failure rates are taken; a rate needs
	// MinRequests in it.
	Window      time.Duration
	MinRequests int
	// MinRate is the failure rate below which nothing is ejected for its rate,
	// and RateFactor how many times its peers' rate it must be.
	MinRate, RateFactor float64
	// BaseEjection doubles with each ejection up to MaxEjection, and is halved
	// for each Forgive spent healthy.
	BaseEjection, MaxEjection, Forgive time.Duration
	// MaxFraction of a group may be ejected at once, but one of two may.
	MaxFraction float64
	// TrialTimeout is when a trial without a result is given up.
	TrialTimeout time.Duration
}

// DefaultConfig returns the defaults.
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
