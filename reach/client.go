package reach

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
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

// maxHops is the number of VMs that are asked for one request, one after the other.
const maxHops = 3

// Sender sends a request to an endpoint at most once. The error is *h1.Error.
type Sender interface {
	Do(ctx context.Context, e *directory.Endpoint, out *h1.Request) (*h1.Response, error)
}

// Direct sends requests over this VM's own connections to endpoints.
type Direct interface {
	Sender
	// Connect opens a connection and keeps it for the next request.
	Connect(ctx context.Context, e *directory.Endpoint) error
	// HasIdle reports whether there is an open connection that no request uses.
	HasIdle(e *directory.Endpoint) bool
	// DropIdle closes the connections that no request uses.
	DropIdle(e *directory.Endpoint)
}

// Hop sends requests through other VMs. It is implemented by *hop.Client.
type Hop interface {
	Do(ctx context.Context, vm hop.Peer, e *directory.Endpoint, out *h1.Request) (*h1.Response, error)
	Connect(ctx context.Context, vm hop.Peer, e *directory.Endpoint) error
}

// Config configures a Client.
type Config struct {
	// Zone is this VM's availability zone.
	Zone   string
	Direct Direct
	Hop    Hop
	// VMs returns the other VMs that are responsive.
	VMs func() []VM
	// Endpoints returns the latest snapshot of the endpoints.
	Endpoints func() *directory.Snapshot
	// RequestID returns the ID of a request, given its headers, for the log.
	RequestID func(http.Header) string
}

// Client implements Sender. It is safe for concurrent use. No other lock is acquired while mu is
// held, and it is not held during I/O.
type Client struct {
	cfg Config
	// sweep is signalled when all paths are to be checked.
	sweep chan struct{}

	// working makes one check at a time of whether this VM reaches any endpoint. It is acquired
	// before mu.
	working sync.Mutex

	mu      sync.Mutex
	tracker *Tracker
	// cutOff is set while this VM reaches no endpoint that it has checked. worksUntil is how long the
	// last successful check counts.
	cutOff     bool
	worksUntil time.Time
}

var _ Sender = (*Client)(nil)

// NewClient returns a Client. Run must be called for broken paths to heal.
func NewClient(c Config) *Client {
	return &Client{cfg: c, sweep: make(chan struct{}, 1), tracker: NewTracker(c.Zone)}
}

// Do implements Sender.
func (c *Client) Do(ctx context.Context, e *directory.Endpoint, out *h1.Request) (*h1.Response, error) {
	if c.Unreached(e) {
		response, v, err := c.throughVMs(ctx, e, out)
		switch {
		case v.final():
			return response, err
		case v != endpointDown:
			return nil, &h1.Error{Cause: ErrUnreached}
		}
	}
	response, err := c.cfg.Direct.Do(ctx, e, out)
	if !notConnected(ctx, err) {
		return response, err
	}
	response, v, hopErr := c.throughVMs(ctx, e, out)
	switch {
	case v.final():
		c.recordBroken(e, err)
		return response, hopErr
	case v == endpointDown:
		return nil, err
	case !c.Works(ctx, e):
		c.recordBroken(e, err)
		return nil, &h1.Error{Cause: unreached(err)}
	case v == nextVM:
		return nil, &h1.Error{Cause: unreached(err)}
	}
	return nil, err
}

