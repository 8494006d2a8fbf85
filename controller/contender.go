package controller

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/lease"
	"github.com/springweir/springweir/rollout"
)

const (
	// zonePool is the pool name of the lease whose holder maintains the zone's roster and confirms
	// its configurations. It cannot collide with a pool, because names in the tree have no '@'.
	zonePool = "@zone"
	// poolRefreshInterval is the interval at which the leases contended for are aligned with the
	// pools of the tree, in addition to when the tree changes.
	poolRefreshInterval = time.Second
)

// contender contends for the zone's lease and for one lease per pool that has engines in the zone.
// It is safe for concurrent use; no other lock is acquired while mu is held.
type contender struct {
	controller *Controller

	mu sync.Mutex
	// running holds the function that stops contending for a pool's lease, by pool name.
	running map[string]context.CancelFunc
	wg      sync.WaitGroup
}

func newContender(c *Controller) *contender {
	return &contender{controller: c, running: map[string]context.CancelFunc{}}
}

// Run contends for the leases until ctx ends, and returns once all of them are released.
func (c *contender) Run(ctx context.Context) {
	c.contend(ctx, zonePool, c.controller.leadZone)
	ticker := time.NewTicker(poolRefreshInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		c.syncPools(ctx)
		select {
		case <-ctx.Done():
		case <-c.controller.trees.changed:
		case <-ticker.C:
		}
	}
	c.wg.Wait()
}

// syncPools starts contending for pools that now have engines in this zone, and stops for pools
// that no longer do.
func (c *contender) syncPools(ctx context.Context) {
	wanted := c.controller.localPools()
	for pool := range wanted {
		c.mu.Lock()
		_, running := c.running[pool]
		c.mu.Unlock()
		if !running {
			c.contend(ctx, pool, c.controller.leadPool)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for pool, stop := range c.running {
		if pool != zonePool && !wanted[pool] {
			stop()
			delete(c.running, pool)
		}
	}
}

// localPools returns the names of the pools that have engines in this zone.
func (c *Controller) localPools() map[string]bool {
	pools := map[string]bool{}
	tree := c.trees.tree()
	if tree == nil {
		return pools
	}
	for _, e := range tree.Endpoints() {
		if e.IsEngine() && e.Zone == c.process.Zone {
			pools[e.Pool] = true
		}
	}
	return pools
}

// contend starts a lease holder for a pool. lead runs whenever the lease is held, until it is lost.
func (c *contender) contend(ctx context.Context, pool string, lead func(context.Context, *lease.Holder, *lease.Lease)) {
	ctx, stop := context.WithCancel(ctx)
	c.mu.Lock()
	c.running[pool] = stop
	c.mu.Unlock()
	holder := lease.NewHolder(c.controller.platform.Rows, lease.Config{
		Pool: pool, Zone: c.controller.process.Zone, Identity: c.controller.identity,
		Eligible: func() bool { return c.controller.departed.Listed(c.controller.process.VM) },
		Rank:     func() int { return c.controller.rank(pool) },
	})
	c.wg.Go(func() {
		holder.Run(ctx, func(ctx context.Context, l *lease.Lease) { lead(ctx, holder, l) })
	})
}

// leadZone maintains the zone's roster, confirms configurations and prunes old ones while the
// zone's lease is held.
func (c *Controller) leadZone(ctx context.Context, _ *lease.Holder, l *lease.Lease) {
	klog.Infof("controller: leading zone %s", c.process.Zone)
	rosterKeeper := contact.NewReconciler(c.process.Zone, c.platform.Rows, c.peers, c.platform.Members, l, writeID)
	confirmer := rollout.NewConfirmer(c.process.Zone, c.platform.Rows, c.store, c.peers, l, rosterKeeper.Suspect, writeID)
	pruner := rollout.NewPruner(c.process.Zone, c.store, l)
	var wg sync.WaitGroup
	wg.Go(func() { pruner.Run(ctx) })
	wg.Go(func() { rosterKeeper.Run(ctx) })
	wg.Go(func() { confirmer.Run(ctx) })
	wg.Wait()
}
