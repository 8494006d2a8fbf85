// Package scaling controls how many endpoints of a service run in each availability zone, on
// platforms that support changing this number and charge for each endpoint by the second. It runs
// on one VM, the holder of the lease of package duties.
//
// Current counts are always taken from the endpoints' registrations and never from memory, so that
// a new lease holder continues from the actual state.
package scaling

import (
	"context"
	"errors"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/duties"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/lease"
	"github.com/springweir/springweir/routes"
	"github.com/springweir/springweir/table"
)

// Order requests a number of endpoints of one kind in one zone.
type Order struct {
	Service, Zone string
	Target        int
	// Revocable selects the kind: endpoints that the platform may reclaim, or ordinary ones.
	Revocable bool
	// Holder is the VM that sends the order, and Fence the fencing token of its tenure.
	Holder string
	Fence  uint64
}

// Platform accepts orders. An order that was not accepted when ctx ends must never take effect.
type Platform interface {
	// Scale sends an order. The error is *NoCapacityError if no such endpoints are available now.
	Scale(ctx context.Context, o Order) error
}

// NoCapacityError reports an order that the platform cannot fulfil now.
type NoCapacityError struct{ Service, Zone string }

// Error implements error.
func (e *NoCapacityError) Error() string {
	return fmt.Sprintf("no endpoints of service %s are available in zone %s", e.Service, e.Zone)
}

// Reason implements failure.Coded.
func (e *NoCapacityError) Reason() failure.Reason { return failure.DutyRefused }

// Config holds the dependencies of a Scaler.
type Config struct {
	VM        string
	Rows      table.Service
	Directory *directory.Directory
	Services  func() *routes.Config
	Platform  Platform
	// Demand returns the work that all VMs have in flight at a service. Nil means that endpoint counts
	// follow the base.
	Demand func(service string) Demand
	// Now is the clock used for decisions; nil is the VM's clock.
	Now func() time.Time
}

const (
	// reconcileInterval is the time between two comparisons of current and target counts.
	reconcileInterval = 300 * time.Millisecond
	// baseStableTime is how long the number of endpoints must not have risen before it counts as
	// the base: when a region starts, endpoints register one after another.
	baseStableTime = 2500 * time.Millisecond
	// baseRetryInterval is the mean time between two attempts to determine the base.
	baseRetryInterval = 500 * time.Millisecond
	// maxManagedBase is the base above which endpoint counts are left unchanged: with that many,
	// new endpoints, whose prompt caches are empty, delay requests before the change pays off.
	maxManagedBase = 200
	// callTimeout bounds one order, which is either accepted within this time or has no effect.
	callTimeout = 400 * time.Millisecond
	// noCapacityBackoff is the time until the next order after a *NoCapacityError.
	noCapacityBackoff = 2 * time.Second
	// refusalMemory is how long a *NoCapacityError counts. It lasts until the outcome of the next order
	// is known, so that ordinary endpoints are not ordered and cancelled in turns.
	refusalMemory = noCapacityBackoff + 2*reconcileInterval + callTimeout
	// emptyZoneDelay is how long a zone must have had no endpoint before any are ordered there. Rows that were lost in an
	// outage of the store are written again within two seconds, and an order by an incomplete count may end endpoints.
	emptyZoneDelay = 2500 * time.Millisecond
	// bootGrace is how far an endpoint may exceed its expected start duration before it is ordered
	// again.
	bootGrace = 3 * time.Second
)

// Scaler implements duties.Duty. It must be used by the goroutine of one tenure at a time.
type Scaler struct {
	cfg      Config
	orders   map[zoneKey]*orderState
	services map[string]*serviceState
	// emptySince holds the zones in which a service may run and has no endpoint, since when in this tenure.
	emptySince map[zoneKey]time.Time
	// demands is filled by Watch, on every VM, so that a new lease holder has a forecast.
	demands demandLog
}

