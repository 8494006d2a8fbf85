package roles

import (
	"cmp"
	"math"
	"slices"

	"github.com/springweir/springweir/costs"
	"github.com/springweir/springweir/engine"
)

// demandLevels are the multiples of the demand over which Predict averages. Requests arrive in
// bursts and the demand drifts, so spare capacity has a value.
var demandLevels = [...]float64{0.8, 1, 1.25}

// Predict returns the fraction of requests, between 0 and 1, that engines with role counts s
// complete within their deadlines.
//
// It is a fluid model of the router. The demand is divided into quanta, the cheapest requests
// first, and each quantum takes the path through the engines that is fastest given those placed
// before it. A quantum for which no path has capacity counts as refused. The goodput follows from
// the final load.
func Predict(s RoleCounts, classes []Class, c costs.Engine) float64 {
	sum := 0.0
	for _, level := range demandLevels {
		sum += predictAt(level, s, classes, c)
	}
	return sum / float64(len(demandLevels))
}

// predictAt predicts for a multiple of the demand.
func predictAt(level float64, s RoleCounts, classes []Class, c costs.Engine) float64 {
	f := fluidModel{counts: s, c: c, level: level}
	rate, good := 0.0, 0.0
	for _, k := range classes {
		rate += k.Rate
	}
	if rate == 0 {
		return 1
	}
	for _, p := range f.place(classes) {
		good += p.quantum.Rate * f.onTimeProbability(p.path, p.quantum)
	}
	return good / (level * rate)
}

// quantaPerClass is the number of quanta of each class.
const quantaPerClass = 4

// maxUtilisation is the utilisation above which a group of engines accepts no more load.
const maxUtilisation = 0.95

// placement is a quantum and its path.
type placement struct {
	quantum Class
	path    path
	placed  bool
}

// path holds the roles that prefill and decode a request.
type path struct{ prefill, decode engine.Role }

// paths are the paths that package routing uses.
var paths = []path{
	{engine.Prefill, engine.Decode},
	{engine.Prefill, engine.Mixed},
	{engine.Mixed, engine.Mixed},
	{engine.Decode, engine.Decode},
}

// colocated reports whether one engine both prefills and decodes.
func (p path) colocated() bool { return p.prefill == p.decode }

// group is the load per second on all engines of one role.
type group struct {
	// requests and prompt are the requests and prompt tokens to prefill; squares is the sum of the
	// squared prompt lengths.
	requests, prompt, squares float64
	// output is the number of tokens to generate; context is the sum of output times the context
	// length.
	output, context float64
}

// fluidModel holds role counts and the load placed on them so far.
type fluidModel struct {
	level                  float64
	counts                 RoleCounts
	c                      costs.Engine
	prefill, decode, mixed group
}

// group returns the group of role r.
func (f *fluidModel) group(r engine.Role) *group {
	switch r {
	case engine.Prefill:
		return &f.prefill
	case engine.Decode:
		return &f.decode
	default:
		return &f.mixed
	}
}

// place distributes the demand and returns the quanta that were placed. After the first round each
// quantum may move, because those placed first did not take the load of the others into account.
func (f *fluidModel) place(classes []Class) []placement {
	sorted := slices.Clone(classes)
	slices.SortStableFunc(sorted, func(a, b Class) int { return cmp.Compare(f.work(a), f.work(b)) })
	all := make([]placement, 0, quantaPerClass*len(sorted))
	for _, k := range sorted {
		k.Rate *= f.level / quantaPerClass
		for range quantaPerClass {
			all = append(all, placement{quantum: k})
		}
	}
	for range placementRounds {
		for i := range all {
			f.replace(&all[i])
		}
	}
	return slices.DeleteFunc(all, func(p placement) bool { return !p.placed })
}

// placementRounds is how often each quantum is placed.
const placementRounds = 3

// replace removes a quantum from its path, if it has one, and places it again.
func (f *fluidModel) replace(p *placement) {
	if p.placed {
		f.add(p.path, p.quantum, -1)
	}
	p.path, p.placed = f.fastest(p.quantum)
	if p.placed {
		f.add(p.path, p.quantum, 1)
	}
}

// work returns the approximate engine time, in seconds, of one request of class k.
func (f *fluidModel) work(k Class) float64 {
	most := float64(f.c.MaxBatch)
	return k.Prompt/f.c.PrefillRate + k.Output*f.stepTime(most)/most
}

// fastest returns the path with sufficient capacity that completes quantum k first.
func (f *fluidModel) fastest(k Class) (path, bool) {
	var best path
	minTotal := math.Inf(1)
	for _, p := range paths {
		if f.counts.count(p.prefill) == 0 || f.counts.count(p.decode) == 0 {
			continue
		}
		f.add(p, k, 1)
		if f.utilisation(p.prefill) <= maxUtilisation && f.utilisation(p.decode) <= maxUtilisation {
			if t := f.totalTime(p, k); t < minTotal {
				minTotal, best = t, p
			}
		}
		f.add(p, k, -1)
	}
	return best, !math.IsInf(minTotal, 1)
}

