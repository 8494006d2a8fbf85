package placement

import (
	"math"
	"time"

	"github.com/springweir/springweir/engine"
)

// prefillWork is an amount of prefill that is still to be done.
type prefillWork struct {
	tokens int
	// megaPairs is the number of token pairs that attention compares, each token with all before
	// it, in units of 2^20. Because of them a prompt of 60,000 tokens takes ten times as long as
	// one of 10,000.
	megaPairs int
}

// newPrefillWork returns the prefill of uncached tokens that follow cached ones.
func newPrefillWork(uncached, cached int) prefillWork {
	pairs := uncached*cached + uncached*uncached/2
	return prefillWork{tokens: uncached, megaPairs: (pairs + 1<<19) >> 20}
}

func (a prefillWork) plus(b prefillWork) prefillWork {
	return prefillWork{tokens: a.tokens + b.tokens, megaPairs: a.megaPairs + b.megaPairs}
}

func (a prefillWork) minus(b prefillWork) prefillWork {
	return prefillWork{tokens: a.tokens - b.tokens, megaPairs: a.megaPairs - b.megaPairs}
}

// prefillModel predicts the prefill time of the engines of one service and role. It is fitted to
// observed times by recursive least squares with exponential forgetting, over three features: a
// fixed time, the tokens and the token pairs. Engines of one role are assumed to be alike and share
// their samples, because a VM observes only a few prompts a second. With the initial values alone,
// on engines three times slower than assumed, the median request took 3.5 times as long as
// predicted, and queues were underestimated as much.
//
// The error is relative to the prediction, so that short and long prompts have the same weight, and
// bounded, so that an outlier has little effect.
type prefillModel struct {
	// theta are the coefficients, in milliseconds per unit of a feature.
	theta features
	// covariance is the covariance of theta.
	covariance [numFeatures]features
	// bias is an exponentially weighted mean of the bounded errors.
	bias float64
	// samples is the number of samples used.
	samples int
}

const numFeatures = 3

// features are 1 (the fixed time), thousands of tokens, and hundreds of mega pairs.
type features [numFeatures]float64

func featuresOf(a prefillWork) features {
	return features{1, float64(a.tokens) / 1000, float64(a.megaPairs) / 100}
}

const (
	// initialPrefillRate and initialDecodeRate are the assumed prefill rates in tokens per
	// millisecond of prefill and of decode engines before the first sample; they are conservative.
	initialPrefillRate = 200
	initialDecodeRate  = 80
	// initialStdDevFixed, initialStdDevTokens and initialStdDevPairs are the standard deviations of
	// the initial coefficients, in milliseconds per unit of the feature. They are large, so that
	// about ten samples outweigh the initial values.
	initialStdDevFixed, initialStdDevTokens, initialStdDevPairs = 3, 15, 60
	// noiseVariance is the variance of the relative error of a sample without queued prefills.
	// queueNoiseVariance times the squared share of queued prefills is added to it, because the
	// part of these that was already done is unknown.
	noiseVariance, queueNoiseVariance = 0.05, 0.1
	// forgettingFactor is the weight that earlier samples keep at each new one. The memory is about
	// 300 samples: one minute for a VM that sends five prompts a second.
	forgettingFactor = 0.9967
	// maxVarianceRatio bounds the variances as a multiple of the initial ones, for features that
	// the samples do not excite.
	maxVarianceRatio = 4.0
	// biasWeight is the weight of a sample in the bias. While the absolute bias exceeds maxBias,
	// the model is considered wrong: each sample scales all coefficients by biasCorrection of its
	// error and inflates the covariance by covarianceInflation. Otherwise predictions that are far
	// too long are hardly corrected, since the features are divided by the prediction.
	biasWeight, maxBias, biasCorrection, covarianceInflation = 0.2, 0.3, 0.5, 1.5
	// minRelativeError and maxRelativeError bound the relative error of a sample. Work that the VM
	// has no report of only makes a prefill later, so positive errors are given less weight: with
	// symmetric bounds the predictions for full engines were 20% too long.
	minRelativeError, maxRelativeError = -0.4, 0.4
	// firstSampleAllowance is added to maxRelativeError for the first sample, half of it for the
	// second, a third for the third and so on, because the initial rates may be several times too
	// high. Predictions are then accurate after one second of load instead of three.
	firstSampleAllowance = 4.0
	// maxBiasError bounds the error that a sample contributes to the bias.
	maxBiasError = 0.5
	// minPrefillTime is the shortest predicted prefill time.
	minPrefillTime = time.Millisecond
)

