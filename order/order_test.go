package order

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/engine/fakeengine"
	"github.com/springweir/springweir/membership"
	"github.com/springweir/springweir/membership/fakelist"
	"github.com/springweir/springweir/peer/controllerpb"
)

// waitFor waits in virtual time for a condition and returns how long it took.
func (w *testbed) waitFor(what string, limit time.Duration, cond func() bool) time.Duration {
	began := time.Now()
	for !cond() {
		if time.Since(began) > limit {
			w.t.Fatalf("condition not met within %v: %s", limit, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(began)
}

// submit submits a change of role to the current leader and reports whether it was accepted.
func (w *testbed) submit(name string, role engine.Role) bool {
	for _, p := range w.processes() {
		c := Change{Engine: name, Kind: engine.ChangeRole, Role: role}
		if !p.Killed() && p.executor.Submit(c) == nil {
			return true
		}
	}
	return false
}

// startOrder starts a controller and waits until its order runs on the engine.
func (w *testbed) startOrder(name string) *process {
	p := w.start("vm1", "vm1-1")
	w.waitFor("a change is accepted", time.Minute, func() bool { return w.submit(name, engine.Decode) })
	w.waitFor("the order runs", time.Minute, func() bool { return len(w.engines[name].Orders()) > 0 })
	return p
}

func (w *testbed) entryOf(name string) Entry {
	e, err := NewJournal(w.table).Read(context.Background(), name)
	if err != nil {
		return Entry{Engine: name, version: 1} // unreadable: counts as open
	}
	return e
}

func (w *testbed) roleOf(name string) engine.Role {
	st, err := w.engines[name].State(context.Background())
	if err != nil {
		return ""
	}
	return st.Role
}

func (w *testbed) check() {
	w.t.Helper()
	for _, v := range w.violations() {
		w.t.Error(v)
	}
}

func TestProgress(t *testing.T) {
	o := engine.Order{ID: "x", Fence: 5, Incarnation: "one"}
	state := func(id string, phase engine.OrderPhase, fence, highest uint64) engine.State {
		st := engine.State{Incarnation: "one", HighestFence: highest}
		if id != "" {
			st.Order = &engine.OrderState{ID: id, Phase: phase, Fence: fence}
		}
		return st
	}
	for _, tc := range []struct {
		name    string
		fencing Fencing
		st      engine.State
		step    step
		outcome Outcome
		fenced  bool
	}{
		{"nothing seen", Checked, state("", "", 0, 4), stepSend, "", false},
		{"nothing seen, ignored", Ignored, state("", "", 0, 9), stepSend, "", false},
		{"an older order ended", Checked, state("w", engine.OrderDone, 4, 4), stepSend, "", false},
		{"another order runs", Ignored, state("w", engine.OrderRunning, 4, 0), stepWait, "", false},
		{"it runs", Checked, state("x", engine.OrderRunning, 5, 5), stepWait, "", true},
		{"done under an older fence", Checked, state("x", engine.OrderDone, 4, 4), stepSend, Done, false},
		{"done under an older fence, ignored", Ignored, state("x", engine.OrderDone, 4, 0), stepClose, Done, false},
		{"done", Checked, state("x", engine.OrderDone, 4, 5), stepClose, Done, true},
		{"failed", Checked, state("x", engine.OrderFailed, 5, 5), stepClose, Failed, true},
		{"a new incarnation", Checked, engine.State{Incarnation: "two"}, stepClose, SupersededByCrash, true},
		{"a new incarnation, ignored", Ignored, engine.State{Incarnation: "two"}, stepClose, SupersededByCrash, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			next, outcome := nextStep(o, tc.fencing, tc.st)
			got := []any{next, outcome, refusesLowerFences(o, tc.fencing, tc.st)}
			if diff := cmp.Diff([]any{tc.step, tc.outcome, tc.fenced}, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// At each pause point of an order the controller is paused for longer than a lease, or killed;
// another controller must take over and complete the same order.
func TestControllerFailsAtEachPoint(t *testing.T) {
	for _, at := range []pausePoint{beforeOpen, afterOpen, afterWithhold, beforeSend, afterSend, beforeClose} {
		for _, name := range []string{checkedEngine, ignoredEngine} {
			for _, how := range []string{"paused", "killed", "vanished"} {
				t.Run(fmt.Sprintf("%s/%s/%s", at, name, how), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { failAt(t, at, name, how) })
				})
			}
		}
	}
}

// failFirst makes the first process that reaches a pause point fail there. The result holds
// that process, or nil until one has failed.
func (w *testbed) failFirst(at pausePoint, fail func(*process)) *atomic.Pointer[process] {
	var failed atomic.Pointer[process]
	w.pause = func(p *process, now pausePoint) {
		if now == at && failed.CompareAndSwap(nil, p) {
			fail(p)
		}
	}
	return &failed
}

func failAt(t *testing.T, at pausePoint, name, how string) {
	w := newTestbed(t)
	failed := w.failFirst(at, func(p *process) {
		if how == "paused" {
			p.freeze()
			time.AfterFunc(time.Minute, p.wake)
			return
		}
		p.kill()
	})
	w.start("vm1", "vm1-1")
	w.start("vm2", "vm2-1")
	w.startStream(name)
	w.waitFor("a change is accepted", time.Minute, func() bool { return w.submit(name, engine.Decode) })
	w.waitFor("the failure", time.Minute, func() bool { return failed.Load() != nil })
	if how == "killed" {
		w.start(failed.Load().identity.VM, "restarted")
	}
	if how == "vanished" {
		time.AfterFunc(30*time.Second, func() { w.Remove(failed.Load().identity.VM) })
	}
	if at == beforeOpen {
		// The journal has no entry yet, so the planner has to submit the change again.
		time.Sleep(2 * time.Minute)
		w.waitFor("a change is accepted again", time.Minute, func() bool { return w.submit(name, engine.Decode) })
	}
	took := w.waitFor("the order is closed", 5*time.Minute, func() bool {
		return w.entryOf(name).Outcome == Done
	})
	time.Sleep(2 * time.Minute)
	if got := w.roleOf(name); got != engine.Decode {
		t.Errorf("role %q", got)
	}
	w.waitFor("the entry VM may use the engine", time.Minute, func() bool { return !w.entry.Withheld(name) })
	w.check()
	t.Logf("closed %v after the failure", took)
}

// An unreachable predecessor blocks further orders for an engine that ignores fences, but not
// for one that checks them.
func TestUnconfirmedPredecessor(t *testing.T) {
	for name, open := range map[string]bool{checkedEngine: false, ignoredEngine: true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestbed(t)
				failed := w.failFirst(beforeSend, (*process).freeze)
				successor := w.start("vm1", "vm1-1")
				other := w.start("vm2", "vm2-1")
				w.waitFor("a change is accepted", time.Minute, func() bool { return w.submit(name, engine.Decode) })
				time.Sleep(time.Hour)
				if successor == failed.Load() {
					successor = other
				}
				if got := w.entryOf(name).IsOpen(); got != open {
					t.Errorf("open after an hour: %v, want %v", got, open)
				}
				if idle, err := successor.executor.Idle(t.Context(), name); err != nil || idle == open {
					t.Errorf("idle: %v, %v", idle, err)
				}
				if taken := w.submit(name, engine.Prefill); taken == open {
					t.Errorf("another change accepted: %v", taken)
				}
				failed.Load().wake()
				w.waitFor("closed", time.Minute, func() bool { return !w.entryOf(name).IsOpen() })
				time.Sleep(time.Minute)
				w.check()
			})
		})
	}
}

// After a planned stop the successor completes the open order without a confirmation by the
// predecessor.
func TestPlannedStopDropsOpenOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t)
		a := w.startOrder(ignoredEngine)
		a.stop()
		<-a.done
		entry := w.entryOf(ignoredEngine)
		if !entry.IsOpen() || !entry.Senders[0].Dropped {
			t.Errorf("after the stop: open %v, senders %v", entry.IsOpen(), entry.Senders)
		}
		a.kill()
		w.start("vm2", "vm2-1")
		w.waitFor("closed", 30*time.Second, func() bool { return w.entryOf(ignoredEngine).Outcome == Done })
		w.check()
	})
}

