package signals

import (
	"fmt"
	"testing"
	"time"

	"github.com/springweir/springweir/loadshare"
)

// This model check explores all orders of steps of the protocol by which VMs hold shares: VMs
// exchange messages, die, join, are suspended for any time and are partitioned. It runs the Tracker
// that production uses.

const (
	modelVMs = 3
	// tick is the time of one step, in which a VM receives once from each other VM.
	tick = 500 * time.Millisecond
	// modelSteps is the length of a run in steps, and modelEvents the number of disruptions in it.
	modelSteps  = 16
	modelEvents = 3
	// modelLimit, in requests per second, is small enough for a single holder.
	modelLimit = 1.0
	// maxAge is an age, in steps, beyond which nothing changes.
	maxAge = 9
)

var modelEndpoint = endpoint("e1", 1)

// modelVM is the state of one VM; ages are in steps.
type modelVM struct {
	dead, suspended bool
	// messageAge is the age of the last message from each other VM.
	messageAge [modelVMs]int
	// live is the membership as last set, one bit per VM, and liveAge its age; live is zero before
	// the first time.
	live, liveAge int
	// holdsShare is set if the VM holds a share, which is usable in usableIn steps.
	holdsShare bool
	usableIn   int
	// blockedFor is the number of steps for which no share may be used.
	blockedFor int
}

type modelState struct {
	vms [modelVMs]modelVM
	// isolated is the VM that is partitioned from the others, or -1.
	isolated int
	events   int
	// stableSteps is the number of steps without a partition and without an event.
	stableSteps int
}

// modelFault disables a rule that the protocol's safety depends on.
type modelFault struct{ noHandover, noExpiry, noScaling bool }

func modelName(i int) string { return string(rune('a' + i)) }

// tracker builds the Tracker of a VM in its current state.
func (v *modelVM) tracker(i int, now time.Time) *Tracker {
	tracker := New(Config{VM: modelName(i), Now: func() time.Time { return now }})
	s := tracker.addState(Hash(modelEndpoint), modelEndpoint)
	s.limit.limited, s.limit.perSecond, s.limit.reportedAt = true, modelLimit, now
	tracker.sharesUsableFrom = now.Add(time.Duration(v.blockedFor) * tick)
	if v.live != 0 {
		tracker.members, tracker.membersConfirmedAt = membershipOf(v.live), now.Add(-time.Duration(v.liveAge)*tick)
	}
	if v.holdsShare {
		s.limit.share = shareOf(tracker.cfg.VM, Hash(modelEndpoint), s.zone, tracker.members, modelLimit)
		s.limit.share.usableFrom = now.Add(time.Duration(v.usableIn) * tick)
	}
	return tracker
}

func membershipOf(live int) loadshare.Membership {
	m := loadshare.Membership{Registered: modelVMs}
	for i := range modelVMs {
		if live&(1<<i) != 0 {
			m.Live = append(m.Live, loadshare.Member{Name: modelName(i), Zone: "a"})
		}
	}
	return m
}

// usableRate returns how many requests per second a VM may send now.
func (v *modelVM) usableRate(i int, fault modelFault) float64 {
	if v.dead || v.suspended {
		return 0
	}
	now := time.Unix(1000, 0)
	tracker := v.tracker(i, now)
	if !fault.noExpiry {
		tracker.expireShares(now)
	}
	share := tracker.states[Hash(modelEndpoint)].limit.share
	if share.perSecond == 0 || share.usableFrom.After(now) {
		return 0
	}
	if fault.noScaling {
		return modelLimit
	}
	return share.perSecond
}

// step advances the model by one tick: VMs receive from each other and update their membership.
func (s modelState) step(fault modelFault) modelState {
	s.stableSteps = min(s.stableSteps+1, maxAge)
	if s.isolated >= 0 {
		s.stableSteps = 0
	}
	next := s
	for i := range next.vms {
		v := &next.vms[i]
		v.liveAge = min(v.liveAge+1, maxAge)
		v.usableIn, v.blockedFor = max(v.usableIn-1, 0), max(v.blockedFor-1, 0)
		for j := range v.messageAge {
			v.messageAge[j] = min(v.messageAge[j]+1, maxAge)
			if o := s.vms[j]; !o.dead && !o.suspended && (s.isolated < 0 || (i == s.isolated) == (j == s.isolated)) {
				v.messageAge[j] = 0
			}
		}
		if !v.dead && !v.suspended {
			v.updateMembership(i, fault)
		}
	}
	return next
}