func newPrefillModel(role engine.Role) *prefillModel {
	p := &prefillModel{theta: features{0, 1000.0 / initialDecodeRate, 0}}
	if role == engine.Prefill {
		p.theta[1] = 1000.0 / initialPrefillRate
	}
	for i, stdDev := range [numFeatures]float64{initialStdDevFixed, initialStdDevTokens, initialStdDevPairs} {
		p.covariance[i][i] = stdDev * stdDev
	}
	return p
}

// predict returns the predicted time of a prefill on an idle engine; zero for no work.
func (p *prefillModel) predict(a prefillWork) time.Duration {
	if a == (prefillWork{}) {
		return 0
	}
	ms := dot(p.theta, featuresOf(a))
	return max(minPrefillTime, time.Duration(ms*float64(time.Millisecond)))
}

// observe updates the model with a prefill that took elapsed, including the prefills ahead of it on
// the same engine. A non-positive elapsed time is ignored.
func (p *prefillModel) observe(prefill, ahead prefillWork, elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	predicted := p.predict(prefill.plus(ahead))
	scale := float64(predicted) / float64(time.Millisecond)
	sample := float64(elapsed) / float64(time.Millisecond)
	x := featuresOf(prefill.plus(ahead))
	for i := range x {
		x[i] /= scale
	}
	queuedShare := float64(p.predict(ahead)) / float64(predicted)
	p.update(x, sample/scale-1, noiseVariance+queueNoiseVariance*queuedShare*queuedShare)
}

// update performs one step of recursive least squares with the features x, the relative error of
// the prediction and the variance of its noise.
func (p *prefillModel) update(x features, relativeError, noise float64) {
	var gain features
	for i := range gain {
		gain[i] = dot(p.covariance[i], x)
	}
	total := noise + dot(gain, x)
	forgetting := forgettingFactor
	boundedError := min(max(relativeError, -maxBiasError), maxBiasError)
	if p.bias += biasWeight * (boundedError - p.bias); math.Abs(p.bias) > maxBias {
		forgetting /= covarianceInflation
		p.scale(1 + biasCorrection*boundedError)
	}
	relativeError = min(max(relativeError, minRelativeError), maxRelativeError+firstSampleAllowance/float64(1+p.samples))
	p.samples++
	for i := range p.theta {
		p.theta[i] = max(0, p.theta[i]+gain[i]*relativeError/total)
	}
	stdDev := [numFeatures]float64{initialStdDevFixed, initialStdDevTokens, initialStdDevPairs}
	for i := range p.covariance {
		for j := range p.covariance[i] {
			p.covariance[i][j] = (p.covariance[i][j] - gain[i]*gain[j]/total) / forgetting
		}
	}
	for i := range p.covariance {
		if limit := maxVarianceRatio * stdDev[i] * stdDev[i]; p.covariance[i][i] > limit {
			p.scaleVariance(i, math.Sqrt(limit/p.covariance[i][i]))
		}
	}
}

// scale multiplies all predictions by factor.
func (p *prefillModel) scale(factor float64) {
	for i := range p.theta {
		p.theta[i] *= factor
	}
}

// scaleVariance scales the standard deviation of one coefficient by factor, with its covariances.
func (p *prefillModel) scaleVariance(i int, factor float64) {
	for j := range p.covariance {
		p.covariance[i][j] *= factor
		p.covariance[j][i] *= factor
	}
}

func dot(a, b features) float64 {
	sum := 0.0
	for i := range a {
		sum += a[i] * b[i]
	}
	return sum
}

// modelKey identifies a group of engines that share a model.
type modelKey struct {
	service string
	role    engine.Role
}

// modelOf returns the model of the engines of a service and role, and creates it on first use. The
// caller holds mu.
func (p *Planner) modelOf(service string, role engine.Role) *prefillModel {
	key := modelKey{service: service, role: modelRole(role)}
	model := p.models[key]
	if model == nil {
		model = newPrefillModel(key.role)
		p.models[key] = model
	}
	return model
}

// modelRole returns the role by which models are grouped: all engines that prefill between the
// decode steps of other requests share one.
func modelRole(role engine.Role) engine.Role {
	if role == engine.Prefill {
		return engine.Prefill
	}
	return engine.Decode
}
