package placement

import (
	"time"

	"github.com/springweir/springweir/directory"
)

// handoff returns the best engine to import the KV cache that an earlier attempt produced.
func (d *decision) handoff() option { return d.decoder(d.prior.Handle.Endpoint, d.prior.Handle.Tokens) }

// decoder returns the best engine of a random sample to import the tokens from another engine and
// decode. Engines in the zone of the source are preferred: the transfer takes half as long and
// costs less.
func (d *decision) decoder(from *directory.Endpoint, tokens int) option {
	engines := d.importers(from)
	best := d.importer(from, inZone(engines, from.Zone), tokens)
	if best.serve != nil && best.firstEvent < crowdedImport {
		return best
	}
	return earlier(best, d.importer(from, engines, tokens))
}

// crowdedImport is the predicted time to the first event above which engines of other zones are
// considered too.
const crowdedImport = 50 * time.Millisecond

// importer returns the best engine of a random sample to import the tokens from another engine.
// Open prefills of the importing engine delay the first step after the import.
func (d *decision) importer(from *directory.Endpoint, engines []*directory.Endpoint, tokens int) option {
	var best option
	for _, e := range d.sample(engines) {
		load := d.engineLoad(e)
		inFlight := d.p.loads.inFlight(load)
		wait := d.prefillTime(e, inFlight.prefill) + d.decodeWait(e, inFlight, tokens)
		best = earlier(best, option{serve: e, firstEvent: d.sendTime() + d.roundTripTo(e) + d.transferTime(from, e, tokens) + wait, queueing: wait, balancePenalty: time.Duration(inFlight.running) * perRunPenalty})
	}
	return best
}

// transferTime predicts the transfer of a KV cache between two engines. It doubles between zones.
func (d *decision) transferTime(from, to *directory.Endpoint, tokens int) time.Duration {
	spec := d.service.Engine
	if spec.LinkBitsPerSecond <= 0 {
		return 0
	}
	seconds := float64(tokens) * float64(spec.KVTokenBytes) * 8 / spec.LinkBitsPerSecond
	if from.Zone != to.Zone {
		seconds *= 2
	}
	return time.Duration(seconds * float64(time.Second))
}

// decodeWait predicts the wait for a batch slot and for cache memory.
func (d *decision) decodeWait(e *directory.Endpoint, inFlight work, tokens int) time.Duration {
	spec := d.service.Engine
	wait := d.pauseLeft(d.p.loads.get(e))
	if inFlight.running >= max(1, e.Slots) {
		wait += fullEngineWait
	}
	if spec.KVTokens > 0 && float64(inFlight.kvTokens+tokens) > d.p.tuning.MaxKV*float64(spec.KVTokens) {
		wait += fullEngineWait
	}
	return wait
}

const (
	// perRunPenalty is added per running request when engines are compared. It is not a prediction:
	// for engines with steps below one millisecond it would be ten times too long.
	perRunPenalty = 200 * time.Microsecond
	// fullEngineWait is the assumed wait at an engine without a free slot or without enough memory.
	fullEngineWait = 300 * time.Millisecond
)
