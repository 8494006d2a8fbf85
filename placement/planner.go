// Package placement decides which endpoint serves a request. It predicts the time to the first
// event on the candidate endpoints, and tracks the load and cache contents that the predictions
// need.
package placement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/health"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/loadshare/sharepb"
	"github.com/springweir/springweir/relay"
	"github.com/springweir/springweir/routes"
	"github.com/springweir/springweir/servicetime"
	"github.com/springweir/springweir/signals"
)

// Planner implements relay.Planner. It is safe for concurrent use.
//
// Lock order: mu, then the lock of the health tracker or of the signals. No other locks are taken
// under mu.
type Planner struct {
	zone        string
	directory   *directory.Directory
	config      func() *routes.Config
	roleChanges func() []string
	now         func() time.Time
	random      *rand.Rand
	start       time.Time
	health      *health.Tracker
	signals     *signals.Tracker
	onDown      func()

	mu     sync.Mutex
	tuning Tuning
	loads  *loadTracker
	models map[modelKey]*prefillModel
	// runs holds the durations of runs by service.
	runs  map[string]*runModel
	zones *zoneMonitor
	// costs and speeds predict the durations of requests to plain services.
	costs  *servicetime.Model
	speeds *speedTracker
	uplink uplink
	// groups holds the sizes of the groups of endpoints that can replace one another.
	groups groupSizes
	fair   *fairness
}

// Config configures a Planner.
type Config struct {
	// Zone is the VM's availability zone.
	Zone      string
	Directory *directory.Directory
	// Routes returns the configuration in force.
	Routes func() *routes.Config
	// RoleChanges returns the IDs of the engines whose role change this VM has ordered.
	RoleChanges func() []string
	// Signals holds the state that endpoints signal: rate limits, backoffs and drains. Nil means
	// none.
	Signals *signals.Tracker
	// OnDown is called when an endpoint was found down, by this VM or another one. It must not call
	// back into the Planner. Nil does nothing.
	OnDown func()
	Tuning Tuning
	// Now and Random supply the time and the random numbers of decisions, so that a load can be
	// replayed. Nil means the system clock and a random seed.
	Now    func() time.Time
	Random *rand.Rand
}

// New returns a planner without endpoints and without reports.
func New(c Config) *Planner {
	c.Now = clock.OrSystem(c.Now)
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if c.Signals == nil {
		c.Signals = signals.New(signals.Config{Now: c.Now})
	}
	if c.OnDown == nil {
		c.OnDown = func() {}
	}
	return &Planner{
		signals: c.Signals, onDown: c.OnDown,
		zone: c.Zone, directory: c.Directory, config: c.Routes, roleChanges: c.RoleChanges,
		now: c.Now, random: c.Random, tuning: c.Tuning, start: c.Now(),
		health: health.NewTracker(c.Tuning.Health), loads: newLoadTracker(), models: map[modelKey]*prefillModel{}, runs: map[string]*runModel{}, zones: newZoneMonitor(), groups: groupSizes{},
		costs: servicetime.New(servicetime.Config{Assumed: c.Tuning.ServiceTime}), speeds: newSpeedTracker(),
		uplink: uplink{bitsPerSecond: c.Tuning.LinkBitsPerSecond},
		fair:   newFairness(uint64(c.Now().UnixNano())),
	}
}

