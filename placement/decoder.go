package placement

import (
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
)

// imported is the best engine to import a KV cache that was made already.
func (d *decision) imported() option { return d.decoder(d.try.Handle.Endpoint, d.try.Handle.Tokens) }

// decoder is the best engine to import tokens from another and decode, of a few
// drawn at random. Those of the other's zone come first: the way there is half as
// long and less dear.
func (d *decision) decoder(from *directory.Endpoint, tokens int) option {
	engines := d.role(engine.Decode)
	best := d.importer(from, inZone(engines, from.Zone), tokens)
	if best.serve != nil && best.first < crowded {
		return best
	}
	return sooner(best, d.importer(from, engines, tokens))
}

// crowded is the predicted time of an import above which engines of other zones
// are looked at too.
const crowded = 50 * time.Millisecond

// importer is the best of a few of the engines to import tokens from another. What an
// engine prefills itself goes before the first step of an import.
func (d *decision) importer(from *directory.Endpoint, engines []*directory.Endpoint, tokens int) option {
	var best option
	for _, e := range d.drawn(engines) {
		k := d.engineBook(e)
		open := d.p.books.open(k)
		wait := d.prefillTime(e, open.prefill) + d.decodeWait(e, open, tokens)
		best = sooner(best, option{serve: e, first: d.sendTime() + d.wayTo(e) + d.moveTime(from, e, tokens) + wait, wait: wait, spread: time.Duration(open.runs) * perRun})
	}
	return best
}

// moveTime is how long a KV cache takes from one engine to another; between
// zones it takes twice as long.
func (d *decision) moveTime(from, to *directory.Endpoint, tokens int) time.Duration {
	spec := d.service.Engine
	if spec.LinkBitsPerSecond <= 0 {
		return 0
	}
	s := float64(tokens) * float64(spec.KVTokenBytes) * 8 / spec.LinkBitsPerSecond
	if from.Zone != to.Zone {
		s *= 2
	}
	return time.Duration(s * float64(time.Second))
}

// decodeWait is the wait for a place in the batch and for cache memory.
func (d *decision) decodeWait(e *directory.Endpoint, open work, tokens int) time.Duration {
	spec := d.service.Engine
	wait := d.pause(d.p.books.of(e))
	if open.runs >= max(1, e.Slots) {
		wait += fullWait
	}
	if spec.KVTokens > 0 && float64(open.kvTokens+tokens) > d.p.tuning.MaxKV*float64(spec.KVTokens) {
		wait += fullWait
	}
	return wait
}

const (
	// perRun is what each running request counts when engines are compared. It is no
	// prediction: on engines of steps below a millisecond it would be ten times too much.
	perRun = 200 * time.Microsecond
	// fullWait is the assumed wait at an engine without a free place.
	fullWait = 300 * time.Millisecond
)
