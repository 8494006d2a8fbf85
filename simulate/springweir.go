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

// variant is how springweir's packages are put together in a run.
type variant struct {
	// roles are the planner's settings; nil leaves the roles as they are.
	roles *roles.Settings
	// ledger makes the books of an entry VM.
	ledger func() fleet.Ledger
	// exact gives routing the true length of each answer, and fresh the true
	// load of each engine: an oracle.
	exact, fresh bool
	// config changes the router's configuration; nil leaves the defaults.
	config func(*routing.Config)
}

// entryVM is one entry VM's view.
type entryVM struct {
	store *fleet.Store
	gate  *gate
	// tracker follows the engines' health; tickets are those of the open jobs.
	tracker *health.Tracker
	tickets map[enginemodel.JobID]health.Ticket
	meter   *roles.Meter
	rng     *rand.Rand
}

// zoneVMs are the entry VMs and the role planner of one zone.
type zoneVMs struct {
	entries []*entryVM
	views   *prefix.Views
	history roles.History
	// readAt is when an oracle last read the zone's engines.
	read   bool
	readAt time.Duration
	// withheld is what the entry VMs were last told.
	withheld [enginesPerZone]bool
}

// springweir runs the real packages: fleet, routing, prefix and roles.
type springweir struct {
	variant variant
	router  *routing.Router
	costs   routing.Costs
	zones   [zones]*zoneVMs
	// held are the reservations made for the second half of a pair.
	held map[*running]*node
}

// meterWindow is how far back the demand is measured.
const meterWindow = 20 * time.Second

// viewLimit bounds the prefix view of a zone, in pairs of block and engine.
const viewLimit = 1 << 16

func newSpringweir(v variant, opt Options) *springweir {
	cfg := routing.DefaultConfig()
	if v.config != nil {
		v.config(&cfg)
	}
	p := &springweir{variant: v, router: routing.New(cfg), costs: cfg.Costs, held: make(map[*running]*node)}
	for z := range zones {
		p.zones[z] = newZoneVMs(z, v, opt)
	}
	return p
}

func newZoneVMs(z int, v variant, opt Options) *zoneVMs {
	vms := &zoneVMs{views: prefix.NewViews(viewLimit), history: roles.NewHistory(0)}
	var specs []fleet.Spec
	for i := range enginesPerZone {
		name := "engine-" + strconv.Itoa(z*enginesPerZone+i)
		specs = append(specs, fleet.Spec{Name: name, Kind: fleet.Engine, Pool: "language", Zone: zoneName(z)})
	}
	for e := range opt.Entries {
		store := fleet.NewStore(zoneName(z), v.ledger(), vms.views)
		store.SetSpecs(specs)
		store.SetZones(nil, opt.Entries)
		vms.entries = append(vms.entries, &entryVM{
			store:   store,
			gate:    newGate(),
			tracker: health.NewTracker(health.DefaultConfig()),
			tickets: make(map[enginemodel.JobID]health.Ticket),
			meter:   roles.NewMeter(0, meterWindow),
			rng:     rand.New(rand.NewPCG(opt.Seed, uint64(z*100+e))),
		})
	}
	return vms
}

func zoneName(z int) string { return string(rune('a' + z)) }

func (p *springweir) entry(r *running) *entryVM { return p.zones[r.zone].entries[r.entry] }

// arrive counts the request in the demand.
func (p *springweir) arrive(s *sim, r *running) {
	vm := p.entry(r)
	vm.meter.RecordArrival(s.now, roles.Sample{
		Prompt:   r.Prompt,
		Cached:   p.cached(vm, r),
		Output:   p.expected(vm, r),
		Deadline: r.Deadline,
		Priority: r.Priority,
	})
}

// cached is the longest part of the prompt that an engine of the zone holds.
func (p *springweir) cached(vm *entryVM, r *running) int {
	var buf [1]prefix.Hit
	hits := vm.store.Snapshot().Prefix.Chain(r.Hashes).Best(buf[:0], 1, 0)
	if len(hits) == 0 {
		return 0
	}
	return min(hits[0].Blocks*prefix.BlockTokens, r.Prompt-1)
}

// expected is the expected length of the answer.
func (p *springweir) expected(vm *entryVM, r *running) int {
	if p.variant.exact {
		return r.Output
	}
	return vm.meter.ExpectedOutput(r.Prompt, r.Priority, r.MaxTokens)
}

func (s *sim) named(name string) *node {
	i, _ := strconv.Atoi(name[len("engine-"):])
	return s.nodes[i]
}