// updateMembership sets as live the VMs from which a message arrived recently.
func (v *modelVM) updateMembership(i int, fault modelFault) {
	live := 1 << i
	for j, age := range v.messageAge {
		if time.Duration(age)*tick < loadshare.MemberTimeout {
			live |= 1 << j
		}
	}
	now := time.Unix(1000, 0)
	tracker := v.tracker(i, now)
	if fault.noExpiry {
		tracker.membersConfirmedAt = now
	}
	tracker.SetMembers(membershipOf(live))
	share := tracker.states[Hash(modelEndpoint)].limit.share
	v.live, v.liveAge, v.holdsShare = live, 0, share.perSecond > 0
	v.usableIn = int(max(0, share.usableFrom.Sub(now)) / tick)
	v.blockedFor = int(max(0, tracker.sharesUsableFrom.Sub(now)) / tick)
	if !v.holdsShare || fault.noHandover {
		v.usableIn = 0
	}
	if fault.noHandover {
		v.blockedFor = 0
	}
}

// successors returns the states reachable by one event, and the unchanged state.
func (s modelState) successors() []modelState {
	list := []modelState{s}
	add := func(change func(*modelState)) {
		next := s
		next.events++
		next.stableSteps = 0
		change(&next)
		list = append(list, next)
	}
	for i := range s.vms {
		if v := s.vms[i]; v.suspended { // it may resume at any time
			next := s
			next.vms[i].suspended, next.stableSteps = false, 0
			list = append(list, next)
		}
	}
	if s.isolated >= 0 {
		next := s
		next.isolated, next.stableSteps = -1, 0
		list = append(list, next)
	}
	if s.events == modelEvents {
		return list
	}
	for i := range s.vms {
		v := s.vms[i]
		if v.dead {
			add(func(n *modelState) {
				n.vms[i] = modelVM{liveAge: maxAge, messageAge: [modelVMs]int{maxAge, maxAge, maxAge}}
			})
			continue
		}
		add(func(n *modelState) { n.vms[i].dead = true })
		if !v.suspended {
			add(func(n *modelState) { n.vms[i].suspended = true })
		}
		if s.isolated < 0 {
			add(func(n *modelState) { n.isolated = i })
		}
	}
	return list
}

// violation describes the invariant that a state violates; empty if there is none.
func (s modelState) violation(fault modelFault) string {
	total, running := 0.0, 0
	for i := range s.vms {
		total += s.vms[i].usableRate(i, fault)
		if v := s.vms[i]; !v.dead && !v.suspended {
			running++
		}
	}
	switch {
	case total > 1.5*modelLimit:
		return "more than one and a half times the limit is used"
	case s.isolated < 0 && s.stableSteps == maxAge && total > modelLimit:
		return "more than the limit is used long after the last event"
	case s.stableSteps == maxAge && 2*running > modelVMs && total < modelLimit:
		return "part of the limit is unused long after the last event"
	}
	return ""
}

// explore searches all runs. It returns the first violation with its trace, and the number of
// states.
func explore(fault modelFault) (violation string, states int) {
	start := modelState{isolated: -1}
	for i := range start.vms {
		start.vms[i].updateMembership(i, fault)
		start.vms[i].usableIn, start.vms[i].blockedFor = 0, 0
	}
	seen := map[modelState]bool{start: true}
	parents := map[modelState]modelState{}
	trace := func(s modelState) (text string) {
		for ; s != start; s = parents[s] {
			text = fmt.Sprintf("\n%+v%s", s, text)
		}
		return text
	}
	frontier := []modelState{start}
	for range modelSteps {
		var next []modelState
		for _, s := range frontier {
			for _, changed := range s.successors() {
				if violation := changed.violation(fault); violation != "" {
					parents[changed] = s
					return violation + trace(changed), len(seen)
				}
				stepped := changed.step(fault)
				if seen[stepped] {
					continue
				}
				if changed != s {
					parents[changed] = s
				}
				parents[stepped] = changed
				if violation := stepped.violation(fault); violation != "" {
					return violation + trace(stepped), len(seen)
				}
				seen[stepped] = true
				next = append(next, stepped)
			}
		}
		frontier = next
	}
	return "", len(seen)
}

// No order of deaths, joins, suspensions and partitions makes the VMs exceed a limit, or leaves it
// permanently unused. With a rule of the protocol disabled, some order does.
func TestLimitHoldsUnderAllEventOrders(t *testing.T) {
	violation, states := explore(modelFault{})
	if violation != "" {
		t.Error(violation)
	}
	t.Logf("%d states", states)
	for name, fault := range map[string]modelFault{
		"no handover":                    {noHandover: true},
		"shares survive a suspension":    {noExpiry: true},
		"a minority uses all of a limit": {noScaling: true},
	} {
		if violation, states := explore(fault); violation == "" {
			t.Errorf("%s: no violation in %d states", name, states)
		} else {
			t.Logf("%s: %s", name, violation)
		}
	}
}
