// Package scaling orders how many endpoints of a service there are in each zone, where the platform
// lets that be changed and charges for each endpoint by the second. One VM does so, the holder of
// the lease of package duties.
//
// What is there is read from the endpoints' registrations, never remembered: a new holder goes on
// from what it finds.
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

// Order asks for a number of endpoints of one kind in one zone.
type Order struct {
	Service, Zone string
	Target        int
	// Revocable is the kind: those that may be taken away, or the others.
	Revocable bool
	// Holder names the VM that orders, Fence its tenure.
	Holder string
	Fence  uint64
}

// Platform takes orders. What it has not taken in when ctx ends must never come to count.
type Platform interface {
	// Scale sends an order. The error is *NoCapacityError if there are none to be had now.
	Scale(ctx context.Context, o Order) error
}

// NoCapacityError is an order that cannot be met now.
type NoCapacityError struct{ Service, Zone string }

// Error implements error.
func (e *NoCapacityError) Error() string {
	return fmt.Sprintf("no endpoints of %s to be had in %s now", e.Service, e.Zone)
}

// Reason implements failure.Coded.
func (e *NoCapacityError) Reason() failure.Reason { return failure.DutyRefused }

// Config is what a Scaler works with.
type Config struct {
	VM        string
	Rows      table.Service
	Directory *directory.Directory
	Services  func() *routes.Config
	Platform  Platform
	// Now is where decisions take the time from; nil is the VM's clock.
	Now func() time.Time
}

const (
	// period is how often the numbers are looked at.
	period = 300 * time.Millisecond
	// stable is how long no endpoint may have come before their number counts as the base: at the
	// start of a region they register one after the other.
	stable = 2500 * time.Millisecond
	// basePause is how often the base is looked for.
	basePause = 500 * time.Millisecond
	// mostBase is the base above which numbers are left as they are: before a change of many endpoints
	// pays, those that come hold requests up, having read nothing of their prompts yet.
	mostBase = 200
	// callTimeout bounds an order: within it the order is taken or will not be.
	callTimeout = 400 * time.Millisecond
	// scarcePause is how long after there were none to be had the next order goes out.
	scarcePause = 2 * time.Second
	// bootSlack is how much longer than it should an endpoint may take to start before it is
	// ordered again.
	bootSlack = 3 * time.Second
)

// Scaler implements duties.Duty. It belongs to the goroutine of one tenure at a time.
type Scaler struct {
	cfg      Config
	zones    map[zoneKey]*zoneState
	services map[string]*serviceState
}

// serviceState is what is known of a service.
type serviceState struct {
	planner *Planner
	// most is the highest number of endpoints that was seen, and since is when it last rose.
	most  int
	since time.Time
	// next is when to ask the store again that gave no answer.
	next time.Time
}

type zoneKey struct {
	service, zone string
	revocable     bool
}

// zoneState is what was ordered of one kind in one zone.
type zoneState struct {
	ordered int
	// at is when that was, next when the next order may go out, and leaving when others may be told
	// to leave.
	at, next, leaving time.Time
}

// New returns a scaler.
func New(cfg Config) *Scaler {
	cfg.Now = clock.OrSystem(cfg.Now)
	return &Scaler{cfg: cfg, services: map[string]*serviceState{}}
}

var _ duties.Duty = (*Scaler)(nil)

// Lead implements duties.Duty.
func (s *Scaler) Lead(ctx context.Context, l *lease.Lease) {
	s.zones = map[zoneKey]*zoneState{}
	for loop.Sleep(ctx, period) {
		config := s.cfg.Services()
		if config == nil {
			continue
		}
		for i := range config.Services {
			if service := &config.Services[i]; service.Scale != nil {
				s.keep(ctx, l, service)
			}
		}
	}
}

// keep orders what a service wants and does not have.
func (s *Scaler) keep(ctx context.Context, l *lease.Lease, service *routes.Service) {
	have := s.count(service)
	planner := s.planner(ctx, service, have)
	if planner == nil || planner.base > mostBase {
		return
	}
	for zone, want := range planner.Plan(s.cfg.Now(), service.Scale, have) {
		s.order(ctx, l, service, zone, true, have[zone].Revocable, want.Revocable)
		s.order(ctx, l, service, zone, false, have[zone].Ordinary, want.Ordinary)
	}
}

