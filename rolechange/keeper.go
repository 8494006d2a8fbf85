package rolechange

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/lease"
	"github.com/springweir/springweir/routes"
	"github.com/springweir/springweir/table"
)

// Config is what a Keeper works with.
type Config struct {
	VM        string
	Rows      table.Service
	Directory *directory.Directory
	Services  func() *routes.Config
	Engines   Engines
	// Balance bounds the choice of the roles, and Pressure tells what the engines
	// of a service have to do.
	Balance  BalanceSettings
	Pressure func(service *routes.Service) Pressure
	// Open returns the requests that run at an engine now. It may ask this package
	// which engines are changing.
	Open func(id string) int
	// Announce is how long all VMs take to learn that an engine is about to
	// change, and so to send it nothing new.
	Announce func() time.Duration
	// Rank is this VM's place among all: those behind the first few contend less
	// often.
	Rank func() int
	// Now is where decisions take the time from; nil is the VM's clock.
	Now func() time.Time
	// Epoch returns the newest epoch of the store (see table.Version); nil is a store without any.
	Epoch func() uint64
	// Lease is how long after an order of one holder no other may order.
	Lease time.Duration
}

const (
	// leasePool and leaseZone name the one lease: role changes are rare, so one
	// VM of the region carries them out.
	leasePool, leaseZone = "engine-roles", "region"
	// leaseTTL, leaseRenew and leasePoll are chosen for few calls to the store:
	// a role change may wait for ten seconds.
	leaseTTL   = 6 * time.Second
	leaseRenew = 2 * time.Second
	leasePoll  = 4 * time.Second
	// settleMargin is added to the wait of a new holder for clocks and the
	// network's delay.
	settleMargin = 500 * time.Millisecond
	// period is how often the roles are looked at.
	period = 300 * time.Millisecond
	// callTimeout bounds a call to an engine. It is also the time within which
	// an order reaches the engine or its connection is reset.
	callTimeout = 400 * time.Millisecond
	// changeTimeout is how long a change may take, with running requests ending
	// first, before the engine is asked anew.
	changeTimeout = 15 * time.Second
)

// Keeper changes roles while this VM holds the lease. It is safe for concurrent
// use; mu is a leaf.
type Keeper struct {
	cfg    Config
	holder *lease.Holder
	// balancers are by service. They belong to the tenure's goroutine.
	balancers map[string]*Balancer

	mu sync.Mutex
	// changing are the engines that were ordered, by ID.
	changing map[string]change
}

// New returns a keeper that contends for the lease as boot, a name drawn at this start.
func New(cfg Config, boot, address string) *Keeper {
	cfg.Now = clock.OrSystem(cfg.Now)
	return &Keeper{
		cfg:      cfg,
		changing: map[string]change{},
		holder: lease.NewHolder(cfg.Rows, lease.Config{
			Pool: leasePool, Zone: leaseZone,
			Self: lease.Identity{VM: cfg.VM, Process: boot, Address: address},
			TTL:  leaseTTL, Renew: leaseRenew, Poll: leasePoll, Rank: cfg.Rank, Epoch: cfg.Epoch,
		}),
	}
}

// Run contends for the lease and acts while it is held, until ctx ends.
func (k *Keeper) Run(ctx context.Context) { k.holder.Run(ctx, k.lead) }

// lead acts for one tenure. A tenure that follows another first waits until no
// order of the one before can count any more.
func (k *Keeper) lead(ctx context.Context, l *lease.Lease) {
	klog.InfoS("rolechange: lease taken", "fence", l.Fence())
	k.balancers = map[string]*Balancer{}
	defer klog.InfoS("rolechange: lease left", "fence", l.Fence())
	if !l.First() && !loop.Sleep(ctx, k.cfg.Lease+settleMargin) {
		return
	}
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
func (k *Keeper) keep(ctx context.Context, l *lease.Lease, s *routes.Service) {
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
	if len(chosen) == 0 || !loop.Sleep(ctx, k.cfg.Announce()) {
		return
	}
	for _, e := range chosen {
		k.order(ctx, l, e, to)
	}
}

func (k *Keeper) balancer(service string) *Balancer {
	b := k.balancers[service]
	if b == nil {
		b = NewBalancer(k.cfg.Balance)
		k.balancers[service] = b
	}
	return b
}
