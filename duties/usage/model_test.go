package usage

import "testing"

// Model of the protocol that reports a window, searched exhaustively over all orders of its steps.
// It consists of two VMs that hold the lease in turn; a store that loses responses, applies writes
// late and is restored from a backup; and a platform that accepts reports. It models the steps of
// Reporter (resolveSum, commitSum, readCommitted, advance) rather than running its code. Each fault
// removes one safeguard of the protocol.

const (
	modelVMs = 2
	// modelTenures is the maximum number of tenures.
	modelTenures = 3
	// noSum stands for no sum. The sum of the window is 1 at first and 2 in the end.
	noSum = 0
)

// modelReporter is the state of one VM.
type modelReporter struct {
	// fence is the fencing token of the VM's tenure, or zero if it does not hold the lease.
	fence int
	// committed is the sum that the VM knows to be committed.
	committed int
	// done is set once the VM has reported the window or given it up.
	done bool
}

// modelWrite is a write or a report of a sum that is in flight.
type modelWrite struct{ sum, fence, epoch int }

type modelState struct {
	vms [modelVMs]modelReporter
	// sum is the current sum of all accounts.
	sum int
	// holder is the VM that holds the lease, or -1, and fence the number of tenures so far.
	holder, fence int
	// row is the stored sum, and epoch the number of restores of the store.
	row, epoch int
	write      modelWrite
	reports    [modelVMs]modelWrite
	// accepted is the sum accepted by the platform, and highest the highest fencing token that it
	// has seen.
	accepted, highest int
	violation         string
}

// modelFault selects safeguards of the protocol that are removed.
type modelFault struct {
	// noCommit reports a sum without writing it first, ignoreStored reports the local sum although
	// another one is stored, ignoreEpoch trusts a restored store, and lateReports lets a report
	// arrive after its tenure.
	noCommit, ignoreStored, ignoreEpoch, lateReports bool
}

// accept delivers a report to the platform.
func (s *modelState) accept(r modelWrite) {
	switch {
	case r.fence < s.highest:
		s.violation = "a report of an earlier tenure arrived after one of a later tenure"
	case s.accepted != noSum && s.accepted != r.sum:
		s.violation = "a window was reported with two different sums"
	}
	s.accepted, s.highest = r.sum, max(s.highest, r.fence)
}

// apply delivers a write to the store, and reports whether the store applied it. It does so if it
// holds no sum yet, the writer's tenure still holds the lease, and the store was not restored
// since.
func (s *modelState) apply(w modelWrite) bool {
	if s.row != noSum || w.epoch != s.epoch || s.holder < 0 || w.fence != s.fence {
		return false
	}
	s.row = w.sum
	return true
}

// successors returns the states that can follow by one step.
func (s modelState) successors(fault modelFault) []modelState {
	var list []modelState
	add := func(change func(*modelState)) {
		next := s
		change(&next)
		list = append(list, next)
	}
	if s.sum == 1 {
		add(func(n *modelState) { n.sum = 2 }) // the last count of a VM arrives
	}
	if s.holder >= 0 {
		add(func(n *modelState) { // the lease expires, and calls under it end
			if !fault.lateReports {
				n.reports[n.holder] = modelWrite{}
			}
			n.vms[n.holder].fence, n.holder = 0, -1
		})
	}
	if s.epoch == 0 {
		add(func(n *modelState) { n.epoch, n.row = 1, noSum })
	}
	if s.write != (modelWrite{}) {
		add(func(n *modelState) { n.apply(n.write); n.write = modelWrite{} }) // late, response lost
		add(func(n *modelState) { n.write = modelWrite{} })
	}
	for i := range s.vms {
		if s.reports[i] != (modelWrite{}) {
			add(func(n *modelState) { n.accept(n.reports[i]); n.reports[i] = modelWrite{} })
			add(func(n *modelState) { n.reports[i] = modelWrite{} })
		}
		list = append(list, s.vmSteps(i, fault)...)
	}
	return list
}

// vmSteps returns the states that can follow by a step of one VM.
func (s modelState) vmSteps(i int, fault modelFault) []modelState {
	var list []modelState
	add := func(change func(*modelState, *modelReporter)) {
		next := s
		change(&next, &next.vms[i])
		list = append(list, next)
	}
	reporter := s.vms[i]
	add(func(n *modelState, me *modelReporter) { // the VM dies and restarts
		if n.holder == i {
			n.holder = -1
		}
		if !fault.lateReports {
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
	if s.holder != i || reporter.done {
		return list
	}
	if reporter.committed != noSum {
		add(func(n *modelState, me *modelReporter) { n.reports[i] = modelWrite{sum: me.committed, fence: me.fence} })
		return list
	}
	return append(list, s.resolveSteps(i, fault)...)
}

// resolveSteps returns the states that can follow when a holder without a committed sum resolves
// one.
func (s modelState) resolveSteps(i int, fault modelFault) []modelState {
	var list []modelState
	add := func(change func(*modelState, *modelReporter)) {
		next := s
		change(&next, &next.vms[i])
		list = append(list, next)
	}
	if s.epoch > 0 && !fault.ignoreEpoch {
		add(func(n *modelState, me *modelReporter) { me.committed, me.done = n.row, n.row == noSum })
		return list
	}
	for sum := 1; sum <= s.sum; sum++ { // an unresponsive replica can reduce the sum
		if fault.noCommit {
			add(func(_ *modelState, me *modelReporter) { me.committed = sum })
			continue
		}
		w := modelWrite{sum: sum, fence: s.fence, epoch: s.epoch}
		add(func(n *modelState, _ *modelReporter) { n.write = w }) // the response is lost
		add(func(n *modelState, me *modelReporter) {
			switch {
			case n.apply(w), fault.ignoreStored:
				me.committed = sum
			default:
				me.committed = n.row
			}
		})
	}
	return list
}

// search explores all reachable states, and returns the first violation, if any, and the number of
// states.
func search(fault modelFault) (violation string, states int) {
	start := modelState{sum: 1, holder: -1}
	seen := map[modelState]bool{start: true}
	for frontier := []modelState{start}; len(frontier) > 0; {
		var next []modelState
		for _, s := range frontier {
			for _, successor := range s.successors(fault) {
				if successor.violation != "" {
					return successor.violation, len(seen)
				}
				if !seen[successor] {
					seen[successor] = true
					next = append(next, successor)
				}
			}
		}
		frontier = next
	}
	return "", len(seen)
}

// No order of steps reports a window with two different sums, or lets a report of an earlier tenure
// arrive after one of a later tenure. With any safeguard removed, at least one order does.
func TestModelReportsNoWindowWithTwoSums(t *testing.T) {
	violation, states := search(modelFault{})
	if violation != "" {
		t.Error(violation)
	}
	t.Logf("%d states", states)
	for name, fault := range map[string]modelFault{
		"reports without a committed sum":      {noCommit: true},
		"a stored sum is ignored":              {ignoreStored: true},
		"a restored store is trusted":          {ignoreEpoch: true},
		"a report may arrive after its tenure": {lateReports: true},
	} {
		if violation, states := search(fault); violation == "" {
			t.Errorf("%s: no violation in %d states", name, states)
		} else {
			t.Logf("%s: %s", name, violation)
		}
	}
}
