// Package contact decides whether a VM may serve new requests, and which VMs of an availability
// zone must apply a configuration before it is accepted.
//
// The roster of a zone lists the VMs that may serve. An unresponsive VM can be removed from it,
// so that it does not block changes indefinitely, but only once it certainly no longer serves:
//
//   - A VM under the timeout rule serves new requests only while it has had contact within
//     Timeout: it reached the table, or a VM of its zone that does not exclude it.
//   - Before such a VM is removed it is marked as excluded in the roster, every other VM on the
//     roster acknowledges the mark in two stable rounds (see ConfirmStable), and RemovalDelay
//     passes.
//
// A VM measures Timeout from before it sends the request, on its monotonic clock. RemovalDelay
// is twice Timeout, so clock rates may differ by a factor of up to two.
package contact

import (
	"slices"
	"strings"
	"time"

	"github.com/springweir/springweir/table"
)

// Limits of the timeout rule.
const (
	// Timeout is how long a VM serves new requests without contact. A lower value lets changes
	// complete sooner despite a dead VM, but makes a VM refuse requests after a shorter pause
	// or partition (docs/design/config.md).
	Timeout = 2 * time.Second
	// RemovalDelay is the time between the last acknowledgement of an exclusion and the
	// removal.
	RemovalDelay = 2 * Timeout
	// MinTimeoutVMs is the smallest roster to which the timeout rule applies.
	MinTimeoutVMs = 3
)

// Table is the name of the table of rosters, with one row for each zone.
const Table = "roster"

// VM is one entry of a roster.
type VM struct {
	// Name is the VM's name on the membership list.
	Name string `json:"name"`
	// Address is the host:port at which its entry process serves peers.
	Address string `json:"address"`
	// HasTimeout is set once the VM is known to follow the timeout rule. Only such a VM may be
	// removed for being unresponsive. In a zone of fewer than MinTimeoutVMs it is cleared once
	// the VM is listed: from then on the membership list decides when the VM is removed.
	HasTimeout bool `json:"lapse,omitempty"`
	// ExcludedAt is the revision at which the VM was excluded; zero means that it is not. No VM
	// confirms an excluded VM as a member.
	ExcludedAt uint64 `json:"shunned_at,omitempty"`
	// Left is set, together with ExcludedAt, by a VM that shuts down as planned.
	Left bool `json:"left,omitempty"`
	// Listed is set once the VM was seen on the membership list. A listed VM that is later
	// missing from the list was removed permanently.
	Listed bool `json:"listed,omitempty"`
}

// Withheld marks an endpoint of the zone that gets no new work, because a planned change is
// about to make it unavailable.
type Withheld struct {
	Endpoint string `json:"endpoint"`
	// Epoch is the revision at which it was withheld.
	Epoch uint64 `json:"epoch"`
}

// Excluded reports whether the VM is excluded.
func (vm VM) Excluded() bool { return vm.ExcludedAt != 0 }

// Roster lists the VMs of a zone that may serve. A Roster is immutable: each change creates a
// new one with a higher revision.
type Roster struct {
	Zone string `json:"zone"`
	// Revision increases by one with each change; zero means no roster.
	Revision uint64 `json:"revision"`
	// WriteID identifies the write that created this revision.
	WriteID string `json:"write_id"`
	// TimeoutSince is the revision since which the roster has always had at least MinTimeoutVMs
	// VMs; zero if it has fewer.
	TimeoutSince uint64 `json:"ruled_since,omitempty"`
	// VMs are sorted by name.
	VMs []VM `json:"vms"`
	// Withheld lists endpoints, sorted by name. It is part of the roster so that every VM that
	// joins, and every process that restarts, has it before it serves.
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

// IsActive reports whether name is on the roster and not excluded.
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

// Except returns the VMs other than name.
func (r Roster) Except(name string) []VM {
	return slices.DeleteFunc(slices.Clone(r.VMs), func(vm VM) bool { return vm.Name == name })
}

// TimeoutAppliesTo reports whether the VM of that name must follow the timeout rule under this
// roster. A VM with HasTimeout keeps following it even when the roster has become small,
// because it may be removed until the mark is cleared.
func (r Roster) TimeoutAppliesTo(name string) bool {
	if len(r.VMs) >= MinTimeoutVMs {
		return true
	}
	vm, ok := r.Find(name)
	return ok && vm.HasTimeout
}

// Join returns the roster with the VM added as an active member.
func (r Roster) Join(zone, name, address string) Roster {
	next := r.next()
	next.Zone = zone
	old, _ := r.Find(name)
	// The joining VM holds this revision, so it follows the timeout rule from the start.
	vm := VM{Name: name, Address: address, Listed: old.Listed, HasTimeout: true}
	next.VMs = append(r.Except(name), vm)
	slices.SortFunc(next.VMs, func(a, b VM) int { return strings.Compare(a.Name, b.Name) })
	next.updateTimeoutSince()
	return next
}

// updateTimeoutSince sets TimeoutSince after a change of the VMs.
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

// Key returns the key of the row that holds a zone's roster.
func Key(zone string) table.Key { return table.Key{Table: Table, Row: zone} }
