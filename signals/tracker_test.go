package signals

import (
	"testing"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/loadshare/sharepb"
)

var limitSignal = Signal{Limit: Limit{Kind: Limited, PerSecond: 4}}

func endpoint(id string, startedAt int64) *directory.Endpoint {
	return &directory.Endpoint{Registration: directory.Registration{ID: id, StartedAt: startedAt, Service: "llm", Zone: "a"}}
}

// snapshot returns a snapshot that contains the given endpoints as ready.
func snapshot(list ...*directory.Endpoint) *directory.Snapshot {
	d := directory.New(nil)
	for _, e := range list {
		d.Put(e.Registration)
	}
	return d.Snapshot()
}

// A response without a signal creates no state, because most endpoints never send one.
func TestResponseWithoutSignalCreatesNoState(t *testing.T) {
	tracker := New(Config{})
	tracker.Observe(Response{Endpoint: endpoint("e1", 1), Sent: time.Now()})
	if len(tracker.states) != 0 {
		t.Errorf("%d states", len(tracker.states))
	}
}

// Retain removes the state of endpoints that restarted or were deregistered.
func TestRetainRemovesEarlierIncarnations(t *testing.T) {
	tracker := New(Config{})
	tracker.Observe(Response{Endpoint: endpoint("e1", 1), Sent: time.Now(), Signal: limitSignal})
	tracker.Observe(Response{Endpoint: endpoint("e2", 1), Sent: time.Now(), Signal: limitSignal})
	tracker.Retain(snapshot(endpoint("e1", 2), endpoint("e2", 1)))
	if len(tracker.states) != 1 || tracker.states[Hash(endpoint("e2", 1))] == nil {
		t.Errorf("states: %v", tracker.states)
	}
}

// An update from another VM that arrives before the endpoint's registration takes effect once the
// endpoint is registered.
func TestSignalReceivedBeforeRegistration(t *testing.T) {
	tracker := newTestTracker()
	e := endpoint("e1", 1)
	tracker.Receive([]*sharepb.EndpointSignal{{Endpoint: Hash(e), Version: 3, Limited: true, LimitMilli: 1000}})
	if _, limited := tracker.Check(e, 0, func() float64 { return 0 }); limited {
		t.Error("an unregistered endpoint is limited")
	}
	tracker.Retain(snapshot(e, endpoint("e2", 1)))
	block, limited := tracker.Check(e, 0, func() float64 { return 0 })
	if !limited || block.Reason != RateLimited {
		t.Errorf("%+v, limited %v", block, limited)
	}
	if _, limited := tracker.Check(endpoint("e2", 1), 0, func() float64 { return 0 }); limited {
		t.Error("another endpoint is limited")
	}
}

// Signals of an endpoint do not block its next incarnation, even before that has been registered
// here.
func TestNextIncarnationIsNotLimited(t *testing.T) {
	tracker := newTestTracker()
	tracker.Observe(Response{Endpoint: endpoint("e1", 1), Sent: tracker.now, Signal: limitSignal})
	if n := tracker.admitted(3, "e1", 2); n != 3 {
		t.Errorf("%d of 3 requests to the next incarnation were admitted", n)
	}
	if n := tracker.admitted(3, "e1", 1); n != 0 {
		t.Errorf("%d requests to the limited incarnation were admitted at once", n)
	}
}
