package reach

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sys/unix"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/hop"
	"github.com/springweir/springweir/internal/h1"
	"github.com/springweir/springweir/loadshare"
)

var (
	errConnectRefused = &h1.Error{Cause: &net.OpError{Op: "dial", Err: unix.ECONNREFUSED}}
	errConnectTimeout = &h1.Error{Cause: &net.OpError{Op: "dial", Err: context.DeadlineExceeded}}
	errBroke          = &h1.Error{Sent: true, Cause: unix.ECONNRESET}
)

// fakeNetwork implements Direct and Hop with predefined outcomes, and records the calls.
type fakeNetwork struct {
	mu sync.Mutex
	// reached holds the endpoints to which connections succeed whatever direct says.
	reached map[string]bool
	// direct is the outcome of direct requests and connections; idle is whether a connection is open.
	direct error
	idle   bool
	// through holds the outcome of a hop by VM.
	through map[string]error
	// notReady holds why a VM would not pass on requests.
	notReady map[string]error
	calls    []string
}

func (n *fakeNetwork) record(call string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls = append(n.calls, call)
}

// set sets the outcome of direct requests, and whether a connection is open.
func (n *fakeNetwork) set(direct error, idle bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.direct, n.idle = direct, idle
}

// outcome records a direct call and returns its outcome.
func (n *fakeNetwork) outcome(call string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls = append(n.calls, call)
	return n.direct
}

// take returns the calls since the last time.
func (n *fakeNetwork) take() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	calls := n.calls
	n.calls = nil
	return calls
}

func (n *fakeNetwork) Do(_ context.Context, e *directory.Endpoint, _ *h1.Request) (*h1.Response, error) {
	return result(n.outcome("direct " + e.ID))
}

func (n *fakeNetwork) Connect(_ context.Context, e *directory.Endpoint) error {
	err := n.outcome("connect " + e.ID)
	if n.reached[e.ID] {
		return nil
	}
	return err
}

func (n *fakeNetwork) Check(ctx context.Context, e *directory.Endpoint) error {
	return n.Connect(ctx, e)
}

func (n *fakeNetwork) HasIdle(*directory.Endpoint) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.idle
}

func (n *fakeNetwork) DropIdle(e *directory.Endpoint) { n.record("drop " + e.ID) }

// fakeHop implements Hop on a fakeNetwork.
type fakeHop struct{ *fakeNetwork }

func (h fakeHop) Do(_ context.Context, vm hop.Peer, e *directory.Endpoint, _ *h1.Request) (*h1.Response, error) {
	h.record(vm.Name + " " + e.ID)
	return result(h.through[vm.Name])
}

func (h fakeHop) Ready(_ context.Context, vm hop.Peer, _ *directory.Endpoint) error {
	return h.notReady[vm.Name]
}

func (h fakeHop) Check(_ context.Context, vm hop.Peer, _ *directory.Endpoint) error {
	return h.through[vm.Name]
}

func (h fakeHop) Connect(_ context.Context, vm hop.Peer, e *directory.Endpoint) error {
	h.record(vm.Name + " connects to " + e.ID)
	return h.through[vm.Name]
}

func result(err error) (*h1.Response, error) {
	if err != nil {
		return nil, err
	}
	return &h1.Response{Status: http.StatusOK}, nil
}

func reported(code failure.Reason, ran failure.Outcome) *hop.Error {
	return &hop.Error{VM: "v", Code: code, Outcome: ran, Down: code == failure.EndpointDown, Busy: code == failure.VMBusy}
}

// newTestClient returns a client of a VM in zone a, with the VMs a1 in its zone and b1 in another.
func newTestClient(n *fakeNetwork, endpoints ...string) (*Client, *directory.Directory) {
	d := directory.New(nil)
	for _, id := range endpoints {
		d.Put(directory.Registration{ID: id, Zone: "a"})
	}
	return NewClient(Config{
		Zone: "a", Direct: n, Hop: fakeHop{n}, Endpoints: d.Snapshot, RequestID: func(http.Header) string { return "r" },
		VMs: func() []VM { return []VM{vm("b1", "b"), vm("a1", "a")} },
	}), d
}