// sent books a job. The second half of a pair is booked with the first, so
// that the engine's share is not given away meanwhile.
func (p *springweir) sent(s *sim, j *job) {
	vm := p.entry(j.run)
	p.unhold(s, j.run)
	if ticket, ok := vm.tracker.Begin(s.now, j.node.name); ok {
		vm.tickets[j.id] = ticket
	}
	vm.store.Reserve(s.now, fleet.Reservation{Endpoint: j.node.name, Attempt: attemptName(j.id), Work: p.work(vm, j.run, j.part)})
	if j.part == prefillHalf {
		serve := j.run.choice.serve
		p.held[j.run] = serve
		vm.store.Reserve(s.now, fleet.Reservation{Endpoint: serve.name, Attempt: holdName(j.run), Work: p.work(vm, j.run, decodeHalf)})
	}
}

func (p *springweir) unhold(s *sim, r *running) {
	if n := p.held[r]; n != nil {
		p.entry(r).store.Release(s.now, n.name, holdName(r))
		delete(p.held, r)
	}
}

func holdName(r *running) string { return "hold-" + strconv.Itoa(r.ID) }

// work is what a job asks of an engine.
func (p *springweir) work(vm *entryVM, r *running, part part) fleet.Work {
	w := fleet.Work{Requests: 1}
	if part != decodeHalf {
		w.PromptTokens = r.Prompt - p.cached(vm, r)
	}
	if part != prefillHalf {
		w.ContextTokens = r.Prompt + p.expected(vm, r)/2
	}
	return w
}

// started takes the job's prompt out of what waits for prefill.
func (p *springweir) started(s *sim, j *job) {
	p.entry(j.run).store.MarkPrefilled(s.now, j.node.name, attemptName(j.id))
}

func (p *springweir) ended(s *sim, j *job, how ending) {
	vm := p.entry(j.run)
	vm.store.Release(s.now, j.node.name, attemptName(j.id))
	vm.judge(s.now, j, how)
	if how != handedOver {
		p.unhold(s, j.run)
	}
	if how == finished {
		vm.meter.RecordOutput(j.run.Prompt, j.run.Priority, j.run.Output)
	}
}

// judge tells the health tracker how a job went, and routing what it thinks now.
func (vm *entryVM) judge(now time.Duration, j *job, how ending) {
	ticket, ok := vm.tickets[j.id]
	if !ok {
		return
	}
	delete(vm.tickets, j.id)
	vm.tracker.End(now, ticket, healthOf(how))
	vm.store.SetHealth(j.node.name, vm.tracker.Status(j.node.name))
}

// healthOf is what an ending says of the engine. A deadline that passes says
// nothing: the request may have been late when it was sent.
func healthOf(how ending) health.Result {
	switch how {
	case finished, handedOver:
		return health.Succeeded
	case broke, refusedByEngine:
		return health.Failed
	default:
		return health.Abandoned
	}
}

// report gives a load report to every entry VM of the zone, and the cache
// events to the view that they share.
func (p *springweir) report(s *sim, n *node, rep report) {
	z := p.zones[n.zone]
	z.entries[0].store.ApplyEvents(n.name, rep.since, rep.events)
	for _, vm := range z.entries {
		vm.tracker.Set(n.name, rep.state.Incarnation, []string{string(rep.state.Role)})
		vm.store.ApplyReports(s.now, fleet.Report{Endpoint: n.name, State: rep.state, MeasuredAt: rep.at})
	}
}

// freshFor is how long an oracle's reading of a zone counts as the truth.
const freshFor = 50 * time.Millisecond

// refresh gives an oracle the true state of a zone.
func (p *springweir) refresh(s *sim, zone int) {
	z := p.zones[zone]
	if z.read && s.now-z.readAt < freshFor {
		return
	}
	z.read, z.readAt = true, s.now
	for _, n := range s.nodes[zone*enginesPerZone : (zone+1)*enginesPerZone] {
		if !n.down {
			p.report(s, n, *s.observe(n))
			s.rearm(n)
		}
	}
}

// planEvery is how often the planner runs and the prefix views are published.
const planEvery = 2 * time.Second

func (p *springweir) tick(s *sim) {
	for z := range zones {
		p.tell(s, z)
		p.exchange(s, z)
		if s.now%planEvery != 0 {
			continue
		}
		p.plan(s, z)
		p.tell(s, z)
		for _, vm := range p.zones[z].entries {
			vm.store.PublishPrefixes()
		}
	}
}
