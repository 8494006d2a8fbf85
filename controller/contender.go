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
	// zonePool is the pool name of the lease under which a zone's roster is
	// kept and its configurations are confirmed. No pool can have it, because
	// names in the tree have no '@'.
	zonePool = "@zone"
	// dutyRefresh is how often the pools of the tree are compared with the
	// leases contended for.
	dutyRefresh = time.Second
)

// duties contends for the zone's lease and for one lease for each pool that has
// engines in the zone. It is safe for concurrent use; mu is a leaf.
type duties struct {
	c *Controller

	mu sync.Mutex
	// running holds how to stop contending, by pool.
	running map[string]context.CancelFunc
	wg      sync.WaitGroup
}

func newDuties(c *Controller) *duties {
	return &duties{c: c, running: map[string]context.CancelFunc{}}
}

// Run contends until ctx ends, and returns once every lease is released.
func (d *duties) Run(ctx context.Context) {
	d.contend(ctx, zonePool, d.c.leadZone)
	ticker := time.NewTicker(dutyRefresh)
	defer ticker.Stop()
	for ctx.Err() == nil {
		d.follow(ctx)
		select {
		case <-ctx.Done():
		case <-d.c.trees.changed:
		case <-ticker.C:
		}
	}
	d.wg.Wait()
}

// follow contends for the pools that have engines in this zone, and no others.
func (d *duties) follow(ctx context.Context) {
	wanted := d.c.poolsHere()
	for pool := range wanted {
		d.mu.Lock()
		_, running := d.running[pool]
		d.mu.Unlock()
		if !running {
			d.contend(ctx, pool, d.c.leadPool)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for pool, stop := range d.running {
		if pool != zonePool && !wanted[pool] {
			stop()
			delete(d.running, pool)
		}
	}
}

// poolsHere returns the pools that have engines in this zone.
func (c *Controller) poolsHere() map[string]bool {
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

// contend runs a holder for one lease; lead runs in each tenure.
func (d *duties) contend(ctx context.Context, pool string, lead func(context.Context, *lease.Holder, *lease.Lease)) {
	ctx, stop := context.WithCancel(ctx)
	d.mu.Lock()
	d.running[pool] = stop
	d.mu.Unlock()
	holder := lease.NewHolder(d.c.platform.Rows, lease.Config{
		Pool: pool, Zone: d.c.process.Zone, Identity: d.c.self,
		Eligible: func() bool { return d.c.departed.Listed(d.c.process.VM) },
		Rank:     func() int { return d.c.rank(pool) },
	})
	d.wg.Go(func() {
		holder.Run(ctx, func(ctx context.Context, l *lease.Lease) { lead(ctx, holder, l) })
	})
}

// leadZone keeps the zone's roster and confirms configurations, for one tenure.
func (c *Controller) leadZone(ctx context.Context, _ *lease.Holder, l *lease.Lease) {
	klog.Infof("controller: keeps zone %s", c.process.Zone)
	keeper := contact.NewKeeper(c.process.Zone, c.platform.Rows, c.peers, c.platform.Members, l, writeID)
	confirmer := rollout.NewConfirmer(c.process.Zone, c.platform.Rows, c.store, c.peers, l, keeper.Suspect, writeID)
	pruner := rollout.NewPruner(c.process.Zone, c.store, l)
	var wg sync.WaitGroup
	wg.Go(func() { pruner.Run(ctx) })
	wg.Go(func() { keeper.Run(ctx) })
	wg.Go(func() { confirmer.Run(ctx) })
	wg.Wait()
}
