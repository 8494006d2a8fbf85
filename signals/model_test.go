package signals

import (
	"fmt"
	"testing"
	"time"

	"github.com/springweir/springweir/loadshare"
)

// The protocol by which VMs hold a share, as a state that is searched through all orders of its steps:
// VMs that hear each other, die, join, are suspended for any time and are cut off. The board is the one
// that serves.

const (
	modelVMs = 3
	// tick is the time of one step; a VM hears the others once in it.
	tick = 500 * time.Millisecond
	// modelSteps is the length of a run, and modelEvents how many disruptions it holds.
	modelSteps  = 16
	modelEvents = 3
	// modelLimit is one share.
	modelLimit = 1.0
	// longAgo is an age, in steps, beyond which nothing changes any more.
	longAgo = 9
)

var modelEndpoint = endpoint("e1", 1)

// modelVM is one VM; ages are in steps.
type modelVM struct {
	dead, suspended bool
	// heard are the ages of the last word of each other VM.
	heard [modelVMs]int
	// live are the members as last set, of that age, by bit; zero before the first time.
	live, liveAge int
	// holds is set for a share, which may be used from so many steps on.
	holds bool
	from  int
	// barred is for how many steps no share may be used.
	barred int
}

type modelState struct {
	vms [modelVMs]modelVM
	// cut is the VM that is cut off from the others, or -1.
	cut    int
	events int
	// calm is the number of steps without a cut and without an event.
	calm int
}

// modelFault changes a point on which the protocol's safety rests.
type modelFault struct{ noHandover, noLapse, noPart bool }

func modelName(i int) string { return string(rune('a' + i)) }

// board builds the board of a VM in a state.
func (v *modelVM) board(i int, now time.Time) *Tracker {
	b := New(Config{VM: modelName(i), Now: func() time.Time { return now }})
	s := b.add(Hash(modelEndpoint), modelEndpoint)
	s.limit.limited, s.limit.perSecond, s.limit.namedAt = true, modelLimit, now
	b.sharesFrom = now.Add(time.Duration(v.barred) * tick)
	if v.live != 0 {
		b.members, b.membersAt = members(v.live), now.Add(-time.Duration(v.liveAge)*tick)
	}
	if v.holds {
		s.limit.share = shareOf(b.cfg.VM, Hash(modelEndpoint), s.zone, b.members, modelLimit)
		s.limit.share.from = now.Add(time.Duration(v.from) * tick)
	}
	return b
}

func members(live int) loadshare.Membership {
	m := loadshare.Membership{Registered: modelVMs}
	for i := range modelVMs {
		if live&(1<<i) != 0 {
			m.Live = append(m.Live, loadshare.Member{Name: modelName(i), Zone: "a"})
		}
	}
	return m
}

// uses is what a VM may send a second now.
func (v *modelVM) uses(i int, fault modelFault) float64 {
	if v.dead || v.suspended {
		return 0
	}
	now := time.Unix(1000, 0)
	b := v.board(i, now)
	if !fault.noLapse {
		b.lapse(now)
	}
	share := b.states[Hash(modelEndpoint)].limit.share
	if share.perSecond == 0 || share.from.After(now) {
		return 0
	}
	if fault.noPart {
		return modelLimit
	}
	return share.perSecond
}

// step lets a step of time pass: VMs hear each other, and look who is there.
func (s modelState) step(fault modelFault) modelState {
	s.calm = min(s.calm+1, longAgo)
	if s.cut >= 0 {
		s.calm = 0
	}
	next := s
	for i := range next.vms {
		v := &next.vms[i]
		v.liveAge = min(v.liveAge+1, longAgo)
		v.from, v.barred = max(v.from-1, 0), max(v.barred-1, 0)
		for j := range v.heard {
			v.heard[j] = min(v.heard[j]+1, longAgo)
			if o := s.vms[j]; !o.dead && !o.suspended && (s.cut < 0 || (i == s.cut) == (j == s.cut)) {
				v.heard[j] = 0
			}
		}
		if !v.dead && !v.suspended {
			v.look(i, fault)
		}
	}
	return next
}