// SetEndpoints applies the changes of a new snapshot of the endpoints.
func (p *Planner) SetEndpoints(current *directory.Snapshot) {
	for _, c := range current.Changes() {
		if c.New == nil {
			p.health.Remove(c.ID)
			continue
		}
		p.health.Set(c.ID, c.New.Incarnation(), []string{c.New.Service + "/" + string(c.New.Role)})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range current.Changes() {
		p.loads.update(c)
		if c.New != nil {
			p.loads.setPaceGroup(c.New)
		}
	}
	p.loads.forgetUnregistered()
	p.recordGroups(current)
}

// SetTuning replaces the parameters of decisions.
func (p *Planner) SetTuning(t Tuning) {
	p.health.Configure(t.Health)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tuning = t
	p.uplink.bitsPerSecond = t.LinkBitsPerSecond
}

// ReceiveLoad records the work, role changes, refusals and placed prompts that another VM reported.
func (p *Planner) ReceiveLoad(load *sharepb.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads.receive(p.now(), load)
	p.receivePlaced(load.Placed)
	p.loads.receivePaces(p.now(), load.Paces)
	p.receiveDemands(load)
}

// readyAt predicts when an engine will have finished its open prefills. The caller holds mu.
func (p *Planner) readyAt(load *endpointLoad) time.Time {
	now := p.now()
	e := p.directory.Snapshot().Endpoint(load.id)
	if e == nil {
		return now
	}
	return now.Add(p.prefillTime(e, p.loads.inFlight(load).prefill))
}

// LocalReport returns the report for the other VMs: local work, role changes that this VM has
// ordered, refusing endpoints, and the prompts placed and durations observed since the previous call. It also drops
// expired reports of peers.
func (p *Planner) LocalReport() loadshare.Report {
	changing := p.orderedChanges()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads.expire(p.now())
	work, placed := p.loads.takeReport()
	return loadshare.Report{Work: work, Placed: placed, Paces: p.loads.takePaces(p.now()), Changing: changing, Refusing: p.loads.refusing(p.now()), Demands: p.reportDemands()}
}

// orderedChanges returns the roleChangeID of each role change that this VM has ordered. The snapshot
// is taken first, since it must not show the new role of a change that is listed as pending.
func (p *Planner) orderedChanges() []uint32 {
	var list []uint32
	s := p.directory.Snapshot()
	for _, id := range p.roleChanges() {
		if e := s.Endpoint(id); e != nil {
			list = append(list, roleChangeID(loadshare.Hash(e.Incarnation()), e.Role))
		}
	}
	return list
}

// InFlight returns the number of requests of all VMs that run at an endpoint.
func (p *Planner) InFlight(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if load := p.loads.byID[id]; load != nil {
		return p.loads.inFlight(load).running
	}
	return 0
}

// Plan implements relay.Planner.
func (p *Planner) Plan(r *relay.Request, prior relay.AttemptState) (relay.Plan, *failure.Request) {
	changing := p.roleChanges() // takes a lock of its own, so it is not called under mu
	p.mu.Lock()
	defer p.mu.Unlock()
	offered, refused := p.offer(r, prior)
	if refused != nil {
		return relay.Plan{}, refused
	}
	for attempt := 1; ; attempt++ {
		d := p.newDecision(r, prior, changing)
		plan, failed := d.plan(slices.Concat(changing, prior.Tried))
		if failed != nil && d.suspect.preferred { // the reserved endpoints may take it
			d = p.newDecision(r, prior, changing)
			d.suspect = suspect{}
			plan, failed = d.plan(slices.Concat(changing, prior.Tried))
		}
		if failed == nil || !d.permitLost || attempt == maxPlanAttempts {
			return p.settle(r, offered, plan, failed)
		}
	}
}

// newDecision returns a decision on the current state. The caller holds mu.
func (p *Planner) newDecision(r *relay.Request, prior relay.AttemptState, changing []string) *decision {
	service := p.config().Service(r.Service)
	return &decision{p: p, req: r, prior: prior, now: p.now(), service: service, changing: changing, suspect: suspectOf(prior)}
}

// logRefusal logs a refusal, unless the request is tried on the reserved endpoints next.
func (d *decision) logRefusal(message string, keysAndValues ...any) {
	if !d.suspect.preferred {
		klog.InfoSDepth(1, message, keysAndValues...)
	}
}

// maxPlanAttempts bounds the decisions for one plan. A decision is repeated when a concurrent
// request acquired the permit that it relied on.
const maxPlanAttempts = 3

// plan decides among the endpoints that are not excluded.
func (d *decision) plan(excluded []string) (relay.Plan, *failure.Request) {
	d.endpoints = d.usable(excluded)
	if len(d.endpoints) == 0 {
		return relay.Plan{}, d.noneUsable()
	}
	if d.service == nil || d.service.Engine == nil {
		return d.planService()
	}
	return d.planEngine()
}

// usable returns the endpoints of the service that may be sent a request now. It omits endpoints that
// run other software than the stream is bound to, and those that are excluded, ejected, changing their
// role, blocked by their own signals or not expendable for a suspect. Endpoints that refuse other VMs
// are returned only if there are no others of their group, ejected ones if all others of the service are down,
// and those that are down only as a last resort.
func (d *decision) usable(excluded []string) []*directory.Endpoint {
	p := d.p
	isDown, refusingPeers, allHealthy := p.loads.downNow(d.now), p.loads.refusingPeers(), p.health.AllHealthy()
	registered := p.directory.Snapshot().Service(d.req.Service)
	candidates := make([]*directory.Endpoint, 0, len(registered))
	var refusing, ejected, down []*directory.Endpoint
	for _, e := range registered {
		switch {
		case !d.prior.Allows(e), slices.Contains(excluded, e.ID), d.isUnheard(e):
		case !allHealthy && !p.isHealthy(d.now, e):
			ejected = append(ejected, e)
		case p.loads.changesRole(d.now, e), d.isBlocked(e):
		case isDown.get(e) != nil:
			if d.now.Sub(isDown.get(e).downAt) >= downRetryInterval {
				down = append(down, e)
			}
		case refusingPeers.get(e) != nil:
			refusing = append(refusing, e)
		default:
			candidates = append(candidates, e)
		}
	}
	return d.expendable(withFallbacks(candidates, refusing, d.lastUp(registered, ejected, isDown), down))
}

// withFallbacks returns the first list of endpoints, and of each later one those of groups that no
// earlier list contains.
func withFallbacks(list []*directory.Endpoint, fallbacks ...[]*directory.Endpoint) []*directory.Endpoint {
	for _, fallback := range fallbacks {
		if len(fallback) == 0 {
			continue
		}
		present := map[directory.Group]bool{}
		for _, e := range list {
			present[e.Group()] = true
		}
		for _, e := range fallback {
			if !present[e.Group()] {
				list = append(list, e)
			}
		}
	}
	return list
}

// isUnheard reports whether an endpoint has sent nothing since the time that the request requires.
func (d *decision) isUnheard(e *directory.Endpoint) bool {
	return !d.prior.HeardSince.IsZero() && !d.p.loads.get(e).heardSince(d.prior.HeardSince.Sub(d.p.start))
}

func noEndpoint(message string, retryAfter time.Duration) *failure.Request {
	return &failure.Request{Code: failure.NoEndpoint, Ran: failure.NotRun, RetryAfter: retryAfter, Message: message}
}

// decision is the state of one placement decision. It is used under the planner's lock.
type decision struct {
	p         *Planner
	req       *relay.Request
	prior     relay.AttemptState
	suspect   suspect
	now       time.Time
	service   *routes.Service
	endpoints []*directory.Endpoint
	// changing holds the IDs of the engines whose role change this VM has ordered.
	changing []string
	// software, if set, is that of all endpoints.
	software *directory.Software
	// withRole holds the usable engines that only prefill (true), and the others (false). It and holders
	// are computed on first use.
	withRole map[bool][]*directory.Endpoint
	holders  *holders
	// rateLimited are the endpoints with a rate limit of which this VM may use a part. numBlocked
	// is the number of endpoints that are blocked by their own signals, and unblockedAfter the time
	// from now until the first of them is unblocked.
	rateLimited    []*directory.Endpoint
	numBlocked     int
	unblockedAfter time.Duration
	// numWithheld is the number of endpoints that are not expendable for this request.
	numWithheld int
	// permitLost is set when the permit for an endpoint could no longer be acquired.
	permitLost bool
}

// roundTripTo returns the network round trip time to an endpoint. It is penalised in a zone that is
// considered unreachable, so that such an endpoint is used only as a last resort.
func (d *decision) roundTripTo(e *directory.Endpoint) time.Duration {
	switch {
	case e.Zone == d.p.zone:
		return d.p.tuning.NearTrip
	case d.p.zones.unreachable(d.now, e.Zone):
		return unreachableRoundTrip
	}
	return d.p.tuning.FarTrip
}

// unreachableRoundTrip is the assumed round trip time to a zone that is considered unreachable.
const unreachableRoundTrip = time.Second

// requestHeadBytes is the usual size of a request's head, which is sent with its body.
const requestHeadBytes = 600

// UplinkWait returns how long the VM's uplink is busy with requests that were placed before.
func (p *Planner) UplinkWait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.uplink.wait(p.now())
}

