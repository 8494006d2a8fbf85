// Package reach sends requests to endpoints, directly or through another VM.
//
// A VM may lose the way to endpoints that other VMs reach. The Tracker records the endpoints whose
// direct path is broken, and which VMs to ask instead. It is a pure state machine over times passed
// in by the caller. The Client sends a request directly if it can, otherwise through another VM, and
// checks in the background whether broken paths have healed.
package reach

import (
	"maps"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/hop"
	"github.com/springweir/springweir/loadshare"
)

const (
	// minImpaired is the number of broken paths from which a VM is impaired. One may be a fault of the
	// endpoint's.
	minImpaired = 2
	// impairedTTL is how long a VM counts as impaired after its last report.
	impairedTTL = loadshare.TTL
	// unreachedTTL is how long a VM that did not reach an endpoint is not asked for it again.
	unreachedTTL = time.Second
	// allUnreachedTTL is how long no VM is asked for an endpoint after those that were asked did not
	// reach it.
	allUnreachedTTL = 300 * time.Millisecond
	// unresponsiveTTL is how long a VM that could not be reached itself is not asked, or after the others if it refused or
	// reset the connection.
	unresponsiveTTL = time.Second
	// answeredTTL is how long a VM that has answered is not taken for silent.
	answeredTTL = loadshare.MemberTimeout
	// justAnsweredTTL is how long a VM that has answered need not show again that it is responsive.
	justAnsweredTTL = 20 * time.Millisecond
	// busyTTL is how long a VM that passes on too many requests is not asked.
	busyTTL = 100 * time.Millisecond
	// unknownTTL is how long a VM that does not know an endpoint, as it has just started, is not asked for it.
	unknownTTL = 100 * time.Millisecond
	// stoppingTTL is how long a VM that is about to stop is asked after the others. By then it has stopped.
	stoppingTTL = 10 * time.Second
	// minCheckInterval is the time until a broken path is checked for the first time. It doubles with
	// each failed check up to maxCheckInterval.
	minCheckInterval = 250 * time.Millisecond
	maxCheckInterval = time.Second
)

// VM is another VM that may pass requests on.
type VM struct {
	hop.Peer
	Zone string
	// Silent is set if no datagrams of the VM arrive. It may serve requests nonetheless.
	Silent bool
}

// path is the broken direct path to one incarnation of an endpoint.
type path struct {
	endpoint *directory.Endpoint
	// silent is set if connections are accepted and carry nothing.
	silent bool
	// checkAt is when the path is to be checked next, and interval the time between checks.
	checkAt  time.Time
	interval time.Duration
}

// avoidance identifies what a VM, or any if it is empty, is not asked for: requests to one endpoint, or to
// all if it is empty.
type avoidance struct{ vm, endpoint string }

// Tracker records broken paths and the VMs that may help. It is not safe for concurrent use.
type Tracker struct {
	zone string
	// broken holds the broken paths by the incarnation of the endpoint.
	broken map[string]*path
	// impaired holds the VMs that reported to be impaired, by the hash of their names, and when.
	impaired map[uint32]time.Time
	// avoided holds what VMs are not asked for, and until when.
	avoided map[avoidance]time.Time
	// demoted holds the VMs that are asked after others, by name, and until when.
	demoted map[string]time.Time
	// answered holds when VMs last answered, by name.
	answered map[string]time.Time
	// heard holds when endpoints last responded to this VM, and checked when that was last checked, by their incarnation.
	heard, checked map[string]time.Time
}

// NewTracker returns the tracker of a VM in an availability zone. All paths are open.
func NewTracker(zone string) *Tracker {
	return &Tracker{
		zone: zone, broken: map[string]*path{}, impaired: map[uint32]time.Time{}, avoided: map[avoidance]time.Time{},
		demoted: map[string]time.Time{}, answered: map[string]time.Time{}, heard: map[string]time.Time{}, checked: map[string]time.Time{},
	}
}

// Broken reports whether the direct path to an endpoint is broken.
func (t *Tracker) Broken(e *directory.Endpoint) bool {
	return len(t.broken) > 0 && t.broken[e.Incarnation()] != nil
}

// SetBroken records that the direct path to an endpoint is broken. It reports whether that is new.
func (t *Tracker) SetBroken(now time.Time, e *directory.Endpoint) bool {
	if t.Broken(e) {
		return false
	}
	t.broken[e.Incarnation()] = &path{endpoint: e, checkAt: now.Add(minCheckInterval), interval: minCheckInterval}
	return true
}

// SetSilent records that connections to an endpoint carry nothing. It reports whether that is new.
func (t *Tracker) SetSilent(now time.Time, e *directory.Endpoint) bool {
	isNew := t.SetBroken(now, e)
	t.broken[e.Incarnation()].silent = true
	return isNew
}

