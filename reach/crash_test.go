package reach

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/hop"
	"github.com/springweir/springweir/internal/h1"
)

// perEndpoint is a fakeNetwork with an outcome of connections for each endpoint; nil is an open one.
type perEndpoint struct {
	*fakeNetwork
	errs map[string]error
}

func (n perEndpoint) Connect(_ context.Context, e *directory.Endpoint) error { return n.errs[e.ID] }

// Guards against a crash that goes unnoticed because all other endpoints of the zone have crashed too:
// a VM that does not reach any of them is not cut off if it reaches endpoints elsewhere.
func TestCrashOfAllEndpointsOfZoneIsNoticed(t *testing.T) {
	const crashed = "crashed"
	refused, hangs := errConnectRefused, errConnectTimeout
	for _, tc := range []struct {
		name string
		// zone is that of the endpoint that crashed, with another endpoint, "same". "elsewhere" is in
		// zone b if zone is a, and the reverse.
		zone            string
		same, elsewhere error
		// down holds the endpoints that are known to be down.
		down  string
		alone bool
		want  bool
	}{
		{name: "another one is up", zone: "a", elsewhere: refused, want: true},
		{name: "another one is down already", zone: "a", same: refused, down: "same", want: true},
		{name: "another one is down already, in another zone", zone: "b", same: refused, down: "same", want: true},
		{name: "both have just crashed", zone: "a", same: refused, want: true},
		{name: "both have just crashed, in another zone", zone: "b", same: refused, want: true},
		{name: "another zone that no VM is heard of", zone: "b", same: refused, alone: true},
		{name: "the other one hangs", zone: "a", same: hangs},
		{name: "nothing is reached", zone: "a", same: refused, elsewhere: refused},
		{name: "nothing is reached but what is known to be down", zone: "a", same: refused, elsewhere: refused, down: "same"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			other := map[string]string{"a": "b", "b": "a"}[tc.zone]
			c, d := newTestClient(&fakeNetwork{})
			for id, zone := range map[string]string{crashed: tc.zone, "same": tc.zone, "elsewhere": other} {
				d.Put(directory.Registration{ID: id, Zone: zone})
			}
			c.cfg.Direct = perEndpoint{&fakeNetwork{}, map[string]error{crashed: refused, "same": tc.same, "elsewhere": tc.elsewhere}}
			c.cfg.Down = func(e *directory.Endpoint) bool { return e.ID == tc.down }
			if tc.alone {
				c.cfg.VMs = func() []VM { return nil }
			}
			e := d.Snapshot().Endpoint(crashed)
			if got := c.Works(t.Context(), e); got != tc.want {
				t.Errorf("the VM works: %t", got)
			}
			if got := !c.RefusalIsOwn(t.Context(), e); got != tc.want {
				t.Errorf("the refusal shows a crash: %t", got)
			}
		})
	}
}

// Guards against a VM that takes itself to be cut off because a random sample contains none of the few endpoints
// that are up after the loss of a rack.
func TestFewEndpointsThatAreLeftAreFound(t *testing.T) {
	const draws = 20
	for _, tc := range []struct {
		endpoints, up int
		want          bool
	}{
		{endpoints: 13, up: 1, want: true},
		{endpoints: 64, up: 1, want: true},
		{endpoints: 400, up: 100, want: true},
		{endpoints: 12},
	} {
		t.Run(fmt.Sprint(tc.up, " of ", tc.endpoints), func(t *testing.T) {
			for range draws {
				n := &fakeNetwork{direct: errConnectRefused, reached: map[string]bool{}}
				var ids []string
				for i := range tc.endpoints {
					id := fmt.Sprint("e", i)
					ids, n.reached[id] = append(ids, id), i < tc.up
				}
				c, d := newTestClient(n, append(ids, "lost")...)
				if got := c.Works(t.Context(), d.Snapshot().Endpoint("lost")); got != tc.want {
					t.Fatalf("the VM reaches the zone: %t, want %t", got, tc.want)
				}
			}
		})
	}
}

