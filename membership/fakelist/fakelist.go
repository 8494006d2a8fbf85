// Package fakelist is a membership list for tests, with lag, latency and failures that can be
// set.
package fakelist

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/membership"
)

// maxStates bounds the past states kept for the lag.
const maxStates = 1024

// FaultError is an injected fault.
type FaultError struct{}

// Error implements error.
func (FaultError) Error() string { return "injected fault" }

// Reason implements failure.Coded.
func (FaultError) Reason() failure.Reason { return failure.MembershipUnavailable }

// state is the actual list from a point in time on.
type state struct {
	since time.Time
	vms   []membership.VM
}

// List is a membership.List that a test controls. The zero value is an empty list without lag.
// The lag is measured on the monotonic clock.
type List struct {
	mu    sync.Mutex
	lag   time.Duration
	down  bool
	delay time.Duration
	reads uint64
	// states are the actual lists in order; the last is the current one.
	states []state
}

var _ membership.List = (*List)(nil)

// New returns a list that shows vms without lag.
func New(vms ...membership.VM) *List {
	return &List{states: []state{{vms: slices.Clone(vms)}}}
}

// Set replaces the actual list; readers see it after the lag.
func (l *List) Set(vms ...membership.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.push(slices.Clone(vms))
}

// Put adds a VM or replaces the one of the same name.
func (l *List) Put(vm membership.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	byName := l.byName()
	byName[vm.Name] = vm
	l.push(sortedByName(byName))
}

// Remove removes a VM from the list.
func (l *List) Remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	byName := l.byName()
	delete(byName, name)
	l.push(sortedByName(byName))
}

// SetLag sets the time until a change becomes visible.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetDown sets whether reads fail.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// SetDelay sets how long each read takes.
func (l *List) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// Reads returns the number of reads.
func (l *List) Reads() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// VMs implements membership.List.
func (l *List) VMs(ctx context.Context) ([]membership.VM, error) {
	if err := l.wait(ctx); err != nil {
		return nil, &membership.UnavailableError{Cause: err}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, &membership.UnavailableError{Cause: FaultError{}}
	}
	cutoff := time.Now().Add(-l.lag)
	var vms []membership.VM
	for _, s := range l.states {
		if s.since.After(cutoff) {
			break
		}
		vms = s.vms
	}
	return slices.Clone(vms), nil
}

// wait counts a read and sleeps for the delay.
func (l *List) wait(ctx context.Context) error {
	l.mu.Lock()
	l.reads++
	delay := l.delay
	l.mu.Unlock()
	if !loop.Sleep(ctx, delay) {
		return context.Cause(ctx)
	}
	return nil
}

// push makes vms the current list. The caller holds l.mu.
func (l *List) push(vms []membership.VM) {
	l.states = append(l.states, state{since: time.Now(), vms: vms})
	if len(l.states) > maxStates {
		l.states = slices.Delete(l.states, 0, len(l.states)-maxStates)
		l.states[0].since = time.Time{} // represents all discarded states
	}
}

// byName returns the current list by name. The caller holds l.mu.
func (l *List) byName() map[string]membership.VM {
	byName := make(map[string]membership.VM)
	if len(l.states) > 0 {
		for _, vm := range l.states[len(l.states)-1].vms {
			byName[vm.Name] = vm
		}
	}
	return byName
}

func sortedByName(byName map[string]membership.VM) []membership.VM {
	byVMName := func(a, b membership.VM) int { return cmp.Compare(a.Name, b.Name) }
	return slices.SortedFunc(maps.Values(byName), byVMName)
}
