package controller

import (
	"context"
	"time"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/loads"
	"github.com/springweir/springweir/settings"
)

// limitsEvery is how often the weight store's limits are read.
const limitsEvery = time.Minute

// readLimits takes the store's limits now and then, cut to the tree's. The tree
// may name less than the store allows, to leave room for others.
func (l *loadPlanner) readLimits(ctx context.Context, tree *settings.Tree) error {
	if l.budget != nil && clock.Since(l.limitsAt) < limitsEvery {
		return nil
	}
	limits, err := l.p.c.platform.Weights.Limits(ctx)
	if err != nil {
		return err
	}
	set := tree.Fleet()
	limits.BytesPerSecond = min(limits.BytesPerSecond, int64(set.FetchBudget))
	limits.Concurrent = min(limits.Concurrent, set.FetchConcurrent)
	if l.budget == nil || limits.Concurrent != l.limits.Concurrent {
		scope := l.p.c.process.Zone + "/" + l.p.pool
		l.budget = loads.NewBudget(l.p.c.platform.Rows, limits, l.p.c.self.Process, scope, loads.DefaultExpiry)
	}
	l.limits, l.limitsAt = limits, clock.Now()
	return nil
}

// hold adopts what a predecessor left, renews what is held, and forgets what
// was lost.
func (l *loadPlanner) hold(ctx context.Context, view loads.View, seen *picture, now time.Duration) {
	own, orphans := l.budget.HeldSlots(view)
	for _, s := range orphans {
		if err := l.budget.Adopt(ctx, s); err != nil {
			countLoad("adopt-failed")
		}
	}
	held := map[int]bool{}
	for _, s := range own {
		held[s.Number] = true
		if _, known := l.running[s.Number]; !known {
			l.running[s.Number] = l.adopted(s, seen, now)
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
	for _, s := range own {
		if err := l.budget.Renew(ctx, s); err != nil {
			countLoad("renew-failed")
		}
	}
}

// adopted is a load that a predecessor began: it counts from now.
func (l *loadPlanner) adopted(s loads.Slot, seen *picture, now time.Duration) loads.Running {
	w := loads.Load{Engine: s.Allocation.Engine, Artifact: s.Allocation.Artifact, Bytes: l.sizes[s.Allocation.Artifact]}
	if e := seen.endpoint(w.Engine); e != nil {
		w.Incarnation = e.Incarnation
	}
	return loads.Running{Load: w, Slot: s.Number, StartedAt: now, Phase: loads.Ordered}
}
