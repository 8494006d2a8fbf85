// Package contact decides whether a VM may serve new requests, and which VMs
// of an availability zone a configuration has to reach before it is accepted.
//
// The roster of a zone lists the VMs that may serve. A VM that is silent can
// be dropped from it, so that it holds up no change for ever, but only once it
// certainly serves no more:
//
//   - A VM under the lapse rule serves new requests only while it has, within
//     Timeout, reached the table or a VM of its zone that has not shunned it.
//   - Before such a VM is dropped it is marked shunned in the roster, every
//     other VM on the roster acknowledges the mark in two stable rounds (see
//     ConfirmStable), and RemovalDelay passes.
//
// A VM counts the lapse from before it sent the question, on its monotonic
// clock. RemovalDelay is twice the lapse, so clocks may differ in rate by half.
package contact

import (
	"slices"
	"strings"
	"time"

	"github.com/springweir/springweir/table"
)

// Timing of the contact rule.
const (
	// Timeout is how long a VM serves new requests without contact. A shorter one
	// lets changes get past a dead VM sooner, and has a VM that was paused or
	// cut off for less time refuse requests (docs/design/config.md).
	Timeout = 2 * time.Second
	// RemovalDelay passes between the last acknowledgement of a shunning and the drop.
	RemovalDelay = 2 * Timeout
	// MinTimeoutVMs is the smallest roster under which the lapse rule applies.
	MinTimeoutVMs = 3
)

// Table is the name of the table of rosters, with a row for each zone.
const Table = "roster"

// VM is one line of a roster.
type VM struct {
	// Name is the VM's name on the membership list.
	Name string `json:"name"`
	// Address is the host:port at which its entry answers peers.
	Address string `json:"address"`
	// HasTimeout is set once the VM is known to follow the lapse rule. Only such a
	// VM may be dropped for silence. In a zone of fewer than MinTimeoutVMs the
	// mark goes off once the VM is listed: from then on the membership list
	// tells when it is gone.
	HasTimeout bool `json:"lapse,omitempty"`
	// ExcludedAt is the revision at which the VM was shunned; zero is not at
	// all. A shunned VM is vouched for by no one.
	ExcludedAt uint64 `json:"shunned_at,omitempty"`
	// Left is set by a VM that stops by plan, together with ExcludedAt.
	Left bool `json:"left,omitempty"`
	// Listed is set once the VM was seen on the membership list. When it is
	// then missing from the list, it is gone for good.
	Listed bool `json:"listed,omitempty"`
}

// Withheld marks an endpoint of the zone that gets no new work, because a
// planned change is about to take it away.
type Withheld struct {
	Endpoint string `json:"endpoint"`
	// Epoch is the revision at which it was withheld.
	Epoch uint64 `json:"epoch"`
}

// Excluded tells whether the VM is shunned.
func (vm VM) Excluded() bool { return vm.ExcludedAt != 0 }

// Roster lists the VMs of a zone that may serve. A Roster is never changed in
// place: each change makes a new one with a higher revision.
type Roster struct {
	Zone string `json:"zone"`
	// Revision grows by one with each change; zero is no roster.
	Revision uint64 `json:"revision"`
	// WriteID is the id of the write that made this revision.
	WriteID string `json:"write_id"`
	// TimeoutSince is the revision since which the roster has had MinTimeoutVMs VMs
	// or more without a break; zero when it has fewer.
	TimeoutSince uint64 `json:"ruled_since,omitempty"`
	// VMs are sorted by name.
	VMs []VM `json:"vms"`
	// Withheld lists endpoints, sorted by name. It stands in the roster so that
	// every VM that joins, or a process that restarts, holds it before it serves.
	Withheld []Withheld `json:"withheld,omitempty"`
}

// Find returns the VM of that name.
func (r Roster) Find(name string) (VM, bool) {
	i := r.index(name)
	if i < 0 {
		return VM{}, false
	}
	return r.VMs[i], true
}

// IsActive tells whether name is on the roster and not shunned.
func (r Roster) IsActive(name string) bool {
	vm, ok := r.Find(name)
	return ok && !vm.Excluded()
}

// Names returns the VMs' names in order.
func (r Roster) Names() []string {
	names := make([]string, len(r.VMs))
	for i, vm := range r.VMs {
		names[i] = vm.Name
	}
	return names
}

// Except returns the VMs but for name.
func (r Roster) Except(name string) []VM {
	return slices.DeleteFunc(slices.Clone(r.VMs), func(vm VM) bool { return vm.Name == name })
}

// TimeoutAppliesTo tells whether the VM of that name must follow the lapse rule
// under this roster. A VM that the roster says follows it keeps doing so, also
// when the roster has become small: it may be dropped until the mark is off.
func (r Roster) TimeoutAppliesTo(name string) bool {
	if len(r.VMs) >= MinTimeoutVMs {
		return true
	}
	vm, ok := r.Find(name)
	return ok && vm.HasTimeout
}

// Join returns the roster with the VM on it, in good standing.
func (r Roster) Join(zone, name, address string) Roster {
	next := r.next()
	next.Zone = zone
	old, _ := r.Find(name)
	// The joining VM holds this very revision, so it follows the rule from the start.
	vm := VM{Name: name, Address: address, Listed: old.Listed, HasTimeout: true}
	next.VMs = append(r.Except(name), vm)
	slices.SortFunc(next.VMs, func(a, b VM) int { return strings.Compare(a.Name, b.Name) })
	next.updateTimeoutSince()
	return next
}

// rule sets TimeoutSince after a change of the VMs.
func (r *Roster) updateTimeoutSince() {
	switch {
	case len(r.VMs) < MinTimeoutVMs:
		r.TimeoutSince = 0
	case r.TimeoutSince == 0:
		r.TimeoutSince = r.Revision
	}
}

// Leave returns the roster with the VM of that name marked as leaving.
func (r Roster) Leave(name string) Roster {
	next := r.next()
	next.VMs = slices.Clone(r.VMs)
	if i := next.index(name); i >= 0 {
		next.VMs[i].Left = true
		next.VMs[i].ExcludedAt = next.Revision
	}
	return next
}

// Withhold returns the roster with the endpoint withheld.
func (r Roster) Withhold(endpoint string) Roster {
	next := r.Restore(endpoint)
	next.Withheld = append(next.Withheld, Withheld{Endpoint: endpoint, Epoch: next.Revision})
	slices.SortFunc(next.Withheld, func(a, b Withheld) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return next
}

// Restore returns the roster with the endpoint no longer withheld.
func (r Roster) Restore(endpoint string) Roster {
	next := r.next()
	next.Withheld = slices.DeleteFunc(slices.Clone(r.Withheld), func(w Withheld) bool { return w.Endpoint == endpoint })
	return next
}

// WithheldEpoch returns the epoch at which the endpoint was withheld.
func (r Roster) WithheldEpoch(endpoint string) (uint64, bool) {
	for _, w := range r.Withheld {
		if w.Endpoint == endpoint {
			return w.Epoch, true
		}
	}
	return 0, false
}

func (r Roster) next() Roster {
	r.Revision++
	return r
}

func (r Roster) index(name string) int {
	return slices.IndexFunc(r.VMs, func(vm VM) bool { return vm.Name == name })
}

// Key names the row that holds a zone's roster.
func Key(zone string) table.Key { return table.Key{Table: Table, Row: zone} }