// SetResponds records that an endpoint responds, so that an open connection shows that its path is open.
func (t *Tracker) SetResponds(e *directory.Endpoint) {
	if p := t.broken[e.Incarnation()]; p != nil {
		p.silent = false
	}
}

// Silent reports whether connections to an endpoint carry nothing.
func (t *Tracker) Silent(e *directory.Endpoint) bool {
	p := t.broken[e.Incarnation()]
	return p != nil && p.silent
}

// AnySilent reports whether connections to any endpoint carry nothing.
func (t *Tracker) AnySilent() bool {
	for _, p := range t.broken {
		if p.silent {
			return true
		}
	}
	return false
}

// SetHeard records that an endpoint has responded to this VM.
func (t *Tracker) SetHeard(now time.Time, e *directory.Endpoint) { t.heard[e.Incarnation()] = now }

// MayCheck reports whether to check now if an endpoint responds, and records that: not if it has responded within
// silenceLimit, nor if it was checked within silenceCheckInterval.
func (t *Tracker) MayCheck(now time.Time, e *directory.Endpoint) bool {
	incarnation := e.Incarnation()
	if t.Broken(e) || now.Sub(t.heard[incarnation]) < silenceLimit || now.Sub(t.checked[incarnation]) < silenceCheckInterval {
		return false
	}
	t.checked[incarnation] = now
	return true
}

// SetOpen records that the direct path to an endpoint is open. It reports whether it was broken; the
// others of its zone may have healed too and are checked at once.
func (t *Tracker) SetOpen(now time.Time, e *directory.Endpoint) bool {
	if !t.Broken(e) {
		return false
	}
	t.Forget(e)
	for _, p := range t.broken {
		if p.endpoint.Zone == e.Zone && p.checkAt.After(now) {
			p.checkAt, p.interval = now, minCheckInterval
		}
	}
	return true
}

// Forget removes what is known of the direct path to an endpoint.
func (t *Tracker) Forget(e *directory.Endpoint) { delete(t.broken, e.Incarnation()) }

// NumBroken returns the number of broken paths.
func (t *Tracker) NumBroken() int { return len(t.broken) }

// Impaired reports whether the VM does not reach several endpoints, so that others should be asked
// first to pass requests on.
func (t *Tracker) Impaired() bool { return len(t.broken) >= minImpaired }

// BrokenInZone returns the endpoints of a zone to which the path is broken.
func (t *Tracker) BrokenInZone(zone string) []*directory.Endpoint {
	var list []*directory.Endpoint
	for _, p := range t.broken {
		if p.endpoint.Zone == zone {
			list = append(list, p.endpoint)
		}
	}
	return list
}

// Due returns at most limit endpoints whose paths are to be checked now, and schedules their next
// checks.
func (t *Tracker) Due(now time.Time, limit int) []*directory.Endpoint {
	var due []*directory.Endpoint
	for _, p := range t.broken {
		if len(due) == limit {
			break
		}
		if now.Before(p.checkAt) {
			continue
		}
		p.interval = min(2*p.interval, maxCheckInterval)
		p.checkAt = now.Add(p.interval)
		due = append(due, p.endpoint)
	}
	return due
}

