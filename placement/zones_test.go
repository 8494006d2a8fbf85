package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/relay"
)

func unreachableAttempt() *failure.Request {
	return &failure.Request{Code: failure.EndpointUnreachable, Ran: failure.NotRun}
}

// Once two endpoints of a zone are out of reach the others are left out too, until
// one is reached or the time to try again has come.
func TestCutZoneIsAvoided(t *testing.T) {
	inTime(t, func(t *testing.T, b *bed) {
		for i := range 6 {
			b.engine(fmt.Sprint("near", i), "a", engine.Decode)
			b.engine(fmt.Sprint("far", i), "b", engine.Decode)
		}
		fail := func() (failed int) {
			for i := range 200 {
				p := b.plan(b.chat(), relay.AttemptState{})
				if p.Serve.Zone == "a" {
					p.Watch.Finished(nil, false)
					continue
				}
				failed++
				p.Watch.Finished(unreachableAttempt(), false)
				_ = i
			}
			return failed
		}
		if n := fail(); n == 0 || n > cutEndpoints+1 {
			t.Errorf("%d of 200 requests went to a zone that is cut off", n)
		}
		time.Sleep(cutFor + pauseMax)
		p := b.plan(b.chat(), relay.AttemptState{Tried: []string{"near0", "near1", "near2", "near3", "near4", "near5"}})
		p.Watch.FirstEvent()
		p.Watch.Finished(nil, false)
		if b.planner.zones.cut(time.Now(), "b") {
			t.Error("a zone that was reached counts as cut off")
		}
	})
}

// A zone that seems cut off is still used when there is no other.
func TestCutZoneIsTheLastResort(t *testing.T) {
	inTime(t, func(t *testing.T, b *bed) {
		b.plain("far1", "b")
		b.plain("far2", "b")
		for range 4 {
			b.plan(b.call(), relay.AttemptState{}).Watch.Finished(unreachableAttempt(), false)
			time.Sleep(pauseMax)
		}
	})
}
