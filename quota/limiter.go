package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/organisation"
)

const (
	// maxAsked is how many VMs are asked for one request.
	maxAsked = 2
	// avoidance is how long a VM that did not respond is not asked again. By the end of it the VM is
	// likely to count as unresponsive.
	avoidance = time.Second
)

// Config configures a Limiter.
type Config struct {
	// VM is the name of this VM.
	VM string
	// Limit returns the limit of an organisation in the configuration in force, or the zero Limit.
	Limit func(organisation string) organisation.Limit
	// Peers asks other VMs.
	Peers Peers
	// Now returns the current time; nil selects the system clock.
	Now func() time.Time
}

// Limiter keeps the requests of this VM within the limits of their organisations. It is safe for
// concurrent use; mu is a leaf lock.
type Limiter struct {
	cfg     Config
	granter *Granter

	mu sync.Mutex
	// addresses holds the addresses of the other VMs by name.
	addresses map[string]string
	// registered is the number of all VMs.
	registered int
	// avoided holds until when VMs that did not respond are not asked.
	avoided map[string]time.Time
	// own holds the buckets that are used while no granter responds.
	own map[string]*bucket
}

// New returns a limiter that knows no other VMs.
func New(c Config) *Limiter {
	c.Now = clock.OrSystem(c.Now)
	return &Limiter{cfg: c, granter: newGranter(c.VM, c.Limit, c.Now), registered: 1, avoided: map[string]time.Time{}, own: map[string]*bucket{}}
}

// SetMembers sets the responsive VMs.
func (l *Limiter) SetMembers(m loadshare.Membership) {
	l.granter.setMembers(m)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.registered = max(1, m.Registered)
}

// SetAddresses sets the addresses (host:port) of the other VMs by name.
func (l *Limiter) SetAddresses(addresses map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addresses = addresses
}

// Reservation is what a request has taken from the limit of its organisation. A nil Reservation has
// taken nothing.
type Reservation struct {
	limiter      *Limiter
	organisation string
	cost         float64
	// granter is the VM that granted it; empty if this VM took it from its own part.
	granter string
}

// Reserve takes the cost of a request from a limit. The failure is that of a request beyond the limit.
func (l *Limiter) Reserve(ctx context.Context, request, organisation string, cost float64) (*Reservation, *failure.Request) {
	for _, vm := range l.candidates(organisation) {
		wait, err := l.ask(ctx, vm, organisation, cost)
		if err != nil {
			klog.InfoS("quota: no response of the granter", "request", request, "organisation", organisation, "granter", vm, "err", err)
			unanswered.Inc()
			continue
		}
		return l.result(request, organisation, cost, vm, wait)
	}
	return l.result(request, organisation, cost, "", l.takeOwn(organisation, cost))
}

// result returns the outcome of a request to reserve.
func (l *Limiter) result(request, organisation string, cost float64, granter string, wait time.Duration) (*Reservation, *failure.Request) {
	if wait == 0 {
		if granter == "" {
			reservedFromOwn.Inc()
		} else {
			reservedByGranter.Inc()
		}
		return &Reservation{limiter: l, organisation: organisation, cost: cost, granter: granter}, nil
	}
	refused.Inc()
	retryAfter := wait + rand.N(wait)
	klog.InfoS("quota: refused, the organisation is over its limit", "request", request, "organisation", organisation, "cost", cost,
		"granter", granter, "waitMS", wait.Milliseconds(), "retryAfterMS", retryAfter.Milliseconds())
	return nil, &failure.Request{
		Code: failure.OrganisationLimit, Ran: failure.NotRun, RetryAfter: retryAfter,
		Message: "the organisation is over its limit",
	}
}

// candidates returns the VMs to ask for a limit, in order.
func (l *Limiter) candidates(organisation string) []string {
	order := l.granter.order(organisation, maxAsked)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	var list []string
	for _, vm := range order {
		if now.Before(l.avoided[vm]) {
			continue
		}
		delete(l.avoided, vm)
		list = append(list, vm)
	}
	return list
}

// ask asks a VM, which may be this one, for the cost of a request. The error is *UnreachableError or
// *NoLimitError.
func (l *Limiter) ask(ctx context.Context, vm, organisation string, cost float64) (time.Duration, error) {
	if vm == l.cfg.VM {
		return l.granter.reserve(organisation, cost)
	}
	wait, err := l.cfg.Peers.Reserve(ctx, l.address(vm), organisation, cost)
	if err == nil {
		return wait, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if ctx.Err() == nil {
		l.avoided[vm] = l.cfg.Now().Add(avoidance)
	}
	return 0, &UnreachableError{VM: vm, Cause: err}
}

func (l *Limiter) address(vm string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addresses[vm]
}

// takeOwn takes the cost of a request from this VM's part of a limit, which is the same for all
// registered VMs.
func (l *Limiter) takeOwn(organisation string, cost float64) time.Duration {
	limit := l.cfg.Limit(organisation)
	if !limit.Limited() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	b := l.own[organisation]
	if b == nil {
		b = &bucket{at: now}
		l.own[organisation] = b
	}
	return b.take(now, scale(limit, 1/float64(l.registered)), cost)
}

// Refund gives back what a request that was not run has taken. It does not wait for other VMs. A
// refund that is lost leaves the organisation that much less.
func (r *Reservation) Refund() {
	switch {
	case r == nil || r.granter == "":
	case r.granter == r.limiter.cfg.VM:
		if err := r.limiter.granter.refund(r.organisation, r.cost); err != nil {
			klog.V(1).InfoS("quota: not refunded", "organisation", r.organisation, "err", err)
		}
	default:
		go r.refundAtPeer()
	}
}

func (r *Reservation) refundAtPeer() {
	err := r.limiter.cfg.Peers.Refund(context.Background(), r.limiter.address(r.granter), r.organisation, r.cost)
	if err != nil {
		klog.V(1).InfoS("quota: not refunded", "organisation", r.organisation, "granter", r.granter, "err", err)
	}
}
