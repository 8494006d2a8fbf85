package placement

import (
	"time"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/routes"
	"github.com/springweir/springweir/servicetime"
)

// serviceCall is what was predicted for a request to a plain service.
type serviceCall struct {
	class    servicetime.Class
	estimate servicetime.Estimate
	option   serviceOption
	// stream is set if the response is a stream, which occupies its slot until it ends.
	stream bool
	// overdueAt is when the request takes longer than its endpoint should, so that no others are sent there.
	overdueAt time.Time
	// headAt is when the head of the response arrived; zero before.
	headAt time.Time
}

// streams reports whether the response of the request is a stream.
func (d *decision) streams() bool { return d.req.Route.Kind == routes.Stream }

const (
	// minSpeedSamples is the number of observed costs from which on a duration says something about
	// its endpoint.
	minSpeedSamples = 8
	// maxLearnedFill is the part of an endpoint's slots that may be taken, as of the plan, for the duration
	// to be learned: a request that waits for a slot takes longer than it costs, and the reports of other
	// VMs are old. Learning also from requests that waited raised costs without limit under overload.
	maxLearnedFill = 0.75
)

// observeCall learns from the duration of a request that an endpoint has answered. The caller holds mu.
func (p *Planner) observeCall(r *reservation) {
	c := r.call
	end := p.now()
	if !c.stream && !c.headAt.IsZero() {
		end = c.headAt
	}
	took := end.Sub(r.sentAt) - r.roundTrip
	serviceCostRatio.Update(float64(took) / float64(max(1, c.option.wait+c.option.cost)))
	if !p.tuning.PredictServiceTime || took <= 0 {
		return
	}
	known := c.estimate.Samples >= minSpeedSamples
	if known {
		p.observeSpeed(r, took)
	}
	if !known || c.option.uncrowded {
		cost := max(took-c.option.wait, took/4)
		p.costs.Observe(p.now(), c.class, time.Duration(float64(cost)/c.option.factor))
	}
}

// maxCrowdedRatio bounds the ratio of the observed to the predicted duration of a request that may have
// waited, since the reports of other VMs are old: one that finds many others ahead unexpectedly takes ten times as
// long as predicted.
const maxCrowdedRatio = 1.5

// observeSpeed learns the speed of an endpoint from the duration of a request. The wait is in proportion to the
// factor too, so that requests that waited show it as well. The caller holds mu.
func (p *Planner) observeSpeed(r *reservation, took time.Duration) {
	o := r.call.option
	predicted := float64(o.wait + o.cost)
	if !o.uncrowded {
		took = time.Duration(min(max(float64(took), predicted/maxCrowdedRatio), predicted*maxCrowdedRatio))
	}
	p.speeds.Observe(p.now(), r.load.hash, time.Duration(predicted/o.factor), took)
}

// maxFullRefusals is the number of consecutive refusals of a plain endpoint that are taken as a sign of load if
// its slots are not known to be taken: other VMs may have taken them since their last reports.
const maxFullRefusals = 8

// refusedFull reports whether a plain endpoint has probably refused a request because it is full. The caller
// holds mu.
func (p *Planner) refusedFull(r *reservation, failed *failure.Request) bool {
	if r.call == nil || failed.Code != failure.EndpointRefused {
		return false
	}
	r.load.fullRefusals++
	return r.load.fullRefusals <= maxFullRefusals || p.loads.inFlight(r.load).running >= r.call.option.endpoint.Slots
}

const (
	// patienceFactor multiplies the upper estimate of a request, which one in 20 exceeds.
	patienceFactor = 2
	// minPatienceSamples is the number of observed costs from which on the time that a request takes
	// decides how long its endpoint may be silent.
	minPatienceSamples = 8
)

// patience returns the time after which silence of the endpoint is unusual, or zero if the cost of the
// request is not known.
func (d *decision) patience(o serviceOption, estimate servicetime.Estimate) time.Duration {
	if estimate.Samples < minPatienceSamples {
		return 0
	}
	upper := o.factor * float64(estimate.Upper)
	return o.roundTrip + time.Duration(patienceFactor*(upper+float64(o.wait)))
}

// answering returns a function that reports whether the endpoint of a reservation has sent this VM
// anything since the request was sent.
func (p *Planner) answering(r *reservation) func() bool {
	return func() bool { return r.load.heardSince(r.sentAt.Sub(p.start)) }
}

// isAnswering reports whether the plain endpoint of a reservation is known to answer others: it is slow
// then, not silent. The caller holds mu.
func (p *Planner) isAnswering(r *reservation) bool {
	return p.tuning.SlowIsNotDead && r.call != nil && r.call.headAt.IsZero() && r.load.heardSince(r.sentAt.Sub(p.start))
}
