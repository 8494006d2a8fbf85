package reach

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/hop"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/h1"
)

const (
	// maxHops is the number of VMs whose word on an endpoint is asked for one request. Those that say nothing of it, as
	// they do not reach several themselves or do not run, do not count.
	maxHops = 3
	// inquiryLimit is the time after which a request asks no further VM, once maxHops were asked or one has had its
	// say. A VM that does not reach the endpoint either may take the timeout of a connection to say so.
	inquiryLimit = 100 * time.Millisecond
	// inquiryPatience is how long an inquiry waits for VMs whose verdict may differ from that of others. It
	// is several round trips within a region.
	inquiryPatience = 10 * time.Millisecond
	// inquiryTimeout bounds the inquiry whether VMs reach an endpoint.
	inquiryTimeout = 300 * time.Millisecond
)

// Sender sends a request to an endpoint at most once. The error is *h1.Error.
type Sender interface {
	Do(ctx context.Context, e *directory.Endpoint, out *h1.Request) (*h1.Response, error)
}

// Direct sends requests over this VM's own connections to endpoints.
type Direct interface {
	Sender
	// Connect opens a connection and keeps it for the next request.
	Connect(ctx context.Context, e *directory.Endpoint) error
	// Check reports whether the endpoint responds on a new connection. The error is *h1.Error.
	Check(ctx context.Context, e *directory.Endpoint) error
	// HasIdle reports whether there is an open connection that no request uses.
	HasIdle(e *directory.Endpoint) bool
	// DropIdle closes the connections that no request uses.
	DropIdle(e *directory.Endpoint)
}

// Hop sends requests through other VMs. It is implemented by *hop.Client.
type Hop interface {
	Do(ctx context.Context, vm hop.Peer, e *directory.Endpoint, out *h1.Request) (*h1.Response, error)
	// Ready asks a VM whether it would pass on a request.
	Ready(ctx context.Context, vm hop.Peer, e *directory.Endpoint) error
	Connect(ctx context.Context, vm hop.Peer, e *directory.Endpoint) error
	// Check asks a VM whether an endpoint responds to it.
	Check(ctx context.Context, vm hop.Peer, e *directory.Endpoint) error
}

// Config configures a Client.
type Config struct {
	// Zone is this VM's availability zone.
	Zone   string
	Direct Direct
	Hop    Hop
	// VMs returns the other VMs, in a slice of its own.
	VMs func() []VM
	// Endpoints returns the latest snapshot of the endpoints.
	Endpoints func() *directory.Snapshot
	// Down reports whether an endpoint is known to be down, so that a failed connection to it says nothing
	// about this VM. Nil means that none is.
	Down func(*directory.Endpoint) bool
	// RequestID returns the ID of a request, given its headers, for the log.
	RequestID func(http.Header) string
}

// Client implements Sender. It is safe for concurrent use. No other lock is acquired while mu is
// held, and it is not held during I/O.
type Client struct {
	cfg Config
	// sweep is signalled when all paths are to be checked.
	sweep chan struct{}

	// working holds an element while a check of whether this VM reaches any endpoint is made. mu may
	// be acquired meanwhile.
	working chan struct{}

	mu      sync.Mutex
	tracker *Tracker
	// checks holds the last such check by zone, and connected the endpoint to which a connection was
	// last opened.
	checks    map[string]zoneCheck
	connected map[string]*directory.Endpoint
}

var _ Sender = (*Client)(nil)

// NewClient returns a Client. Run must be called for broken paths to heal.
func NewClient(c Config) *Client {
	if c.Down == nil {
		c.Down = func(*directory.Endpoint) bool { return false }
	}
	return &Client{cfg: c, sweep: make(chan struct{}, 1), working: make(chan struct{}, 1), tracker: NewTracker(c.Zone), checks: map[string]zoneCheck{}, connected: map[string]*directory.Endpoint{}}
}

// Do implements Sender.
func (c *Client) Do(ctx context.Context, e *directory.Endpoint, out *h1.Request) (*h1.Response, error) {
	if !c.Unreached(e) {
		return c.doDirectly(ctx, e, out)
	}
	response, v, err := c.throughVMs(ctx, e, out)
	switch {
	case v.final():
		return response, err
	case v != endpointDown:
		return nil, &h1.Error{Cause: ErrUnreached}
	}
	c.recordDown(e)
	return c.cfg.Direct.Do(ctx, e, out)
}

