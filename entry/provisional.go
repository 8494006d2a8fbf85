package entry

import (
	"sync"
	"time"

	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/routing"
)

// provisional are the reservations of work that was admitted and not yet sent, so
// that requests admitted together do not all see the same idle engine. Each
// ends when its attempt reserves the work itself, or with the request.
type provisional struct{ byRequest sync.Map }

// make reserves w's work under its request id where the decision puts it.
func (p *provisional) make(d *common, now time.Duration, w *forward.Work, decision routing.Decision) {
	name := decision.Endpoint.Name
	p.byRequest.Store(w.ID, name)
	d.store.Reserve(now, fleet.Reservation{
		Endpoint: name, Attempt: w.ID, Work: d.serveShare(w, w.ResumeFrom, decision),
	})
}

// drop ends the reservation of a request. Dropping it again does nothing.
func (p *provisional) drop(d *common, request string) {
	name, found := p.byRequest.LoadAndDelete(request)
	if found {
		d.store.Release(d.now(), name.(string), request)
	}
}
