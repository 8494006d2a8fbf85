package placement

import (
	"math"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/relay"
	"github.com/springweir/springweir/servicetime"
)

// serviceOption is a candidate endpoint for a request to a plain service. Durations are from now.
type serviceOption struct {
	endpoint *directory.Endpoint
	// factor is the duration of requests at the endpoint, relative to the mean endpoint.
	factor float64
	// roundTrip includes the uplink. wait is the time until a slot becomes free or a pause after a refusal
	// ends, and cost the duration of the request in it.
	roundTrip, wait, cost time.Duration
	// crowding is added to the end when options are compared: a slot that looks free may be taken.
	crowding time.Duration
	// free is set if a slot is free, or if the number of slots is unknown.
	free bool
	// uncrowded is set if the request certainly finds a free slot.
	uncrowded bool
}

// end predicts the time until the response arrives.
func (o serviceOption) end() time.Duration { return o.roundTrip + o.wait + o.cost }

// planService chooses the endpoint of a plain service that is predicted to respond first, and refuses
// the request if waiting makes it late everywhere.
func (d *decision) planService() (relay.Plan, *failure.Request) {
	class := classOf(d.req)
	estimate := d.p.estimateCost(class)
	options := d.serviceOptions(estimate.Mean)
	best := earliestOption(d.sampleOptions(options))
	if d.isLate(best) {
		best = earliestOption(options)
		if late := d.refuseLateService(best, options, estimate); late != nil {
			return relay.Plan{}, late
		}
	}
	return d.commitService(best, class, estimate)
}

// classOf returns what the cost of a request is predicted from.
func classOf(r *relay.Request) servicetime.Class {
	path, _, _ := strings.Cut(r.Target, "?")
	c := servicetime.Class{Service: r.Service, Route: r.Route.Name, Path: path, BodyBytes: len(r.Body)}
	if r.Organisation != nil {
		c.Organisation = r.Organisation.Name
	}
	return c
}

// estimateCost predicts the duration of a request at the mean endpoint.
func (p *Planner) estimateCost(c servicetime.Class) servicetime.Estimate {
	if !p.tuning.PredictServiceTime {
		return servicetime.Estimate{Mean: p.tuning.ServiceTime, Upper: p.tuning.ServiceTime}
	}
	return p.costs.Estimate(c)
}

// serviceOptions predicts a request of the given cost on each usable endpoint.
func (d *decision) serviceOptions(cost time.Duration) []serviceOption {
	endpoints := d.withoutSilent(d.endpoints)
	options := make([]serviceOption, 0, len(endpoints))
	for _, e := range endpoints {
		options = append(options, serviceOption{endpoint: e, factor: d.p.speeds.Factor(d.now, d.p.loads.get(e).hash)})
	}
	normalise(options)
	for i := range options {
		d.predictService(&options[i], cost)
	}
	return options
}

// normalise divides the factors by their geometric mean. Costs are learned at the mean endpoint and
// factors relative to the costs, so that otherwise both could drift in opposite directions.
func normalise(options []serviceOption) {
	sum := 0.0
	for _, o := range options {
		sum += math.Log(o.factor)
	}
	mean := math.Exp(sum / float64(max(1, len(options))))
	for i := range options {
		options[i].factor /= mean
	}
}

// crowdingPower makes the crowding of an endpoint small until most of its slots are taken.
const crowdingPower = 2

// predictService predicts a request of the given cost at the mean endpoint.
func (d *decision) predictService(o *serviceOption, cost time.Duration) {
	load := d.p.loads.get(o.endpoint)
	inFlight := d.p.loads.inFlight(load)
	running, slots := float64(max(0, inFlight.running)), float64(max(1, o.endpoint.Slots))
	mean := float64(cost)
	if inFlight.serviceUS > 0 && running > 0 { // older gateways report no costs
		mean = float64(inFlight.serviceUS) * float64(time.Microsecond) / running
	}
	perDeparture := o.factor * mean / slots
	o.free = o.endpoint.Slots <= 0 || running < slots
	o.uncrowded = running+1 <= max(1, maxLearnedFill*slots)
	o.roundTrip = d.roundTripTo(o.endpoint) + d.linkWait() + d.sendTime()
	o.cost = time.Duration(o.factor * float64(cost))
	o.wait = d.pauseLeft(load)
	if running < slots {
		o.crowding = time.Duration(perDeparture * math.Pow(running/slots, crowdingPower))
		return
	}
	o.wait = max(o.wait, time.Duration(perDeparture*(running-slots+1)))
}

// earliestOption returns the option with the earliest end. There must be at least one.
func earliestOption(options []serviceOption) serviceOption {
	best := options[0]
	for _, o := range options[1:] {
		if o.end()+o.crowding < best.end()+best.crowding {
			best = o
		}
	}
	return best
}

// minServiceChoices is the least number of endpoints that are compared, also if reports are old: with fewer,
// more requests queue at one endpoint while others are idle.
const minServiceChoices = 3