// doDirectly sends a request directly or, if no connection can be opened, through another VM.
func (c *Client) doDirectly(ctx context.Context, e *directory.Endpoint, out *h1.Request) (*h1.Response, error) {
	response, err := c.sendWatched(ctx, e, out)
	if !notConnected(ctx, err) {
		return response, err
	}
	response, v, hopErr := c.throughVMs(ctx, e, out)
	switch {
	case v.reached():
		c.recordBroken(e, err)
		return response, hopErr
	case v.final():
		return response, hopErr
	case v == endpointDown, v == noVM && c.Works(ctx, e):
		return nil, err
	case v == noVM && ctx.Err() == nil:
		c.recordBroken(e, err)
	}
	return nil, &h1.Error{Cause: unreached(err)}
}

// Unreached reports whether an endpoint is known not to be reached directly, neither by a new nor by an
// open connection.
func (c *Client) Unreached(e *directory.Endpoint) bool {
	c.mu.Lock()
	broken, silent := c.tracker.Broken(e), c.tracker.Silent(e)
	c.mu.Unlock()
	return broken && (silent || !c.cfg.Direct.HasIdle(e))
}

// notConnected reports whether a request failed because no connection to the endpoint could be
// opened.
func notConnected(ctx context.Context, err error) bool {
	var exchange *h1.Error
	if ctx.Err() != nil || !errors.As(err, &exchange) || exchange.Sent || exchange.Reused {
		return false
	}
	var withdrawn *failure.Request
	return !errors.As(exchange.Cause, &withdrawn)
}

// throughVMs sends a request through other VMs until one reaches the endpoint. If the verdict is not
// final, nothing was sent to the endpoint.
func (c *Client) throughVMs(ctx context.Context, e *directory.Endpoint, out *h1.Request) (*h1.Response, verdict, error) {
	if c.recentlyUnreached(e) {
		return nil, notReached, nil
	}
	request := c.cfg.RequestID(out.Header)
	s := c.newSearch(ctx, e)
	defer s.stop()
	for {
		vm, v, err := s.next()
		if v == responded {
			var response *h1.Response
			if response, err = c.cfg.Hop.Do(ctx, vm.Peer, e, out); err == nil {
				response.Explain = func(err error) error { return c.explainBreak(ctx, vm, e, err) }
			}
			if v = c.judge(ctx, vm, e, err); !v.final() {
				s.verdicts.add(v)
				continue
			}
			countHop(v)
			klog.InfoS("reach: sent through another VM", "request", request, "endpoint", e.ID, "vm", vm.Name, "outcome", v, "err", err)
			return response, v, exchangeError(vm, err)
		}
		countHop(v)
		if v.final() {
			return nil, v, exchangeError(vm, err)
		}
		c.logUnhelped(request, e, v, s.asked)
		if v == notReached {
			c.recordUnreached(e)
		}
		return nil, v, nil
	}
}

// explainBreak returns the error for a response of an endpoint through a VM that has broken off: *LostVMError if the VM was
// lost. If it responds, it was the endpoint's.
func (c *Client) explainBreak(ctx context.Context, vm VM, e *directory.Endpoint, err error) error {
	if ctx.Err() != nil {
		return err
	}
	readyCtx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	ready := c.cfg.Hop.Ready(readyCtx, vm.Peer, e)
	var reported *hop.Error
	if ready == nil || errors.As(ready, &reported) || ctx.Err() != nil {
		return err
	}
	c.judgeReady(ctx, vm, e, ready)
	return &LostVMError{VM: vm.Name, Cause: err}
}

// logUnhelped logs that no other VM reached an endpoint for a request, and why VMs were not asked.
func (c *Client) logUnhelped(request string, e *directory.Endpoint, v verdict, asked int) {
	vms := c.cfg.VMs()
	c.mu.Lock()
	count := c.tracker.count(clock.Now(), e, vms)
	c.mu.Unlock()
	klog.InfoS("reach: no other VM reached the endpoint", "request", request, "endpoint", e.ID, "outcome", v, "asked", asked,
		"vms", count.known, "silent", count.silent, "demoted", count.demoted, "avoided", count.avoided, "impaired", count.impaired)
}

