package gateway

import (
	"sync/atomic"
	"time"

	"github.com/springweir/springweir/freshness"
	"github.com/springweir/springweir/organisation"
	"github.com/springweir/springweir/routes"
)

// state is shared by the components of a gateway.
type state struct {
	// config is the newest configuration, nil until the first arrives.
	//
	// Invariant: its version never decreases while the process runs.
	config atomic.Pointer[routes.Config]
	// configUnusable is set while the operators' row is missing or malformed as a whole.
	configUnusable atomic.Bool
	// endpointsListed is set once the endpoints were read.
	endpointsListed atomic.Bool
	// callersRefused is set while the callers' port is closed because its listener failed.
	callersRefused atomic.Bool
	// shutdownAt is set when a planned stop begins, to the time by which requests must have their answer. Open ones are
	// cut off soon after it.
	shutdownAt atomic.Pointer[time.Time]
	// lateInShutdown is set in a planned stop once callers reach other VMs with new connections.
	lateInShutdown atomic.Bool
	// freshness tracks the age of config; revoke limits that age where API keys are checked.
	freshness *freshness.Tracker
	revoke    revokeBudget
	// organisationNames holds the names of organisations for usage reports.
	organisationNames organisationNames
	// applyWithin is the time within which a new configuration must be in force.
	applyWithin time.Duration
	// longestStream is how long a response of a resumable route has been allowed to last by any
	// configuration, in nanoseconds.
	longestStream atomic.Int64
	// configLostAt is when the configuration feed was lost, in Unix nanoseconds; zero while it
	// responds.
	configLostAt atomic.Int64
}

// stop marks the start of a planned stop, which cuts off open requests soon after end.
func (s *state) stop(end time.Time) { s.shutdownAt.Store(&end) }

func (s *state) isStopping() bool { return s.shutdownAt.Load() != nil }

// shutdownTime returns by when requests must have their answer because of a planned stop, or zero.
func (s *state) shutdownTime() time.Time {
	if end := s.shutdownAt.Load(); end != nil {
		return *end
	}
	return time.Time{}
}

// configStale reports whether the configuration may have changed without this VM having received
// it: its feed is lost, and no other VM has confirmed the configuration recently.
func (s *state) configStale() bool {
	if age, known := s.freshness.Age(); known && s.revoke.bounded() {
		return age > s.applyWithin
	}
	return s.configLostAt.Load() != 0
}

// knowsUnusable reports whether the newest configuration is known to be unusable, by any VM.
func (s *state) knowsUnusable() bool { return s.configUnusable.Load() && s.configLostAt.Load() == 0 }

// version returns the version of the configuration in force, or zero.
func (s *state) version() uint64 {
	if c := s.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// setConfig puts a configuration in force. It returns false if the current one is as new or newer.
func (s *state) setConfig(c *routes.Config) bool {
	for {
		old := s.config.Load()
		if old != nil && c.Version <= old.Version {
			return false
		}
		if s.config.CompareAndSwap(old, c) {
			s.organisationNames.record(c)
			s.longestStream.Store(max(s.longestStream.Load(), int64(c.LongestStream())))
			return true
		}
	}
}

// limitOf returns the limit of an organisation in the configuration in force, or the zero Limit.
func (s *state) limitOf(name string) organisation.Limit {
	config := s.config.Load()
	if config == nil {
		return organisation.Limit{}
	}
	if o := config.Organisations.ByName(name); o != nil {
		return o.Limit
	}
	return organisation.Limit{}
}
