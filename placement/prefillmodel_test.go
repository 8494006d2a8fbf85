package placement

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/springweir/springweir/engine"
)

// engineSpeed is the actual speed of an engine: a fixed time in milliseconds, and milliseconds per
// thousand tokens and per hundred mega pairs.
type engineSpeed struct{ fixed, tokens, pairs float64 }

func (r engineSpeed) predict(a prefillWork) time.Duration {
	x := featuresOf(a)
	return time.Duration((r.fixed + r.tokens*x[1] + r.pairs*x[2]) * float64(time.Millisecond))
}

// randomPrefill draws a prefill from a heavy-tailed distribution.
func randomPrefill(random *rand.Rand) prefillWork {
	uncached := int(min(60_000, 1500*math.Exp(1.2*random.NormFloat64())))
	return newPrefillWork(max(1, uncached), random.IntN(20_000))
}

func relativeError(p *prefillModel, actual engineSpeed, a prefillWork) float64 {
	want := actual.predict(a)
	return math.Abs(float64(p.predict(a)-want)) / float64(want)
}

func TestPrefillModelConverges(t *testing.T) {
	for _, tc := range []struct {
		name   string
		actual engineSpeed
		role   engine.Role
	}{
		{"three times slower than assumed", engineSpeed{5, 1000 / 64.2, 68}, engine.Prefill},
		{"faster than assumed", engineSpeed{3, 1000 / 346.0, 4}, engine.Prefill},
		{"as slow as decode engines", engineSpeed{8, 1000 / 32.1, 68}, engine.Decode},
		{"ten times faster", engineSpeed{1, 0.5, 0.5}, engine.Prefill},
	} {
		t.Run(tc.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			p := newPrefillModel(tc.role)
			for range 80 {
				prefill := randomPrefill(random)
				noisy := float64(tc.actual.predict(prefill)) * (0.9 + 0.2*random.Float64())
				p.observe(prefill, prefillWork{}, time.Duration(noisy))
			}
			for _, a := range []prefillWork{newPrefillWork(1500, 0), newPrefillWork(4000, 13_000), newPrefillWork(20_000, 0), newPrefillWork(50_000, 0)} {
				if relErr := relativeError(p, tc.actual, a); relErr > 0.2 {
					t.Errorf("%+v: predicted %v, actual %v", a, p.predict(a), tc.actual.predict(a))
				}
			}
		})
	}
}

func TestPrefillModelToleratesOutliers(t *testing.T) {
	actual := engineSpeed{5, 1000 / 64.2, 68}
	random := rand.New(rand.NewPCG(3, 4))
	p := newPrefillModel(engine.Prefill)
	for range 200 {
		prefill := randomPrefill(random)
		p.observe(prefill, prefillWork{}, actual.predict(prefill))
	}
	typical := newPrefillWork(4000, 13_000)
	before := p.predict(typical)
	p.observe(newPrefillWork(1000, 0), prefillWork{}, time.Hour)
	p.observe(newPrefillWork(40_000, 0), prefillWork{}, time.Nanosecond)
	p.observe(newPrefillWork(40_000, 0), prefillWork{}, 0)
	if ratio := float64(p.predict(typical)) / float64(before); ratio < 0.8 || ratio > 1.25 {
		t.Errorf("three outliers changed a prediction from %v to %v", before, p.predict(typical))
	}
}

// Samples behind queued prefills are used, with a lower weight than samples without a queue.
func TestPrefillModelLearnsFromQueuedPrefills(t *testing.T) {
	actual := engineSpeed{5, 1000 / 64.2, 68}
	random := rand.New(rand.NewPCG(5, 6))
	p := newPrefillModel(engine.Prefill)
	for range 300 {
		prefill, ahead := randomPrefill(random), randomPrefill(random)
		done := time.Duration(random.Float64() * float64(actual.predict(ahead)))
		p.observe(prefill, ahead, actual.predict(prefill.plus(ahead))-done)
	}
	for _, a := range []prefillWork{newPrefillWork(4000, 13_000), newPrefillWork(20_000, 0)} {
		if relErr := relativeError(p, actual, a); relErr > 0.45 {
			t.Errorf("%+v: predicted %v, actual %v", a, p.predict(a), actual.predict(a))
		}
	}
}

// The model follows a change of the engines' speed.
func TestPrefillModelFollowsChange(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	p := newPrefillModel(engine.Prefill)
	for _, actual := range []engineSpeed{{5, 5, 10}, {5, 20, 40}, {5, 5, 10}} {
		for range 600 {
			prefill := randomPrefill(random)
			p.observe(prefill, prefillWork{}, actual.predict(prefill))
		}
		if relErr := relativeError(p, actual, newPrefillWork(10_000, 0)); relErr > 0.2 {
			t.Errorf("speed %+v, 10,000 tokens: predicted %v, actual %v", actual, p.predict(newPrefillWork(10_000, 0)), actual.predict(newPrefillWork(10_000, 0)))
		}
	}
}

func TestPrefillWorkArithmetic(t *testing.T) {
	a, b := newPrefillWork(20_000, 5000), newPrefillWork(3000, 0)
	if got := a.plus(b).minus(b); got != a {
		t.Errorf("%+v, want %+v", got, a)
	}
	if a.megaPairs != (20_000*5000+20_000*10_000)>>20 {
		t.Errorf("%d mega pairs", a.megaPairs)
	}
}

// A model whose predictions are far too long or too short recovers within 40 samples. A VM that
// refuses requests because of a wrong model would otherwise continue to do so for minutes.
func TestPrefillModelRecoversFromWrongScale(t *testing.T) {
	actual := engineSpeed{3, 1000 / 346.0, 4}
	for _, factor := range []float64{0.02, 0.2, 5, 50} {
		random := rand.New(rand.NewPCG(9, 10))
		p := newPrefillModel(engine.Prefill)
		for range 300 {
			prefill := randomPrefill(random)
			p.observe(prefill, prefillWork{}, actual.predict(prefill))
		}
		p.scale(factor)
		for range 40 {
			prefill := randomPrefill(random)
			p.observe(prefill, prefillWork{}, actual.predict(prefill))
		}
		if relErr := relativeError(p, actual, newPrefillWork(5000, 5000)); relErr > 0.25 {
			t.Errorf("model scaled by %v, after 40 samples, 5,000 tokens: predicted %v, actual %v", factor, p.predict(newPrefillWork(5000, 5000)), actual.predict(newPrefillWork(5000, 5000)))
		}
	}
}
