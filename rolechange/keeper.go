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

// Config is what a Controller works with.
type Config struct {
	VM        string
	Directory *directory.Directory
	Services  func() *routes.Config
	Engines   Engines
	// Balance bounds the choice of the roles, and Pressure tells what the engines
	// of a service have to do.
	Balance  BalanceSettings
	Pressure func(service *routes.Service) Pressure
	// InFlight returns the requests that run at an engine now. It may ask this package
	// which engines are changing.
	InFlight func(id string) int
	// PropagationDelay is how long all VMs take to learn that an engine is about to
	// change, and so to send it nothing new.
	PropagationDelay func() time.Duration
	// Now is where decisions take the time from; nil is the VM's clock.
	Now func() time.Time
}

const (
	// period is how often the roles are looked at.
	period = 300 * time.Millisecond
	// callTimeout bounds a call to an engine. It is also the time within which
	// an order reaches the engine or its connection is reset.
	callTimeout = 400 * time.Millisecond
	// changeTimeout is how long a change may take, with running requests ending
	// first, before the engine is asked anew.
	changeTimeout = 15 * time.Second
)

// Controller changes roles while this VM holds the lease of package duties. It is safe for
// concurrent use; mu is a leaf.
type Controller struct {
	cfg Config
	// balancers are by service. They belong to the tenure's goroutine.
	balancers map[string]*Balancer

	mu sync.Mutex
	// changing are the engines that were ordered, by ID.
	changing map[string]change
}

// New returns a keeper that has ordered nothing yet.
func New(cfg Config) *Controller {
	cfg.Now = clock.OrSystem(cfg.Now)
	return &Controller{cfg: cfg, changing: map[string]change{}}
}

var _ duties.Duty = (*Controller)(nil)

// Lead implements duties.Duty.
func (k *Controller) Lead(ctx context.Context, l *lease.Lease) {
	k.balancers = map[string]*Balancer{}
	for loop.Sleep(ctx, period) {
		config := k.cfg.Services()
		if config == nil {
			continue
		}
		for i := range config.Services {
			if s := &config.Services[i]; s.Engine != nil {
				k.keep(ctx, l, s)
			}
		}
	}
}

// keep orders what brings the engines of a service nearer to the target.
func (k *Controller) keep(ctx context.Context, l *lease.Lease, s *routes.Service) {
	engines, shape := k.engines(s.Name)
	if shape.size() == 0 {
		return
	}
	pressure := k.cfg.Pressure(s)
	want := k.balancer(s.Name).Target(k.cfg.Now(), shape, pressure)
	to, n := engine.Prefill, want-shape.Prefill
	if n < 0 {
		to, n = engine.Decode, -n
	}
	if n > 0 {
		klog.InfoS("rolechange: another shape wanted", "service", s.Name, "prefill", shape.Prefill, "decode", shape.Decode,
			"want", want, "running", pressure.Running, "slots", pressure.Slots, "prefillWaitMS", pressure.PrefillWait.Milliseconds())
	}
	var chosen []*directory.Endpoint
	for range n {
		e := k.pick(engines, to)
		if e == nil {
			break
		}
		k.note(e, to)
		chosen = append(chosen, e)
	}
	if len(chosen) == 0 || !loop.Sleep(ctx, k.cfg.PropagationDelay()) {
		return
	}
	for _, e := range chosen {
		k.order(ctx, l, e, to)
	}
}

func (k *Controller) balancer(service string) *Balancer {
	b := k.balancers[service]
	if b == nil {
		b = NewBalancer(k.cfg.Balance)
		k.balancers[service] = b
	}
	return b
}
