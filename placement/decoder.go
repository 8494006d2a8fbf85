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
		best = earlier(best, option{serve: e, firstEvent: d.sendTime() + d.roundTripTo(e) + d.transferTime(from, e, tokens) + wait, queueing: wait, balancePenalty: d.balancePenalty(e, inFlight.running)})
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
	load := d.p.loads.get(e)
	runs, factor := d.p.runs[e.Service], d.p.paceOf(load)
	var release time.Duration
	if slots := max(1, e.Slots); inFlight.running >= slots {
		release = runs.release(float64(inFlight.running-slots+1)/float64(slots), factor)
	}
	if excess := float64(inFlight.kvTokens+tokens) - d.p.tuning.MaxKV*float64(spec.KVTokens); spec.KVTokens > 0 && excess > 0 && inFlight.kvTokens > 0 {
		release = max(release, runs.release(min(1, excess/float64(inFlight.kvTokens)), factor))
	}
	return d.pauseLeft(load) + release
}

// balancePenalty is added when engines that decode are compared.
func (d *decision) balancePenalty(e *directory.Endpoint, running int) time.Duration {
	return atPace(time.Duration(running)*perRunPenalty, d.p.paceOf(d.p.loads.get(e)))
}

// perRunPenalty is added per running request when engines are compared, multiplied by the engine's factor. It
// is not a prediction: for engines with steps below one millisecond it would be ten times too long.
const perRunPenalty = 200 * time.Microsecond
