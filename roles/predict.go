package roles

import (
	"cmp"
	"math"
	"slices"

	"github.com/springweir/springweir/costs"
	"github.com/springweir/springweir/engine"
)

// levels are the multiples of the demand that Predict takes the mean over:
// requests come in bursts and the demand drifts, so a shape with room to spare
// is worth more than one that is just enough.
var levels = [...]float64{0.8, 1, 1.25}

// Predict returns the share of the demand's requests that shape s would
// answer within their deadlines, between 0 and 1.
//
// It is a fluid model that imitates the router: the demand is cut into quanta,
// the cheapest requests first, and each quantum takes the path through the
// engines that is fastest given those placed before it. A quantum that no path
// has room for is taken as refused. The goodput is then read off the final load.
func Predict(s RoleCounts, classes []Class, c costs.Engine) float64 {
	sum := 0.0
	for _, level := range levels {
		sum += predictAt(level, s, classes, c)
	}
	return sum / float64(len(levels))
}

// predictAt predicts for a multiple of the demand.
func predictAt(level float64, s RoleCounts, classes []Class, c costs.Engine) float64 {
	f := fluid{shape: s, c: c, level: level}
	rate, good := 0.0, 0.0
	for _, k := range classes {
		rate += k.Rate
	}
	if rate == 0 {
		return 1
	}
	for _, p := range f.place(classes) {
		good += p.quantum.Rate * f.inTime(p.path, p.quantum)
	}
	return good / (level * rate)
}

// quanta is the number of parts that each class is cut into.
const quanta = 4

// full is the utilisation above which a group of engines takes no more.
const full = 0.95

// placement is a quantum and the path that it takes.
type placement struct {
	quantum Class
	path    path
	placed  bool
}

// path names the roles that prefill and decode a request.
type path struct{ prefill, decode engine.Role }

// paths are the ones that package routing uses.
var paths = []path{
	{engine.Prefill, engine.Decode},
	{engine.Prefill, engine.Mixed},
	{engine.Mixed, engine.Mixed},
	{engine.Decode, engine.Decode},
}

// whole tells whether one engine does both parts.
func (p path) whole() bool { return p.prefill == p.decode }

// group is the load of all engines of one role, a second.
type group struct {
	// requests and prompt are prefilled here; squares sums the squares of the prompts.
	requests, prompt, squares float64
	// output is generated here; context sums output times the context under it.
	output, context float64
}

// fluid is a shape with the load placed on it so far.
type fluid struct {
	level                  float64
	shape                  RoleCounts
	c                      costs.Engine
	prefill, decode, mixed group
}

// at returns the group of role r.
func (f *fluid) at(r engine.Role) *group {
	switch r {
	case engine.Prefill:
		return &f.prefill
	case engine.Decode:
		return &f.decode
	default:
		return &f.mixed
	}
}

// place puts the demand on the shape and returns what found room. After the
// first round each quantum may move: those placed first did not yet see the
// load of the others.
func (f *fluid) place(classes []Class) []placement {
	sorted := slices.Clone(classes)
	slices.SortStableFunc(sorted, func(a, b Class) int { return cmp.Compare(f.work(a), f.work(b)) })
	all := make([]placement, 0, quanta*len(sorted))
	for _, k := range sorted {
		k.Rate *= f.level / quanta
		for range quanta {
			all = append(all, placement{quantum: k})
		}
	}
	for range rounds {
		for i := range all {
			f.move(&all[i])
		}
	}
	return slices.DeleteFunc(all, func(p placement) bool { return !p.placed })
}

// rounds is how often each quantum is placed.
const rounds = 3

// move takes a quantum off its path, if it has one, and places it anew.
func (f *fluid) move(p *placement) {
	if p.placed {
		f.add(p.path, p.quantum, -1)
	}
	p.path, p.placed = f.fastest(p.quantum)
	if p.placed {
		f.add(p.path, p.quantum, 1)
	}
}

// work is about the engine time that one request of class k takes.
func (f *fluid) work(k Class) float64 {
	most := float64(f.c.MaxBatch)
	return k.Prompt/f.c.PrefillRate + k.Output*f.step(most)/most
}

// fastest returns the path with room on which quantum k is answered first.
func (f *fluid) fastest(k Class) (path, bool) {
	var best path
	least := math.Inf(1)
	for _, p := range paths {
		if f.shape.count(p.prefill) == 0 || f.shape.count(p.decode) == 0 {
			continue
		}
		f.add(p, k, 1)
		if f.busy(p.prefill) <= full && f.busy(p.decode) <= full {
			if t := f.total(p, k); t < least {
				least, best = t, p
			}
		}
		f.add(p, k, -1)
	}
	return best, !math.IsInf(least, 1)
}