// serviceState holds the planner of a service and, until the base is known, the observations from
// which the base is determined.
type serviceState struct {
	planner *Planner
	// highest is the highest number of endpoints seen, and risenAt the time at which it last rose.
	highest int
	risenAt time.Time
	// nextAttempt is the earliest time of the next attempt to determine the base.
	nextAttempt time.Time
}

type zoneKey struct {
	service, zone string
	revocable     bool
}

// orderState records what was ordered of one kind in one zone.
type orderState struct {
	ordered int
	// orderedAt is the time of the last accepted order, nextOrder the earliest time of the next
	// order, nextScaleIn the earliest time of the next order that removes endpoints, and refusedAt the
	// time of the last *NoCapacityError since an accepted order.
	orderedAt, nextOrder, nextScaleIn, refusedAt time.Time
}

// New returns a Scaler without any recorded orders.
func New(cfg Config) *Scaler {
	cfg.Now = clock.OrSystem(cfg.Now)
	return &Scaler{cfg: cfg, services: map[string]*serviceState{}}
}

var _ duties.Duty = (*Scaler)(nil)

// Lead implements duties.Duty.
func (s *Scaler) Lead(ctx context.Context, l *lease.Lease) {
	s.orders, s.emptySince = map[zoneKey]*orderState{}, map[zoneKey]time.Time{}
	defer s.clearTargets()
	for loop.Sleep(ctx, reconcileInterval) {
		config := s.cfg.Services()
		if config == nil {
			continue
		}
		for i := range config.Services {
			if service := &config.Services[i]; service.Scale != nil {
				s.reconcile(ctx, l, service)
			}
		}
	}
}

// reconcile orders the differences between the current and the target counts of a service.
func (s *Scaler) reconcile(ctx context.Context, l *lease.Lease, service *routes.Service) {
	current := s.countEndpoints(service)
	planner := s.planner(ctx, service, current)
	if planner == nil || planner.base > maxManagedBase {
		return
	}
	forecast := s.demands.forecast(s.cfg.Now(), service)
	before := planner.held
	targets := planner.Plan(s.cfg.Now(), service.Scale, current, forecast)
	s.report(service.Name, planner, before, forecast, targets)
	for zone, target := range targets {
		s.order(ctx, l, service, zone, true, current[zone].Revocable, target.Revocable)
		s.order(ctx, l, service, zone, false, current[zone].Ordinary, target.Ordinary)
	}
}

// planner returns the planner of a service, or nil while the base of the service is unknown.
func (s *Scaler) planner(ctx context.Context, service *routes.Service, current map[string]Zone) *Planner {
	state := s.services[service.Name]
	if state == nil {
		state = &serviceState{}
		s.services[service.Name] = state
	}
	now := s.cfg.Now()
	if state.planner != nil || now.Before(state.nextAttempt) {
		return state.planner
	}
	base, err := s.base(ctx, service.Name, state, current)
	if err != nil {
		klog.InfoS("scaling: base endpoint count not determined yet", "service", service.Name, "err", err)
		state.nextAttempt = now.Add(loop.Jitter(baseRetryInterval))
	}
	if base > 0 {
		state.planner = NewPlanner(DefaultSettings(), base)
		klog.InfoS("scaling: planning endpoint counts", "service", service.Name, "base", base, "ordered", base <= maxManagedBase)
	}
	return state.planner
}

// base returns the number of endpoints with which the operators installed the service, or zero
// while it is unknown. It is kept in the store, because later lease holders see other numbers.
func (s *Scaler) base(ctx context.Context, service string, state *serviceState, current map[string]Zone) (int, error) {
	base, version, err := readBase(ctx, s.cfg.Rows, service)
	var malformed *table.MalformedRowError
	if base > 0 || err != nil && !errors.As(err, &malformed) {
		return base, err
	}
	total, now := 0, s.cfg.Now()
	for _, counts := range current {
		total += counts.Ordinary + counts.Revocable
	}
	if total > state.highest {
		state.highest, state.risenAt = total, now
	}
	if total == 0 || now.Sub(state.risenAt) < baseStableTime {
		state.nextAttempt = now.Add(baseRetryInterval)
		return 0, nil
	}
	if err := writeBase(ctx, s.cfg.Rows, service, version, state.highest); err != nil {
		// Another holder may have written the row, or this one without receiving the response. The
		// next attempt reads it.
		return 0, err
	}
	return state.highest, nil
}

