package reach

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
)

// Connect opens a connection to an endpoint for the next request. If this VM does not reach the
// endpoint, others are asked. The error wraps unix.ECONNREFUSED only if they find the endpoint down
// too, or if none has answered and this VM reaches other endpoints.
func (c *Client) Connect(ctx context.Context, e *directory.Endpoint) error {
	return c.ConnectObserved(ctx, e, func() {})
}

// ConnectObserved is Connect, and calls refused as soon as this VM's own connection was refused.
func (c *Client) ConnectObserved(ctx context.Context, e *directory.Endpoint, refused func()) error {
	err := c.cfg.Direct.Connect(ctx, e)
	if errors.Is(err, unix.ECONNREFUSED) {
		refused()
	}
	if err == nil {
		c.recordOpen(e)
	}
	if err == nil || ctx.Err() != nil {
		return err
	}
	switch v := c.inquire(ctx, e, err); {
	case v == endpointDown, v == noVM && c.Works(ctx, e):
		return err
	case v == responded, v == noVM && ctx.Err() == nil:
		c.recordBroken(e, err)
	}
	return unreached(err)
}

// inquiry is what is known so far of an endpoint to which a connection of this VM has failed.
//
// A VM that is suspended does not answer, and must not delay the news of a crash: until then the endpoint
// and those that replace it receive the request that has crashed it again. If this VM was refused and
// reaches others of the zone, the verdict of those that have answered within inquiryPatience suffices, and
// after inquiryLimit its own.
type inquiry struct {
	// answers sums up what other VMs have said.
	answers verdicts
	// works is set once this VM, which was refused, is known to reach others of the zone.
	works bool
	// patienceOver and limitOver are set inquiryPatience and inquiryLimit after the start.
	patienceOver, limitOver bool
}

// down reports whether the endpoint is known to be down before all VMs have answered.
func (q *inquiry) down() bool {
	if !q.works {
		return false
	}
	return q.patienceOver && q.answers.sum() == endpointDown || q.limitOver && !q.answers.answered()
}

// inquire asks other VMs whether they reach an endpoint, several at once, after a connection of this VM has
// failed. For each that says nothing of it, another one is asked. Silent ones are not waited for. What they say counts also
// for later requests, so it is not cut short by the end of ctx.
func (c *Client) inquire(ctx context.Context, e *directory.Endpoint, cause error) verdict {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), inquiryTimeout)
	vms := c.responsiveVMs()
	vms = c.choose(e, vms, len(vms))
	answers, own := make(chan verdict, len(vms)), make(chan bool, 1)
	var asked sync.WaitGroup
	defer func() {
		go func() {
			asked.Wait()
			cancel()
		}()
	}()
	pending := 0
	ask := func(n int) {
		n = min(n, len(vms))
		for _, vm := range vms[:n] {
			asked.Go(func() { answers <- c.judge(ctx, vm, e, c.cfg.Hop.Connect(ctx, vm.Peer, e)) })
		}
		vms, pending = vms[n:], pending+n
	}
	if len(vms) > 0 && errors.Is(cause, unix.ECONNREFUSED) {
		go func() { own <- c.Works(ctx, e) }()
	}
	patience, limit := time.After(inquiryPatience), time.After(inquiryLimit)
	var q inquiry
	for ask(maxHops); pending > 0; {
		select {
		case v := <-answers:
			if v == responded {
				return responded
			}
			q.answers.add(v)
			pending--
			if !v.concernsEndpoint() {
				ask(1)
			}
		case q.works = <-own:
		case <-patience:
			q.patienceOver = true
		case <-limit:
			q.limitOver = true
		}
		if q.down() {
			return endpointDown
		}
	}
	if v := q.answers.sum(); v != noVM || !q.works {
		return v
	}
	return endpointDown
}

// unreached returns the error of a connection to an endpoint that may be up. It does not wrap the
// cause, which may be a refused connection.
func unreached(cause error) *Error {
	return &Error{Code: failure.EndpointUnreachable, Message: cause.Error()}
}

// RefusedByAll reports whether an endpoint refuses a connection of this VM and no other VM reaches it before ctx ends. Unlike
// for a crash, which Connect reports, it suffices that nobody is known to reach it. If this VM reaches the endpoint, the
// connection is kept for the next request.
func (c *Client) RefusedByAll(ctx context.Context, e *directory.Endpoint) bool {
	if c.cfg.Down(e) {
		return true
	}
	err := c.cfg.Direct.Connect(ctx, e)
	if !errors.Is(err, unix.ECONNREFUSED) {
		return false
	}
	reached := make(chan bool, 1)
	go func() { reached <- c.inquire(ctx, e, err) == responded }()
	select {
	case other := <-reached:
		return !other
	case <-ctx.Done():
		return true
	}
}

// RefusalIsOwn reports whether a connection that an endpoint refused may be due to this VM's network: it
// does not reach other endpoints of the zone.
func (c *Client) RefusalIsOwn(ctx context.Context, e *directory.Endpoint) bool {
	c.mu.Lock()
	broken := c.tracker.BrokenInZone(e.Zone)
	c.mu.Unlock()
	mayBeUp := func(other *directory.Endpoint) bool { return !c.cfg.Down(other) }
	return slices.ContainsFunc(broken, mayBeUp) || !c.Works(ctx, e)
}
