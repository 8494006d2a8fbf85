package contact

import (
	"slices"
	"time"
)

// ExcludeAfter is how long a VM must be unresponsive before it is excluded. Safety does not
// depend on it: a VM that is excluded while it runs stops serving until it responds.
const ExcludeAfter = time.Second

// UnlistedTimeout is how long a VM that was never seen on the membership list must be
// unresponsive before its absence from the list means that it was removed. It relies on the
// platform to list a new VM sooner than that: a VM on the roster started before it became
// unresponsive, so a list read after this time would contain it.
const UnlistedTimeout = 5 * time.Minute

// Observed is the input of the reconciler's decision about a roster.
type Observed struct {
	// Acks holds the responses of this round by VM name.
	Acks map[string]Ack
	// UnresponsiveFor is how long each VM has not responded; a VM that did respond has no
	// entry.
	UnresponsiveFor map[string]time.Duration
	// Removable names the excluded VMs whose exclusion all others have acknowledged and for
	// which RemovalDelay has passed since.
	Removable map[string]bool
	// Listed holds the names on the membership list, read after the roster; nil when the list
	// could not be read.
	Listed map[string]bool
}

// rule is one rule by which a roster changes. It edits the VMs of next, whose revision is
// already that of the change.
type rule func(old Roster, next *Roster, observed Observed)

// rules are applied in this order: removals come first, because markTimeout depends on the
// number of VMs that remain.
var rules = []rule{removeUnlisted, removeExcluded, markListed, markTimeout, readmitResponding, excludeUnresponsive}

// sweepRules apply to the rosters of other zones, whose VMs may be unreachable from here. They
// use only the platform's membership list.
var sweepRules = []rule{removeUnlisted, markListed}

// Decide returns the next roster of the reconciler's zone, and whether its VMs differ from old.
func Decide(old Roster, observed Observed) (Roster, bool) { return apply(rules, old, observed) }

// DecideSweep returns the next roster of another zone, and whether its VMs differ from old.
func DecideSweep(old Roster, observed Observed) (Roster, bool) {
	return apply(sweepRules, old, observed)
}

func apply(rules []rule, old Roster, observed Observed) (Roster, bool) {
	next := old.next()
	next.VMs = slices.Clone(old.VMs)
	for _, s := range rules {
		s(old, &next, observed)
		next.updateTimeoutSince()
	}
	return next, !slices.Equal(old.VMs, next.VMs)
}

// removeUnlisted removes VMs that were on the membership list and no longer are, since they
// were removed permanently. It also removes a VM that was never on the list and has been
// unresponsive for UnlistedTimeout, such as one that came and went while the list was
// unavailable. A VM that responds is alive, whatever the list contains.
func removeUnlisted(_ Roster, next *Roster, observed Observed) {
	if observed.Listed == nil {
		return
	}
	next.VMs = slices.DeleteFunc(next.VMs, func(vm VM) bool {
		_, responded := observed.Acks[vm.Name]
		removable := vm.Listed || observed.UnresponsiveFor[vm.Name] >= UnlistedTimeout
		return removable && !observed.Listed[vm.Name] && !responded
	})
}

// removeExcluded removes excluded VMs that certainly no longer serve. Only a VM known to follow
// the timeout rule stops serving without contact. A VM that left has stopped by itself, and a
// new process on it follows the rule until it has joined.
func removeExcluded(_ Roster, next *Roster, observed Observed) {
	next.VMs = slices.DeleteFunc(next.VMs, func(vm VM) bool {
		return vm.Excluded() && observed.Removable[vm.Name] && (vm.HasTimeout || vm.Left)
	})
}

// markListed records which VMs the membership list has shown.
func markListed(_ Roster, next *Roster, observed Observed) {
	for i := range next.VMs {
		next.VMs[i].Listed = next.VMs[i].Listed || observed.Listed[next.VMs[i].Name]
	}
}

// markTimeout records which VMs follow the timeout rule. A VM certainly follows it once it has
// held a roster since which the zone was never small, because every roster it can hold from
// then on demands the rule. After that HasTimeout itself binds the VM. In a small zone
// HasTimeout is cleared for listed VMs, and each VM stops following the rule once it receives
// that roster.
func markTimeout(old Roster, next *Roster, observed Observed) {
	for i := range next.VMs {
		vm := &next.VMs[i]
		if next.TimeoutSince == 0 {
			vm.HasTimeout = vm.HasTimeout && (vm.Excluded() || !vm.Listed)
			continue
		}
		ack, responded := observed.Acks[vm.Name]
		if responded && old.TimeoutSince != 0 && ack.Roster >= old.TimeoutSince {
			vm.HasTimeout = true
		}
	}
}

// readmitResponding ends the exclusion of a VM that responds again, unless it left.
func readmitResponding(_ Roster, next *Roster, observed Observed) {
	for i := range next.VMs {
		vm := &next.VMs[i]
		if _, responded := observed.Acks[vm.Name]; responded && !vm.Left {
			vm.ExcludedAt = 0
		}
	}
}

// excludeUnresponsive excludes the only VM that is unresponsive. With two unresponsive VMs no
// removal could complete, as each would have to acknowledge the exclusion of the other; and a
// reconciler that is itself partitioned must not exclude the whole zone.
func excludeUnresponsive(_ Roster, next *Roster, observed Observed) {
	unresponsive := -1
	for i, vm := range next.VMs {
		if _, responded := observed.Acks[vm.Name]; responded {
			continue
		}
		if unresponsive >= 0 {
			return
		}
		unresponsive = i
	}
	if unresponsive < 0 {
		return
	}
	vm := &next.VMs[unresponsive]
	if vm.HasTimeout && !vm.Excluded() && observed.UnresponsiveFor[vm.Name] >= ExcludeAfter {
		vm.ExcludedAt = next.Revision
	}
}
