package placement

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/fairshare"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/loadshare/sharepb"
	"github.com/springweir/springweir/relay"
	"github.com/springweir/springweir/routes"
)

const (
	// scarcityInterval is how long the sums over the endpoints of a service are used, and
	// scarcityIntervalPerEndpoint is added for each of them, so that a large service costs no more.
	scarcityInterval, scarcityIntervalPerEndpoint = 5 * time.Millisecond, 20 * time.Microsecond
	// decodeWeight is the weight of a response in the average duration of decoding.
	decodeWeight = 0.05
	// initialDecodeTime is the assumed duration of decoding before the first response has ended.
	initialDecodeTime = 300 * time.Millisecond
)

// fairness applies fair shares to the requests of the services whose configuration asks for them. The
// Planner's lock guards it.
type fairness struct {
	tracker *fairshare.Tracker
	// covered holds the services to which shares apply, according to config.
	config  *routes.Config
	covered map[string]bool
	// scarcity holds the sums over the endpoints of a service, and decodeTime the average duration of
	// decoding.
	scarcity   map[string]*scarcity
	decodeTime map[string]time.Duration
	// sources holds the sources of demands, by whether they are sums of the region.
	sources map[string]bool
	shown   shownShares
}

func newFairness(seed uint64) *fairness {
	return &fairness{
		tracker: fairshare.New(fairshare.Config{Seed: seed}), scarcity: map[string]*scarcity{}, decodeTime: map[string]time.Duration{},
		sources: map[string]bool{}, shown: newShownShares(),
	}
}

// covers reports whether shares apply to a service: if the configuration names organisations or its
// routes have several priorities.
func (f *fairness) covers(c *routes.Config, service string) bool {
	if c != f.config {
		f.config, f.covered = c, map[string]bool{}
		for i := range c.Services {
			f.covered[c.Services[i].Name] = c.Organisations.Len() > 0 || severalPriorities(c, c.Services[i].Name)
		}
	}
	return f.covered[service]
}

func severalPriorities(c *routes.Config, service string) bool {
	first, found := 0, false
	for i := range c.Routes {
		switch r := &c.Routes[i]; {
		case !r.SendsTo(service):
		case found && r.Priority != first:
			return true
		default:
			first, found = r.Priority, true
		}
	}
	return false
}

// offered is a request to which shares apply.
type offered struct {
	key  fairshare.Key
	cost time.Duration
	// admitted is set if the request counts as admitted.
	admitted bool
}

// offer records the work of a request at its first plan, and decides whether the request is admitted. It
// returns nil if shares do not apply. The caller holds mu.
func (p *Planner) offer(r *relay.Request, prior relay.AttemptState) (*offered, *failure.Request) {
	config := p.config()
	if !p.tuning.FairShares || !p.fair.covers(config, r.Service) {
		return nil, nil
	}
	service := config.Service(r.Service)
	if service != nil && service.Engine != nil && !p.tuning.FairEngineShares {
		return nil, nil
	}
	o := &offered{key: shareKey(r), cost: p.cost(service, r)}
	if prior.Number > 0 || prior.Streaming || prior.Resume != nil || r.TakesUp() {
		return o, nil
	}
	now := p.now()
	p.fair.shown.name(o.key, r)
	p.fair.tracker.Arrived(now, o.key, o.cost)
	c := p.scarcityOf(service, r.Service)
	ok, retryAfter := p.fair.tracker.Admit(now, o.key, o.cost, fairshare.Scarcity{
		Free: c.free, Age: 2 * p.loads.reportInterval, Backlog: c.backlog, Slots: c.slots, Objective: r.Route.Objective,
	})
	if !ok {
		return nil, p.refuseUnfair(r, o, max(retryAfter, p.tuning.ComeBack))
	}
	c.free--
	o.admitted = true
	admittedByPriority(o.key.Priority).Inc()
	return o, nil
}

// refuseUnfair returns the refusal of a request whose organisation or priority has used up its share.
func (p *Planner) refuseUnfair(r *relay.Request, o *offered, retryAfter time.Duration) *failure.Request {
	state := p.fair.tracker.State(o.key)
	klog.InfoS("fairshare: refused", "request", r.ID, "service", r.Service, "organisation", organisationName(r), "priority", o.key.Priority, "costMS", o.cost.Milliseconds(),
		"demandMilli", milli(state.Demand), "shareMilli", milli(state.Share), "capacityMilli", milli(state.Capacity), "retryAfterMS", retryAfter.Milliseconds())
	refusedByPriority(o.key.Priority).Inc()
	return &failure.Request{
		Code: failure.FairShare, Ran: failure.NotRun, RetryAfter: retryAfter,
		Message: "the service has less capacity than is requested, and the share of this organisation and priority is used up",
	}
}

