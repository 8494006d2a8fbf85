package placement

import (
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/relay"
)

// option is one way to serve a generation.
type option struct {
	// prefill is nil when serve prefills itself.
	prefill, serve *directory.Endpoint
	// copyFrom, if set, holds more of the prompt than the engine that prefills.
	copyFrom *directory.Endpoint
	// uncached are the tokens that have to be prefilled, after those that are cached.
	uncached, cached int
	// first is when the first event is predicted, from now, and wait the part of it
	// that is due to other requests.
	first, wait time.Duration
	// spread is added to first when options are compared: it draws requests to the
	// engines that run fewer.
	spread time.Duration
}

// toDo is the prefill that the option takes.
func (o option) toDo() amount { return amountOf(o.uncached, o.cached) }

// planEngine chooses the engines of a generation: one that decodes, and one that
// prefills for it unless the first does so itself sooner.
func (d *decision) planEngine() (relay.Plan, *failure.Request) {
	chunks := chunksOf(d.r.Prompt)
	tokens := d.promptTokens()
	var best option
	switch {
	case d.try.Resume != nil:
		best = d.resumed()
	case d.try.Handle != nil:
		best = d.imported()
	case d.try.Colocated:
		best = d.direct(chunks, tokens)
	default:
		best = sooner(d.direct(chunks, tokens), d.split(chunks, tokens))
	}
	if best.serve == nil {
		return relay.Plan{}, d.unavailable("no engine that decodes takes work now")
	}
	if refused := d.tooLate(best); refused != nil {
		return relay.Plan{}, refused
	}
	return d.commit(best, chunks, tokens)
}

func (d *decision) promptTokens() int {
	if d.r.Prompt == nil {
		return 0
	}
	return d.r.Prompt.Tokens
}

// sooner returns the option with the earlier first event; one without an
// endpoint loses.
func sooner(a, b option) option {
	if a.serve == nil || b.serve != nil && b.first+b.spread < a.first+a.spread {
		return b
	}
	return a
}

// split is the best pair of an engine that prefills and one that decodes.
func (d *decision) split(chunks []chunk, tokens int) option {
	read := d.reader(chunks, tokens)
	if read.serve == nil {
		return option{}
	}
	pair := d.decoder(read.prefill, tokens)
	if pair.serve == nil {
		return option{}
	}
	pair.prefill, pair.copyFrom, pair.uncached, pair.cached = read.prefill, read.copyFrom, read.uncached, read.cached
	pair.first += read.first
	pair.wait += read.wait
	return pair
}

// reader is the best engine to prefill: of a few of the own zone, or of all zones
// if these are crowded, and of those that hold more of the prompt, wherever they are.
//
// The least loaded of all engines is looked for only with fresh news: while news is on its
// way all VMs find the same one. In a replay of a burst of three
// times the usual load on 104 engines, with news 60 to 120 ms old, 0.61 and 0.44 of the
// requests of its two halves came in time with that look, 0.73 and 0.88 without.
func (d *decision) reader(chunks []chunk, tokens int) option {
	engines := d.role(engine.Prefill)
	best := d.first(inZone(engines, d.p.zone), chunks, tokens)
	best = sooner(best, d.bestHolder(engines, chunks, tokens, best))
	if best.serve != nil && best.first < d.inTime()/2 {
		return best
	}
	best = sooner(best, d.first(engines, chunks, tokens))
	if best.serve != nil && best.first < d.inTime() {
		return best
	}
	return sooner(best, d.any(engines, chunks, tokens))
}

// any is the best of all engines, or of a few drawn at random if the news of them is not
// fresh. Many prompts behind one shared part have the same first engines, which a burst of
// them fills.
func (d *decision) any(engines []*directory.Endpoint, chunks []chunk, tokens int) option {
	if d.choices() < d.p.tuning.Choices {
		engines = d.drawn(engines)
	}
	var best option
	for _, e := range engines {
		best = sooner(best, d.readOn(e, chunks, tokens))
	}
	return best
}

// bestHolder is the best of the engines that hold more of the prompt than the choice so
// far. Parts that nearly every engine holds thus decide nothing: among all of them,
// the VMs that look at the same moment would find the same least loaded one.
func (d *decision) bestHolder(engines []*directory.Endpoint, chunks []chunk, tokens int, soFar option) option {
	most := 0
	if soFar.serve != nil {
		most = tokens - soFar.uncached
	}
	var best option
	for _, e := range engines {
		if d.engineBook(e).cache.cached(chunks) > most {
			best = sooner(best, d.readOn(e, chunks, tokens))
		}
	}
	return best
}

// first is the best of the few engines that come first for the prompt in an order
// that all VMs share. So a prompt whose parts nobody holds is placed alike by all,
// and prompts that come at once are not all placed on the one engine that looked
// idle to everybody.
func (d *decision) first(engines []*directory.Endpoint, chunks []chunk, tokens int) option {
	var best option
	for _, e := range d.withLimited(firstFor(d.key(chunks), engines, d.choices()), engines) {
		best = sooner(best, d.readOn(e, chunks, tokens))
	}
	return best
}

// readOn predicts a prefill on one engine that only prefills.
func (d *decision) readOn(e *directory.Endpoint, chunks []chunk, tokens int) option {
	o := d.prefillOn(e, chunks, tokens)
	o.prefill = e
	pause := d.pause(d.p.books.of(e))
	o.first += pause
	o.wait += pause
	return o
}

// prefillOn predicts when an engine would have prefilled the prompt, behind what is
// open there.
func (d *decision) prefillOn(e *directory.Endpoint, chunks []chunk, tokens int) option {
	k := d.engineBook(e)
	reused := d.reuseOn(e, chunks)
	uncached := max(1, tokens-reused.tokens)
	own := amountOf(uncached, reused.tokens)
	read := d.prefillTime(e, d.p.books.open(k).prefill.plus(own))
	return option{
		serve: e, copyFrom: reused.copyFrom, uncached: uncached, cached: reused.tokens,
		first: d.linkWait() + d.sendTime() + d.wayTo(e) + reused.copying + read,
		wait:  d.linkWait() + read - d.prefillTime(e, own),
	}
}

// prefillTime predicts how long an engine takes over a prefill.
func (d *decision) prefillTime(e *directory.Endpoint, a amount) time.Duration {
	return d.p.paceOf(e.Service, e.Role).time(a)
}

// inTime is the time within which the first event should be predicted.
func (d *decision) inTime() time.Duration {
	return time.Duration(d.p.tuning.ObjectiveFraction * float64(d.r.Route.Objective))
}

// engineBook returns the book of an engine, with the model of its cache.
func (d *decision) engineBook(e *directory.Endpoint) *book {
	return d.p.books.engine(e, d.service.Engine.KVTokens)
}