func TestDo(t *testing.T) {
	unreached := reported(failure.EndpointUnreachable, failure.NotRun)
	unreachedVM := &h1.Error{Cause: &hop.ExchangeError{VM: "a1", Cause: unix.ECONNRESET}}
	for _, tc := range []struct {
		name    string
		direct  error
		through map[string]error
		calls   []string
		// others are further endpoints, and reached those to which connections succeed.
		others  []string
		reached map[string]bool
		// broken is whether the path counts as broken afterwards; fails, notRun and down describe the error.
		broken, fails, notRun, down bool
	}{
		{name: "direct", calls: []string{"direct e"}},
		{name: "a request that was sent is not repeated", direct: errBroke, calls: []string{"direct e"}, fails: true},
		{name: "refused here, reached by another", direct: errConnectRefused, calls: []string{"direct e", "a1 e"}, broken: true},
		{name: "not open in time, reached by another", direct: errConnectTimeout, calls: []string{"direct e", "a1 e", "drop e"}, broken: true},
		{name: "down for one other VM only", direct: errConnectRefused, through: map[string]error{"a1": reported(failure.EndpointDown, failure.NotRun)},
			calls: []string{"direct e", "a1 e", "b1 e"}, broken: true},
		{name: "down for all", direct: errConnectRefused, through: map[string]error{"a1": reported(failure.EndpointDown, failure.NotRun), "b1": reported(failure.EndpointDown, failure.NotRun)},
			calls: []string{"direct e", "a1 e", "b1 e"}, fails: true, notRun: true, down: true},
		{name: "the next VM reaches it", direct: errConnectRefused, through: map[string]error{"a1": unreached}, calls: []string{"direct e", "a1 e", "b1 e"}, broken: true},
		{name: "a VM that is not reached itself", direct: errConnectRefused, through: map[string]error{"a1": unreachedVM}, calls: []string{"direct e", "a1 e", "b1 e"}, broken: true},
		{name: "a busy VM", direct: errConnectRefused, through: map[string]error{"a1": reported(failure.VMBusy, failure.NotRun)}, calls: []string{"direct e", "a1 e", "b1 e"}, broken: true},
		{name: "a VM that stops", direct: errConnectRefused, through: map[string]error{"a1": reported(failure.Stopping, failure.NotRun)}, calls: []string{"direct e", "a1 e", "b1 e"}, broken: true},
		{name: "refused here, no VM reaches it", direct: errConnectRefused, through: map[string]error{"a1": unreached, "b1": unreached}, calls: []string{"direct e", "a1 e", "b1 e"}, fails: true, notRun: true},
		{name: "refused here, no VM is reached, nor another endpoint", others: []string{"f"}, direct: errConnectRefused, through: map[string]error{"a1": unreachedVM, "b1": unreachedVM},
			calls: []string{"direct e", "a1 e", "b1 e", "connect f"}, fails: true, notRun: true, broken: true},
		{name: "refused here, no VM is reached, but another endpoint", others: []string{"f"}, reached: map[string]bool{"f": true}, direct: errConnectRefused, through: map[string]error{"a1": unreachedVM, "b1": unreachedVM},
			calls: []string{"direct e", "a1 e", "b1 e", "connect f"}, fails: true, notRun: true, down: true},
		{name: "refused here, no VM is reached", direct: errConnectRefused, through: map[string]error{"a1": unreachedVM, "b1": unreachedVM}, calls: []string{"direct e", "a1 e", "b1 e"}, fails: true, notRun: true, down: true},
		{name: "no VM reaches it", direct: errConnectTimeout, through: map[string]error{"a1": unreached, "b1": unreached}, calls: []string{"direct e", "a1 e", "b1 e"}, fails: true, notRun: true},
		{name: "unknown outcome of the hop", direct: errConnectRefused, through: map[string]error{"a1": reported(failure.EndpointBroke, failure.Unknown)},
			calls: []string{"direct e", "a1 e"}, broken: true, fails: true},
		{name: "the other VM is lost after sending", direct: errConnectRefused, through: map[string]error{"a1": errBroke}, calls: []string{"direct e", "a1 e"}, fails: true},
		{name: "the endpoint drains according to the other VM", direct: errConnectRefused, through: map[string]error{"a1": reported(failure.EndpointLeaving, failure.NotRun)},
			calls: []string{"direct e", "a1 e"}, fails: true, notRun: true},
		{name: "withdrawn before it was sent", direct: errConnectRefused, through: map[string]error{"a1": &h1.Error{Cause: &failure.Request{Code: failure.PlanChanged, Ran: failure.NotRun}}},
			calls: []string{"direct e", "a1 e"}, fails: true, notRun: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n := &fakeNetwork{direct: tc.direct, through: tc.through, reached: tc.reached}
			c, d := newTestClient(n, append(tc.others, "e")...)
			e := d.Snapshot().Endpoint("e")
			_, err := c.Do(t.Context(), e, &h1.Request{})
			if diff := cmp.Diff(tc.calls, n.take()); diff != "" {
				t.Error(diff)
			}
			var exchange *h1.Error
			isNotRun := errors.As(err, &exchange) && !exchange.Sent
			if (err != nil) != tc.fails || isNotRun != tc.notRun || errors.Is(err, unix.ECONNREFUSED) != tc.down || c.broken(e) != tc.broken {
				t.Errorf("error %v, not run %t, broken %t", err, isNotRun, c.broken(e))
			}
		})
	}
}

