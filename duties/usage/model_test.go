package usage

import "testing"

// The protocol by which a window is reported, as a state that is searched through all orders of its
// steps: two VMs that take turns as the lease's holder, a store that loses answers, carries writes out
// late and comes back from a copy, a platform that takes reports. It is a model of Reporter's steps
// (settle, agree, find, advance), not the code itself; each fault takes away one point of it.

const (
	modelVMs = 2
	// modelTenures bounds how often the lease changes hands.
	modelTenures = 3
	// noSum is a sum that there is none of. The window's true sum is one at first and two in the end.
	noSum = 0
)

// modelReporter is one VM.
type modelReporter struct {
	// fence is that of its tenure, zero without one.
	fence int
	// agreed is the sum that it knows to be agreed on.
	agreed int
	// done is set once it has reported the window, or given it up.
	done bool
}

// modelWrite is a write of a sum, or a report of one, that is on its way.
type modelWrite struct{ sum, fence, epoch int }

type modelState struct {
	vms [modelVMs]modelReporter
	// sum is what all accounts hold now.
	sum int
	// holder is the VM that has the lease, or -1; fence the number of its tenure.
	holder, fence int
	// row is the sum that the store holds, and epoch how often it came back from a copy.
	row, epoch int
	write      modelWrite
	reports    [modelVMs]modelWrite
	// accepted is the sum that the platform took, highest the highest fence that it saw.
	accepted, highest int
	broken            string
}

// modelFault is a point of the protocol that is taken away.
type modelFault struct {
	// noAgreement reports a sum without writing it first, ownSum reports the own sum though another
	// stands in the store, noEpoch trusts a store that has come back, and late lets a report arrive
	// after its tenure.
	noAgreement, ownSum, noEpoch, late bool
}

// accept lets a report reach the platform.
func (s *modelState) accept(r modelWrite) {
	switch {
	case r.fence < s.highest:
		s.broken = "a report of an earlier tenure came after one of a later"
	case s.accepted != noSum && s.accepted != r.sum:
		s.broken = "a window was reported with two sums"
	}
	s.accepted, s.highest = r.sum, max(s.highest, r.fence)
}

// apply lets a write reach the store, and tells whether it took it: the sum is the first, the lease is
// held by the same tenure, and the store has not come back since.
func (s *modelState) apply(w modelWrite) bool {
	if s.row != noSum || w.epoch != s.epoch || s.holder < 0 || w.fence != s.fence {
		return false
	}
	s.row = w.sum
	return true
}

// after returns the states that one step leads to.
func (s modelState) after(fault modelFault) []modelState {
	var list []modelState
	add := func(change func(*modelState)) {
		next := s
		change(&next)
		list = append(list, next)
	}
	if s.sum == 1 {
		add(func(n *modelState) { n.sum = 2 }) // a VM's last count comes
	}
	if s.holder >= 0 {
		add(func(n *modelState) { // the lease lapses; what was sent under it ends
			if !fault.late {
				n.reports[n.holder] = modelWrite{}
			}
			n.vms[n.holder].fence, n.holder = 0, -1
		})
	}
	if s.epoch == 0 {
		add(func(n *modelState) { n.epoch, n.row = 1, noSum })
	}
	if s.write != (modelWrite{}) {
		add(func(n *modelState) { n.apply(n.write); n.write = modelWrite{} }) // late, its answer lost
		add(func(n *modelState) { n.write = modelWrite{} })
	}
	for i := range s.vms {
		if s.reports[i] != (modelWrite{}) {
			add(func(n *modelState) { n.accept(n.reports[i]); n.reports[i] = modelWrite{} })
			add(func(n *modelState) { n.reports[i] = modelWrite{} })
		}
		list = append(list, s.steps(i, fault)...)
	}
	return list
}

// steps are those of one VM.
func (s modelState) steps(i int, fault modelFault) []modelState {
	var list []modelState
	add := func(change func(*modelState, *modelReporter)) {
		next := s
		change(&next, &next.vms[i])
		list = append(list, next)
	}
	v := s.vms[i]
	add(func(n *modelState, me *modelReporter) { // it dies and starts again
		if n.holder == i {
			n.holder = -1
		}
		if !fault.late {
			n.reports[i] = modelWrite{}
		}
		*me = modelReporter{}
	})
	if s.holder < 0 && s.fence < modelTenures {
		add(func(n *modelState, me *modelReporter) {
			n.fence++
			n.holder, me.fence = i, n.fence
		})
	}
	if s.holder != i || v.done {
		return list
	}
	if v.agreed != noSum {
		add(func(n *modelState, me *modelReporter) { n.reports[i] = modelWrite{sum: me.agreed, fence: me.fence} })
		return list
	}
	return append(list, s.settles(i, fault)...)
}

// settles are the steps of a holder that knows no sum that was agreed on.
func (s modelState) settles(i int, fault modelFault) []modelState {
	var list []modelState
	add := func(change func(*modelState, *modelReporter)) {
		next := s
		change(&next, &next.vms[i])
		list = append(list, next)
	}
	if s.epoch > 0 && !fault.noEpoch {
		add(func(n *modelState, me *modelReporter) { me.agreed, me.done = n.row, n.row == noSum })
		return list
	}
	for sum := 1; sum <= s.sum; sum++ { // a keeper that does not answer leaves a part out
		if fault.noAgreement {
			add(func(_ *modelState, me *modelReporter) { me.agreed = sum })
			continue
		}
		w := modelWrite{sum: sum, fence: s.fence, epoch: s.epoch}
		add(func(n *modelState, _ *modelReporter) { n.write = w }) // its answer does not come
		add(func(n *modelState, me *modelReporter) {
			switch {
			case n.apply(w), fault.ownSum:
				me.agreed = sum
			default:
				me.agreed = n.row
			}
		})
	}
	return list
}

// search goes through all runs, and returns what broke first and the number of states.
func search(fault modelFault) (broken string, states int) {
	start := modelState{sum: 1, holder: -1}
	seen := map[modelState]bool{start: true}
	for front := []modelState{start}; len(front) > 0; {
		var next []modelState
		for _, s := range front {
			for _, n := range s.after(fault) {
				if n.broken != "" {
					return n.broken, len(seen)
				}
				if !seen[n] {
					seen[n] = true
					next = append(next, n)
				}
			}
		}
		front = next
	}
	return "", len(seen)
}

// No order of steps reports a window with two sums, or lets a report of an earlier tenure come after a
// later one's; without a point of the protocol, some order does.
func TestNoOrderOfStepsReportsTwoSums(t *testing.T) {
	broken, states := search(modelFault{})
	if broken != "" {
		t.Error(broken)
	}
	t.Logf("%d states", states)
	for name, fault := range map[string]modelFault{
		"nothing is agreed on":                 {noAgreement: true},
		"another's sum is ignored":             {ownSum: true},
		"a store that came back is trusted":    {noEpoch: true},
		"a report may arrive after its tenure": {late: true},
	} {
		if broken, states := search(fault); broken == "" {
			t.Errorf("%s: nothing broke in %d states", name, states)
		} else {
			t.Logf("%s: %s", name, broken)
		}
	}
}