// Guards against a crash that goes unnoticed because the path to another endpoint of the zone, which has
// crashed before, counts as broken.
func TestPathToCrashedEndpointHidesNoCrash(t *testing.T) {
	n := &fakeNetwork{direct: errConnectRefused, reached: map[string]bool{"up": true}}
	c, d := newTestClient(n, "first", "second", "up")
	c.recordBroken(d.Snapshot().Endpoint("first"), errConnectRefused)
	second := d.Snapshot().Endpoint("second")
	if !c.RefusalIsOwn(t.Context(), second) {
		t.Error("a broken path to an endpoint that may be up does not count")
	}
	c.cfg.Down = func(e *directory.Endpoint) bool { return e.ID == "first" }
	if c.RefusalIsOwn(t.Context(), second) {
		t.Error("the crash is not noticed")
	}
}

// suspendedVM is a Hop of which one VM does not answer.
type suspendedVM struct {
	fakeHop
	name string
}

func (h suspendedVM) Ready(ctx context.Context, vm hop.Peer, e *directory.Endpoint) error {
	if vm.Name != h.name {
		return h.fakeHop.Ready(ctx, vm, e)
	}
	<-ctx.Done()
	return &h1.Error{Sent: true, Cause: &hop.ExchangeError{VM: vm.Name, Cause: context.Cause(ctx)}}
}

func (h suspendedVM) Connect(ctx context.Context, vm hop.Peer, e *directory.Endpoint) error {
	if vm.Name == h.name {
		<-ctx.Done()
		return context.Cause(ctx)
	}
	return h.fakeHop.Connect(ctx, vm, e)
}

// Guards against a VM that is suspended and delays the news of a crash: meanwhile the request that caused
// it reaches other endpoints.
func TestSuspendedVMDoesNotDelayCrash(t *testing.T) {
	down, unreached := reported(failure.EndpointDown, failure.NotRun), reported(failure.EndpointUnreachable, failure.NotRun)
	for _, tc := range []struct {
		name string
		// other is what the VM that is not suspended says, and works whether this VM reaches another endpoint.
		other error
		works bool
		down  bool
		limit time.Duration
	}{
		{name: "the other VM finds it down", other: down, works: true, down: true, limit: inquiryPatience},
		{name: "the other VM reaches it", works: true, limit: 0},
		{name: "the other VM does not reach it", other: unreached, works: true, limit: inquiryTimeout},
		{name: "this VM reaches nothing", other: down, down: true, limit: inquiryTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &fakeNetwork{direct: errConnectRefused, reached: map[string]bool{"f": tc.works}, through: map[string]error{"b1": tc.other}}
				c, d := newTestClient(n, "e", "f")
				c.cfg.Hop = suspendedVM{fakeHop{n}, "a1"}
				start := time.Now()
				err := c.Connect(t.Context(), d.Snapshot().Endpoint("e"))
				if got := errors.Is(err, unix.ECONNREFUSED); got != tc.down {
					t.Errorf("down: %t", got)
				}
				if took := time.Since(start); took > tc.limit {
					t.Errorf("decided after %v, want %v", took, tc.limit)
				}
				time.Sleep(inquiryTimeout)
			})
		})
	}
}

// Guards against a VM that has taken an endpoint to be down while it could ask no other VM, and then never
// learns that others reach it.
func TestEndpointTakenToBeDownIsReachedThroughAnotherVM(t *testing.T) {
	n := &fakeNetwork{direct: errConnectRefused}
	c, d := newTestClient(n, "e", "f")
	c.cfg.Down = func(e *directory.Endpoint) bool { return e.ID == "e" }
	e := d.Snapshot().Endpoint("e")
	if _, err := c.Do(t.Context(), e, &h1.Request{}); err != nil {
		t.Errorf("the request failed: %v", err)
	}
	if err := c.Connect(t.Context(), e); errors.Is(err, unix.ECONNREFUSED) {
		t.Error("the endpoint counts as down, though another VM reaches it")
	}
}
