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

// After two endpoints of a zone were unreachable, its other endpoints are avoided until one of them
// is reached or the time for another attempt has come.
func TestUnreachableZoneIsAvoided(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		for i := range 6 {
			f.addEngine(fmt.Sprint("near", i), "a", engine.Decode)
			f.addEngine(fmt.Sprint("far", i), "b", engine.Decode)
		}
		sendRequests := func() (failed int) {
			for i := range 200 {
				p := f.plan(f.shortReq(), relay.AttemptState{})
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
		if n := sendRequests(); n == 0 || n > minFailedEndpoints+1 {
			t.Errorf("%d of 200 requests went to an unreachable zone", n)
		}
		time.Sleep(zoneUnreachableFor + maxPause)
		p := f.plan(f.shortReq(), relay.AttemptState{Tried: []string{"near0", "near1", "near2", "near3", "near4", "near5"}})
		p.Watch.FirstEvent()
		p.Watch.Finished(nil, false)
		if f.planner.zones.unreachable(time.Now(), "b") {
			t.Error("a zone that was reached is considered unreachable")
		}
	})
}

// An unreachable zone is still used if there is no other.
func TestUnreachableZoneIsLastResort(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		f.addPlain("far1", "b")
		f.addPlain("far2", "b")
		for range 4 {
			f.plan(f.plainReq(), relay.AttemptState{}).Watch.Finished(unreachableAttempt(), false)
			time.Sleep(maxPause)
		}
	})
}
