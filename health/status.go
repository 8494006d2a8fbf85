// Package health detects endpoints that fail and excludes them from new work. It is a pure state
// machine over times passed in by the caller. An endpoint is ejected after consecutive failures,
// for a failure rate far above that of its peers, or for first tokens that never arrive (a frozen
// process that still accepts connections). It is readmitted through half-open trials, one at a
// time.
//
// Times are monotonic durations since the start of the process.
package health

import "time"

// Phase is the phase of an endpoint in the ejection cycle.
type Phase uint8

// Phases of an endpoint.
const (
	// Healthy endpoints accept requests.
	Healthy Phase = iota
	// Ejected endpoints accept no requests until Status.Until.
	Ejected
	// Trial endpoints have one trial request in flight and accept no others.
	Trial
)

// Status is the health of an endpoint as used by routing.
type Status struct {
	Phase Phase
	// Until is the time at which an ejected endpoint may receive a trial, or at which a trial
	// without a result is abandoned.
	Until time.Duration
}

// Usable reports whether a request may be sent at now. An ejected endpoint whose Until has passed
// is half-open: the next request sent to it is its trial.
func (s Status) Usable(now time.Duration) bool {
	return s.Phase == Healthy || now >= s.Until
}

// HalfOpen reports whether a request sent at now would be a trial.
func (s Status) HalfOpen(now time.Duration) bool {
	return s.Phase != Healthy && now >= s.Until
}