// countEndpoints returns the current counts of a service in each zone that has endpoints or has lost them. Draining
// endpoints are not counted.
func (s *Scaler) countEndpoints(service *routes.Service) map[string]Zone {
	counts := map[string]Zone{}
	for _, e := range s.cfg.Directory.Snapshot().All() {
		if e.Service != service.Name {
			continue
		}
		zoneCounts := counts[e.Zone]
		switch {
		case e.Draining:
		case e.Revocable:
			zoneCounts.Revocable++
		default:
			zoneCounts.Ordinary++
		}
		counts[e.Zone] = zoneCounts
	}
	s.addEmptyZones(service, counts)
	for zone, zoneCounts := range counts {
		state := s.orders[zoneKey{service.Name, zone, true}]
		if state != nil && s.starting(service, state) {
			zoneCounts.Starting = max(0, state.ordered-zoneCounts.Revocable)
		}
		if ordinary := s.orders[zoneKey{service.Name, zone, false}]; ordinary != nil && s.starting(service, ordinary) {
			zoneCounts.StartingOrdinary = max(0, ordinary.ordered-zoneCounts.Ordinary)
		}
		zoneCounts.Unavailable = state != nil && s.cfg.Now().Sub(state.refusedAt) < refusalMemory
		counts[zone] = zoneCounts
	}
	return counts
}

// addEmptyZones adds the zones in which the service may run and has had no endpoint for emptyZoneDelay.
func (s *Scaler) addEmptyZones(service *routes.Service, counts map[string]Zone) {
	now := s.cfg.Now()
	for zone := range service.Scale.ZonePrices {
		key := zoneKey{service: service.Name, zone: zone}
		if _, found := counts[zone]; found {
			delete(s.emptySince, key)
			continue
		}
		since, known := s.emptySince[key]
		if !known {
			s.emptySince[key] = now
		} else if now.Sub(since) >= emptyZoneDelay {
			counts[zone] = Zone{}
		}
	}
}

// starting reports whether ordered endpoints may still be starting.
func (s *Scaler) starting(service *routes.Service, state *orderState) bool {
	return s.cfg.Now().Sub(state.orderedAt) <= service.Scale.BootDuration+bootGrace
}

// order requests target endpoints of one kind, unless that many exist already or were ordered
// recently.
func (s *Scaler) order(ctx context.Context, l *lease.Lease, service *routes.Service, zone string, revocable bool, current, target int) {
	key := zoneKey{service.Name, zone, revocable}
	state := s.orders[key]
	if state == nil {
		state = &orderState{ordered: current}
		s.orders[key] = state
	}
	now := s.cfg.Now()
	starting := s.starting(service, state)
	target = nextStep(current, state.ordered, target, starting, revocable)
	if now.Before(state.nextOrder) || target == state.ordered && (current == target || starting) || target < current && now.Before(state.nextScaleIn) {
		return
	}
	err := duties.Call(ctx, l, callTimeout, func(ctx context.Context, fence uint64) error {
		return s.cfg.Platform.Scale(ctx, Order{Service: service.Name, Zone: zone, Target: target, Revocable: revocable, Holder: s.cfg.VM, Fence: fence})
	})
	klog.InfoS("scaling: order sent", "service", service.Name, "zone", zone, "revocable", revocable, "have", current, "before", state.ordered, "want", target,
		"fence", l.Fence(), "err", err)
	var noCapacity *NoCapacityError
	switch {
	case err == nil:
		state.ordered, state.orderedAt, state.refusedAt = target, now, time.Time{}
		if target < current {
			state.nextScaleIn = now.Add(stopStepInterval)
		}
	case errors.As(err, &noCapacity):
		state.nextOrder, state.refusedAt = now.Add(noCapacityBackoff), now
	default:
		state.nextOrder = now.Add(loop.Jitter(reconcileInterval))
	}
}
