package reach

import (
	"errors"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sys/unix"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/hop"
	"github.com/springweir/springweir/internal/h1"
)

// A VM that did not help as it stopped helps again once it has restarted.
func TestRestartedVMHelpsAgain(t *testing.T) {
	for name, stopped := range map[string]error{
		"it was about to stop":  reported(failure.Stopping, failure.NotRun),
		"its process had ended": &h1.Error{Cause: &hop.ExchangeError{VM: "a1", Cause: unix.ECONNREFUSED}},
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