// After an engine crashes during an order, its state is observed rather than assumed, and an
// open order is closed when its VM is removed.
func TestEngineCrashesInOrder(t *testing.T) {
	for _, name := range []string{checkedEngine, ignoredEngine} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestbed(t)
				p := w.startOrder(name)
				w.engines[name].Crash()
				time.Sleep(time.Minute)
				if !w.entryOf(name).IsOpen() {
					t.Error("order closed while the engine was unreachable")
				}
				w.engines[name].Restart()
				w.waitFor("closed", time.Minute, func() bool { return w.entryOf(name).Outcome == SupersededByCrash })
				if got := w.roleOf(name); got != engine.Mixed {
					t.Errorf("role %q", got)
				}
				w.engines[name].Crash()
				w.waitFor("a change of a crashed engine", time.Minute, func() bool { return w.submit(name, engine.Decode) })
				time.Sleep(time.Minute)
				if got := p.executor.Status()[0]; got.LastOutcome != "" || got.Err != nil {
					t.Errorf("a change that was never written to the journal has outcome %q, error %v", got.LastOutcome, got.Err)
				}
				w.engines[name].Restart()
				w.waitFor("a new change", time.Minute, func() bool { return w.submit(name, engine.Decode) })
				w.waitFor("done", time.Minute, func() bool { return w.entryOf(name).Outcome == Done })
				w.waitFor("another change", time.Minute, func() bool { return w.submit(name, engine.Prefill) })
				time.Sleep(time.Second)
				w.engines[name].Crash()
				w.Remove("vm-" + name)
				w.waitFor("closed as engine removed", time.Minute, func() bool { return w.entryOf(name).Outcome == EngineRemoved })
				w.check()
			})
		})
	}
}

