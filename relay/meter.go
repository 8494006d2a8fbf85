package relay

import (
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/routes"
)

// Meter counts the requests that endpoints begin to run, each once however many attempts it takes.
type Meter interface {
	// Began is called when the first sign came that a stream runs.
	Began(r *Request)
	// Sent is called just before a request is sent that is no stream: an endpoint that runs it
	// begins at once. The function returned is called when the attempt has ended.
	Sent(r *Request) (ended func(ran bool))
}

// unmetered is the Meter of a Relay that has none.
type unmetered struct{}

// Began implements Meter.
func (unmetered) Began(*Request) {}

// Sent implements Meter.
func (unmetered) Sent(*Request) func(bool) { return func(bool) {} }

// began notes that the request runs at an endpoint.
func (j *job) began() {
	if !j.metered {
		j.metered = true
		j.relay.cfg.Meter.Began(j.req)
	}
}

// sent notes that an attempt is about to be written.
func (j *job) sent() {
	if j.req.Route.Kind == routes.Stream || j.metered {
		return
	}
	j.settle(&failure.Request{Ran: failure.NotRun}) // a connection that broke before the first byte
	j.unsettled = j.relay.cfg.Meter.Sent(j.req)
}

// settle notes how the attempt ended that was last sent. One whose outcome is not known has most
// likely run.
func (j *job) settle(failed *failure.Request) {
	if j.unsettled == nil {
		return
	}
	ran := failed == nil || failed.Ran != failure.NotRun
	j.unsettled(ran)
	j.unsettled, j.metered = nil, ran
}
