// Package placement decides which endpoint serves a request: scores over what is
// known of the endpoints now, and the books that keep it known.
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
	"github.com/springweir/springweir/signals"
)

// Planner implements relay.Planner. It is safe for concurrent use.
//
// Lock order: mu, then the lock of the health tracker or of the signals. Nothing else is
// called under mu.
type Planner struct {
	zone      string
	directory *directory.Directory
	config    func() *routes.Config
	ordered   func() []string
	now       func() time.Time
	random    *rand.Rand
	start     time.Time
	health    *health.Tracker
	signals   *signals.Tracker

	mu     sync.Mutex
	tuning Tuning
	books  *books
	paces  map[paceKey]*pace
	zones  *zoneWatch
	uplink uplink
}

// Config is what a Planner works with.
type Config struct {
	// Zone is the VM's availability zone.
	Zone      string
	Directory *directory.Directory
	// Routes returns the configuration in force.
	Routes func() *routes.Config
	// RoleChanges names the engines that this VM has ordered to change their role.
	RoleChanges func() []string
	// Signals is what endpoints said of their own state; nil is nothing.
	Signals *signals.Tracker
	Tuning  Tuning
	// Now and Random are where decisions take the time and their draws from, so that
	// a load can be replayed on them. Nil is the VM's clock and a seed of its own.
	Now    func() time.Time
	Random *rand.Rand
}

// New returns a planner that knows nothing yet.
func New(c Config) *Planner {
	c.Now = clock.OrSystem(c.Now)
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if c.Signals == nil {
		c.Signals = signals.New(signals.Config{Now: c.Now})
	}
	return &Planner{
		signals: c.Signals,
		zone:    c.Zone, directory: c.Directory, config: c.Routes, ordered: c.RoleChanges,
		now: c.Now, random: c.Random, tuning: c.Tuning, start: c.Now(),
		health: health.NewTracker(c.Tuning.Health), books: newBooks(), paces: map[paceKey]*pace{}, zones: newZoneWatch(),
		uplink: uplink{bitsPerSecond: c.Tuning.LinkBitsPerSecond},
	}
}