// Requests to an endpoint with a broken path go through another VM at once, unless a connection
// lives on. Its healing is found without them.
func TestBrokenPathIsNotTriedByRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &fakeNetwork{direct: errConnectRefused}
		c, d := newTestClient(n, "e")
		e := d.Snapshot().Endpoint("e")
		ctx, stop := context.WithCancel(t.Context())
		defer func() { stop(); synctest.Wait() }()
		go c.Run(ctx)
		_, _ = c.Do(ctx, e, &h1.Request{})
		n.take()
		_, _ = c.Do(ctx, e, &h1.Request{})
		if diff := cmp.Diff([]string{"a1 e"}, n.take()); diff != "" {
			t.Error(diff)
		}
		n.set(errConnectRefused, true)
		_, _ = c.Do(ctx, e, &h1.Request{})
		if diff := cmp.Diff([]string{"direct e", "a1 e"}, n.take()); diff != "" {
			t.Error(diff)
		}
		n.set(errConnectRefused, false)
		time.Sleep(time.Second)
		n.set(nil, false)
		healed := time.Now()
		for c.broken(e) {
			time.Sleep(10 * time.Millisecond)
		}
		if took := time.Since(healed); took > maxCheckInterval+roundInterval {
			t.Errorf("the healed path was found after %v", took)
		}
		n.take()
		_, _ = c.Do(ctx, e, &h1.Request{})
		if diff := cmp.Diff([]string{"direct e"}, n.take()); diff != "" {
			t.Error(diff)
		}
	})
}

// A request that neither this VM nor another one can send is refused without waiting.
func TestUnreachedEndpointIsRefusedAtOnce(t *testing.T) {
	n := &fakeNetwork{direct: errConnectTimeout}
	c, d := newTestClient(n, "e")
	e := d.Snapshot().Endpoint("e")
	_, _ = c.Do(t.Context(), e, &h1.Request{})
	n.take()
	unreached := reported(failure.EndpointUnreachable, failure.NotRun)
	n.through = map[string]error{"a1": unreached, "b1": unreached}
	var exchange *h1.Error
	if _, err := c.Do(t.Context(), e, &h1.Request{}); !errors.As(err, &exchange) || exchange.Sent || failure.ReasonOf(err) != failure.EndpointUnreachable {
		t.Errorf("got %v", err)
	}
	if diff := cmp.Diff([]string{"a1 e", "b1 e"}, n.take()); diff != "" {
		t.Error(diff)
	}
}

