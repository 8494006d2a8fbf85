package entry

import (
	"errors"
	"time"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/health"
	"github.com/springweir/springweir/withhold"
)

// attempt is one attempt's hold on its endpoints. It implements forward.Observer.
type attempt struct {
	d        *dispatcher
	id       string
	work     *forward.Work
	acquired []acquisition
}

// acquisition is the hold on one endpoint. Its order of taking is the order of its
// fields; it is given back in the opposite order.
type acquisition struct {
	endpoint string
	hold     withhold.Reservation
	ticket   health.Ticket
	released bool
}

// acquire takes an endpoint for the attempt. busy is its name if it cannot be
// taken: withheld or leaving since the snapshot, or on trial for another request.
func (a *attempt) acquire(e *fleet.Endpoint, share fleet.Work) (busy string, err error) {
	hold, err := a.d.gate.TryAcquire(e.Name)
	var withheld *withhold.WithheldError
	var leaves *withhold.LeavingError
	switch {
	case errors.As(err, &withheld), errors.As(err, &leaves):
		return e.Name, nil
	case err != nil:
		return "", notAllowed(err)
	}
	now := a.d.now()
	ticket, ok := a.d.health.begin(now, e.Name)
	if !ok || ticket.Trial() && mayBeLost(a.work) {
		a.d.health.end(now, ticket, health.Abandoned)
		hold.Release()
		return e.Name, nil
	}
	a.d.store.Reserve(now, fleet.Reservation{Endpoint: e.Name, Attempt: a.id, Work: share})
	a.acquired = append(a.acquired, acquisition{endpoint: e.Name, hold: hold, ticket: ticket})
	return "", nil
}

// recheck tells why the endpoint that serves may no longer be sent to.
func (a *attempt) recheck() *failure.Request {
	err := a.d.gate.Recheck(a.acquired[len(a.acquired)-1].endpoint)
	if err == nil {
		return nil
	}
	return notAllowed(err)
}

// abandon gives back what was taken for an attempt that is not made.
func (a *attempt) abandon() { a.releaseAll(health.Abandoned) }

// FirstToken implements forward.Observer. It tells that the prompt is computed.
func (a *attempt) FirstToken(time.Duration) {
	serve := &a.acquired[len(a.acquired)-1]
	a.d.health.tracker.RecordActivity(serve.ticket)
	a.d.store.MarkPrefilled(a.d.now(), serve.endpoint, a.id)
}

// Finished implements forward.Observer. A prefill engine that was taken and in
// the end not used is not judged.
func (a *attempt) Finished(r forward.Result) {
	if r.Err == nil {
		a.d.expected.learn(a.work, r.Tokens)
	}
	last := len(a.acquired) - 1
	if r.Leaving {
		a.d.noteServiceLeaving(a.acquired[last].endpoint)
	}
	a.release(last, resultOf(r))
	a.releaseAll(health.Abandoned)
}

// prefillObserver follows the prefill of an attempt whose prefill runs on an
// engine of its own, which is the attempt's first acquisition.
type prefillObserver struct{ *attempt }

// FirstToken implements forward.Observer.
func (prefillObserver) FirstToken(time.Duration) {}

// Finished implements forward.Observer.
func (o prefillObserver) Finished(r forward.Result) { o.release(0, resultOf(r)) }

func (a *attempt) releaseAll(result health.Result) {
	for i := len(a.acquired) - 1; i >= 0; i-- {
		a.release(i, result)
	}
}

// release gives one acquisition back. Giving it back again does nothing.
func (a *attempt) release(i int, result health.Result) {
	l := &a.acquired[i]
	if l.released {
		return
	}
	l.released = true
	now := a.d.now()
	a.d.store.Release(now, l.endpoint, a.id)
	a.d.health.end(now, l.ticket, result)
	l.hold.Release()
}

// resultOf tells what a result says of its endpoint.
func resultOf(r forward.Result) health.Result {
	switch {
	case r.Abandoned:
		return health.Abandoned
	case r.Err == nil:
		return health.Succeeded
	case r.Err.Code == failure.EndpointStalled:
		return health.Unresponsive
	default:
		return health.Failed
	}
}
