package placement

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/relay"
)

// useSlowLink gives the VM a link of 10 Mbit/s, on which the body of largeReq takes 24 ms each time
// that it is sent.
func (f *fixture) useSlowLink() {
	tuning := DefaultTuning()
	tuning.LinkBitsPerSecond = 10e6
	f.planner.SetTuning(tuning)
}

func (f *fixture) largeReq(prefix string) *relay.Request {
	r := f.longReq(prefix)
	r.Body = make([]byte, 18_000)
	return r
}

// A prediction includes the transmission time of the request and of the requests queued before it
// on the VM's uplink. The uplink is free again once they are sent.
func TestPredictionIncludesUplink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		for _, id := range []string{"p1", "p2", "p3"} {
			f.addEngine(id, "a", engine.Prefill)
		}
		f.addEngine("d1", "a", engine.Decode)
		free := f.plan(f.largeReq("x"), relay.AttemptState{})
		f.useSlowLink()
		first := f.plan(f.largeReq("y"), relay.AttemptState{})
		if got := first.ExpectedLatency - free.ExpectedLatency; got < 30*time.Millisecond || got > 60*time.Millisecond {
			t.Errorf("a slow uplink adds %v to a request sent to two engines, want about 48 ms", got)
		}
		second := f.plan(f.largeReq("z"), relay.AttemptState{})
		if got := second.ExpectedLatency - first.ExpectedLatency; got < 30*time.Millisecond {
			t.Errorf("the queued request is predicted %v later, want 48 ms or more", got)
		}
		first.Watch.Finished(nil, true)
		second.Watch.Finished(nil, true)
		free.Watch.Finished(nil, true)
		time.Sleep(200 * time.Millisecond)
		third := f.plan(f.largeReq("y"), relay.AttemptState{})
		if third.ExpectedLatency > first.ExpectedLatency {
			t.Errorf("%v predicted once the uplink is free again, %v before", third.ExpectedLatency, first.ExpectedLatency)
		}
	})
}

// A request that the VM's uplink cannot send in time is refused as not run.
func TestFullUplinkRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		for _, id := range []string{"p1", "p2", "p3"} {
			f.addEngine(id, "a", engine.Prefill)
		}
		f.addEngine("d1", "a", engine.Decode)
		f.useSlowLink()
		for range 10 {
			plan, failed := f.planner.Plan(f.largeReq("x"), relay.AttemptState{})
			if failed != nil {
				if failed.Code != failure.DeadlineUnreachable || failed.Ran != failure.NotRun || failed.RetryAfter == 0 {
					t.Errorf("refused with %+v", failed)
				}
				return
			}
			plan.Watch.Finished(nil, true) // The engines are idle; only the uplink is busy.
		}
		t.Error("ten simultaneous requests were accepted on an uplink that sends three in time")
	})
}
