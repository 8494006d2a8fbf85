package reach

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/internal/clock"
)

const (
	// roundInterval is how often broken paths are looked at.
	roundInterval = 100 * time.Millisecond
	// maxChecks bounds the paths that are checked in one round, and concurrentChecks those at a time.
	maxChecks        = 64
	concurrentChecks = 16
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

// checkBroken checks the broken paths that are due.
func (c *Client) checkBroken(ctx context.Context) {
	snapshot := c.cfg.Endpoints()
	c.mu.Lock()
	now := clock.Now()
	c.tracker.Retain(now, func(e *directory.Endpoint) bool {
		current := snapshot.Endpoint(e.ID)
		return current != nil && current.Incarnation() == e.Incarnation()
	})
	c.cutOff = c.cutOff && c.tracker.NumBroken() > 0
	due := c.tracker.Due(now, maxChecks)
	c.mu.Unlock()
	c.checkEach(ctx, due, func(e *directory.Endpoint) {
		if c.cfg.Direct.Connect(ctx, e) == nil {
			c.recordOpen(e)
		}
	})
}

// checkAll checks the paths to other endpoints once several are broken, so that no request has to
// find each of them.
func (c *Client) checkAll(ctx context.Context) {
	var list []*directory.Endpoint
	for _, e := range c.cfg.Endpoints().All() {
		if len(list) < maxChecks && !c.broken(e) {
			list = append(list, e)
		}
	}
	c.checkEach(ctx, list, func(e *directory.Endpoint) { _ = c.Connect(ctx, e) }) // the outcome is recorded
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

// recordOpen records that an endpoint is reached directly again.
func (c *Client) recordOpen(e *directory.Endpoint) {
	c.mu.Lock()
	wasBroken := c.tracker.SetOpen(e)
	n := c.tracker.NumBroken()
	c.cutOff = false
	c.mu.Unlock()
	if wasBroken {
		klog.InfoS("reach: endpoint reached directly again", "endpoint", e.ID, "zone", e.Zone, "broken", n)
	}
}
