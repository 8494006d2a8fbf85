package relay

import (
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/routes"
)

// Meter counts the requests that endpoints start to run. A request counts once, however many
// attempts it takes.
type Meter interface {
	// Began is called on the first evidence that a stream is running.
	Began(r *Request)
	// Sent is called just before a request other than a stream is sent, because the endpoint starts
	// to run it immediately. The returned function is called when the attempt has ended.
	Sent(r *Request) (ended func(ran bool))
}

// noMeter is the Meter used if Config has none. It counts nothing.
type noMeter struct{}

// Began implements Meter.
func (noMeter) Began(*Request) {}

// Sent implements Meter.
func (noMeter) Sent(*Request) func(bool) { return func(bool) {} }

// recordStart counts the request, once, as running on an endpoint.
func (j *job) recordStart() {
	if !j.counted {
		j.counted = true
		j.relay.cfg.Meter.Began(j.req)
	}
}

// recordSend counts a request other than a stream whose attempt is about to be written. The count
// is provisional until resolveSend.
func (j *job) recordSend() {
	if j.req.Route.Kind == routes.Stream || j.counted {
		return
	}
	j.resolveSend(&failure.Request{Ran: failure.NotRun}) // the previous connection failed before the first byte
	j.pendingSend = j.relay.cfg.Meter.Sent(j.req)
}

// resolveSend reports to the meter whether the attempt that was last sent has run. An attempt with
// an unknown outcome has most likely run and counts as such.
func (j *job) resolveSend(failed *failure.Request) {
	if j.pendingSend == nil {
		return
	}
	ran := failed == nil || failed.Ran != failure.NotRun
	j.pendingSend(ran)
	j.pendingSend, j.counted = nil, ran
}
