package controller

import (
	"context"
	"time"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/loads"
	"github.com/springweir/springweir/settings"
)

// limitsInterval is the interval at which the weight store's limits are read.
const limitsInterval = time.Minute

// readLimits refreshes the weight store's limits if they are older than limitsInterval, and caps
// them at those of the tree. The tree may set lower limits to leave capacity to other users of the
// store.
func (l *loadPlanner) readLimits(ctx context.Context, tree *settings.Tree) error {
	if l.budget != nil && clock.Since(l.limitsAt) < limitsInterval {
		return nil
	}
	limits, err := l.p.c.platform.Weights.Limits(ctx)
	if err != nil {
		return err
	}
	fleet := tree.Fleet()
	limits.BytesPerSecond = min(limits.BytesPerSecond, int64(fleet.FetchBudget))
	limits.Concurrent = min(limits.Concurrent, fleet.FetchConcurrent)
	if l.budget == nil || limits.Concurrent != l.limits.Concurrent {
		scope := l.p.c.process.Zone + "/" + l.p.pool
		l.budget = loads.NewBudget(l.p.c.platform.Rows, limits, l.p.c.identity.Process, scope, loads.DefaultExpiry)
	}
	l.limits, l.limitsAt = limits, clock.Now()
	return nil
}

// reconcileSlots adopts the slots of a predecessor, renews the slots held, and drops running loads
// whose slots were lost.
func (l *loadPlanner) reconcileSlots(ctx context.Context, view loads.View, zone *zoneSnapshot, now time.Duration) {
	ownSlots, orphans := l.budget.HeldSlots(view)
	for _, s := range orphans {
		if err := l.budget.Adopt(ctx, s); err != nil {
			countLoad("adopt-failed")
		}
	}
	held := map[int]bool{}
	for _, s := range ownSlots {
		held[s.Number] = true
		if _, known := l.running[s.Number]; !known {
			l.running[s.Number] = l.adoptedLoad(s, zone, now)
		}
	}
	for number := range l.running {
		if !held[number] {
			delete(l.running, number)
		}
	}
	if clock.Since(l.renewed) < loads.RenewInterval {
		return
	}
	l.renewed = clock.Now()
	for _, s := range ownSlots {
		if err := l.budget.Renew(ctx, s); err != nil {
			countLoad("renew-failed")
		}
	}
}

// adoptedLoad returns the running load of a slot that a predecessor claimed. Its start time is set
// to now.
func (l *loadPlanner) adoptedLoad(s loads.Slot, zone *zoneSnapshot, now time.Duration) loads.Running {
	load := loads.Load{Engine: s.Allocation.Engine, Artifact: s.Allocation.Artifact, Bytes: l.sizes[s.Allocation.Artifact]}
	if e := zone.endpoint(load.Engine); e != nil {
		load.Incarnation = e.Incarnation
	}
	return loads.Running{Load: load, Slot: s.Number, StartedAt: now, Phase: loads.Ordered}
}
