package placement

import (
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/duties/scaling"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/loadshare"
)

const (
	// promptQueue is the prefill time at one engine that is no sign of too few engines: the objective
	// of short prompts, 250 ms, allows for it.
	promptQueue = 250 * time.Millisecond
	// clearTime is the time within which longer queues are to be processed by additional engines.
	clearTime = time.Second
)

// Demand returns the work that all VMs have in flight at a service, in endpoints that it keeps busy.
// It addresses load that changes within seconds: queues count as further endpoints, so that the demand
// exceeds the number of endpoints when these are overloaded. It is known if another VM has reported
// within loadshare.TTL.
func (p *Planner) Demand(service string) scaling.Demand {
	s := p.config().Service(service)
	if s == nil {
		return scaling.Demand{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	d := scaling.Demand{Known: p.loads.newestReportAge(p.now()) <= loadshare.TTL}
	for _, e := range p.directory.Snapshot().Service(service) {
		inFlight := p.loads.inFlight(p.loads.get(e))
		switch {
		case s.Engine == nil:
			d.Plain += float64(inFlight.running) / float64(max(1, e.Slots))
		case e.Role == engine.Prefill && inFlight.prefill.tokens <= p.tuning.DirectTokens:
			d.Either += p.busyPrefilling(e, inFlight)
		case e.Role == engine.Prefill:
			d.Prefill += p.busyPrefilling(e, inFlight)
		default:
			d.Decode += max(float64(inFlight.running)/float64(max(1, s.Engine.Slots)), p.busyPrefilling(e, inFlight))
		}
	}
	return d
}

// busyPrefilling returns how many engines the open prefills of one engine keep busy. The caller holds
// mu.
func (p *Planner) busyPrefilling(e *directory.Endpoint, inFlight work) float64 {
	if inFlight.prefill.tokens <= 0 {
		return 0
	}
	queue := p.modelOf(e.Service, e.Role).predict(inFlight.prefill) - promptQueue
	return 1 + max(0, float64(queue)/float64(clearTime))
}

// newestReportAge returns the age of the newest report of a peer, and a long time if there is none.
func (t *loadTracker) newestReportAge(now time.Time) time.Duration {
	newest := time.Duration(1<<63 - 1)
	for _, p := range t.peers {
		newest = min(newest, now.Sub(p.receivedAt))
	}
	return newest
}
