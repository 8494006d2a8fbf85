package order

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/engine/fakeengine"
)

// Shows that the checks of the guarantees can fail: each scenario must find no violation with
// its guard enabled, and at least one with it disabled.
func TestDisabledGuardsAreDetected(t *testing.T) {
	for g, scenario := range map[guard]func(*testbed){
		guardWithhold: changeUnderStream,
		guardAccount:  lastCopyArrivesLate,
		guardConfirm:  predecessorResumesLate,
		guardResolve:  predecessorResumesLate,
	} {
		for _, off := range []guard{"", g} {
			t.Run(fmt.Sprintf("%s/off=%v", g, off != ""), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newTestbed(t)
					w.disabledGuard = off
					scenario(w)
					found := w.violations()
					if t.Logf("violations: %v", found); len(found) > 0 != (off != "") {
						t.Fail()
					}
				})
			})
		}
	}
}

func changeUnderStream(w *testbed) {
	w.start("vm1", "vm1-1")
	w.waitFor("lease acquired and change accepted", time.Minute, func() bool { return w.submit(checkedEngine, engine.Decode) })
	w.waitFor("done", time.Minute, func() bool { return w.entryOf(checkedEngine).Outcome == Done })
	w.startStream(ignoredEngine)
	time.Sleep(100 * time.Millisecond) // the stream has started
	w.submit(ignoredEngine, engine.Decode)
	time.Sleep(time.Minute)
}

// lastCopyArrivesLate loses every copy except the last, which arrives after its sender has
// given up the order.
func lastCopyArrivesLate(w *testbed) {
	var sent atomic.Int32
	w.engines[ignoredEngine].ScriptOrders(func(engine.Order) fakeengine.OrderBehaviour {
		if sent.Add(1) < DefaultMaxSends {
			return fakeengine.OrderBehaviour{Lost: true}
		}
		return fakeengine.OrderBehaviour{Delay: DefaultSendTimeout + DefaultMaxTransit - time.Second/2}
	})
	w.start("vm1", "vm1-1")
	w.waitFor("a change is accepted", time.Minute, func() bool { return w.submit(ignoredEngine, engine.Decode) })
	time.Sleep(time.Minute)
}

// predecessorResumesLate pauses a controller just before it sends. Another change is submitted
// to its successor, and then the first controller resumes.
func predecessorResumesLate(w *testbed) {
	failed := w.failFirst(beforeSend, (*process).freeze)
	w.start("vm1", "vm1-1")
	w.start("vm2", "vm2-1")
	w.waitFor("a change is accepted", time.Minute, func() bool { return w.submit(ignoredEngine, engine.Decode) })
	for range 10 {
		time.Sleep(10 * time.Second)
		w.submit(ignoredEngine, engine.Prefill)
	}
	time.Sleep(30 * time.Second) // a busy engine would refuse the late copy
	failed.Load().wake()
	time.Sleep(time.Minute)
}
