package reach

import (
	"context"
	"errors"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sys/unix"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/hop"
	"github.com/springweir/springweir/internal/h1"
)

// A VM that did not help as it stopped helps again once it has restarted.
func TestRestartedVMHelpsAgain(t *testing.T) {
	for name, stopped := range map[string]error{
		"it was about to stop":   reported(failure.Stopping, failure.NotRun),
		"its process was ending": &h1.Error{Cause: &hop.ExchangeError{VM: "a1", Cause: unix.ECONNRESET}},
		"its process had ended":  &h1.Error{Cause: &hop.ExchangeError{VM: "a1", Cause: unix.ECONNREFUSED}},
	} {
		t.Run(name, func(t *testing.T) {
			n := &fakeNetwork{direct: errConnectRefused, through: map[string]error{"a1": stopped}}
			c, d := newTestClient(n, "e")
			c.cfg.VMs = func() []VM { return []VM{vm("a1", "a")} }
			e := d.Snapshot().Endpoint("e")
			if _, err := c.Do(t.Context(), e, &h1.Request{}); err == nil {
				t.Error("a request was served though no VM helped")
			}
			n.through = nil
			if _, err := c.Do(t.Context(), e, &h1.Request{}); err != nil {
				t.Error(err)
			}
		})
	}
}

// A request is not handed to a VM that does not respond, since it may run any time later: another one passes it on.
func TestSuspendedVMTakesNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &fakeNetwork{direct: errConnectRefused}
		c, d := newTestClient(n, "e")
		c.cfg.Hop = suspendedVM{fakeHop{n}, "a1"}
		e := d.Snapshot().Endpoint("e")
		for _, step := range []struct {
			request string
			limit   time.Duration
		}{{"first", readyTimeout}, {"next", 0}} {
			start := time.Now()
			if _, err := c.Do(t.Context(), e, &h1.Request{}); err != nil {
				t.Errorf("the %s request: %v", step.request, err)
			}
			if took := time.Since(start); took > step.limit {
				t.Errorf("the %s request took %v", step.request, took)
			}
			if diff := cmp.Diff([]string{"b1 e"}, slices.DeleteFunc(n.take(), func(call string) bool { return call == "direct e" })); diff != "" {
				t.Errorf("the %s request: %s", step.request, diff)
			}
			time.Sleep(2 * justAnsweredTTL)
		}
	})
}

// slowVM is a Hop of which one VM answers late.
type slowVM struct {
	fakeHop
	name  string
	takes time.Duration
}

func (h slowVM) Ready(ctx context.Context, vm hop.Peer, e *directory.Endpoint) error {
	if vm.Name == h.name {
		if err := wait(ctx, h.takes); err != nil {
			return &h1.Error{Sent: true, Cause: &hop.ExchangeError{VM: vm.Name, Cause: err}}
		}
	}
	return h.fakeHop.Ready(ctx, vm, e)
}

// A VM to which the way is slow helps if no other does, and does not delay a request that another one takes.
func TestSlowVMHelps(t *testing.T) {
	for _, tc := range []struct {
		name string
		vms  []VM
		want []string
		took time.Duration
	}{
		{"alone", []VM{vm("a1", "a")}, []string{"direct e", "a1 e"}, 3 * readyTimeout},
		{"beside another one", []VM{vm("a1", "a"), vm("b1", "b")}, []string{"direct e", "b1 e"}, readyTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &fakeNetwork{direct: errConnectRefused}
				c, d := newTestClient(n, "e")
				c.cfg.Hop, c.cfg.VMs = slowVM{fakeHop{n}, "a1", 3 * readyTimeout}, func() []VM { return slices.Clone(tc.vms) }
				start := time.Now()
				if _, err := c.Do(t.Context(), d.Snapshot().Endpoint("e"), &h1.Request{}); err != nil {
					t.Error(err)
				}
				if diff := cmp.Diff(tc.want, n.take()); diff != "" || time.Since(start) != tc.took {
					t.Errorf("took %v: %s", time.Since(start), diff)
				}
			})
		})
	}
}

// A request that ends while a VM is asked fails as cancelled.
func TestRequestThatEndsDuringSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &fakeNetwork{direct: errConnectRefused}
		c, d := newTestClient(n, "e")
		c.cfg.Hop, c.cfg.VMs = suspendedVM{fakeHop{n}, "a1"}, func() []VM { return []VM{vm("a1", "a")} }
		for _, limit := range []time.Duration{readyTimeout / 2, 2 * readyTimeout, 2 * searchTimeout} {
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			response, err := c.Do(ctx, d.Snapshot().Endpoint("e"), &h1.Request{})
			cancel()
			if response != nil || err == nil {
				t.Errorf("within %v: got %v, %v", limit, response, err)
			}
			if n := slices.Index(n.take(), "a1 e"); n >= 0 {
				t.Error("the request was handed to the suspended VM")
			}
		}
	})
}

// A response that breaks off is the endpoint's fault only if the VM that passed it on is still there.
func TestBreakThroughLostVMIsNotTheEndpoints(t *testing.T) {
	n := &fakeNetwork{direct: errConnectRefused}
	c, d := newTestClient(n, "e")
	c.cfg.VMs = func() []VM { return []VM{vm("a1", "a")} }
	response, err := c.Do(t.Context(), d.Snapshot().Endpoint("e"), &h1.Request{})
	if err != nil {
		t.Fatal(err)
	}
	if got := response.Explain(io.ErrUnexpectedEOF); got != io.ErrUnexpectedEOF {
		t.Errorf("the VM responds: got %v", got)
	}
	n.notReady = map[string]error{"a1": &h1.Error{Cause: &hop.ExchangeError{VM: "a1", Cause: unix.ECONNREFUSED}}}
	if got := response.Explain(io.ErrUnexpectedEOF); !failure.IsPeerLost(got) || !errors.Is(got, io.ErrUnexpectedEOF) {
		t.Errorf("the VM has ended: got %v", got)
	}
}