// add puts quantum k on path p, or takes it off again with sign -1.
func (f *fluid) add(p path, k Class, sign float64) {
	rate := sign * k.Rate
	first, second := f.at(p.prefill), f.at(p.decode)
	first.requests += rate
	first.prompt += rate * k.Prompt
	first.squares += rate * k.Prompt * k.Prompt
	second.output += rate * k.Output
	second.context += rate * k.Output * (k.Prompt + k.Output/2)
}

// prefillShare is the share of their time that engines of role r prefill.
func (f *fluid) prefillShare(r engine.Role) float64 {
	return f.at(r).prompt / (float64(f.shape.count(r)) * f.c.PrefillRate)
}

// perSequence is the seconds that one sequence of the group adds to a step.
func (f *fluid) perSequence(r engine.Role) float64 {
	g := f.at(r)
	if g.output <= 0 {
		return f.c.StepPerSequence.Seconds()
	}
	return f.c.StepPerSequence.Seconds() + f.c.StepPerContext*1e-9*g.context/g.output
}

// step is the seconds that a step of n sequences without context takes.
func (f *fluid) step(n float64) float64 {
	return f.c.StepBase.Seconds() + n*f.c.StepPerSequence.Seconds()
}

// busy is the share of their time that engines of role r work, in the largest batches.
func (f *fluid) busy(r engine.Role) float64 {
	most := float64(f.c.MaxBatch)
	perEngine := f.at(r).output / float64(f.shape.count(r))
	perToken := f.c.StepBase.Seconds()/most + f.perSequence(r)
	return f.prefillShare(r) + perEngine*perToken
}

// interToken is the seconds between two tokens on engines of role r. With the
// share u of the time spent on prefill and o tokens a second generated, it is
// base/(1-u-perSequence*o): steps slow down by the prefill between them and by
// the sequences that pile up meanwhile.
func (f *fluid) interToken(r engine.Role) float64 {
	perEngine := f.at(r).output / float64(f.shape.count(r))
	free := 1 - f.prefillShare(r) - perEngine*f.perSequence(r)
	return f.c.StepBase.Seconds() / math.Max(free, 1-full)
}

// slowdown is how much longer prefill takes on engines of role r because of
// the decode steps between its chunks.
func (f *fluid) slowdown(r engine.Role) float64 {
	if f.at(r).output <= 0 {
		return 1
	}
	return 1 + f.c.StepBase.Seconds()*f.c.PrefillRate/float64(f.chunk(r))
}

// queue returns the parameters of the wait before prefill on engines of role
// r, taken as an M/G/1 queue: it is longer than t seconds with probability
// busy*exp(-t/scale).
func (f *fluid) queue(r engine.Role) (busy, scale float64) {
	g := f.at(r)
	if g.prompt <= 0 {
		return 0, 0
	}
	busy = math.Min(f.prefillShare(r)*f.slowdown(r), full)
	meanResidual := f.slowdown(r) * g.squares / g.prompt / f.c.PrefillRate / 2
	return busy, meanResidual / (1 - busy)
}

// chunk is the prompt tokens in one step beside running sequences.
func (f *fluid) chunk(r engine.Role) int {
	if r == engine.Decode {
		return f.c.DecodeChunk
	}
	return f.c.MixedChunk
}

// service is the seconds that an answer of class k takes on path p without waiting.
func (f *fluid) service(p path, k Class) float64 {
	t := f.slowdown(p.prefill)*k.Prompt/f.c.PrefillRate + k.Output*f.interToken(p.decode)
	if !p.whole() {
		t += f.c.MoveLatency.Seconds() + k.Prompt/f.c.MoveRate
	}
	return t
}

// total is the mean seconds to the whole answer of class k on path p.
func (f *fluid) total(p path, k Class) float64 {
	busy, scale := f.queue(p.prefill)
	return busy*scale + f.service(p, k)
}

// inTime is how likely an answer of class k on path p meets its deadline.
func (f *fluid) inTime(p path, k Class) float64 {
	deadline := k.Deadline.Seconds()
	if deadline <= 0 {
		return 1
	}
	service := f.service(p, k)
	busy, scale := f.queue(p.prefill)
	fits := 1.0
	if slack := math.Max(0, deadline-service); scale > 0 {
		fits = 1 - busy*math.Exp(-slack/scale)
	}
	return fits * ramp(service/deadline)
}

// ramp falls from 1 to 0 while the service time goes from tight to
// hopeless: prompts and answers scatter round their means.
func ramp(use float64) float64 {
	const tight, hopeless = 0.7, 1.3
	return math.Min(1, math.Max(0, (hopeless-use)/(hopeless-tight)))
}
