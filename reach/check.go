package reach

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/internal/clock"
)

const (
	// roundInterval is how often broken paths are looked at.
	roundInterval = 100 * time.Millisecond
	// concurrentChecks bounds the paths that are checked at a time. Where thousands are broken, a sample
	// of them shows when they have healed.
	concurrentChecks = 64
)

// Run checks broken paths until ctx ends. Callers never wait for a check.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.sweep:
			c.checkAll(ctx)
		case <-ticker.C:
			c.checkBroken(ctx)
		}
	}
}

// checkBroken checks the broken paths that are due, and the others of a zone as soon as one there has
// healed.
func (c *Client) checkBroken(ctx context.Context) {
	c.retain()
	for ctx.Err() == nil {
		c.mu.Lock()
		due := c.tracker.Due(clock.Now(), concurrentChecks)
		c.mu.Unlock()
		var healed atomic.Bool
		c.checkEach(ctx, due, func(e *directory.Endpoint) {
			if c.checkPath(ctx, e) == nil {
				c.recordOpen(e)
				healed.Store(true)
			}
		})
		if !healed.Load() {
			return
		}
	}
}

// retain drops what is known of endpoints that are not registered any more, and what has expired.
func (c *Client) retain() {
	snapshot := c.cfg.Endpoints()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Retain(clock.Now(), func(e *directory.Endpoint) bool {
		current := snapshot.Endpoint(e.ID)
		return current != nil && current.Incarnation() == e.Incarnation()
	})
}

// checkAll checks the paths to other endpoints once several are broken, so that no request has to
// find each of them.
func (c *Client) checkAll(ctx context.Context) {
	var list []*directory.Endpoint
	for _, e := range c.cfg.Endpoints().All() {
		if !c.broken(e) {
			list = append(list, e)
		}
	}
	c.mu.Lock()
	anySilent := c.tracker.AnySilent()
	c.mu.Unlock()
	c.checkEach(ctx, list, func(e *directory.Endpoint) {
		if err := c.Connect(ctx, e); err == nil && anySilent { // the outcome is recorded
			c.checkResponds(ctx, e)
		}
	})
}

// checkEach calls check for each endpoint, some at a time.
func (c *Client) checkEach(ctx context.Context, list []*directory.Endpoint, check func(*directory.Endpoint)) {
	var group errgroup.Group
	group.SetLimit(concurrentChecks)
	for _, e := range list {
		if ctx.Err() != nil {
			break
		}
		group.Go(func() error { check(e); return nil })
	}
	_ = group.Wait()
}

// checkPath checks a broken path.
func (c *Client) checkPath(ctx context.Context, e *directory.Endpoint) error {
	if !c.silent(e) {
		return c.cfg.Direct.Connect(ctx, e)
	}
	if err := c.checkEndpoint(ctx, e); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.SetResponds(e)
	return nil
}

// recordOpen records that a connection to an endpoint was opened, which says nothing if connections to it carry nothing.
func (c *Client) recordOpen(e *directory.Endpoint) {
	c.mu.Lock()
	if c.tracker.Silent(e) {
		c.mu.Unlock()
		c.cfg.Direct.DropIdle(e)
		return
	}
	wasBroken := c.tracker.SetOpen(clock.Now(), e)
	c.connected[e.Zone] = e
	n := c.tracker.NumBroken()
	c.mu.Unlock()
	if wasBroken {
		klog.InfoS("reach: endpoint reached directly again", "endpoint", e.ID, "zone", e.Zone, "broken", n)
	}
}