// planner returns the planner of a service, or nil while its base is not known.
func (s *Scaler) planner(ctx context.Context, service *routes.Service, have map[string]Zone) *Planner {
	state := s.services[service.Name]
	if state == nil {
		state = &serviceState{}
		s.services[service.Name] = state
	}
	now := s.cfg.Now()
	if state.planner != nil || now.Before(state.next) {
		return state.planner
	}
	base, err := s.base(ctx, service.Name, state, have)
	if err != nil {
		klog.InfoS("scaling: the base is not known yet", "service", service.Name, "err", err)
		state.next = now.Add(loop.Jitter(basePause))
	}
	if base > 0 {
		state.planner = NewPlanner(DefaultSettings(), base)
		klog.InfoS("scaling: numbers are planned", "service", service.Name, "base", base, "ordered", base <= mostBase)
	}
	return state.planner
}

// base is the number of endpoints that the service had at first: what its operators installed. It
// stands in the store, since later holders find other numbers. Zero is not known yet.
func (s *Scaler) base(ctx context.Context, service string, state *serviceState, have map[string]Zone) (int, error) {
	base, known, err := readBase(ctx, s.cfg.Rows, service)
	if err != nil || known {
		return base, err
	}
	n, now := 0, s.cfg.Now()
	for _, c := range have {
		n += c.Ordinary + c.Revocable
	}
	if n > state.most {
		state.most, state.since = n, now
	}
	if n == 0 || now.Sub(state.since) < stable {
		state.next = now.Add(basePause)
		return 0, nil
	}
	if err := writeBase(ctx, s.cfg.Rows, service, state.most); err != nil {
		return 0, err // another holder may have written it, or this one without an answer: it is read then
	}
	return state.most, nil
}

// count is what there is of a service in each zone.
func (s *Scaler) count(service *routes.Service) map[string]Zone {
	have := map[string]Zone{}
	for _, e := range s.cfg.Directory.Snapshot().All() {
		if e.Service != service.Name {
			continue
		}
		c := have[e.Zone]
		switch {
		case e.Draining:
		case e.Revocable:
			c.Revocable++
		default:
			c.Ordinary++
		}
		have[e.Zone] = c
	}
	for zone, h := range have {
		state := s.zones[zoneKey{service.Name, zone, true}]
		if state != nil && s.starting(service, state) {
			h.Coming = max(0, state.ordered-h.Revocable)
			have[zone] = h
		}
	}
	return have
}

// starting tells whether endpoints that were ordered may still be starting.
func (s *Scaler) starting(service *routes.Service, state *zoneState) bool {
	return s.cfg.Now().Sub(state.at) <= service.Scale.BootDuration+bootSlack
}

// order asks for a number of one kind, unless that is what there is or what was asked for lately.
func (s *Scaler) order(ctx context.Context, l *lease.Lease, service *routes.Service, zone string, revocable bool, have, want int) {
	key := zoneKey{service.Name, zone, revocable}
	state := s.zones[key]
	if state == nil {
		state = &zoneState{ordered: have}
		s.zones[key] = state
	}
	now := s.cfg.Now()
	starting := s.starting(service, state)
	want = paced(have, state.ordered, want, starting, revocable)
	if now.Before(state.next) || want == state.ordered && (have == want || starting) || want < have && now.Before(state.leaving) {
		return
	}
	err := duties.Call(ctx, l, callTimeout, func(ctx context.Context, fence uint64) error {
		return s.cfg.Platform.Scale(ctx, Order{Service: service.Name, Zone: zone, Target: want, Revocable: revocable, Holder: s.cfg.VM, Fence: fence})
	})
	klog.InfoS("scaling: ordered", "service", service.Name, "zone", zone, "revocable", revocable, "have", have, "before", state.ordered, "want", want,
		"fence", l.Fence(), "err", err)
	var none *NoCapacityError
	switch {
	case err == nil:
		state.ordered, state.at = want, now
		if want < have {
			state.leaving = now.Add(leavePause)
		}
	case errors.As(err, &none):
		state.next = now.Add(scarcePause)
	default:
		state.next = now.Add(loop.Jitter(period))
	}
}
