package entry

import (
	"sync"
	"time"

	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/routing"
)

// provisionalReservations holds the reservations of requests that were admitted but not
// sent yet, so that requests admitted at the same time don't all see the same idle engine.
// A reservation ends when the attempt makes its own, or with the request.
type provisionalReservations struct{ byRequest sync.Map }

// reserve reserves w's work, under its request ID, at the endpoint of the decision.
func (p *provisionalReservations) reserve(c *common, now time.Duration, w *forward.Work, decision routing.Decision) {
	name := decision.Endpoint.Name
	p.byRequest.Store(w.ID, name)
	c.store.Reserve(now, fleet.Reservation{
		Endpoint: name, Attempt: w.ID, Work: c.serveWork(w, w.ResumeFrom, decision),
	})
}

// release releases the reservation of a request. It is idempotent.
func (p *provisionalReservations) release(c *common, request string) {
	name, found := p.byRequest.LoadAndDelete(request)
	if found {
		c.store.Release(c.now(), name.(string), request)
	}
}
