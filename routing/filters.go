package routing

import (
	"slices"

	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/health"
)

// Filter excludes endpoints that may not serve a request. Properties that do not depend on the
// request (leaving, withheld, role, loaded artifacts) are already covered by the groups of the
// snapshot, so a filter sees only members of the right group.
type Filter interface {
	// Name labels the refusals caused by the filter.
	Name() string
	// Accept reports whether e may serve r.
	Accept(e *fleet.Endpoint, r *Request) bool
}

// DefaultFilters returns the default filters, in the order in which they apply.
func DefaultFilters() []Filter { return []Filter{Untried{}, Healthy{}, Fits{}} }

// Untried excludes the endpoints that the request has already been sent to.
type Untried struct{}

// Name implements Filter.
func (Untried) Name() string { return "tried" }

// Accept implements Filter.
func (Untried) Accept(e *fleet.Endpoint, r *Request) bool {
	return !slices.Contains(r.Tried, e.Name)
}

// Healthy excludes ejected endpoints until they may receive a trial request, and half-open
// endpoints for requests with NoTrial set. Package health keeps at least one endpoint of each group
// healthy.
type Healthy struct{}

// Name implements Filter.
func (Healthy) Name() string { return "ejected" }

// Accept implements Filter.
func (Healthy) Accept(e *fleet.Endpoint, r *Request) bool {
	if r.NoTrial {
		return e.Health.Phase == health.Healthy
	}
	return e.Health.Usable(r.Now)
}

// Fits excludes engines whose KV cache is smaller than the request needs.
type Fits struct{}

// Name implements Filter.
func (Fits) Name() string { return "too-small" }

// Accept implements Filter.
func (Fits) Accept(e *fleet.Endpoint, r *Request) bool {
	return e.Load.KVTotal == 0 || r.PromptTokens+r.OutputTokens <= e.Load.KVTotal
}
