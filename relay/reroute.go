package relay

import (
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/failure"
)

// Router says where the configuration in force sends requests.
type Router interface {
	// Route returns the request as it is routed now: r itself if its route still sends it to its
	// service, otherwise a copy with another route and service.
	Route(r *Request) (*Request, *failure.Request)
	// Admit returns why the caller of a request may no longer have it run, or nil: its key was taken
	// away, or this VM cannot tell.
	Admit(r *Request) *failure.Request
}

// unrouted is the Router of a Relay that has none: routes do not change.
type unrouted struct{}

// Route implements Router.
func (unrouted) Route(r *Request) (*Request, *failure.Request) { return r, nil }

// Admit implements Router.
func (unrouted) Admit(*Request) *failure.Request { return nil }

// route returns the request as it is routed now. A stream that has begun goes on where its
// events came from.
func (j *job) route() (*Request, *failure.Request) {
	if j.result.HeadSent {
		return j.req, nil
	}
	return j.relay.cfg.Router.Route(j.req)
}

// reroute makes the request follow the configuration in force. What was read of its prompt is of no
// use to another service, and what the first may have done must not be done again by the second
// unless the new route allows that.
func (j *job) reroute() *failure.Request {
	routed, failed := j.route()
	switch {
	case failed != nil && j.ran != failure.NotRun:
		return j.last
	case failed != nil:
		return failed
	case routed == j.req:
		return nil
	case j.ran != failure.NotRun && !routed.Route.Repeatable():
		return j.last
	}
	klog.InfoS("relay: request goes by another configuration", "request", j.req.ID, "route", routed.Route.Name, "service", routed.Service,
		"routeBefore", j.req.Route.Name, "serviceBefore", j.req.Service)
	if routed.Service != j.req.Service {
		j.free()
		j.handle, j.prefilled = nil, false
		j.relay.cfg.Budget(routed.Service).First()
	}
	j.req = routed
	return nil
}
