package contact

import (
	"slices"
	"time"
)

// ExcludeAfter is how long a VM has to be silent before it is shunned. No safety
// rests on it: shunning a VM that is alive costs its service until it answers.
const ExcludeAfter = time.Second

// UnlistedTimeout is how long a VM that the membership list never showed has to be
// silent before its absence from the list means that it is gone. It rests on
// the platform to show a new VM sooner than that: a VM on the roster started
// before it fell silent, so a list that is read then would have it.
const UnlistedTimeout = 5 * time.Minute

// Observed is what the keeper of a roster knows when it decides.
type Observed struct {
	// Acks holds the answers of this round by VM name.
	Acks map[string]Ack
	// Silent is how long each VM has not answered; zero for one that did.
	UnresponsiveFor map[string]time.Duration
	// Settled names the shunned VMs whose shunning is acknowledged by all
	// others and whose RemovalDelay has passed.
	Removable map[string]bool
	// Listed is the membership list's names, read after the roster; nil when
	// the list could not be read.
	Listed map[string]bool
}

// step is one rule by which a roster changes. It edits the VMs of next, whose
// revision is already that of the change.
type rule func(old Roster, next *Roster, observed Observed)

// steps in order: drops come first, since the marks are judged by the size
// that remains.
var rules = []rule{removeUnlisted, removeExcluded, markListed, markTimeout, readmitResponding, excludeUnresponsive}

// sweepSteps are the rules for the roster of another zone, whose VMs may be
// out of reach from here: only the platform's word counts.
var sweepRules = []rule{removeUnlisted, markListed}

// Decide returns the next roster of the keeper's own zone, and whether it
// differs from old.
func Decide(old Roster, observed Observed) (Roster, bool) { return apply(rules, old, observed) }

// DecideSweep returns the next roster of another zone, and whether it differs.
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

// dropGone drops VMs that the membership list had and has no more: they are
// gone for good. So is one that it never had and that has been silent for
// UnlistedTimeout, such as a VM that came and went while the list was out of reach.
// One that answers is alive, whatever the list says.
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

// dropSettled drops shunned VMs that certainly serve no more. Only a VM known
// to follow the lapse rule stops without contact; one that left has stopped by
// itself, and a new process of it follows the rule until it has joined.
func removeExcluded(_ Roster, next *Roster, observed Observed) {
	next.VMs = slices.DeleteFunc(next.VMs, func(vm VM) bool {
		return vm.Excluded() && observed.Removable[vm.Name] && (vm.HasTimeout || vm.Left)
	})
}

// markListed notes which VMs the membership list has shown.
func markListed(_ Roster, next *Roster, observed Observed) {
	for i := range next.VMs {
		next.VMs[i].Listed = next.VMs[i].Listed || observed.Listed[next.VMs[i].Name]
	}
}

// markLapse notes which VMs follow the lapse rule. A VM follows it for certain
// if it has held a roster since which the zone was never small: whatever it
// holds by now demands the rule. From then on the mark itself binds it. In a
// small zone the marks of listed VMs go off, and each VM stops following the
// rule once it sees that.
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

// unshunAnswering takes back a VM that answers again.
func readmitResponding(_ Roster, next *Roster, observed Observed) {
	for i := range next.VMs {
		vm := &next.VMs[i]
		if _, responded := observed.Acks[vm.Name]; responded && !vm.Left {
			vm.ExcludedAt = 0
		}
	}
}

// shunSilent shuns the one VM that is silent. With two silent no drop could
// complete, as each would have to acknowledge the other's shunning; and a
// keeper that is itself cut off must not shun the zone.
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