// Once two paths are broken, the others are checked without requests, and the VM reports that it is
// impaired.
func TestAllPathsAreCheckedOnceTwoAreBroken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &fakeNetwork{direct: errConnectTimeout}
		c, d := newTestClient(n, "e1", "e2", "e3", "e4")
		ctx, stop := context.WithCancel(t.Context())
		defer func() { stop(); synctest.Wait() }()
		go c.Run(ctx)
		_, _ = c.Do(ctx, d.Snapshot().Endpoint("e1"), &h1.Request{})
		time.Sleep(50 * time.Millisecond)
		if c.NumBroken() != 1 || c.Impaired() {
			t.Errorf("%d broken paths, impaired %t", c.NumBroken(), c.Impaired())
		}
		_, _ = c.Do(ctx, d.Snapshot().Endpoint("e2"), &h1.Request{})
		synctest.Wait()
		if c.NumBroken() != 4 || !c.Impaired() {
			t.Errorf("%d broken paths, impaired %t", c.NumBroken(), c.Impaired())
		}
	})
}

// An endpoint that refuses this VM's connections alone is not down.
func TestConnectAsksAnotherVM(t *testing.T) {
	for name, tc := range map[string]struct {
		through error
		down    bool
	}{
		"reached by the other":   {nil, false},
		"down for the other too": {reported(failure.EndpointDown, failure.NotRun), true},
		"not reached by others":  {reported(failure.EndpointUnreachable, failure.NotRun), false},
		"no VM is reached":       {&h1.Error{Cause: &hop.ExchangeError{VM: "v", Cause: unix.ETIMEDOUT}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			n := &fakeNetwork{direct: errConnectRefused, through: map[string]error{"a1": tc.through, "b1": tc.through}}
			c, d := newTestClient(n, "e")
			if got := errors.Is(c.Connect(t.Context(), d.Snapshot().Endpoint("e")), unix.ECONNREFUSED); got != tc.down {
				t.Errorf("down: %t", got)
			}
		})
	}
}

// A VM that reaches none of several endpoints is cut off: it says so, does not try them again for each
// request, and finds out when it reaches one again.
func TestWorks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &fakeNetwork{direct: errConnectRefused}
		c, d := newTestClient(n, "e1", "e2", "e3")
		e := d.Snapshot().Endpoint("e1")
		ctx, stop := context.WithCancel(t.Context())
		defer func() { stop(); synctest.Wait() }()
		if c.Works(ctx, e) || !c.Impaired() || len(n.take()) != 2 {
			t.Error("a VM that reaches nothing is not cut off")
		}
		if c.Works(ctx, e) || len(n.take()) != 0 {
			t.Error("a VM that is cut off connects again")
		}
		go c.Run(ctx)
		n.set(nil, false)
		time.Sleep(maxCheckInterval + roundInterval)
		if c.Impaired() || !c.Works(ctx, e) {
			t.Error("a VM that reaches endpoints again is cut off")
		}
	})
}

// A VM that reports to be impaired is asked last.
func TestImpairedVMIsAskedLast(t *testing.T) {
	n := &fakeNetwork{direct: errConnectRefused}
	c, d := newTestClient(n, "e")
	c.ReceiveImpaired([]uint32{loadshare.Hash("a1")})
	_, _ = c.Do(t.Context(), d.Snapshot().Endpoint("e"), &h1.Request{})
	if diff := cmp.Diff([]string{"direct e", "b1 e"}, n.take()); diff != "" {
		t.Error(diff)
	}
}
