package placement

import (
	"math"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/loadshare/sharepb"
	"github.com/springweir/springweir/pace"
)

const (
	// minPaceModelSamples is the number of samples after which a prefill model is accurate enough for
	// its predictions to be compared with observations. Before, what a VM that has just started observes says
	// more about its model than about the engines.
	minPaceModelSamples = 5
	// lowQueueShare and highQueueShare are the shares of a predicted duration that is due to earlier
	// prefills, above which a sample counts a quarter and an eighth: the part of these that was already done is
	// unknown, and so are prefills that no report lists yet.
	lowQueueShare, highQueueShare = 0.15, 0.4
	// minPaceSample is the shortest predicted duration that is compared with an observation: of shorter
	// ones, the network and the scheduling of processes are too large a part.
	minPaceSample = 4 * time.Millisecond
)

// paceOf returns how long work takes at an endpoint relative to the usual endpoint of its group. The
// caller holds mu.
func (p *Planner) paceOf(e *endpointLoad) float64 {
	if !p.tuning.EndpointPace {
		return 1
	}
	return p.loads.paces.Factor(p.now(), e.hash)
}

// prefillTime predicts how long an engine takes for a prefill. The caller holds mu.
func (p *Planner) prefillTime(e *directory.Endpoint, a prefillWork) time.Duration {
	return atPace(p.modelOf(e.Service, e.Role).predict(a), p.paceOf(p.loads.get(e)))
}

// atPace returns a usual duration at an endpoint with the given factor.
func atPace(usual time.Duration, factor float64) time.Duration {
	return time.Duration(float64(usual) * factor)
}

// observePrefill updates the pace of an engine, and the model with what the prefill would have taken
// at an engine of the usual pace. The caller holds mu.
func (p *Planner) observePrefill(r *reservation, elapsed time.Duration) {
	factor := p.paceOf(r.load)
	if p.tuning.EndpointPace && r.model.accurate() {
		usual := r.model.predict(r.work.prefill.plus(r.queuedAhead))
		queueShare := float64(r.model.predict(r.queuedAhead)) / float64(usual)
		if usual >= minPaceSample {
			p.loads.paces.ObserveCounted(p.now(), r.load.hash, usual, elapsed, paceSampleCount(queueShare))
		}
	}
	r.model.observe(r.work.prefill, r.queuedAhead, time.Duration(float64(elapsed)/factor))
}

// accurate reports whether predictions of the model may be compared with observations.
func (p *prefillModel) accurate() bool {
	return p.samples >= minPaceModelSamples && math.Abs(p.bias) <= maxBias
}

// paceSampleCount returns how much a sample counts, of whose predicted duration a share is due to earlier
// prefills.
func paceSampleCount(queueShare float64) int {
	switch {
	case queueShare < lowQueueShare:
		return pace.WholeSample
	case queueShare < highQueueShare:
		return pace.WholeSample / 4
	}
	return pace.WholeSample / 8
}

// setPaceGroup states with which other endpoints one is compared.
func (t *loadTracker) setPaceGroup(e *directory.Endpoint) {
	t.paces.SetGroup(t.get(e).hash, loadshare.Hash(e.Service+"/"+string(modelRole(e.Role))))
}

// takePaces returns what this VM has observed since the last report. The caller holds mu.
func (t *loadTracker) takePaces(now time.Time) []*sharepb.Pace {
	var list []*sharepb.Pace
	for _, s := range t.paces.TakeReport(now) {
		list = append(list, &sharepb.Pace{Endpoint: s.Endpoint, Samples: uint32(s.Samples), LogRatioMilli: int32(math.Round(s.LogRatio * 1000))})
	}
	return list
}

// receivePaces records what other VMs have observed at registered endpoints.
func (t *loadTracker) receivePaces(now time.Time, list []*sharepb.Pace) {
	var known []pace.Statistic
	for _, s := range list {
		if t.byHash[s.Endpoint] != nil {
			known = append(known, pace.Statistic{Endpoint: s.Endpoint, Samples: int(s.Samples), LogRatio: float64(s.LogRatioMilli) / 1000})
		}
	}
	t.paces.Receive(now, known)
}
