package placement

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/loadshare/sharepb"
	"github.com/springweir/springweir/relay"
)

func connectFailure(cause error) *failure.Request {
	return &failure.Request{Code: failure.EndpointUnreachable, Ran: failure.NotRun, Cause: cause}
}

// reportTo sends the report of one VM to another.
func (f *fixture) reportTo(other *fixture) {
	r := f.planner.LocalReport()
	other.planner.ReceiveLoad(&sharepb.Load{Vm: "reporting", Work: r.Work, Placed: r.Placed, Changing: r.Changing, Refusing: r.Refusing})
}

// An endpoint to which the dials of one VM time out is not avoided by the others: it is that VM that
// may be cut off.
func TestEndpointThatOneVMCannotReachIsNotAvoidedByOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cutOff, other := newFixture(t), newFixture(t)
		for _, f := range []*fixture{cutOff, other} {
			f.addPlain("near", "a")
			f.addPlain("far", "b")
		}
		for range 2 {
			p := cutOff.plan(cutOff.plainReq(), relay.AttemptState{Tried: []string{"far"}})
			p.Watch.Finished(connectFailure(context.DeadlineExceeded), false)
		}
		cutOff.reportTo(other)
		if p := other.plan(other.plainReq(), relay.AttemptState{}); p.Serve.ID != "near" {
			t.Errorf("a request goes to %s, because another VM can't reach the nearer endpoint", p.Serve.ID)
		}
	})
}

// lostPeer is the loss of a VM that passed a request on.
type lostPeer struct{}

func (*lostPeer) Error() string    { return "the VM was lost" }
func (*lostPeer) LostPeer() string { return "other" }

// Endpoints are not ejected because VMs that passed requests on to them were lost.
func TestLossOfVMDoesNotEjectEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.addPlain("near", "a")
		f.addPlain("far", "b")
		for range 3 {
			failed := brokenAttempt()
			failed.Cause = &lostPeer{}
			f.plan(f.plainReq(), relay.AttemptState{Tried: []string{"far"}}).Watch.Finished(failed, false)
		}
		if p := f.plan(f.plainReq(), relay.AttemptState{}); p.Serve.ID != "near" {
			t.Errorf("the next request goes to %s", p.Serve.ID)
		}
	})
}

// Streams are placed although another VM's dials to all engines that decode time out.
func TestStreamsArePlacedWhileOneVMReachesNoDecoder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cutOff, other := newFixture(t), newFixture(t)
		for _, f := range []*fixture{cutOff, other} {
			f.addDecodersAndPrefiller()
		}
		for _, excluded := range []string{"d1", "d2"} {
			for range 2 {
				p := cutOff.plan(cutOff.shortReq(), relay.AttemptState{Tried: []string{excluded}})
				p.Watch.Finished(connectFailure(context.DeadlineExceeded), false)
			}
		}
		cutOff.reportTo(other)
		if _, failed := other.planner.Plan(other.shortReq(), relay.AttemptState{}); failed != nil {
			t.Errorf("a stream is refused, because another VM can't reach the engines that decode: %v", failed)
		}
	})
}

// While all engines that decode are down, they are retried, although engines that only prefill are
// not down.
func TestDownDecodersAreRetriedBesideUsablePrefillers(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		f.addDecodersAndPrefiller()
		for _, excluded := range []string{"d1", "d2"} {
			p := f.plan(f.shortReq(), relay.AttemptState{Tried: []string{excluded}})
			p.Watch.Finished(connectFailure(unix.ECONNREFUSED), false)
		}
		time.Sleep(downRetryInterval)
		p, failed := f.planner.Plan(f.shortReq(), relay.AttemptState{})
		if failed != nil {
			t.Fatalf("a stream is refused untried: %v", failed)
		}
		if p.Serve.ID != "d1" && p.Serve.ID != "d2" {
			t.Errorf("a stream is served by %s", p.Serve.ID)
		}
	})
}

func (f *fixture) addDecodersAndPrefiller() {
	f.addEngine("d1", "a", engine.Decode)
	f.addEngine("d2", "a", engine.Decode)
	f.addEngine("p1", "a", engine.Prefill)
}