// exchangeError returns the error of a hop in the form of that of a direct exchange.
func exchangeError(vm VM, err error) error {
	var reported *hop.Error
	if errors.As(err, &reported) {
		return &h1.Error{Sent: !reported.NotRun(), Cause: &Error{VM: vm.Name, Code: reported.Code, Message: reported.Error()}}
	}
	return err
}

// recentlyUnreached reports whether the VMs that were asked a moment ago did not reach an endpoint.
func (c *Client) recentlyUnreached(e *directory.Endpoint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.RecentlyUnreached(clock.Now(), e)
}

func (c *Client) recordUnreached(e *directory.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Avoid(clock.Now(), "", e, allUnreachedTTL)
}

// choose returns at most n of the VMs to ask for an endpoint, in random order within their groups. It changes the order of vms.
func (c *Client) choose(e *directory.Endpoint, vms []VM, n int) []VM {
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Choose(clock.Now(), e, vms, n)
}

// responsiveVMs returns the other VMs that are not silent.
func (c *Client) responsiveVMs() []VM {
	vms := c.cfg.VMs()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	return slices.DeleteFunc(vms, func(vm VM) bool { return c.tracker.isSilent(now, vm) })
}

func (c *Client) recordAnswered(vm VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.SetAnswered(clock.Now(), vm.Name)
}

// justAnswered reports whether a VM has answered so recently that it need not show that it is responsive.
func (c *Client) justAnswered(vm VM) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.JustAnswered(clock.Now(), vm.Name)
}

func (c *Client) recordHelped(vm VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.SetAnswered(clock.Now(), vm.Name)
	c.tracker.SetHelped(vm.Name)
}

func (c *Client) demote(vm VM, ttl time.Duration, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Demote(clock.Now(), vm.Name, ttl)
	klog.InfoS("reach: VM asked after others for a while", "vm", vm.Name, "reason", reason, "forMS", ttl.Milliseconds())
}

func (c *Client) avoid(vm VM, e *directory.Endpoint, ttl time.Duration, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Avoid(clock.Now(), vm.Name, e, ttl)
	level := klog.Level(0)
	if e != nil {
		level = 1 // one for each endpoint
	}
	klog.V(level).InfoS("reach: VM not asked for a while", "vm", vm.Name, "reason", reason, "forMS", ttl.Milliseconds())
}

func (c *Client) broken(e *directory.Endpoint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Broken(e)
}

// recordBroken records that this VM does not reach an endpoint that may be up. Unless the
// connection was refused, open connections are unresponsive too, in all likelihood.
func (c *Client) recordBroken(e *directory.Endpoint, cause error) {
	c.mu.Lock()
	isNew := c.tracker.SetBroken(clock.Now(), e)
	n := c.tracker.NumBroken()
	c.mu.Unlock()
	if !isNew {
		return
	}
	if !errors.Is(cause, unix.ECONNREFUSED) {
		c.cfg.Direct.DropIdle(e)
	}
	c.announceBroken(e, n, cause)
}

// announceBroken logs that a path is broken, the nth, and has all others checked once several are.
func (c *Client) announceBroken(e *directory.Endpoint, n int, cause error) {
	klog.InfoS("reach: endpoint not reached directly", "endpoint", e.ID, "zone", e.Zone, "broken", n, "err", cause)
	if n == minImpaired {
		select {
		case c.sweep <- struct{}{}:
		default:
		}
	}
}

// recordDown records that an endpoint with a broken path is down, so that nothing is known of the path.
func (c *Client) recordDown(e *directory.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Forget(e)
	klog.InfoS("reach: endpoint with a broken path is down", "endpoint", e.ID, "zone", e.Zone, "broken", c.tracker.NumBroken())
}

// ReceiveImpaired records the VMs that other VMs report to be impaired.
func (c *Client) ReceiveImpaired(hashes []uint32) {
	if len(hashes) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.ReceiveImpaired(clock.Now(), hashes)
}

// Impaired reports whether this VM does not reach several endpoints, so that others should be asked
// first to pass requests on.
func (c *Client) Impaired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Impaired() || c.cutOff()
}

func (c *Client) isImpaired(vm VM) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.isImpaired(clock.Now(), vm.Name)
}

// NumBroken returns the number of endpoints that this VM does not reach directly.
func (c *Client) NumBroken() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.NumBroken()
}