// settle ends the decision on an offered request: what was granted to one that was refused for another
// reason is returned, and the work of one that was placed is counted when it is completed. The caller holds mu.
func (p *Planner) settle(r *relay.Request, o *offered, plan relay.Plan, failed *failure.Request) (relay.Plan, *failure.Request) {
	switch {
	case o == nil:
	case failed == nil:
		plan.Watch = &fairWatch{Watch: plan.Watch, p: p, service: r.Service, key: o.key, cost: o.cost}
	case o.admitted:
		p.fair.tracker.Refund(o.key, o.cost)
	}
	return plan, failed
}

// shareKey returns what the request's share is determined by.
func shareKey(r *relay.Request) fairshare.Key {
	k := fairshare.Key{Service: loadshare.Hash(r.Service), Priority: uint8(min(max(0, r.Priority()), fairshare.MaxPriority))}
	if r.Organisation != nil {
		k.Organisation = loadshare.Hash(r.Organisation.Name)
	}
	return k
}

func organisationName(r *relay.Request) string {
	if r.Organisation == nil {
		return ""
	}
	return r.Organisation.Name
}

// cost predicts the work of a request: the time for which it occupies a slot of a plain service or, as part of
// its slots, an engine.
func (p *Planner) cost(service *routes.Service, r *relay.Request) time.Duration {
	if service == nil || service.Engine == nil {
		return p.estimateCost(classOf(r)).Mean
	}
	cached, total := 0, 0
	if r.Prompt != nil {
		total = r.Prompt.Tokens
	}
	for _, c := range chunksOf(r.Prompt) {
		if len(p.loads.caches[c.id]) == 0 {
			break
		}
		cached += c.tokens
	}
	cached = min(cached, total)
	return p.modelOf(r.Service, engine.Prefill).predict(newPrefillWork(max(1, total-cached), cached)) + p.decodeCost(service)
}

// decodeCost returns the mean duration of decoding as part of an engine.
func (p *Planner) decodeCost(service *routes.Service) time.Duration {
	duration, known := p.fair.decodeTime[service.Name]
	if !known {
		duration = initialDecodeTime
	}
	return duration / time.Duration(max(1, service.Engine.Slots))
}

// scarcity is the capacity of a service that is left.
type scarcity struct {
	at      time.Time
	validTo time.Time
	// free is the number of free slots, or of engines that could prefill at once. It is reduced by each
	// request that this VM admits.
	free    int
	backlog time.Duration
	// slots is the capacity in the unit of costs.
	slots float64
}

// scarcityOf returns the capacity that is left of a service. The caller holds mu.
func (p *Planner) scarcityOf(service *routes.Service, name string) *scarcity {
	now := p.now()
	if c := p.fair.scarcity[name]; c != nil && now.Before(c.validTo) {
		return c
	}
	var c scarcity
	if service != nil && service.Engine != nil {
		c = p.engineScarcity(service)
	} else {
		c = p.plainScarcity(name)
	}
	count := time.Duration(len(p.directory.Snapshot().Service(name)))
	c.at, c.validTo = now, now.Add(scarcityInterval+count*scarcityIntervalPerEndpoint)
	p.fair.scarcity[name] = &c
	return &c
}

// plainScarcity adds up the slots and the running requests of the endpoints that are up.
func (p *Planner) plainScarcity(name string) scarcity {
	var c scarcity
	waiting := 0
	for _, e := range p.directory.Snapshot().Service(name) {
		if !p.isUp(e, nil) {
			continue
		}
		running, slots := p.loads.inFlight(p.loads.get(e)).running, max(1, e.Slots)
		c.slots += float64(slots)
		c.free += max(0, slots-running)
		waiting += max(0, running-slots)
	}
	c.backlog = time.Duration(waiting) * p.fair.tracker.MeanCost(p.now(), loadshare.Hash(name))
	return c
}