// sendTime returns how long the VM's uplink takes to send the request once.
func (d *decision) sendTime() time.Duration {
	return d.p.uplink.transmitTime(requestHeadBytes + len(d.req.Body))
}

// reserve reserves work at an endpoint, and the VM's uplink for sending the request. It returns
// false if no permit is left or the endpoint's health does not allow an attempt.
func (d *decision) reserve(e *directory.Endpoint, w work) (*reservation, bool) {
	permit, block := d.p.signals.Acquire(e)
	if block.Reason != "" {
		d.permitLost = true
		return nil, false
	}
	ticket, ok := d.p.health.Begin(d.now.Sub(d.p.start), e.ID)
	if !ok {
		permit.Release()
		return nil, false
	}
	d.p.uplink.reserve(d.now, requestHeadBytes+len(d.req.Body))
	load := d.p.loads.get(e)
	r := &reservation{load: load, zone: e.Zone, ticket: ticket, permit: permit, work: w, queuedAhead: d.p.loads.inFlight(load).prefill, sentAt: d.now.Add(d.linkWait()), roundTrip: d.roundTripTo(e)}
	if load.cache != nil {
		r.model, r.pace = d.p.modelOf(e.Service, e.Role), d.p.paceOf(load)
	}
	d.p.loads.addLocal(load, w)
	return r, true
}