// Retain removes the paths to endpoints that are not registered any more, and what has expired.
func (t *Tracker) Retain(now time.Time, registered func(*directory.Endpoint) bool) {
	for incarnation, p := range t.broken {
		if !registered(p.endpoint) {
			delete(t.broken, incarnation)
		}
	}
	maps.DeleteFunc(t.avoided, func(_ avoidance, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(t.demoted, func(_ string, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(t.impaired, func(_ uint32, at time.Time) bool { return now.Sub(at) >= impairedTTL })
	maps.DeleteFunc(t.answered, func(_ string, at time.Time) bool { return now.Sub(at) >= answeredTTL })
	maps.DeleteFunc(t.heard, func(_ string, at time.Time) bool { return now.Sub(at) >= silenceLimit })
	maps.DeleteFunc(t.checked, func(_ string, at time.Time) bool { return now.Sub(at) >= silenceCheckInterval })
}

// ReceiveImpaired records a report of VMs that are impaired.
func (t *Tracker) ReceiveImpaired(now time.Time, hashes []uint32) {
	for _, hash := range hashes {
		t.impaired[hash] = now
	}
}

// Demote records that a VM is asked after others for a time: it did not help, but may any moment.
func (t *Tracker) Demote(now time.Time, vm string, ttl time.Duration) { t.demoted[vm] = now.Add(ttl) }

// SetHelped records that a VM has reached an endpoint.
func (t *Tracker) SetHelped(vm string) { delete(t.demoted, vm) }

func (t *Tracker) isDemoted(now time.Time, vm VM) bool { return now.Before(t.demoted[vm.Name]) }

// SetAnswered records that a VM has answered this one.
func (t *Tracker) SetAnswered(now time.Time, vm string) { t.answered[vm] = now }

// JustAnswered reports whether a VM has answered within justAnsweredTTL.
func (t *Tracker) JustAnswered(now time.Time, vm string) bool {
	at, answered := t.answered[vm]
	return answered && now.Sub(at) < justAnsweredTTL
}

// isSilent reports whether nothing shows that a VM is responsive.
func (t *Tracker) isSilent(now time.Time, vm VM) bool {
	at, answered := t.answered[vm.Name]
	return vm.Silent && !(answered && now.Sub(at) < answeredTTL)
}

// Avoid records that a VM is not asked for an endpoint, or for any if e is nil, for a time.
func (t *Tracker) Avoid(now time.Time, vm string, e *directory.Endpoint, ttl time.Duration) {
	t.avoided[avoidanceOf(vm, e)] = now.Add(ttl)
}

// RecentlyUnreached reports whether all VMs are avoided for an endpoint.
func (t *Tracker) RecentlyUnreached(now time.Time, e *directory.Endpoint) bool {
	return now.Before(t.avoided[avoidanceOf("", e)])
}

func avoidanceOf(vm string, e *directory.Endpoint) avoidance {
	if e == nil {
		return avoidance{vm: vm}
	}
	return avoidance{vm: vm, endpoint: e.Incarnation()}
}

// Choose returns at most n of the VMs to ask, one after the other, to pass a request to an endpoint:
// in turn one of this zone, one of the endpoint's and one of another, since the VMs of a zone may
// have lost the way to the endpoint together, then impaired, demoted and silent ones. The VMs of a
// group keep their order.
func (t *Tracker) Choose(now time.Time, e *directory.Endpoint, vms []VM, n int) []VM {
	var groups [numGroups][]VM
	for _, vm := range vms {
		if t.isAvoided(now, vm, e) {
			continue
		}
		g := t.groupOf(now, e, vm)
		groups[g] = append(groups[g], vm)
	}
	chosen := interleave(n, groups[:impairedVMs])
	for _, last := range groups[impairedVMs:] {
		chosen = append(chosen, last[:min(len(last), n-len(chosen))]...)
	}
	return chosen
}

// isAvoided reports whether a VM is not asked for an endpoint now.
func (t *Tracker) isAvoided(now time.Time, vm VM, e *directory.Endpoint) bool {
	return now.Before(t.avoided[avoidanceOf(vm.Name, nil)]) || now.Before(t.avoided[avoidanceOf(vm.Name, e)])
}

// candidates counts the VMs that may be asked for an endpoint, for the log.
type candidates struct {
	// known is the number of all. silent, demoted, avoided and impaired ones are counted once, in this order.
	known, silent, demoted, avoided, impaired int
}

// count counts VMs by what keeps them from being asked for an endpoint.
func (t *Tracker) count(now time.Time, e *directory.Endpoint, vms []VM) candidates {
	c := candidates{known: len(vms)}
	for _, vm := range vms {
		switch {
		case t.isSilent(now, vm):
			c.silent++
		case t.isDemoted(now, vm):
			c.demoted++
		case t.isAvoided(now, vm, e):
			c.avoided++
		case t.isImpaired(now, vm.Name):
			c.impaired++
		}
	}
	return c
}

// interleave returns the first n elements of the lists, taken in turn.
func interleave(n int, lists [][]VM) []VM {
	var chosen []VM
	for i, more := 0, true; more; i++ {
		more = false
		for _, list := range lists {
			if i < len(list) && len(chosen) < n {
				chosen, more = append(chosen, list[i]), true
			}
		}
	}
	return chosen
}

// The groups of VMs in the order in which they are asked.
const (
	ownZone = iota
	endpointZone
	otherZones
	impairedVMs
	demotedVMs
	silentVMs
	numGroups
)

func (t *Tracker) groupOf(now time.Time, e *directory.Endpoint, vm VM) int {
	switch {
	case t.isSilent(now, vm):
		return silentVMs
	case t.isDemoted(now, vm):
		return demotedVMs
	case t.isImpaired(now, vm.Name):
		return impairedVMs
	case vm.Zone == t.zone:
		return ownZone
	case vm.Zone == e.Zone:
		return endpointZone
	}
	return otherZones
}

// isImpaired reports whether a VM has reported to be impaired.
func (t *Tracker) isImpaired(now time.Time, vm string) bool {
	at, reported := t.impaired[loadshare.Hash(vm)]
	return reported && now.Sub(at) < impairedTTL
}