// engineScarcity adds up the open prefills and the running requests of the engines that are up. The capacity
// is the number of engines; each may be used by prefills and, as part of its slots, by decoding.
func (p *Planner) engineScarcity(service *routes.Service) scarcity {
	var c scarcity
	var byRole [2]struct {
		idle, up int
		wait     time.Duration
	}
	freeSlots, waiting := 0, 0
	mean := p.fair.tracker.MeanCost(p.now(), loadshare.Hash(service.Name)) // of the prefill that is running
	for _, e := range p.directory.Snapshot().Service(service.Name) {
		if !p.isUp(e, nil) {
			continue
		}
		inFlight, role := p.loads.inFlight(p.loads.get(e)), 0
		if e.Role != engine.Prefill {
			role = 1
			freeSlots += max(0, max(1, e.Slots)-inFlight.running)
			waiting += max(0, inFlight.running-max(1, e.Slots))
		}
		byRole[role].up++
		if inFlight.prefill == (prefillWork{}) {
			byRole[role].idle++
		}
		byRole[role].wait += max(0, p.prefillTime(e, inFlight.prefill)-mean)
	}
	prefills := byRole[0]
	if prefills.up == 0 {
		prefills = byRole[1]
	}
	c.slots = float64(prefills.up)
	c.free = min(prefills.idle, freeSlots)
	c.backlog = prefills.wait + time.Duration(waiting)*p.decodeCost(service)
	return c
}

// fairWatch counts the work of an attempt when it is completed.
type fairWatch struct {
	relay.Watch
	p       *Planner
	service string
	key     fairshare.Key
	cost    time.Duration
	// firstEventAt is when the response began; zero before that.
	firstEventAt time.Time
}

// FirstEvent implements relay.Watch. A stream has used most of its work by then; its end may be minutes later.
func (w *fairWatch) FirstEvent() {
	w.p.mu.Lock()
	w.firstEventAt = w.p.now()
	w.p.fair.tracker.Completed(w.firstEventAt, w.key.Service, w.cost)
	w.p.mu.Unlock()
	w.Watch.FirstEvent()
}

// Finished implements relay.Watch.
func (w *fairWatch) Finished(failed *failure.Request, abandoned bool) {
	w.p.mu.Lock()
	if failed == nil && !abandoned && !w.firstEventAt.IsZero() {
		duration, known := w.p.fair.decodeTime[w.service]
		if !known {
			duration = initialDecodeTime
		}
		w.p.fair.decodeTime[w.service] = duration + time.Duration(decodeWeight*float64(w.p.now().Sub(w.firstEventAt)-duration))
	}
	w.p.mu.Unlock()
	w.Watch.Finished(failed, abandoned)
}

// reportDemands returns this VM's demands for the report. The caller holds mu.
func (p *Planner) reportDemands() []*sharepb.Demand {
	now := p.now()
	p.fair.shown.update(now, p.fair.tracker)
	var list []*sharepb.Demand
	for _, d := range p.fair.tracker.TakeReport(now) {
		list = append(list, &sharepb.Demand{Service: d.Key.Service, Organisation: d.Key.Organisation, Priority: uint32(d.Key.Priority), Milli: uint32(milli(d.Rate))})
	}
	return list
}

// receiveDemands records the demands that another VM reported. Like work, the sum of the region replaces all
// narrower reports. The caller holds mu.
func (p *Planner) receiveDemands(load *sharepb.Load) {
	if len(load.Demands) == 0 {
		return
	}
	from := sourceOf(load)
	for name, region := range p.fair.sources {
		if region != from.region {
			p.forgetDemands(name)
		}
	}
	name := func(segment uint32) string {
		return fmt.Sprint(from.region, "/", from.zone, "/", from.vm, "/", segment)
	}
	list := make([]fairshare.Demand, len(load.Demands))
	for i, d := range load.Demands {
		list[i] = fairshare.Demand{Key: fairshare.Key{Service: d.Service, Organisation: d.Organisation, Priority: uint8(min(d.Priority, fairshare.CompletedPriority))}, Rate: float64(d.Milli) / 1000}
	}
	p.fair.tracker.Receive(p.now(), name(load.Segment), list)
	p.fair.sources[name(load.Segment)] = from.region
	for segment := load.Segments; segment > 0; segment++ {
		if _, known := p.fair.sources[name(segment)]; !known {
			break
		}
		p.forgetDemands(name(segment))
	}
}

func (p *Planner) forgetDemands(source string) {
	p.fair.tracker.Forget(source)
	delete(p.fair.sources, source)
}

func milli(rate float64) int64 { return int64(rate*1000 + 0.5) }

// maxPriorityLabel bounds the values of the priority label of metrics.
const maxPriorityLabel = 9

func admittedByPriority(priority uint8) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_fairshare_admitted_total{priority="%d"}`, min(priority, maxPriorityLabel)))
}

func refusedByPriority(priority uint8) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_fairshare_refused_total{priority="%d"}`, min(priority, maxPriorityLabel)))
}
