package relay

import (
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/failure"
)

// Router routes requests by the current configuration.
type Router interface {
	// Route returns r itself if its route still leads to its service, otherwise a copy of it with
	// the new route and service.
	Route(r *Request) (*Request, *failure.Request)
	// Admit returns a failure if the caller is no longer authorised to run the request, because its
	// key was revoked or this VM cannot verify it, and nil otherwise.
	Admit(r *Request) *failure.Request
}

// noRouter is the Router used if Config has none: routes never change.
type noRouter struct{}

// Route implements Router.
func (noRouter) Route(r *Request) (*Request, *failure.Request) { return r, nil }

// Admit implements Router.
func (noRouter) Admit(*Request) *failure.Request { return nil }

// currentRoute returns the request as currently routed. A response whose head was sent keeps its
// route, so that a stream continues on the service that started it.
func (j *job) currentRoute() (*Request, *failure.Request) {
	if j.result.HeadSent {
		return j.req, nil
	}
	return j.relay.cfg.Router.Route(j.req)
}

// reroute applies the current configuration to the request. A KV cache of the prompt is useless to
// another service and is freed. A request that may have run on the old service runs on the new one
// only if the new route is repeatable.
func (j *job) reroute() *failure.Request {
	routed, failed := j.currentRoute()
	switch {
	case failed != nil && j.ran != failure.NotRun:
		return j.lastFailure
	case failed != nil:
		return failed
	case routed == j.req:
		return nil
	case j.software != nil && routed.Service != j.software.Service:
		return serviceChanged(j.software.Service)
	case j.ran != failure.NotRun && !routed.Route.Repeatable():
		return j.lastFailure
	}
	j.applyRoute(routed)
	return nil
}

// applyRoute makes the request follow a new route.
func (j *job) applyRoute(routed *Request) {
	klog.InfoS("relay: request rerouted by a new configuration", "request", j.req.ID, "route", routed.Route.Name, "service", routed.Service,
		"routeBefore", j.req.Route.Name, "serviceBefore", j.req.Service)
	if routed.Service != j.req.Service {
		j.freeHandle()
		j.handle, j.prefilled, j.arrivals = nil, false, arrivals{}
		j.relay.cfg.Budget(routed.Service).First()
	}
	j.req = routed
}