// While the platform is down no order is sent, and streams continue.
func TestPlatformDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t)
		a := w.start("vm1", "vm1-1")
		w.waitFor("a change is accepted", time.Minute, func() bool { return w.submit(ignoredEngine, engine.Decode) })
		w.waitFor("done", time.Minute, func() bool { return w.entryOf(ignoredEngine).Outcome == Done })
		w.table.SetDown(true)
		time.Sleep(time.Minute)
		err := a.executor.Submit(Change{Engine: checkedEngine, Kind: engine.ChangeRole, Role: engine.Decode})
		if diff := cmp.Diff(&RefusedError{Engine: checkedEngine, Code: ReasonNotLeading}, err); diff != "" {
			t.Errorf("submit (-want +got):\n%s", diff)
		}
		w.startStream(checkedEngine)
		time.Sleep(time.Hour)
		if got := w.engines[checkedEngine].Orders(); len(got) > 0 {
			t.Errorf("orders sent during the outage: %v", got)
		}
		if w.entry.Withheld(checkedEngine) {
			t.Error("the engine is withheld")
		}
		w.table.SetDown(false)
		w.waitFor("orders are accepted again", time.Minute, func() bool { return w.submit(checkedEngine, engine.Decode) })
		w.waitFor("done", time.Minute, func() bool { return w.roleOf(checkedEngine) == engine.Decode })
		w.check()
	})
}

// A process that restarted at the same address confirms for its predecessor once the proof
// delay is over. A process at another address does not.
func TestResponderConfirmsForPredecessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t)
		p := w.start("vm1", "vm1-2")
		confirmDropped := func(vm, address string) bool {
			req := &controllerpb.ConfirmDroppedRequest{Vm: vm, Address: address, Process: "vm1-1"}
			resp, err := p.responder.ConfirmDropped(t.Context(), req)
			return err == nil && resp.GetDropped()
		}
		if confirmDropped("vm1", "vm1:1") {
			t.Error("confirmed before the proof delay was over")
		}
		time.Sleep(DefaultSendTimeout + DefaultMaxTransit)
		if !confirmDropped("vm1", "vm1:1") {
			t.Error("no confirmation for the process at the same address")
		}
		if confirmDropped("vm9", "vm1:1") {
			t.Error("confirmed for another VM")
		}
		if confirmDropped("vm1", "vm1:2") {
			t.Error("confirmed for a process at another address, which may be alive")
		}
	})
}

// An order that was done under an older fence is closed as done, even if every copy that would
// raise the engine's fence is lost.
func TestDoneUnderAnOlderFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t)
		failed := w.failFirst(beforeClose, (*process).kill)
		w.start("vm1", "vm1-1")
		w.waitFor("a change is accepted", time.Minute, func() bool { return w.submit(checkedEngine, engine.Decode) })
		w.waitFor("the failure", time.Minute, func() bool { return failed.Load() != nil })
		w.engines[checkedEngine].ScriptOrders(func(engine.Order) fakeengine.OrderBehaviour {
			return fakeengine.OrderBehaviour{Lost: true}
		})
		w.start("vm1", "vm1-2")
		w.waitFor("closed", time.Minute, func() bool { return !w.entryOf(checkedEngine).IsOpen() })
		if got := w.entryOf(checkedEngine).Outcome; got != Done {
			t.Errorf("outcome %q", got)
		}
	})
}

// An engine that came from another pool has seen higher fences: the current tenure ends and the
// next one uses a higher fence still.
func TestEngineFromAnotherPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t)
		foreign := engine.Order{ID: "foreign", Fence: 100, Incarnation: checkedEngine, Kind: engine.ChangeRole, Role: engine.Prefill}
		if _, err := w.engines[checkedEngine].Order(t.Context(), foreign, time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		p := w.start("vm1", "vm1-1")
		w.waitFor("a change is accepted", time.Minute, func() bool { return w.submit(checkedEngine, engine.Decode) })
		w.waitFor("done", time.Minute, func() bool { return w.entryOf(checkedEngine).Outcome == Done })
		if got := w.entryOf(checkedEngine).Senders[0].Fence; got != 101 {
			t.Errorf("fence %d, want 101", got)
		}
		p.stop()
	})
}

func TestMembershipRemovals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := fakelist.New()
		list.Put(membership.VM{Name: "here", Kind: membership.Entry})
		watcher := membership.NewWatcher(list, membership.WatcherConfig{})
		d := &MembershipRemovals{Watcher: watcher}
		var got [][]bool
		observe := func() {
			_ = watcher.Poll(t.Context())
			got = append(got, []bool{d.Listed("here"), d.Removed("here"), d.Removed("never-seen")})
			time.Sleep(DefaultAbsence / 2)
		}
		observe()
		observe()
		observe()
		list.Remove("here")
		observe()
		want := [][]bool{{true, false, false}, {true, false, false}, {true, false, true}, {false, true, true}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("listed, removed, removed (-want +got):\n%s", diff)
		}
	})
}