// look sets the members that a VM has heard lately.
func (v *modelVM) look(i int, fault modelFault) {
	live := 1 << i
	for j, age := range v.heard {
		if time.Duration(age)*tick < loadshare.MemberTimeout {
			live |= 1 << j
		}
	}
	now := time.Unix(1000, 0)
	b := v.board(i, now)
	if fault.noLapse {
		b.membersAt = now
	}
	b.SetMembers(members(live))
	share := b.states[Hash(modelEndpoint)].limit.share
	v.live, v.liveAge, v.holds = live, 0, share.perSecond > 0
	v.from = int(max(0, share.from.Sub(now)) / tick)
	v.barred = int(max(0, b.sharesFrom.Sub(now)) / tick)
	if !v.holds || fault.noHandover {
		v.from = 0
	}
	if fault.noHandover {
		v.barred = 0
	}
}

// after returns the states that one event, or none, leads to.
func (s modelState) after() []modelState {
	list := []modelState{s}
	add := func(change func(*modelState)) {
		next := s
		next.events++
		next.calm = 0
		change(&next)
		list = append(list, next)
	}
	for i := range s.vms {
		if v := s.vms[i]; v.suspended { // it may go on at any time
			next := s
			next.vms[i].suspended, next.calm = false, 0
			list = append(list, next)
		}
	}
	if s.cut >= 0 {
		next := s
		next.cut, next.calm = -1, 0
		list = append(list, next)
	}
	if s.events == modelEvents {
		return list
	}
	for i := range s.vms {
		v := s.vms[i]
		if v.dead {
			add(func(n *modelState) {
				n.vms[i] = modelVM{liveAge: longAgo, heard: [modelVMs]int{longAgo, longAgo, longAgo}}
			})
			continue
		}
		add(func(n *modelState) { n.vms[i].dead = true })
		if !v.suspended {
			add(func(n *modelState) { n.vms[i].suspended = true })
		}
		if s.cut < 0 {
			add(func(n *modelState) { n.cut = i })
		}
	}
	return list
}

// broken tells what is wrong with a state.
func (s modelState) broken(fault modelFault) string {
	total, working := 0.0, 0
	for i := range s.vms {
		total += s.vms[i].uses(i, fault)
		if v := s.vms[i]; !v.dead && !v.suspended {
			working++
		}
	}
	switch {
	case total > 1.5*modelLimit:
		return "more than one and a half of the limit is used"
	case s.cut < 0 && s.calm == longAgo && total > modelLimit:
		return "more than the limit is used long after the last event"
	case s.calm == longAgo && 2*working > modelVMs && total < modelLimit:
		return "a part of the limit stands idle long after the last event"
	}
	return ""
}

// search goes through all runs, and returns the first fault found and the number of states.
func search(fault modelFault) (wrong string, states int) {
	start := modelState{cut: -1}
	for i := range start.vms {
		start.vms[i].look(i, fault)
		start.vms[i].from, start.vms[i].barred = 0, 0
	}
	seen := map[modelState]bool{start: true}
	parents := map[modelState]modelState{}
	trace := func(s modelState) (text string) {
		for ; s != start; s = parents[s] {
			text = fmt.Sprintf("\n%+v%s", s, text)
		}
		return text
	}
	front := []modelState{start}
	for range modelSteps {
		var next []modelState
		for _, s := range front {
			for _, changed := range s.after() {
				if wrong := changed.broken(fault); wrong != "" {
					parents[changed] = s
					return wrong + trace(changed), len(seen)
				}
				stepped := changed.step(fault)
				if seen[stepped] {
					continue
				}
				if changed != s {
					parents[changed] = s
				}
				parents[stepped] = changed
				if wrong := stepped.broken(fault); wrong != "" {
					return wrong + trace(stepped), len(seen)
				}
				seen[stepped] = true
				next = append(next, stepped)
			}
		}
		front = next
	}
	return "", len(seen)
}

// No order of deaths, joins, suspensions and partitions makes the VMs use more than they may, or leaves
// the limit idle for good; without a point of the protocol, some order does.
func TestNoOrderOfStepsBreaksALimit(t *testing.T) {
	wrong, states := search(modelFault{})
	if wrong != "" {
		t.Error(wrong)
	}
	t.Logf("%d states", states)
	for name, fault := range map[string]modelFault{
		"no handover":                    {noHandover: true},
		"shares outlast a suspension":    {noLapse: true},
		"a minority uses all of a limit": {noPart: true},
	} {
		if wrong, states := search(fault); wrong == "" {
			t.Errorf("%s: nothing wrong in %d states", name, states)
		} else {
			t.Logf("%s: %s", name, wrong)
		}
	}
}
