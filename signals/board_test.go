package signals

import (
	"testing"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/loadshare/sharepb"
)

var limited = Signal{Limit: Limit{Kind: Limited, PerSecond: 4}}

func endpoint(id string, born int64) *directory.Endpoint {
	return &directory.Endpoint{Registration: directory.Registration{ID: id, StartedAt: born, Service: "llm", Zone: "a"}}
}

// snapshot holds the given endpoints as ready.
func snapshot(list ...*directory.Endpoint) *directory.Snapshot {
	d := directory.New(nil)
	for _, e := range list {
		d.Put(e.Registration)
	}
	return d.Snapshot()
}

// A response without any signal leaves no state behind: most endpoints never send one.
func TestPlainResponsesKeepNoState(t *testing.T) {
	b := New(Config{})
	b.Observe(Response{Endpoint: endpoint("e1", 1), Sent: time.Now()})
	if len(b.states) != 0 {
		t.Errorf("%d states", len(b.states))
	}
}

// An endpoint that has started again, or is gone, leaves nothing behind.
func TestSignalsOfAnEarlierIncarnationAreForgotten(t *testing.T) {
	b := New(Config{})
	b.Observe(Response{Endpoint: endpoint("e1", 1), Sent: time.Now(), Signal: limited})
	b.Observe(Response{Endpoint: endpoint("e2", 1), Sent: time.Now(), Signal: limited})
	b.Retain(snapshot(endpoint("e1", 2), endpoint("e2", 1)))
	if len(b.states) != 1 || b.states[Hash(endpoint("e2", 1))] == nil {
		t.Errorf("states: %v", b.states)
	}
}

// What another VM tells of an endpoint before its row is known here holds once the row has come.
func TestSignalsComeBeforeTheRow(t *testing.T) {
	b := newBench()
	e := endpoint("e1", 1)
	b.Receive([]*sharepb.EndpointSignal{{Endpoint: Hash(e), Version: 3, Limited: true, LimitMilli: 1000}})
	if _, limited := b.Check(e, 0, func() float64 { return 0 }); limited {
		t.Error("an endpoint that is not registered is named")
	}
	b.Retain(snapshot(e, endpoint("e2", 1)))
	block, limited := b.Check(e, 0, func() float64 { return 0 })
	if !limited || block.Reason != RateLimited {
		t.Errorf("%+v, limited %v", block, limited)
	}
	if _, limited := b.Check(endpoint("e2", 1), 0, func() float64 { return 0 }); limited {
		t.Error("another endpoint is limited")
	}
}

// Signals of an endpoint do not keep the next incarnation from work, also while its row is on its way.
func TestNextIncarnationIsNotLimited(t *testing.T) {
	b := newBench()
	b.Observe(Response{Endpoint: endpoint("e1", 1), Sent: b.now, Signal: limited})
	if n := b.sends(3, "e1", 2); n != 3 {
		t.Errorf("%d of 3 requests went to the next incarnation", n)
	}
	if n := b.sends(3, "e1", 1); n != 0 {
		t.Errorf("%d requests went to the limited one at once", n)
	}
}
