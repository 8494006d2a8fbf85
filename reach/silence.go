package reach

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/h1"
)

// A way that accepts connections and carries nothing, as behind a proxy or a firewall with state, looks like an endpoint
// that takes long. If an endpoint does not respond for a while, this VM asks it for something that it answers at once.
// If it does not respond to this VM, but to another one, the path is broken.

const (
	// silenceLimit is how long a request waits for a response before the path is checked.
	silenceLimit = 500 * time.Millisecond
	// silenceCheckInterval is the least time between two such checks of an endpoint.
	silenceCheckInterval = time.Second
	// checkTimeout bounds the wait for a response to a check, which an endpoint sends at once.
	checkTimeout = 250 * time.Millisecond
)

// silentError is the cause of a path that is broken because connections carry nothing.
type silentError struct{}

// Error implements error.
func (*silentError) Error() string { return "connections are accepted and carry nothing" }

// Reason implements failure.Coded.
func (*silentError) Reason() failure.Reason { return failure.EndpointUnreachable }

// sendWatched sends a request directly, and checks the path if there is no response for silenceLimit.
func (c *Client) sendWatched(ctx context.Context, e *directory.Endpoint, out *h1.Request) (*h1.Response, error) {
	watch := time.AfterFunc(silenceLimit, func() { c.checkOverdue(e) })
	response, err := c.cfg.Direct.Do(ctx, e, out)
	watch.Stop()
	if err == nil {
		c.recordHeard(e)
	}
	return response, err
}

// checkOverdue checks the path to an endpoint that has not responded to a request for silenceLimit.
func (c *Client) checkOverdue(e *directory.Endpoint) {
	c.mu.Lock()
	check := c.tracker.MayCheck(clock.Now(), e)
	c.mu.Unlock()
	if check && !c.cfg.Down(e) {
		c.checkResponds(context.Background(), e)
	}
}

// checkResponds checks whether an endpoint responds to this VM. If it does not, but to another one, the path is broken.
func (c *Client) checkResponds(ctx context.Context, e *directory.Endpoint) {
	err := c.checkEndpoint(ctx, e)
	if err == nil {
		c.recordHeard(e)
		return
	}
	var exchange *h1.Error
	if !errors.As(err, &exchange) || !exchange.Sent || ctx.Err() != nil {
		return // the connection was not opened: requests find that themselves
	}
	if c.respondsToOthers(ctx, e) {
		c.recordSilent(e)
	}
}

func (c *Client) checkEndpoint(ctx context.Context, e *directory.Endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	return c.cfg.Direct.Check(ctx, e)
}

// respondsToOthers reports whether an endpoint responds to one of several VMs that are asked at once.
func (c *Client) respondsToOthers(ctx context.Context, e *directory.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	var others sync.WaitGroup
	var heard atomic.Bool
	for _, vm := range c.choose(e, c.cfg.VMs(), maxHops) {
		others.Go(func() {
			if c.judge(ctx, vm, e, c.cfg.Hop.Check(ctx, vm.Peer, e)) == responded {
				heard.Store(true)
			}
		})
	}
	others.Wait()
	return heard.Load()
}

func (c *Client) recordHeard(e *directory.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.SetHeard(clock.Now(), e)
}

// recordSilent records that connections to an endpoint carry nothing.
func (c *Client) recordSilent(e *directory.Endpoint) {
	c.mu.Lock()
	isNew := c.tracker.SetSilent(clock.Now(), e)
	n := c.tracker.NumBroken()
	c.mu.Unlock()
	c.cfg.Direct.DropIdle(e)
	if isNew {
		c.announceBroken(e, n, &silentError{})
	}
}

// silent reports whether connections to an endpoint carry nothing.
func (c *Client) silent(e *directory.Endpoint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Silent(e)
}
