package placement

import (
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/relay"
)

// option is a candidate plan for a generation.
type option struct {
	// prefill is nil when serve also prefills.
	prefill, serve *directory.Endpoint
	// copyFrom, if set, caches a longer prefix of the prompt than the prefilling engine.
	copyFrom *directory.Endpoint
	// uncached is the number of tokens to prefill, after the prefix of cached tokens.
	uncached, cached int
	// firstEvent is the predicted time from now to the first event, and queueing the part of it
	// that is due to other requests.
	firstEvent, queueing time.Duration
	// balancePenalty is added to firstEvent when options are compared; it favours engines with
	// fewer running requests.
	balancePenalty time.Duration
}

// uncachedWork returns the prefill that the option requires.
func (o option) uncachedWork() prefillWork { return newPrefillWork(o.uncached, o.cached) }

// planEngine chooses the engines of a generation: one that decodes, and a separate one that
// prefills if the first event is then predicted earlier.
func (d *decision) planEngine() (relay.Plan, *failure.Request) {
	chunks := chunksOf(d.req.Prompt)
	tokens := d.promptTokens()
	var best option
	switch {
	case d.prior.Resume != nil:
		best = d.resume()
	case d.prior.Handle != nil && d.canImport():
		best = d.handoff()
	default:
		best = d.bestOfSoftware(chunks, tokens)
	}
	if best.serve == nil {
		return relay.Plan{}, d.unavailable("no engine that decodes takes work now")
	}
	if late := d.refuseIfLate(best); late != nil {
		return relay.Plan{}, late
	}
	return d.commit(best, chunks, tokens)
}

// best returns the best option among the endpoints, which run the same software.
func (d *decision) best(chunks []chunk, tokens int) option {
	direct := d.bestDirect(chunks, tokens)
	if d.prior.Colocated {
		return direct
	}
	return earlier(direct, d.bestPair(chunks, tokens))
}

func (d *decision) promptTokens() int {
	if d.req.Prompt == nil {
		return 0
	}
	return d.req.Prompt.Tokens
}

// earlier returns the option with the earlier first event, penalties included. An option without an
// endpoint loses.
func earlier(a, b option) option {
	if a.serve == nil || b.serve != nil && b.firstEvent+b.balancePenalty < a.firstEvent+a.balancePenalty {
		return b
	}
	return a
}

// bestPair returns the best combination of a prefill engine and a decode engine.
func (d *decision) bestPair(chunks []chunk, tokens int) option {
	prefiller := d.bestPrefill(chunks, tokens)
	if prefiller.serve == nil {
		return option{}
	}
	pair := d.decoder(prefiller.prefill, tokens)
	if pair.serve == nil {
		return option{}
	}
	pair.prefill, pair.copyFrom, pair.uncached, pair.cached = prefiller.prefill, prefiller.copyFrom, prefiller.uncached, prefiller.cached
	pair.firstEvent += prefiller.firstEvent
	pair.queueing += prefiller.queueing
	return pair
}

// bestPrefill returns the best prefill engine. It considers a few engines of the local zone, all
// engines that cache more of the prompt, and, if these are too slow, engines of all zones.
//
// All engines are compared only if peer reports are frequent: with delayed reports all VMs choose
// the same least loaded engine. In a burst of three times the usual load on 104 engines with
// reports 60 to 120 ms old, comparing all engines served 0.61 and 0.44 of the requests of its two
// halves in time, comparing a sample 0.73 and 0.88.
func (d *decision) bestPrefill(chunks []chunk, tokens int) option {
	engines := d.enginesWithRole(engine.Prefill)
	best := d.bestByRendezvous(inZone(engines, d.p.zone), chunks, tokens)
	best = earlier(best, d.bestCacheHolder(engines, chunks, tokens, best))
	if best.serve != nil && best.firstEvent < d.latencyBudget()/2 {
		return best
	}
	best = earlier(best, d.bestByRendezvous(engines, chunks, tokens))
	if best.serve != nil && best.firstEvent < d.latencyBudget() {
		return best
	}
	return earlier(best, d.bestOfAll(engines, chunks, tokens))
}

