package placement

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/relay"
)

// slowLink gives the bed's VM a link of 10 Mbit/s, so that the body of a letter
// takes 24 ms each time that it is sent.
func (b *bed) slowLink() {
	tuning := DefaultTuning()
	tuning.LinkBitsPerSecond = 10e6
	b.planner.SetTuning(tuning)
}

func (b *bed) heavyLetter(subject string) *relay.Request {
	r := b.letter(subject)
	r.Body = make([]byte, 18_000)
	return r
}

// The time that the VM's own link takes is part of a prediction, for one request and
// for those that wait behind it, and it passes.
func TestOwnLinkIsPartOfPredictions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		for _, id := range []string{"p1", "p2", "p3"} {
			b.engine(id, "a", engine.Prefill)
		}
		b.engine("d1", "a", engine.Decode)
		free := b.plan(b.heavyLetter("x"), relay.AttemptState{})
		b.slowLink()
		first := b.plan(b.heavyLetter("y"), relay.AttemptState{})
		if got := first.ExpectedLatency - free.ExpectedLatency; got < 30*time.Millisecond || got > 60*time.Millisecond {
			t.Errorf("a slow link adds %v to a request that goes to two engines, want about 48 ms", got)
		}
		second := b.plan(b.heavyLetter("z"), relay.AttemptState{})
		if got := second.ExpectedLatency - first.ExpectedLatency; got < 30*time.Millisecond {
			t.Errorf("the request behind it is predicted %v later, want 48 ms or more", got)
		}
		first.Watch.Finished(nil, true)
		second.Watch.Finished(nil, true)
		free.Watch.Finished(nil, true)
		time.Sleep(200 * time.Millisecond)
		third := b.plan(b.heavyLetter("y"), relay.AttemptState{})
		if third.ExpectedLatency > first.ExpectedLatency {
			t.Errorf("%v predicted on a link that is free again, %v before", third.ExpectedLatency, first.ExpectedLatency)
		}
	})
}

// A request that the own link cannot send in time is refused as not run.
func TestFullLinkRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		for _, id := range []string{"p1", "p2", "p3"} {
			b.engine(id, "a", engine.Prefill)
		}
		b.engine("d1", "a", engine.Decode)
		b.slowLink()
		for range 10 {
			plan, failed := b.planner.Plan(b.heavyLetter("x"), relay.AttemptState{})
			if failed != nil {
				if failed.Code != failure.DeadlineUnreachable || failed.Ran != failure.NotRun || failed.RetryAfter == 0 {
					t.Errorf("refused with %+v", failed)
				}
				return
			}
			plan.Watch.Finished(nil, true) // the engines are idle; only the link is not
		}
		t.Error("ten letters at once were taken on a link that sends three in time")
	})
}
