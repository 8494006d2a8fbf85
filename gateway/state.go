package gateway

import (
	"sync/atomic"
	"time"

	"github.com/springweir/springweir/freshness"
	"github.com/springweir/springweir/routes"
)

// state is what the parts of a gateway share.
type state struct {
	// config is the newest configuration, nil until one is known.
	//
	// Invariant: its version never falls while the process runs.
	config atomic.Pointer[routes.Config]
	// endpointsListed is set once the endpoints were read.
	endpointsListed atomic.Bool
	// shutdownAt is set by a planned stop, to when that cuts off what is still open.
	shutdownAt atomic.Pointer[time.Time]
	// freshness tells how old config can be, and revoke how old it may be where keys count.
	freshness *freshness.Tracker
	revoke    revokeBudget
	// organisationNames are those of organisations, for the reports of usage.
	organisationNames organisationNames
	// applyWithin is the time within which a new configuration must be in force.
	applyWithin time.Duration
	// configLostAt is when the configuration's feed fell silent, in Unix
	// nanoseconds, or zero while it answers.
	configLostAt atomic.Int64
}

// stop notes that a planned stop has begun, which cuts off at the end what is still open.
func (s *state) stop(end time.Time) { s.shutdownAt.Store(&end) }

func (s *state) isStopping() bool { return s.shutdownAt.Load() != nil }

// shutdownTime is when a planned stop cuts off what is still open, or zero.
func (s *state) shutdownTime() time.Time {
	if end := s.shutdownAt.Load(); end != nil {
		return *end
	}
	return time.Time{}
}

// configStale tells whether the configuration may have changed without this VM's knowing: it cannot
// be followed now, and nobody else has confirmed it lately.
func (s *state) configStale() bool {
	if age, known := s.freshness.Age(); known && s.revoke.bounded() {
		return age > s.applyWithin
	}
	return s.configLostAt.Load() != 0
}

// version is that of the configuration in force, or zero.
func (s *state) version() uint64 {
	if c := s.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// ready tells whether callers may be sent here.
func (s *state) ready() bool {
	config := s.config.Load()
	return !s.isStopping() && config != nil && s.endpointsListed.Load() && (config.Organisations == nil || s.acceptsKeys())
}

// setConfig puts a configuration in force unless it is older than the present one.
func (s *state) setConfig(c *routes.Config) bool {
	for {
		old := s.config.Load()
		if old != nil && c.Version <= old.Version {
			return false
		}
		if s.config.CompareAndSwap(old, c) {
			s.organisationNames.record(c)
			return true
		}
	}
}
