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

// What may become of a call. The first is that it works.
const (
	works = iota
	// answerLost calls take effect and are not answered.
	answerLost
	// notTaken calls have no effect.
	notTaken
	// takenLate calls are not answered and take effect later, if they may still.
	takenLate
	fates
)

// takenLateAfter is how late those take effect: past the tenure of a holder that has died meanwhile.
const takenLateAfter = 9 * time.Second

// What may become of the first holder at one of its calls.
const (
	lives = iota
	// dies before or after the call takes effect.
	diesBefore
	diesAfter
	// standsStill for longer than its lease before the call goes out, and wakes.
	standsStill
	ends
)

// schedule is one choice of all that happens: a fate for each of the first calls for a window, and
// an end for the first holder.
type schedule struct {
	// fates are of the calls in their order, of both VMs.
	fates []int
	// end is what becomes of the first holder, at the call of that number.
	end, at int
}

// frozen is how long a VM stands still.
const frozen = 12 * time.Second

// actor plays a schedule at the calls of a VM.
type actor struct {
	s     *schedule
	calls *int
	// first is the VM that the schedule's end is for.
	first *vm
}

// next returns the fate of the next call of a VM, and what happens to the VM at it.
func (a actor) next(v *vm) (fate, end int) {
	n := *a.calls
	*a.calls++
	if v == a.first && n == a.s.at {
		end = a.s.end
	}
	fate = works
	if n < len(a.s.fates) {
		fate = a.s.fates[n]
	}
	return fate, end
}

// commit plays a write of a sum.
func (a actor) commit(v *vm) func(table.Txn) memtable.Fault {
	return func(table.Txn) memtable.Fault {
		fate, end := a.next(v)
		switch end {
		case diesBefore:
			v.kill()
			return memtable.Fault{Fail: true}
		case standsStill:
			time.Sleep(frozen)
		case diesAfter:
			defer v.kill()
		}
		switch fate {
		case answerLost:
			return memtable.Fault{LoseAnswer: true}
		case notTaken:
			return memtable.Fault{Fail: true}
		case takenLate:
			return memtable.Fault{ApplyAfter: takenLateAfter}
		}
		return memtable.Fault{}
	}
}

// report plays a report. What is on its way when its time is over is dropped with its connection.
func (a actor) report(v *vm) func(context.Context, func()) error {
	return func(ctx context.Context, deliver func()) error {
		fate, end := a.next(v)
		switch end {
		case diesBefore:
			v.kill()
		case standsStill:
			time.Sleep(frozen)
		case diesAfter:
			defer v.kill()
		}
		if v.isDead() {
			<-ctx.Done()
			return errFault
		}
		switch fate {
		case answerLost:
			deliver()
			return errFault
		case notTaken:
			return errFault
		case takenLate:
			time.Sleep(callTimeout / 2)
			deliver()
			<-ctx.Done()
			return errFault
		}
		deliver()
		return nil
	}
}

// play carries out a schedule with two VMs that know different counts, and returns what broke.
func (s *schedule) play(t *testing.T) (broken string) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t)
		first := r.add()
		time.Sleep(length)
		second := r.add()
		calls := 0
		a := actor{s: s, calls: &calls, first: first}
		for _, v := range r.vms {
			v.ledger.RequestStarted("north")
		}
		// Neither can read the other's account, so that their sums differ.
		first.setCut(true)
		second.setCut(true)
		second.ledger.RequestStarted("north")
		w := now()
		for _, v := range r.vms {
			commit, report := a.commit(v), a.report(v)
			v.fail(func(ctx context.Context, deliver func()) error {
				if now() > w+2 {
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
		time.Sleep(length + late + frozen)
		r.stop()
		broken = r.platform.breaks()
		if n, _ := r.platform.taken(); n == 0 {
			broken = "nothing was ever reported"
		}
	})
	return broken
}

// Whatever becomes of each write and each report of a window, and of the VM that makes them, no two
// sums of the window are taken, and none under a fence lower than one before.
func TestNoWindowIsReportedWithTwoSums(t *testing.T) {
	const depth = 3
	played := 0
	for at := range depth {
		for end := range ends {
			if end == lives && at > 0 {
				continue // the same for each call
			}
			for n := range pow(fates, depth) {
				s := &schedule{end: end, at: at}
				for rest := n; len(s.fates) < depth; rest /= fates {
					s.fates = append(s.fates, rest%fates)
				}
				played++
				if broken := s.play(t); broken != "" {
					t.Fatalf("%+v: %s", *s, broken)
				}
			}
		}
	}
	t.Log(fmt.Sprint(played), "schedules")
}

func pow(base, n int) int {
	out := 1
	for range n {
		out *= base
	}
	return out
}
