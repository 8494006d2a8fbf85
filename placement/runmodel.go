package placement

import (
	"math"
	"time"

	"github.com/springweir/springweir/pace"
)

// runModel holds how long runs of a service take at an engine of the usual pace, as moving averages. A run
// lasts from its first event to its last one and occupies a slot and cache memory of its engine.
type runModel struct {
	// duration is the mean duration of a run in nanoseconds, and logStep that of the logarithm of the time
	// between two events.
	duration, logStep float64
	// runs and steps are the numbers of samples, up to runModelSamples.
	runs, steps int
}

const (
	// runModelSamples is the number of runs that the averages extend over: those of half a minute at a VM
	// that receives six a second.
	runModelSamples = 200
	// minRunSamples is the number of runs after which the averages are used.
	minRunSamples = 5
	// minRunEvents is the least number of events of a run whose time between events is compared.
	minRunEvents = 8
	// runSampleCount is how much the time between events of one run counts: it depends on how many other
	// runs the engine has.
	runSampleCount = pace.WholeSample / 4
)

// observe records a run at an engine with the given factor.
func (m *runModel) observe(duration time.Duration, events int, factor float64) {
	m.runs = min(m.runs+1, runModelSamples)
	m.duration += (float64(duration)/factor - m.duration) / float64(m.runs)
	if events >= minRunEvents && duration > 0 {
		m.steps = min(m.steps+1, runModelSamples)
		m.logStep += (math.Log(float64(duration)/float64(events)/factor) - m.logStep) / float64(m.steps)
	}
}

// release predicts when a share of the runs of an engine with the given factor will have ended, in the order
// in which they end: runs that began at different times end at even intervals, all of them within one
// duration. Before enough runs were observed, it returns fullEngineWait.
func (m *runModel) release(share, factor float64) time.Duration {
	if m == nil || m.runs < minRunSamples {
		return fullEngineWait
	}
	return time.Duration(m.duration * factor * share)
}

// fullEngineWait is the assumed wait at an engine without a free slot or without enough memory while the
// duration of runs is unknown.
const fullEngineWait = 300 * time.Millisecond

// observeRun records a run that has ended. The caller holds mu.
func (p *Planner) observeRun(w *attemptWatch) {
	if !p.tuning.EndpointPace || w.firstEventAt.IsZero() {
		return
	}
	m := p.runs[w.service]
	if m == nil {
		m = &runModel{}
		p.runs[w.service] = m
	}
	duration, events, factor := p.now().Sub(w.firstEventAt), int(w.events.Load()), p.paceOf(w.serve.load)
	if m.steps >= minRunSamples && events >= minRunEvents {
		usual := time.Duration(math.Exp(m.logStep) * float64(events))
		p.loads.paces.ObserveCounted(p.now(), w.serve.load.hash, usual, duration, runSampleCount)
	}
	m.observe(duration, events, factor)
}