// Unreached reports whether an endpoint is known not to be reached directly, neither by a new nor by an
// open connection.
func (c *Client) Unreached(e *directory.Endpoint) bool {
	return c.broken(e) && !c.cfg.Direct.HasIdle(e)
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
// final, nothing was sent: no VM could be asked, those that were asked do not reach the endpoint
// either, or the last of them found it down.
func (c *Client) throughVMs(ctx context.Context, e *directory.Endpoint, out *h1.Request) (*h1.Response, verdict, error) {
	asked := noVM
	for _, vm := range c.choose(e) {
		response, err := c.cfg.Hop.Do(ctx, vm.Peer, e, out)
		v := c.judge(vm, e, err)
		if v == noVM {
			continue
		}
		asked = v
		if !v.final() {
			continue
		}
		countHop(v)
		klog.InfoS("reach: sent through another VM", "request", c.cfg.RequestID(out.Header), "endpoint", e.ID, "vm", vm.Name, "outcome", v, "err", err)
		return response, v, exchangeError(vm, err)
	}
	countHop(asked)
	return nil, asked, nil
}

// verdict is what the outcome of a hop says.
type verdict string

const (
	// responded means that the endpoint has responded.
	responded verdict = "responded"
	// refused means that the request was not sent to the endpoint for a reason other than its path.
	refused verdict = "refused"
	// unknown means that it is unknown whether the request ran.
	unknown verdict = "unknown"
	// noVM means that the VM could not be asked, and nextVM that it does not reach the endpoint or
	// passes on nothing now.
	noVM   verdict = "no-vm"
	nextVM verdict = "next-vm"
	// endpointDown means that the endpoint refuses connections of the other VM as well, which reaches
	// others. Another VM may be asked, since it may have lost the way to this one.
	endpointDown verdict = "endpoint-down"
)

// final reports whether the request may have reached the endpoint or must not be sent again.
func (v verdict) final() bool { return v == responded || v == refused || v == unknown }

// judge classifies the outcome of a hop and records what it says about the VM.
func (c *Client) judge(vm VM, e *directory.Endpoint, err error) verdict {
	var reported *hop.Error
	var exchange *h1.Error
	switch {
	case err == nil:
		return responded
	case errors.As(err, &reported):
		return c.judgeReport(vm, e, reported)
	case !errors.As(err, &exchange) || exchange.Sent:
		return unknown
	}
	var withdrawn *failure.Request
	if errors.As(err, &withdrawn) {
		return refused
	}
	c.avoid(vm, nil, unresponsiveTTL, "the VM is not reached")
	return noVM
}

// judgeReport classifies a failure that the other VM reported.
func (c *Client) judgeReport(vm VM, e *directory.Endpoint, reported *hop.Error) verdict {
	switch {
	case reported.Down && !c.isImpaired(vm):
		return endpointDown
	case reported.Down:
		return nextVM
	case !reported.NotRun():
		return unknown
	case reported.Busy:
		c.avoid(vm, nil, busyTTL, "the VM passes on too many requests")
		return nextVM
	case reported.Code == failure.Stopping:
		c.avoid(vm, nil, stoppingTTL, "the VM is about to stop")
		return nextVM
	case reported.Code == failure.EndpointUnreachable:
		c.avoid(vm, e, unreachedTTL, "the VM does not reach the endpoint either")
		return nextVM
	}
	return refused
}

// exchangeError returns the error of a hop in the form of that of a direct exchange.
func exchangeError(vm VM, err error) error {
	var reported *hop.Error
	if errors.As(err, &reported) {
		return &h1.Error{Sent: !reported.NotRun(), Cause: &Error{VM: vm.Name, Code: reported.Code, Message: reported.Error()}}
	}
	return err
}

// Connect opens a connection to an endpoint for the next request. If this VM does not reach the
// endpoint, another VM is asked. The error wraps unix.ECONNREFUSED only if that one finds the
// endpoint down too, or if none could be asked and this VM reaches other endpoints.
func (c *Client) Connect(ctx context.Context, e *directory.Endpoint) error {
	err := c.cfg.Direct.Connect(ctx, e)
	if err == nil || ctx.Err() != nil {
		return err
	}
	asked := noVM
	for _, vm := range c.choose(e) {
		v := c.judge(vm, e, c.cfg.Hop.Connect(ctx, vm.Peer, e))
		if v == noVM {
			continue
		}
		if asked = v; v.final() {
			break
		}
	}
	switch {
	case asked == endpointDown, asked == noVM && c.Works(ctx, e):
		return err
	case asked == responded, asked == noVM:
		c.recordBroken(e, err)
	}
	return unreached(err)
}

// unreached returns the error of a connection to an endpoint that may be up. It does not wrap the
// cause, which may be a refused connection.
func unreached(cause error) *Error {
	return &Error{Code: failure.EndpointUnreachable, Message: cause.Error()}
}

// choose returns the VMs to ask for an endpoint, in random order within their groups.
func (c *Client) choose(e *directory.Endpoint) []VM {
	vms := c.cfg.VMs()
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Choose(clock.Now(), e, vms, maxHops)
}

func (c *Client) avoid(vm VM, e *directory.Endpoint, ttl time.Duration, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Avoid(clock.Now(), vm.Name, e, ttl)
	klog.V(1).InfoS("reach: VM not asked for a while", "vm", vm.Name, "reason", reason, "for", ttl)
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
	klog.InfoS("reach: endpoint not reached directly", "endpoint", e.ID, "zone", e.Zone, "broken", n, "err", cause)
	if !errors.Is(cause, unix.ECONNREFUSED) {
		c.cfg.Direct.DropIdle(e)
	}
	if n == minImpaired {
		select {
		case c.sweep <- struct{}{}:
		default:
		}
	}
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
	return c.cutOff || c.tracker.Impaired()
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
