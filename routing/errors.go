package routing

import (
	"fmt"
	"sort"
	"strings"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/fleet"
)

// NoEndpointError reports that no endpoint can currently serve a request.
type NoEndpointError struct {
	// Target is the requested model or service.
	Target string
	// Unserved is set when no available endpoint serves Target at all.
	Unserved bool
	// Excluded counts the excluded endpoints by the name of the first filter that rejected each, or
	// by "prefill-only" and "unpaired".
	Excluded map[string]int
}

// Error implements error.
func (e *NoEndpointError) Error() string {
	if e.Unserved {
		return fmt.Sprintf("no available endpoint serves %s", e.Target)
	}
	parts := make([]string, 0, len(e.Excluded))
	for name, n := range e.Excluded {
		parts = append(parts, fmt.Sprintf("%d %s", n, name))
	}
	sort.Strings(parts)
	return fmt.Sprintf("no endpoint can take %s now: %s", e.Target, strings.Join(parts, ", "))
}

// Reason implements failure.Coded.
func (e *NoEndpointError) Reason() failure.Reason { return failure.NoEndpoint }

// noEndpointError builds the error for a request without candidates. It visits every endpoint,
// which is acceptable because it is off the hot path.
func (d *decider) noEndpointError() error {
	err := &NoEndpointError{Target: d.r.Service, Excluded: make(map[string]int)}
	if err.Target == "" {
		err.Target = d.r.Artifact.Model
	}
	members := 0
	for _, e := range d.s.Endpoints() {
		if !e.Available() || !d.matchesRequest(e) {
			continue
		}
		members++
		d.countExclusion(e, err.Excluded)
	}
	err.Unserved = members == 0
	return err
}

// matchesRequest reports whether e serves the requested service or artifact, whatever its role.
func (d *decider) matchesRequest(e *fleet.Endpoint) bool {
	if d.r.Service != "" {
		return e.Kind == fleet.Service && e.Service == d.r.Service
	}
	return e.Kind == fleet.Engine && serves(e, d.r)
}

// countExclusion increments the count of the first filter that rejects e. An endpoint that passes
// every filter could not serve the request alone: it is a prefill engine, or no partner was found
// for it.
func (d *decider) countExclusion(e *fleet.Endpoint, excluded map[string]int) {
	for _, f := range d.cfg.Filters {
		if !f.Accept(e, d.r) {
			excluded[f.Name()]++
			return
		}
	}
	if e.Role == engine.Prefill {
		excluded["prefill-only"]++
		return
	}
	excluded["unpaired"]++
}
