package placement

import (
	"math"
	"time"

	"github.com/springweir/springweir/engine"
)

// amount is a prefill that is still to be done.
type amount struct {
	tokens int
	// megaPairs are the pairs of tokens that attention compares, in units of 2^20:
	// each token with all before it. They are what makes a prompt of 60,000 tokens
	// take ten times as long as one of 10,000.
	megaPairs int
}

// amountOf is the prefill of tokens that follow others which are cached.
func amountOf(uncached, cached int) amount {
	pairs := uncached*cached + uncached*uncached/2
	return amount{tokens: uncached, megaPairs: (pairs + 1<<19) >> 20}
}

func (a amount) plus(b amount) amount {
	return amount{tokens: a.tokens + b.tokens, megaPairs: a.megaPairs + b.megaPairs}
}

func (a amount) minus(b amount) amount {
	return amount{tokens: a.tokens - b.tokens, megaPairs: a.megaPairs - b.megaPairs}
}

// pace says how long engines of one service and role take to prefill. It is learned
// from their answers by recursive least squares over three features: a fixed time,
// the tokens and the pairs. Engines of one role are alike, so their samples are taken
// together: a VM alone sees a few prompts a second. Without learning the median request
// took 3.5 times what was predicted on engines that are three times slower than the
// start values (replay), and queues looked that much shorter.
//
// The error is relative to the prediction, so that short prompts count like long ones,
// and bounded, so that one absurd sample moves little.
type pace struct {
	// theta holds milliseconds for each unit of a feature.
	theta features
	// spread is the covariance of theta.
	spread [numFeatures]features
	// bias is a decaying mean of the bounded errors.
	bias float64
	// samples counts what was learned from.
	samples int
}

const numFeatures = 3

// features are one (a fixed time), thousands of tokens, and hundreds of mega pairs.
type features [numFeatures]float64

func featuresOf(a amount) features {
	return features{1, float64(a.tokens) / 1000, float64(a.megaPairs) / 100}
}

const (
	// startPrefill and startDecode are the tokens a millisecond that are assumed
	// before anything was measured: cautious figures for engines of today.
	startPrefill = 200
	startDecode  = 80
	// doubtFixed, doubtTokens and doubtPairs are how far from the start values the
	// figures may well be, in milliseconds for a unit of their feature. They are
	// wide, so that some ten samples outweigh the start.
	doubtFixed, doubtTokens, doubtPairs = 3, 15, 60
	// paceNoise is the variance of a sample's relative error when nothing was ahead
	// of it, and paceAheadNoise what is added for one with much ahead, whose part
	// that was done already is not known.
	paceNoise, paceAheadNoise = 0.05, 0.1
	// paceMemory is the part of the evidence that is kept at each sample: some 300
	// samples count, a minute's on a VM that sends five prompts a second.
	paceMemory = 0.9967
	// maxDoubt bounds the covariance where samples of one kind do not come.
	maxDoubt = 4.0
	// biasWeight is the weight of a sample in the bias. While that is above maxBias
	// the engines are not what they were taken for: all figures move by catchUp of each
	// error, and the covariance grows by widen. Without this a prediction that is far
	// too long is hardly corrected, since the features of a sample count in parts of it.
	biasWeight, maxBias, catchUp, widen = 0.2, 0.3, 0.5, 1.5
	// maxEarly and maxLate bound the relative error that a sample counts with. What the
	// VM does not know of only makes a prefill late, so being late counts for less:
	// with equal bounds the predictions on full engines were a fifth too long.
	maxEarly, maxLate = -0.4, 0.4
	// firstLate is added to maxLate for the first sample, half of it for the second and
	// so on: the start values are a guess that may be several times too fast. With it
	// predictions are right after one second of load instead of three.
	firstLate = 4.0
	// maxError bounds the error that a sample adds to the bias.
	maxError = 0.5
	// leastPrefill is the least time that a prefill is predicted to take.
	leastPrefill = time.Millisecond
)

func newPace(role engine.Role) *pace {
	p := &pace{theta: features{0, 1000.0 / startDecode, 0}}
	if role == engine.Prefill {
		p.theta[1] = 1000.0 / startPrefill
	}
	for i, doubt := range [numFeatures]float64{doubtFixed, doubtTokens, doubtPairs} {
		p.spread[i][i] = doubt * doubt
	}
	return p
}

// time predicts how long a prefill takes on an idle engine.
func (p *pace) time(a amount) time.Duration {
	if a == (amount{}) {
		return 0
	}
	ms := dot(p.theta, featuresOf(a))
	return max(leastPrefill, time.Duration(ms*float64(time.Millisecond)))
}

// learn takes in that a prefill took elapsed, with ahead of it on the same engine. A
// time that is not positive tells nothing.
func (p *pace) learn(own, ahead amount, elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	all := p.time(own.plus(ahead))
	scale := float64(all) / float64(time.Millisecond)
	sample := float64(elapsed) / float64(time.Millisecond)
	x := featuresOf(own.plus(ahead))
	for i := range x {
		x[i] /= scale
	}
	part := float64(p.time(ahead)) / float64(all)
	p.update(x, sample/scale-1, paceNoise+paceAheadNoise*part*part)
}

// update is one step of recursive least squares: x are the features, off the error
// of the prediction, and noise its variance.
func (p *pace) update(x features, off, noise float64) {
	var gain features
	for i := range gain {
		gain[i] = dot(p.spread[i], x)
	}
	total := noise + dot(gain, x)
	keep := paceMemory
	gross := min(max(off, -maxError), maxError)
	if p.bias += biasWeight * (gross - p.bias); math.Abs(p.bias) > maxBias {
		keep /= widen
		p.scale(1 + catchUp*gross)
	}
	off = min(max(off, maxEarly), maxLate+firstLate/float64(1+p.samples))
	p.samples++
	for i := range p.theta {
		p.theta[i] = max(0, p.theta[i]+gain[i]*off/total)
	}
	doubt := [numFeatures]float64{doubtFixed, doubtTokens, doubtPairs}
	for i := range p.spread {
		for j := range p.spread[i] {
			p.spread[i][j] = (p.spread[i][j] - gain[i]*gain[j]/total) / keep
		}
	}
	for i := range p.spread {
		if limit := maxDoubt * doubt[i] * doubt[i]; p.spread[i][i] > limit {
			p.shrink(i, math.Sqrt(limit/p.spread[i][i]))
		}
	}
}

// scale multiplies all predictions.
func (p *pace) scale(by float64) {
	for i := range p.theta {
		p.theta[i] *= by
	}
}

// shrink scales the doubt of one feature, with what it has in common with the others.
func (p *pace) shrink(i int, by float64) {
	for j := range p.spread {
		p.spread[i][j] *= by
		p.spread[j][i] *= by
	}
}

func dot(a, b features) float64 {
	sum := 0.0
	for i := range a {
		sum += a[i] * b[i]
	}
	return sum
}

// paceKey names engines that are taken to be alike.
type paceKey struct {
	service string
	role    engine.Role
}

// paceOf returns the pace of the engines like one.
func (p *Planner) paceOf(service string, role engine.Role) *pace {
	key := paceKey{service: service, role: roleOf(role)}
	known := p.paces[key]
	if known == nil {
		known = newPace(key.role)
		p.paces[key] = known
	}
	return known
}

// roleOf folds the roles that prefill between the steps of others into one.
func roleOf(role engine.Role) engine.Role {
	if role == engine.Prefill {
		return engine.Prefill
	}
	return engine.Decode
}