// bestOfAll returns the best of all engines, or of a random sample if peer reports are infrequent or too old for
// the work that is placed meanwhile. It is needed when a burst of prompts with the same prefix fills the engines that rendezvous
// hashing selects for it.
func (d *decision) bestOfAll(engines []*directory.Endpoint, chunks []chunk, tokens int) option {
	n := d.numUnseenChoices(engines)
	if choices := d.numChoices(); choices < d.p.tuning.Choices {
		n = choices
	}
	if n < len(engines) {
		engines = d.sampleOf(engines, n)
	}
	var best option
	for _, e := range engines {
		best = earlier(best, d.predictPrefillEngine(e, chunks, tokens))
	}
	return best
}

// bestCacheHolder returns the best of the engines that cache more of the prompt than the best
// option so far. Parts that nearly every engine caches thus have no influence; otherwise VMs that
// decide at the same time would choose the same least loaded engine among nearly all.
func (d *decision) bestCacheHolder(engines []*directory.Endpoint, chunks []chunk, tokens int, soFar option) option {
	cached := 0
	if soFar.serve != nil {
		cached = tokens - soFar.uncached
	}
	var best option
	for _, e := range d.cacheHolders(engines, chunks, cached) {
		best = earlier(best, d.predictPrefillEngine(e, chunks, tokens))
	}
	return best
}

// bestByRendezvous returns the best of the few engines that rendezvous hashing selects for the
// prompt. All VMs send an uncached prompt to the same engines, and different prompts that arrive
// together do not all go to the one engine that every VM considers idle.
func (d *decision) bestByRendezvous(engines []*directory.Endpoint, chunks []chunk, tokens int) option {
	var best option
	for _, e := range d.withRateLimited(rendezvousTop(d.rendezvousKey(chunks), engines, d.numChoices()), engines) {
		best = earlier(best, d.predictPrefillEngine(e, chunks, tokens))
	}
	return best
}

// predictPrefillEngine returns the option of prefilling on an engine that only prefills.
func (d *decision) predictPrefillEngine(e *directory.Endpoint, chunks []chunk, tokens int) option {
	o := d.predictPrefill(e, chunks, tokens)
	o.prefill = e
	pause := d.pauseLeft(d.p.loads.get(e))
	o.firstEvent += pause
	o.queueing += pause
	return o
}

// predictPrefill returns the option of prefilling the prompt on an engine, after its open prefills.
func (d *decision) predictPrefill(e *directory.Endpoint, chunks []chunk, tokens int) option {
	load := d.engineLoad(e)
	reused := d.reuseOn(e, chunks)
	uncached := max(1, tokens-reused.tokens)
	added := newPrefillWork(uncached, reused.tokens)
	prefill := d.prefillTime(e, d.p.loads.inFlight(load).prefill.plus(added))
	return option{
		serve: e, copyFrom: reused.copyFrom, uncached: uncached, cached: reused.tokens,
		firstEvent: d.linkWait() + d.sendTime() + d.roundTripTo(e) + reused.copyTime + prefill,
		queueing:   d.linkWait() + prefill - d.prefillTime(e, added),
	}
}

// prefillTime predicts how long an engine takes for a prefill.
func (d *decision) prefillTime(e *directory.Endpoint, a prefillWork) time.Duration {
	return d.p.prefillTime(e, a)
}

// latencyBudget returns the time within which the first event must be predicted.
func (d *decision) latencyBudget() time.Duration {
	return time.Duration(d.p.tuning.InTime * float64(d.req.Route.Objective))
}

// engineLoad returns the tracked load of an engine, including its cache model.
func (d *decision) engineLoad(e *directory.Endpoint) *endpointLoad {
	return d.p.loads.getEngine(e, d.service.Engine.KVTokens)
}