// SetEndpoints takes in a new picture of the endpoints.
func (p *Planner) SetEndpoints(old, now *directory.Snapshot) {
	for _, e := range old.All() {
		if now.Endpoint(e.ID) == nil {
			p.health.Remove(e.ID)
		}
	}
	for _, e := range now.All() {
		p.health.Set(e.ID, e.Incarnation(), []string{e.Service + "/" + string(e.Role)})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range now.All() {
		if before := old.Endpoint(e.ID); before != nil && before.Role != e.Role {
			p.books.changed(e.ID)
		}
	}
	p.books.keep(now)
}

// SetTuning changes the figures that decisions rest on.
func (p *Planner) SetTuning(t Tuning) {
	p.health.Configure(t.Health)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tuning = t
	p.uplink.bitsPerSecond = t.LinkBitsPerSecond
}

// ReceiveLoad takes in what another VM told of its work.
func (p *Planner) ReceiveLoad(load *sharepb.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.books.heard(p.now(), load)
	p.hear(load.Placed)
}

// readyAt is when an engine will have read what is open there.
func (p *Planner) readyAt(k *book) time.Time {
	now := p.now()
	e := p.directory.Snapshot().Endpoint(k.id)
	if e == nil {
		return now
	}
	return now.Add(p.paceOf(e.Service, e.Role).time(p.books.open(k).prefill))
}

// LocalReport is what this VM tells the others.
func (p *Planner) LocalReport() loadshare.Report {
	changing := p.changing()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.books.expire(p.now())
	work, placed := p.books.told()
	return loadshare.Report{Work: work, Placed: placed, Changing: changing, Refusing: p.books.refusing(p.now())}
}

// changing are the hashes of the engines that this VM has ordered to change.
func (p *Planner) changing() []uint32 {
	var list []uint32
	s := p.directory.Snapshot()
	for _, id := range p.ordered() {
		if e := s.Endpoint(id); e != nil {
			list = append(list, loadshare.Hash(e.Incarnation()))
		}
	}
	return list
}

// InFlight is the number of requests that run at an endpoint, of all VMs.
func (p *Planner) InFlight(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k := p.books.byID[id]; k != nil {
		return p.books.open(k).runs
	}
	return 0
}

// Plan implements relay.Planner.
func (p *Planner) Plan(r *relay.Request, try relay.AttemptState) (relay.Plan, *failure.Request) {
	config := p.config()
	service := config.Service(r.Service)
	ordered := p.ordered() // takes the lock of its owner, so not under mu
	p.mu.Lock()
	defer p.mu.Unlock()
	for tries := 1; ; tries++ {
		d := &decision{p: p, r: r, try: try, now: p.now(), service: service}
		plan, failed := d.plan(append(ordered, try.Tried...))
		if failed == nil || !d.outrun || tries == maxOutrun {
			return plan, failed
		}
	}
}

// maxOutrun is how often a decision is made whose permits went to a request that was rechecked
// meanwhile.
const maxOutrun = 3

// plan decides among the endpoints that are not excluded.
func (d *decision) plan(excluded []string) (relay.Plan, *failure.Request) {
	d.endpoints = d.usable(excluded)
	if len(d.endpoints) == 0 {
		return relay.Plan{}, d.unavailable("no endpoint of the service takes work now")
	}
	if d.service == nil || d.service.Engine == nil {
		return d.planService()
	}
	return d.planEngine()
}

// usable returns the endpoints of the service that may be sent a request now: all
// but those excluded, ejected, changing their role or blocked by their own signals, and those that
// refuse other VMs only if there are none else.
func (d *decision) usable(excluded []string) []*directory.Endpoint {
	p := d.p
	var list, refusing []*directory.Endpoint
	for _, e := range p.directory.Snapshot().Service(d.r.Service) {
		if slices.Contains(excluded, e.ID) || !p.health.Status(e.ID).Usable(d.now.Sub(p.start)) || p.books.isChanging(d.now, p.books.of(e)) || d.isBlocked(e) {
			continue
		}
		if p.books.refusesOthers(p.books.of(e)) {
			refusing = append(refusing, e)
			continue
		}
		list = append(list, e)
	}
	if len(list) == 0 {
		return refusing
	}
	return list
}

func noEndpoint(message string, after time.Duration) *failure.Request {
	return &failure.Request{Code: failure.NoEndpoint, Ran: failure.NotRun, RetryAfter: after, Message: message}
}

// decision is one choice. It is made under the planner's lock.
type decision struct {
	p         *Planner
	r         *relay.Request
	try       relay.AttemptState
	now       time.Time
	service   *routes.Service
	endpoints []*directory.Endpoint
	// holders are found when first asked for.
	holders *holders
	// limited are the endpoints with a rate limit that has something left for this VM, and blocked
	// how many have said that they take nothing now, the first of them until blockedFor from now.
	limited    []*directory.Endpoint
	blocked    int
	blockedFor time.Duration
	// outrun is set when a permit was gone by the time that it was to be taken.
	outrun bool
}

// wayTo is the time there and back to an endpoint. One of a zone that seems cut off
// counts as too far, but is used if there is no other.
func (d *decision) wayTo(e *directory.Endpoint) time.Duration {
	switch {
	case e.Zone == d.p.zone:
		return d.p.tuning.NearTrip
	case d.p.zones.cut(d.now, e.Zone):
		return cutTrip
	}
	return d.p.tuning.FarTrip
}

// cutTrip is the time there and back that is assumed to a zone that seems cut off.
const cutTrip = time.Second

// planService chooses the endpoint of a plain service that would start the
// request first. Another zone's has the longer way.
func (d *decision) planService() (relay.Plan, *failure.Request) {
	var best *directory.Endpoint
	var least time.Duration
	for _, e := range d.endpoints {
		k := d.p.books.of(e)
		open := d.p.books.open(k).runs
		cost := d.wayTo(e) + time.Duration(float64(open)/float64(max(1, e.Slots))*float64(d.p.tuning.ServiceTime)) + d.pause(k)
		if best == nil || cost < least {
			best, least = e, cost
		}
	}
	hold, ok := d.take(best, work{runs: 1})
	if !ok {
		return relay.Plan{}, noEndpoint("the endpoint is on trial", d.p.tuning.RetryAfter)
	}
	klog.InfoS("placement: placed", "request", d.r.ID, "try", d.try.Number, "endpoint", best.ID, "version", best.Version.String(), "zone", best.Zone,
		"costMS", least.Milliseconds(), "running", hold.book.own.runs, "choices", len(d.endpoints), "tried", d.try.Tried)
	return relay.Plan{Serve: best, Watch: &watch{p: d.p, serve: hold}}, nil
}

// headBytes is the usual size of a request's head, which is sent with its body.
const headBytes = 600

// sendTime is how long the VM's link takes to send the request once.
func (d *decision) sendTime() time.Duration {
	return d.p.uplink.time(headBytes + len(d.r.Body))
}

// take reserves work at an endpoint, and the VM's link for the way there.
func (d *decision) take(e *directory.Endpoint, w work) (*hold, bool) {
	permit, block := d.p.signals.Acquire(e)
	if block.Reason != "" {
		d.outrun = true
		return nil, false
	}
	ticket, ok := d.p.health.Begin(d.now.Sub(d.p.start), e.ID)
	if !ok {
		permit.Release()
		return nil, false
	}
	d.p.uplink.send(d.now, headBytes+len(d.r.Body))
	k := d.p.books.of(e)
	h := &hold{book: k, zone: e.Zone, ticket: ticket, permit: permit, work: w, ahead: d.p.books.open(k).prefill, since: d.now.Add(d.linkWait()), trip: d.wayTo(e)}
	if k.cache != nil {
		h.pace = d.p.paceOf(e.Service, e.Role)
	}
	k.own.add(w)
	return h, true
}
