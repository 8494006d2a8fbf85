package relay

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
)

// The first event that the caller receives binds a stream to the software version of its endpoint. All
// later attempts, and the requests by which the caller takes the stream up again, may use only endpoints
// of that software: what two versions produce does not fit together, and endpoints do not check this.

// Origins knows which software began each stream that callers may take up again.
type Origins interface {
	// Find returns the software that began the stream which a request takes up, or nil if any software
	// may continue it. The failure is that of a stream whose software is unknown.
	Find(ctx context.Context, r *Request) (*directory.Software, *failure.Request)
	// Began records the software that is about to bring the caller the first event of a response.
	Began(r *Request, s directory.Software)
}

// noOrigins is the Origins used if Config has none. Any software may continue a stream.
type noOrigins struct{}

// Find implements Origins.
func (noOrigins) Find(context.Context, *Request) (*directory.Software, *failure.Request) {
	return nil, nil
}

// Began implements Origins.
func (noOrigins) Began(*Request, directory.Software) {}

// findOrigin binds a request that takes up a stream to the software that began the stream.
func (j *job) findOrigin(ctx context.Context) *failure.Request {
	if !j.req.TakesUp() || !j.resumable() {
		return nil
	}
	software, failed := j.relay.cfg.Origins.Find(ctx, j.req)
	if failed != nil || software == nil {
		return failed
	}
	j.software = software
	if software.Service == j.req.Service {
		return nil
	}
	if !j.req.Route.SendsTo(software.Service) {
		return serviceChanged(software.Service)
	}
	routed := *j.req
	routed.Service = software.Service
	j.req = &routed
	j.relay.cfg.Budget(routed.Service).First()
	return nil
}

// resumable reports whether callers may take up the request's stream after a break.
func (j *job) resumable() bool {
	return j.req.Route.IsResumable()
}

// bind binds the stream to the software of the endpoint whose event is about to be forwarded. It returns
// a failure if the stream is bound to other software.
func (j *job) bind(e *directory.Endpoint) *failure.Request {
	if !j.allows(e) {
		klog.ErrorS(nil, "relay: event of another software version is not forwarded", "request", j.req.ID, "endpoint", e.ID,
			"software", e.SoftwareVersion, "bound", j.software.Version, "events", j.result.Events)
		return &failure.Request{Code: failure.AnswerMismatch, Ran: failure.Unknown, Message: "the event comes from another software version than the stream"}
	}
	if j.result.Events > 0 {
		return nil
	}
	if j.software == nil {
		software := e.Software()
		j.software = &software
	}
	if j.resumable() {
		j.relay.cfg.Origins.Began(j.req, *j.software)
	}
	return nil
}

// allows reports whether an endpoint may continue the stream.
func (j *job) allows(e *directory.Endpoint) bool {
	return j.software == nil || *j.software == e.Software()
}

// dropForeignHandle frees the KV cache of the prompt if the serving engine runs other software than the
// one that produced it.
func (j *job) dropForeignHandle(serve *directory.Endpoint) {
	if j.handle == nil || j.handle.Endpoint.Software() == serve.Software() {
		return
	}
	klog.InfoS("relay: KV cache of another software version is not imported", "request", j.req.ID, "endpoint", serve.ID,
		"software", serve.SoftwareVersion, "holder", j.handle.Endpoint.ID, "holderSoftware", j.handle.Endpoint.SoftwareVersion)
	j.freeHandle()
	j.handle = nil
}

// serviceChanged returns the failure of a stream whose route no longer leads to the service that began it.
func serviceChanged(service string) *failure.Request {
	return &failure.Request{Code: failure.SoftwareGone, Ran: failure.NotRun, Message: "the route no longer leads to service " + service + ", which began the stream"}
}
