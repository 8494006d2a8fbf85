// Package fakepeer provides fakes of a zone's entries for tests of the processes that call
// them: the roster's maintainer, the controller that withholds endpoints, and an entry that
// syncs with a peer.
package fakepeer

import (
	"context"
	"sync"
	"time"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/rollout"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/withhold"
)

var (
	_ contact.Peers      = (*Zone)(nil)
	_ withhold.Peers     = (*Zone)(nil)
	_ withhold.Endpoints = (*Zone)(nil)
	_ rollout.Peers      = StaticPeer{}
	_ contact.Authority  = Lease{}
)

// UnresponsiveError is a VM or endpoint that does not respond.
type UnresponsiveError struct{ Name string }

// Error implements error.
func (e *UnresponsiveError) Error() string { return e.Name + " does not respond" }

// Reason implements failure.Coded.
func (e *UnresponsiveError) Reason() failure.Reason { return failure.PeerUnreachable }

// Lease is a fake lease: it is held if Err is nil, otherwise lost because of Err.
type Lease struct{ Err error }

// Checks implements contact.Authority.
func (h Lease) Checks() ([]table.Check, error) { return nil, h.Err }

// Zone responds for the VMs of a zone. Set its fields before use, or through Update.
type Zone struct {
	// Delay is the duration of each call.
	Delay time.Duration
	// RosterRevisions holds the roster revision of each VM, Instances its process instance.
	RosterRevisions, Instances map[string]uint64
	// Unresponsive VMs do not respond; IgnoresRosters VMs respond but do not apply rosters.
	Unresponsive, IgnoresRosters map[string]bool
	// Gates holds the VMs' gates.
	Gates map[string]*withhold.Gate
	// OpenStreams is the number of streams that each endpoint reports.
	// EndpointsUnresponsive makes endpoints not respond.
	OpenStreams           map[string]int
	EndpointsUnresponsive bool

	mu sync.Mutex
}

// NewZone returns a zone whose VMs respond.
func NewZone() *Zone {
	return &Zone{
		RosterRevisions: map[string]uint64{}, Instances: map[string]uint64{}, OpenStreams: map[string]int{},
		Unresponsive: map[string]bool{}, IgnoresRosters: map[string]bool{}, Gates: map[string]*withhold.Gate{},
	}
}

// Update modifies the zone while it is in use.
func (z *Zone) Update(change func()) {
	z.mu.Lock()
	defer z.mu.Unlock()
	change()
}

// call runs respond after the delay, unless the VM is unresponsive.
func (z *Zone) call(name string, respond func()) error {
	time.Sleep(z.Delay)
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.Unresponsive[name] {
		return &UnresponsiveError{Name: name}
	}
	respond()
	return nil
}

// Probe implements contact.Peers.
func (z *Zone) Probe(_ context.Context, vm contact.VM) (a contact.Ack, err error) {
	err = z.call(vm.Name, func() { a = contact.Ack{Instance: z.Instances[vm.Name], Roster: z.RosterRevisions[vm.Name]} })
	return a, err
}

// PushRoster implements contact.Peers.
func (z *Zone) PushRoster(_ context.Context, vm contact.VM, r contact.Roster) (a contact.Ack, err error) {
	err = z.call(vm.Name, func() {
		if !z.IgnoresRosters[vm.Name] {
			z.RosterRevisions[vm.Name] = r.Revision
		}
		a = contact.Ack{Instance: z.Instances[vm.Name], Roster: z.RosterRevisions[vm.Name]}
	})
	return a, err
}

// Withhold implements withhold.Peers.
func (z *Zone) Withhold(_ context.Context, vm contact.VM, endpoint string, epoch uint64) (a withhold.EntryState, err error) {
	err = z.call(vm.Name, func() {
		a = withhold.EntryState{Instance: z.Instances[vm.Name], State: z.Gates[vm.Name].Withhold(endpoint, epoch)}
	})
	return a, err
}

// Restore implements withhold.Peers.
func (z *Zone) Restore(_ context.Context, vm contact.VM, endpoint string, epoch uint64) (a withhold.EntryState, err error) {
	err = z.call(vm.Name, func() {
		a = withhold.EntryState{Instance: z.Instances[vm.Name], State: z.Gates[vm.Name].Restore(endpoint, epoch)}
	})
	return a, err
}

// Streams implements withhold.Endpoints.
func (z *Zone) Streams(_ context.Context, endpoint string) (int, error) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.EndpointsUnresponsive {
		return 0, &UnresponsiveError{Name: endpoint}
	}
	return z.OpenStreams[endpoint], nil
}

// StaticPeer is a peer that always sends the same response.
type StaticPeer struct {
	Response rollout.ExchangeResponse
	// Delay is the duration of an exchange.
	Delay time.Duration
	// Update is the peer's active configuration; nil makes FetchConfig fail.
	Update *rollout.Update
}

// Exchange implements rollout.Peers.
func (s StaticPeer) Exchange(context.Context, contact.VM) (rollout.ExchangeResponse, error) {
	time.Sleep(s.Delay)
	return s.Response, nil
}

// FetchConfig implements rollout.Peers.
func (s StaticPeer) FetchConfig(_ context.Context, vm contact.VM, _ rollout.Version) (rollout.Update, error) {
	if s.Update == nil {
		return rollout.Update{}, &UnresponsiveError{Name: vm.Name}
	}
	return *s.Update, nil
}

// PushRoster implements rollout.Peers.
func (s StaticPeer) PushRoster(context.Context, contact.VM, contact.Roster) (contact.Ack, error) {
	return contact.Ack{}, nil
}