// add places quantum k on path p; with sign -1 it removes it.
func (f *fluidModel) add(p path, k Class, sign float64) {
	rate := sign * k.Rate
	first, second := f.group(p.prefill), f.group(p.decode)
	first.requests += rate
	first.prompt += rate * k.Prompt
	first.squares += rate * k.Prompt * k.Prompt
	second.output += rate * k.Output
	second.context += rate * k.Output * (k.Prompt + k.Output/2)
}

// prefillUtilisation returns the fraction of time that engines of role r spend on prefill.
func (f *fluidModel) prefillUtilisation(r engine.Role) float64 {
	return f.group(r).prompt / (float64(f.counts.count(r)) * f.c.PrefillRate)
}

// stepPerSequence returns the seconds that one sequence of the group adds to a step.
func (f *fluidModel) stepPerSequence(r engine.Role) float64 {
	g := f.group(r)
	if g.output <= 0 {
		return f.c.StepPerSequence.Seconds()
	}
	return f.c.StepPerSequence.Seconds() + f.c.StepPerContext*1e-9*g.context/g.output
}

// stepTime returns the seconds of a step of n sequences without context.
func (f *fluidModel) stepTime(n float64) float64 {
	return f.c.StepBase.Seconds() + n*f.c.StepPerSequence.Seconds()
}

// utilisation returns the fraction of time that engines of role r are busy, with batches of maximum
// size.
func (f *fluidModel) utilisation(r engine.Role) float64 {
	most := float64(f.c.MaxBatch)
	perEngine := f.group(r).output / float64(f.counts.count(r))
	perToken := f.c.StepBase.Seconds()/most + f.stepPerSequence(r)
	return f.prefillUtilisation(r) + perEngine*perToken
}

// interToken returns the seconds between two tokens on engines of role r. With a fraction u of the
// time spent on prefill, s seconds per sequence and step, and o tokens generated per second, it is
// base/(1-u-s*o): steps are delayed by the prefill in between and by the sequences that accumulate
// meanwhile.
func (f *fluidModel) interToken(r engine.Role) float64 {
	perEngine := f.group(r).output / float64(f.counts.count(r))
	free := 1 - f.prefillUtilisation(r) - perEngine*f.stepPerSequence(r)
	return f.c.StepBase.Seconds() / math.Max(free, 1-maxUtilisation)
}

// prefillSlowdown returns the factor by which prefill takes longer on engines of role r because of
// the decode steps between its chunks.
func (f *fluidModel) prefillSlowdown(r engine.Role) float64 {
	if f.group(r).output <= 0 {
		return 1
	}
	return 1 + f.c.StepBase.Seconds()*f.c.PrefillRate/float64(f.chunkTokens(r))
}

// queueWait returns the parameters of the wait before prefill on engines of role r, modelled as an
// M/G/1 queue: it exceeds t seconds with probability busy*exp(-t/scale).
func (f *fluidModel) queueWait(r engine.Role) (busy, scale float64) {
	g := f.group(r)
	if g.prompt <= 0 {
		return 0, 0
	}
	busy = math.Min(f.prefillUtilisation(r)*f.prefillSlowdown(r), maxUtilisation)
	meanResidual := f.prefillSlowdown(r) * g.squares / g.prompt / f.c.PrefillRate / 2
	return busy, meanResidual / (1 - busy)
}

// chunkTokens returns the prompt tokens per step while sequences are running.
func (f *fluidModel) chunkTokens(r engine.Role) int {
	if r == engine.Decode {
		return f.c.DecodeChunk
	}
	return f.c.MixedChunk
}

// serviceTime returns the seconds to complete a request of class k on path p without waiting.
func (f *fluidModel) serviceTime(p path, k Class) float64 {
	t := f.prefillSlowdown(p.prefill)*k.Prompt/f.c.PrefillRate + k.Output*f.interToken(p.decode)
	if !p.colocated() {
		t += f.c.MoveLatency.Seconds() + k.Prompt/f.c.MoveRate
	}
	return t
}

// totalTime returns the mean seconds to the complete response of class k on path p.
func (f *fluidModel) totalTime(p path, k Class) float64 {
	busy, scale := f.queueWait(p.prefill)
	return busy*scale + f.serviceTime(p, k)
}

// onTimeProbability returns the probability that a request of class k on path p meets its deadline.
func (f *fluidModel) onTimeProbability(p path, k Class) float64 {
	deadline := k.Deadline.Seconds()
	if deadline <= 0 {
		return 1
	}
	service := f.serviceTime(p, k)
	busy, scale := f.queueWait(p.prefill)
	probability := 1.0
	if slack := math.Max(0, deadline-service); scale > 0 {
		probability = 1 - busy*math.Exp(-slack/scale)
	}
	return probability * linearFalloff(service/deadline)
}

// linearFalloff falls from 1 to 0 while the ratio of service time to deadline goes from tight to
// hopeless, because prompt and response lengths vary around their means.
func linearFalloff(ratio float64) float64 {
	const tight, hopeless = 0.7, 1.3
	return math.Min(1, math.Max(0, (hopeless-ratio)/(hopeless-tight)))
}
