package usage

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// The outcomes of a call. In the first one the call succeeds.
const (
	works = iota
	// With responseLost, the call takes effect, but its response is lost.
	responseLost
	// With notApplied, the call fails and has no effect.
	notApplied
	// With appliedLate, the response is lost and the call takes effect later, if it is still valid.
	appliedLate
	outcomeCount
)

// appliedLateAfter is the delay of such calls, longer than the tenure of a holder that died
// meanwhile.
const appliedLateAfter = 9 * time.Second

// The events that can hit the first holder at one of its calls.
const (
	survives = iota
	// The holder dies before or after the call takes effect.
	diesBefore
	diesAfter
	// The holder is suspended for longer than its lease before the call is sent, and then resumes.
	freezes
	eventCount
)

// schedule is one combination of faults: an outcome for each of the first calls for a window, and
// an event for the first holder.
type schedule struct {
	// outcomes are in the order of the calls of both VMs.
	outcomes []int
	// event hits the first holder at call number eventCall.
	event, eventCall int
}

// freezeTime is how long a suspended VM stops.
const freezeTime = 12 * time.Second

// faultInjector applies a schedule to the calls of a VM.
type faultInjector struct {
	schedule  *schedule
	callCount *int
	// first is the VM to which the schedule's event applies.
	first *testVM
}

// next returns the outcome of the next call of a VM, and the event that hits the VM at this call.
func (f faultInjector) next(v *testVM) (outcome, event int) {
	n := *f.callCount
	*f.callCount++
	if v == f.first && n == f.schedule.eventCall {
		event = f.schedule.event
	}
	outcome = works
	if n < len(f.schedule.outcomes) {
		outcome = f.schedule.outcomes[n]
	}
	return outcome, event
}

// commit injects faults into writes of a sum.
func (f faultInjector) commit(v *testVM) func(table.Txn) memtable.Fault {
	return func(table.Txn) memtable.Fault {
		outcome, event := f.next(v)
		switch event {
		case diesBefore:
			v.kill()
			return memtable.Fault{Fail: true}
		case freezes:
			time.Sleep(freezeTime)
		case diesAfter:
			defer v.kill()
		}
		switch outcome {
		case responseLost:
			return memtable.Fault{LoseResponse: true}
		case notApplied:
			return memtable.Fault{Fail: true}
		case appliedLate:
			return memtable.Fault{ApplyAfter: appliedLateAfter}
		}
		return memtable.Fault{}
	}
}

// report injects faults into reports. A report still in flight when its context ends is dropped
// with its connection.
func (f faultInjector) report(v *testVM) func(context.Context, func()) error {
	return func(ctx context.Context, deliver func()) error {
		outcome, event := f.next(v)
		switch event {
		case diesBefore:
			v.kill()
		case freezes:
			time.Sleep(freezeTime)
		case diesAfter:
			defer v.kill()
		}
		if v.isDead() {
			<-ctx.Done()
			return errFault
		}
		switch outcome {
		case responseLost:
			deliver()
			return errFault
		case notApplied:
			return errFault
		case appliedLate:
			time.Sleep(callTimeout / 2)
			deliver()
			<-ctx.Done()
			return errFault
		}
		deliver()
		return nil
	}
}

// run executes a schedule with two VMs that hold different counts, and returns the violated rule,
// if any.
func (s *schedule) run(t *testing.T) (violation string) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRegion(t)
		first := r.addVM()
		time.Sleep(length)
		second := r.addVM()
		callCount := 0
		faults := faultInjector{schedule: s, callCount: &callCount, first: first}
		for _, v := range r.vms {
			v.ledger.RequestStarted("north")
		}
		// The VMs cannot read each other's accounts, so that their sums differ.
		first.setPartitioned(true)
		second.setPartitioned(true)
		second.ledger.RequestStarted("north")
		w := windowNow()
		for _, v := range r.vms {
			commit, report := faults.commit(v), faults.report(v)
			v.setFaults(func(ctx context.Context, deliver func()) error {
				if windowNow() > w+2 {
					deliver()
					return nil
				}
				return report(ctx, deliver)
			}, func(txn table.Txn) memtable.Fault {
				if txn.Writes[0].Key != rowKey(w) {
					return memtable.Fault{}
				}
				return commit(txn)
			})
		}
		time.Sleep(length + late + freezeTime)
		r.stop()
		violation = r.platform.violationText()
		if n, _ := r.platform.counts(); n == 0 {
			violation = "no window was reported"
		}
	})
	return violation
}

// Whatever happens to the writes and reports of a window and to the VM that makes them, the
// platform never accepts two different sums for the window, nor a report whose fencing token is
// lower than an earlier one.
func TestNoWindowReportedWithTwoSums(t *testing.T) {
	const depth = 3
	schedules := 0
	for eventCall := range depth {
		for event := range eventCount {
			if event == survives && eventCall > 0 {
				continue // survives does not depend on the call
			}
			for n := range pow(outcomeCount, depth) {
				sched := &schedule{event: event, eventCall: eventCall}
				for remainder := n; len(sched.outcomes) < depth; remainder /= outcomeCount {
					sched.outcomes = append(sched.outcomes, remainder%outcomeCount)
				}
				schedules++
				if violation := sched.run(t); violation != "" {
					t.Fatalf("%+v: %s", *sched, violation)
				}
			}
		}
	}
	t.Log(fmt.Sprint(schedules), "schedules")
}

func pow(base, n int) int {
	result := 1
	for range n {
		result *= base
	}
	return result
}
