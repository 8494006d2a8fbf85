package rolechange

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/duties"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/lease"
	"github.com/springweir/springweir/routes"
)

// Config holds the dependencies of a Controller.
type Config struct {
	VM        string
	Directory *directory.Directory
	Services  func() *routes.Config
	Engines   Engines
	// Balance configures the choice of the roles, and Pressure returns the current load on the
	// engines of a service.
	Balance  BalanceSettings
	Pressure func(service *routes.Service) Pressure
	// InFlight returns the number of requests that run on an engine. It may call
	// Controller.Changing, so it is called without mu held.
	InFlight func(id string) int
	// PropagationDelay returns how long it takes until all VMs have received that an engine is
	// about to change and send it no new requests.
	PropagationDelay func() time.Duration
	// Now returns the current time; nil selects the system clock.
	Now func() time.Time
}

const (
	// period is the time between two reconciliations of the roles.
	period = 300 * time.Millisecond
	// callTimeout bounds a call to an engine. Within this time, an order reaches the engine or its
	// connection is reset.
	callTimeout = 400 * time.Millisecond
	// changeTimeout bounds a role change, including the completion of running requests, before the
	// state of the engine is read again.
	changeTimeout = 15 * time.Second
)

// Controller reconciles the roles of the engines while this VM holds the lease of package duties.
// It is safe for concurrent use; mu is a leaf lock.
type Controller struct {
	cfg Config
	// balancers are keyed by service. Only the goroutine that runs Lead uses them.
	balancers map[string]*Balancer
	// corrections are keyed by service too, and used by the same goroutine only.
	corrections map[string]*corrections

	mu sync.Mutex
	// changing holds the pending changes by engine ID.
	changing map[string]pendingChange
}

// New returns a controller without pending changes.
func New(cfg Config) *Controller {
	cfg.Now = clock.OrSystem(cfg.Now)
	return &Controller{cfg: cfg, changing: map[string]pendingChange{}}
}

var _ duties.Duty = (*Controller)(nil)

// Lead implements duties.Duty.
func (c *Controller) Lead(ctx context.Context, l *lease.Lease) {
	c.balancers, c.corrections = map[string]*Balancer{}, map[string]*corrections{}
	for loop.Sleep(ctx, period) {
		config := c.cfg.Services()
		if config == nil {
			continue
		}
		for i := range config.Services {
			if s := &config.Services[i]; s.Engine != nil {
				c.reconcile(ctx, l, s)
			}
		}
	}
}

// reconcile orders the role changes that bring the engines of a service to the target.
func (c *Controller) reconcile(ctx context.Context, l *lease.Lease, s *routes.Service) {
	engines, bySoftware := c.engines(s.Name)
	counts := bySoftware.total()
	if counts.total() == 0 {
		return
	}
	pressure := c.cfg.Pressure(s)
	want := c.balancer(s.Name).Target(c.cfg.Now(), counts, pressure)
	to, n := engine.Prefill, want-counts.Prefill
	if n < 0 {
		to, n = engine.Decode, -n
	}
	if n > 0 {
		klog.InfoS("rolechange: roles differ from the target", "service", s.Name, "prefill", counts.Prefill, "decode", counts.Decode,
			"want", want, "running", pressure.Running, "slots", pressure.Slots, "prefillWaitMS", pressure.PrefillWait.Milliseconds())
	}
	var chosen []move
	for range n {
		e := c.pick(engines, bySoftware, want, to)
		if e == nil {
			break
		}
		c.addChange(e, to)
		chosen = append(chosen, move{e, to})
		bySoftware.move(e.Software(), to)
	}
	if m, found := c.correct(s.Name, engines, bySoftware, want); found {
		c.addChange(m.engine, m.to)
		chosen = append(chosen, m)
	}
	if len(chosen) == 0 || !loop.Sleep(ctx, c.cfg.PropagationDelay()) {
		return
	}
	for _, m := range chosen {
		c.order(ctx, l, m.engine, m.to)
	}
}

// move is an engine and the role to which it is moved.
type move struct {
	engine *directory.Endpoint
	to     engine.Role
}

func (c *Controller) balancer(service string) *Balancer {
	b := c.balancers[service]
	if b == nil {
		b = NewBalancer(c.cfg.Balance)
		c.balancers[service] = b
	}
	return b
}