// sampleOptions returns a random sample of the options, with probabilities that follow the speeds of the
// endpoints, and all of them if speeds are not learned or this VM knows of no others that decide at the same time.
func (d *decision) sampleOptions(options []serviceOption) []serviceOption {
	n := max(minServiceChoices, d.numChoices())
	if !d.p.tuning.PredictServiceTime || d.p.loads.reportInterval <= 0 || n >= len(options) {
		return options
	}
	sampled := append([]serviceOption(nil), options...)
	for i := range n {
		j := i + d.drawBySpeed(sampled[i:])
		sampled[i], sampled[j] = sampled[j], sampled[i]
	}
	return sampled[:n]
}

// drawBySpeed returns the index of a random option, with a probability in proportion to its throughput.
func (d *decision) drawBySpeed(options []serviceOption) int {
	total := 0.0
	for _, o := range options {
		total += o.throughput()
	}
	left := d.p.random.Float64() * total
	for i, o := range options {
		if left -= o.throughput(); left < 0 {
			return i
		}
	}
	return len(options) - 1
}

// throughput is the relative rate at which the endpoint serves requests.
func (o serviceOption) throughput() float64 { return float64(max(1, o.endpoint.Slots)) / o.factor }

// predictedLatency returns the time from the receipt of the request until the end of an option.
func (d *decision) predictedLatency(end time.Duration) time.Duration {
	return d.now.Sub(d.req.Received) + end + d.p.tuning.Overhead
}

// isLate reports whether an option is predicted to end after the route's objective.
func (d *decision) isLate(o serviceOption) bool {
	objective := d.req.Route.Objective
	return objective > 0 && d.predictedLatency(o.end()) > d.latencyBudget()
}

// minLateSamples is the number of observed costs below which nothing is refused as late.
const minLateSamples = 8

// refuseLateService refuses a request that the best of all options serves late because it waits, as
// refuseIfLate does for engines. It returns nil while any endpoint has a free slot, and while the cost of
// the request is known from a few others only.
func (d *decision) refuseLateService(best serviceOption, options []serviceOption, estimate servicetime.Estimate) *failure.Request {
	if !d.p.tuning.RefuseLateCalls || !d.isLate(best) || d.prior.Number > 0 || estimate.Samples < minLateSamples {
		return nil
	}
	idle := best.end()
	for _, o := range options {
		if o.free {
			return nil
		}
		idle = min(idle, o.roundTrip+o.cost)
	}
	limit := d.latencyBudget()
	if d.predictedLatency(idle) > limit {
		limit = time.Duration(d.p.tuning.InTime * float64(d.req.Remaining(d.req.Received)))
	}
	predicted := d.predictedLatency(best.end())
	if limit == 0 || predicted <= limit {
		return nil
	}
	servicesRefusedLate.Inc()
	d.logRefusal("placement: refused", "request", d.req.ID, "service", d.req.Service, "predictedMS", predicted.Milliseconds(), "limitMS", limit.Milliseconds(), "waitMS", best.wait.Milliseconds(),
		"costMS", best.cost.Milliseconds(), "endpoint", best.endpoint.ID, "peers", len(d.p.loads.peers), "newsMS", d.p.loads.oldestReportAge(d.now).Milliseconds())
	return &failure.Request{
		Code: failure.DeadlineUnreachable, Ran: failure.NotRun, RetryAfter: d.retryAfterLate(predicted - limit),
		Message: "the endpoints are too busy to answer in time",
	}
}

// commitService reserves the request's work at its endpoint and returns the plan.
func (d *decision) commitService(o serviceOption, class servicetime.Class, estimate servicetime.Estimate) (relay.Plan, *failure.Request) {
	reserved, ok := d.reserve(o.endpoint, work{running: 1, serviceUS: int(estimate.Mean / time.Microsecond)})
	if !ok {
		return relay.Plan{}, noEndpoint("the endpoint is on trial", d.p.tuning.ComeBack)
	}
	reserved.call = &serviceCall{class: class, estimate: estimate, option: o, stream: d.streams(), overdueAt: d.overdueAt(o)}
	reserved.load.openCall(reserved)
	klog.InfoS("placement: placed", "request", d.req.ID, "try", d.prior.Number, "endpoint", o.endpoint.ID, "version", o.endpoint.Version.String(), "software", o.endpoint.SoftwareVersion, "zone", o.endpoint.Zone,
		"predictedMS", o.end().Milliseconds(), "waitMS", o.wait.Milliseconds(), "costMS", o.cost.Milliseconds(), "factor", o.factor, "running", reserved.load.local.running, "choices", len(d.endpoints), "tried", d.prior.Tried)
	plan := relay.Plan{Serve: o.endpoint, ExpectedLatency: o.end(), Watch: &attemptWatch{p: d.p, serve: reserved, suspect: d.suspect, placedAt: d.now, predicted: o.end()}}
	if d.p.tuning.SlowIsNotDead {
		plan.Patience, plan.Answering = d.patience(o, estimate), d.p.answering(reserved)
	}
	return plan, nil
}
