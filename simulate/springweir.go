package simulate

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/health"
	"github.com/springweir/springweir/prefix"
	"github.com/springweir/springweir/roles"
	"github.com/springweir/springweir/routing"
	"github.com/springweir/springweir/standin/enginemodel"
)

// variant configures the springweir policy for a run.
type variant struct {
	// roles are the role planner's settings; nil disables role changes.
	roles *roles.Settings
	// newLedger returns the work ledger of an entry VM.
	newLedger func() fleet.Ledger
	// exactOutput gives routing the true output length of each request, and
	// freshLoad the true load of each engine. Both are set for the oracle.
	exactOutput, freshLoad bool
	// config modifies the router's configuration; nil keeps the defaults.
	config func(*routing.Config)
}

// entryVM is the state of one entry VM.
type entryVM struct {
	store    *fleet.Store
	admitter *admitter
	// tracker tracks the engines' health; tickets belong to the jobs in flight.
	tracker *health.Tracker
	tickets map[enginemodel.JobID]health.Ticket
	meter   *roles.Meter
	rng     *rand.Rand
}

// zoneState holds the entry VMs and the role planner of one zone.
type zoneState struct {
	entries []*entryVM
	views   *prefix.Views
	history roles.History
	// refreshedAt is when the oracle last read the zone's engines; it is valid
	// only if refreshed is set.
	refreshed   bool
	refreshedAt time.Duration
	// publishedWithheld is the state last sent to the entry VMs.
	publishedWithheld [enginesPerZone]bool
}

// springweir is the policy that runs the production packages: fleet, routing,
// prefix and roles.
type springweir struct {
	variant variant
	router  *routing.Router
	costs   routing.Costs
	zones   [zones]*zoneState
	// decodeReservations are the engines on which the decode phase is reserved
	// while the prefill phase runs.
	decodeReservations map[*activeRequest]*node
}

// meterWindow is the window over which demand is measured.
const meterWindow = 20 * time.Second

// maxPrefixPairs limits the prefix view of a zone, in pairs of block and
// engine.
const maxPrefixPairs = 1 << 16

func newSpringweir(v variant, opt Options) *springweir {
	cfg := routing.DefaultConfig()
	if v.config != nil {
		v.config(&cfg)
	}
	p := &springweir{variant: v, router: routing.New(cfg), costs: cfg.Costs, decodeReservations: make(map[*activeRequest]*node)}
	for z := range zones {
		p.zones[z] = newZoneState(z, v, opt)
	}
	return p
}

func newZoneState(z int, v variant, opt Options) *zoneState {
	state := &zoneState{views: prefix.NewViews(maxPrefixPairs), history: roles.NewHistory(0)}
	var specs []fleet.Spec
	for i := range enginesPerZone {
		name := "engine-" + strconv.Itoa(z*enginesPerZone+i)
		specs = append(specs, fleet.Spec{Name: name, Kind: fleet.Engine, Pool: "language", Zone: zoneName(z)})
	}
	for e := range opt.Entries {
		store := fleet.NewStore(zoneName(z), v.newLedger(), state.views)
		store.SetSpecs(specs)
		store.SetZones(nil, opt.Entries)
		state.entries = append(state.entries, &entryVM{
			store:    store,
			admitter: newAdmitter(),
			tracker:  health.NewTracker(health.DefaultConfig()),
			tickets:  make(map[enginemodel.JobID]health.Ticket),
			meter:    roles.NewMeter(0, meterWindow),
			rng:      rand.New(rand.NewPCG(opt.Seed, uint64(z*100+e))),
		})
	}
	return state
}

func zoneName(z int) string { return string(rune('a' + z)) }

func (p *springweir) entry(r *activeRequest) *entryVM { return p.zones[r.zone].entries[r.entry] }

// arrive records the request in the measured demand.
func (p *springweir) arrive(s *sim, r *activeRequest) {
	vm := p.entry(r)
	vm.meter.RecordArrival(s.now, roles.Sample{
		Prompt:   r.Prompt,
		Cached:   p.cachedTokens(vm, r),
		Output:   p.expectedOutput(vm, r),
		Deadline: r.Deadline,
		Priority: r.Priority,
	})
}

// cachedTokens returns the length of the longest prompt prefix that an engine
// of the zone has cached.
func (p *springweir) cachedTokens(vm *entryVM, r *activeRequest) int {
	var buf [1]prefix.Hit
	hits := vm.store.Snapshot().Prefix.Chain(r.Hashes).Best(buf[:0], 1, 0)
	if len(hits) == 0 {
		return 0
	}
	return min(hits[0].Blocks*prefix.BlockTokens, r.Prompt-1)
}

// expectedOutput returns the expected output length in tokens.
func (p *springweir) expectedOutput(vm *entryVM, r *activeRequest) int {
	if p.variant.exactOutput {
		return r.Output
	}
	return vm.meter.ExpectedOutput(r.Prompt, r.Priority, r.MaxTokens)
}

