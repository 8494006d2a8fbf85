package placement

import (
	"slices"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/routes"
)

// importsCache reports whether an earlier attempt already produced the request's KV cache.
func (d *decision) importsCache() bool { return d.prior.Handle != nil || d.prior.Resume != nil }

// resume returns the option of continuing the run on the engine that holds its backup, or the zero
// option if that engine is not usable.
func (d *decision) resume() option {
	target := d.prior.Resume
	for _, e := range d.endpoints {
		if e.ID == target.ID && e.Incarnation() == target.Incarnation() && e.Role != engine.Prefill {
			return option{serve: e, firstEvent: d.linkWait() + d.sendTime() + d.roundTripTo(e)}
		}
	}
	return option{}
}

// backup chooses an engine that keeps a copy of the state of a run on serve, or returns nil. Only
// streams that must not be repeated get one, and only on revocable engines: a copy occupies cache
// memory that other requests then lack, which costs more than the few streams that crashes
// interrupt. The copy serves only the software that made it. The revocable engines of a zone are
// usually revoked together and all their runs resume at once, so the copies are spread over all other
// engines.
func (d *decision) backup(serve *directory.Endpoint, tokens int) *directory.Endpoint {
	route := d.req.Route
	if !d.service.Engine.Backups || !serve.Revocable || route.Kind != routes.Stream || route.Repeatable() {
		return nil
	}
	var engines []*directory.Endpoint
	for _, e := range d.enginesWithRole(engine.Decode) {
		revokedTogether := e.Revocable && e.Zone == serve.Zone
		if e.ID != serve.ID && e.Software() == serve.Software() && !revokedTogether && !slices.Contains(d.rateLimited, e) {
			engines = append(engines, e)
		}
	}
	return d.leastLoaded(engines, tokens)
}

// leastLoaded samples the engines and returns the one with the fewest running requests, or nil if
// none has enough free cache memory for the tokens.
func (d *decision) leastLoaded(engines []*directory.Endpoint, tokens int) *directory.Endpoint {
	freeTokens := int(d.p.tuning.MaxKV*float64(d.service.Engine.KVTokens)) - tokens
	var best *directory.Endpoint
	fewest := 0
	for _, e := range d.sample(engines) {
		inFlight := d.p.loads.inFlight(d.p.loads.get(e))
		if inFlight.kvTokens <= freeTokens && (best == nil || inFlight.running < fewest) {
			best, fewest = e, inFlight.running
		}
	}
	return best
}
