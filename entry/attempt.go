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

// attempt tracks what one attempt has acquired at its endpoints. It implements
// forward.Observer.
type attempt struct {
	d        *dispatcher
	id       string
	work     *forward.Work
	acquired []acquisition
}

// acquisition is what an attempt holds at one endpoint. Fields are acquired in the order in
// which they are declared and released in reverse order.
type acquisition struct {
	endpoint    string
	reservation withhold.Reservation
	ticket      health.Ticket
	released    bool
}

// acquire acquires an endpoint for the attempt. If it cannot, because the endpoint was
// withheld or started to leave after the snapshot was taken, or because another request has
// its trial, it returns the endpoint's name in unavailable.
func (a *attempt) acquire(e *fleet.Endpoint, work fleet.Work) (unavailable string, err error) {
	reservation, err := a.d.gate.TryAcquire(e.Name)
	var withheldErr *withhold.WithheldError
	var leavingErr *withhold.LeavingError
	switch {
	case errors.As(err, &withheldErr), errors.As(err, &leavingErr):
		return e.Name, nil
	case err != nil:
		return "", newWorkForbidden(err)
	}
	now := a.d.now()
	ticket, ok := a.d.health.begin(now, e.Name)
	if !ok || ticket.Trial() && notRepeatable(a.work) {
		a.d.health.end(now, ticket, health.Abandoned)
		reservation.Release()
		return e.Name, nil
	}
	a.d.store.Reserve(now, fleet.Reservation{Endpoint: e.Name, Attempt: a.id, Work: work})
	a.acquired = append(a.acquired, acquisition{endpoint: e.Name, reservation: reservation, ticket: ticket})
	return "", nil
}

// recheck returns the reason why work may no longer be sent to the serving endpoint, or
// nil.
func (a *attempt) recheck() *failure.Request {
	err := a.d.gate.Recheck(a.acquired[len(a.acquired)-1].endpoint)
	if err == nil {
		return nil
	}
	return newWorkForbidden(err)
}

// abandon releases everything acquired for an attempt that is not sent.
func (a *attempt) abandon() { a.releaseAll(health.Abandoned) }

// FirstToken implements forward.Observer. The first token shows that the prompt is
// prefilled.
func (a *attempt) FirstToken(time.Duration) {
	serving := &a.acquired[len(a.acquired)-1]
	a.d.health.tracker.RecordActivity(serving.ticket)
	a.d.store.MarkPrefilled(a.d.now(), serving.endpoint, a.id)
}

// Finished implements forward.Observer. A prefill engine that was acquired but not used
// gets no health result.
func (a *attempt) Finished(r forward.Result) {
	if r.Err == nil {
		a.d.demand.recordOutput(a.work, r.Tokens)
	}
	last := len(a.acquired) - 1
	if r.Leaving {
		a.d.recordServiceLeaving(a.acquired[last].endpoint)
	}
	a.release(last, healthResultOf(r))
	a.releaseAll(health.Abandoned)
}

// prefillObserver observes the prefill of an attempt that prefills on a separate engine,
// which is the attempt's first acquisition.
type prefillObserver struct{ *attempt }

// FirstToken implements forward.Observer.
func (prefillObserver) FirstToken(time.Duration) {}

// Finished implements forward.Observer.
func (o prefillObserver) Finished(r forward.Result) { o.release(0, healthResultOf(r)) }

func (a *attempt) releaseAll(result health.Result) {
	for i := len(a.acquired) - 1; i >= 0; i-- {
		a.release(i, result)
	}
}

// release releases one acquisition. It is idempotent.
func (a *attempt) release(i int, result health.Result) {
	acq := &a.acquired[i]
	if acq.released {
		return
	}
	acq.released = true
	now := a.d.now()
	a.d.store.Release(now, acq.endpoint, a.id)
	a.d.health.end(now, acq.ticket, result)
	acq.reservation.Release()
}

// healthResultOf maps the result of an attempt to a health result of its endpoint.
func healthResultOf(r forward.Result) health.Result {
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