func (s *sim) nodeByName(name string) *node {
	i, _ := strconv.Atoi(name[len("engine-"):])
	return s.nodes[i]
}

// jobSent reserves the job's work. With the prefill phase it also reserves the
// decode phase, so that the decode engine's capacity is not given to other
// requests in the meantime.
func (p *springweir) jobSent(s *sim, j *job) {
	vm := p.entry(j.request)
	p.releaseDecodeReservation(s, j.request)
	if ticket, ok := vm.tracker.Begin(s.now, j.node.name); ok {
		vm.tickets[j.id] = ticket
	}
	vm.store.Reserve(s.now, fleet.Reservation{Endpoint: j.node.name, Attempt: attemptName(j.id), Work: p.work(vm, j.request, j.phase)})
	if j.phase == prefillPhase {
		serve := j.request.choice.serve
		p.decodeReservations[j.request] = serve
		vm.store.Reserve(s.now, fleet.Reservation{Endpoint: serve.name, Attempt: decodeReservationName(j.request), Work: p.work(vm, j.request, decodePhase)})
	}
}

func (p *springweir) releaseDecodeReservation(s *sim, r *activeRequest) {
	if n := p.decodeReservations[r]; n != nil {
		p.entry(r).store.Release(s.now, n.name, decodeReservationName(r))
		delete(p.decodeReservations, r)
	}
}

func decodeReservationName(r *activeRequest) string { return "hold-" + strconv.Itoa(r.ID) }

// work returns the work that a job puts on an engine.
func (p *springweir) work(vm *entryVM, r *activeRequest, ph phase) fleet.Work {
	w := fleet.Work{Requests: 1}
	if ph != decodePhase {
		w.PromptTokens = r.Prompt - p.cachedTokens(vm, r)
	}
	if ph != prefillPhase {
		w.ContextTokens = r.Prompt + p.expectedOutput(vm, r)/2
	}
	return w
}

// jobStarted removes the job's prompt from the tokens waiting for prefill.
func (p *springweir) jobStarted(s *sim, j *job) {
	p.entry(j.request).store.MarkPrefilled(s.now, j.node.name, attemptName(j.id))
}

func (p *springweir) jobEnded(s *sim, j *job, outcome jobOutcome) {
	vm := p.entry(j.request)
	vm.store.Release(s.now, j.node.name, attemptName(j.id))
	vm.recordHealth(s.now, j, outcome)
	if outcome != handedOver {
		p.releaseDecodeReservation(s, j.request)
	}
	if outcome == finished {
		vm.meter.RecordOutput(j.request.Prompt, j.request.Priority, j.request.Output)
	}
}

// recordHealth records a job's outcome in the health tracker and passes the new
// status to routing.
func (vm *entryVM) recordHealth(now time.Duration, j *job, outcome jobOutcome) {
	ticket, ok := vm.tickets[j.id]
	if !ok {
		return
	}
	delete(vm.tickets, j.id)
	vm.tracker.End(now, ticket, healthResult(outcome))
	vm.store.SetHealth(j.node.name, vm.tracker.Status(j.node.name))
}

// healthResult maps an outcome to a health result. A timeout is not counted
// against the engine, because the request may have been late when it was sent.
func healthResult(outcome jobOutcome) health.Result {
	switch outcome {
	case finished, handedOver:
		return health.Succeeded
	case interrupted, rejectedByEngine:
		return health.Failed
	default:
		return health.Abandoned
	}
}

// report applies a load report at every entry VM of the zone, and the cache
// events to the prefix view that they share.
func (p *springweir) report(s *sim, n *node, rep report) {
	z := p.zones[n.zone]
	z.entries[0].store.ApplyEvents(n.name, rep.since, rep.events)
	for _, vm := range z.entries {
		vm.tracker.Set(n.name, rep.state.Incarnation, []string{string(rep.state.Role)})
		vm.store.ApplyReports(s.now, fleet.Report{Endpoint: n.name, State: rep.state, MeasuredAt: rep.at})
	}
}

// refreshInterval is how long the oracle reuses its last reading of a zone.
const refreshInterval = 50 * time.Millisecond

// refresh gives the oracle the current state of a zone.
func (p *springweir) refresh(s *sim, zone int) {
	z := p.zones[zone]
	if z.refreshed && s.now-z.refreshedAt < refreshInterval {
		return
	}
	z.refreshed, z.refreshedAt = true, s.now
	for _, n := range s.nodes[zone*enginesPerZone : (zone+1)*enginesPerZone] {
		if !n.down {
			p.report(s, n, *s.observe(n))
			s.rearm(n)
		}
	}
}

// planInterval is the interval at which the planner runs and the prefix views
// are published.
const planInterval = 2 * time.Second

func (p *springweir) tick(s *sim) {
	for z := range zones {
		p.publishWithheld(s, z)
		p.exchangeSummaries(s, z)
		if s.now%planInterval != 0 {
			continue
		}
		p.plan(s, z)
		p.publishWithheld(s, z)
		for _, vm := range p.zones[z].entries {
			vm.store.PublishPrefixes()
		}
	}
}
