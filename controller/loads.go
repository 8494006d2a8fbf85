package controller

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/loads"
	"github.com/springweir/springweir/order"
	"github.com/springweir/springweir/settings"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/weightstore"
)

// loadPlanner plans what the engines of one pool and zone fetch from the weight
// store. It is used by the goroutine of its poolPlanner only.
type loadPlanner struct {
	p       *poolPlanner
	history loads.History
	// running holds the loads of this tenure, by slot.
	running map[int]loads.Running
	// sizes are the artifacts' sizes in bytes, as the store described them.
	sizes    map[weightstore.Artifact]int64
	budget   *loads.Budget
	limits   weightstore.Limits
	limitsAt time.Time
	renewed  time.Time
	// wished is the weight last posted to other zones, at wishedAt.
	wished   float64
	wishedAt time.Time
}

func newLoadPlanner(p *poolPlanner) *loadPlanner {
	return &loadPlanner{p: p, running: map[int]loads.Running{}, sizes: map[weightstore.Artifact]int64{}}
}

// round plans once. Without the store's limits or the budget nothing is begun.
func (l *loadPlanner) round(ctx context.Context, tree *settings.Tree, pool settings.Pool, seen *picture, asked map[weightstore.Artifact]float64) {
	wants := l.wants(ctx, tree, pool, seen, asked)
	if len(wants) == 0 && len(l.running) == 0 && l.budget != nil && clock.Since(l.renewed) < loads.RenewInterval {
		return
	}
	if err := l.readLimits(ctx, tree); err != nil {
		klog.V(1).Infof("controller: limits of the weight store not read: %v", err)
		return
	}
	now := l.p.c.now()
	view, err := l.budget.Read(ctx, now)
	if err != nil {
		klog.V(1).Infof("controller: budget of loads not read: %v", err)
		return
	}
	l.hold(ctx, view, seen, now)
	decision, history := loads.Plan(loads.Snapshot{
		Desired:         wants,
		Running:         l.runningNow(),
		Engines:         l.observed(seen),
		FreeSlots:       view.FreeSlots(),
		CompetingDemand: view.CompetingDemand,
		SlotRate:        loads.SlotRate(l.limits),
	}, now, loads.Defaults(), l.history)
	l.history = history
	l.end(ctx, view, decision.Ends)
	l.start(ctx, view, decision.Starts, now)
	l.wish(ctx, decision.Deferred)
}

// runningNow are the loads with their orders' phases, in the order of slots.
func (l *loadPlanner) runningNow() []loads.Running {
	failed := map[string]bool{}
	for _, st := range l.p.executor.Status() {
		failed[st.Engine] = st.Change == nil && !st.Resolving && st.LastOutcome == order.Failed
	}
	list := make([]loads.Running, 0, len(l.running))
	for _, r := range l.running {
		if failed[r.Load.Engine] {
			r.Phase = loads.Failed
		}
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b loads.Running) int { return a.Slot - b.Slot })
	return list
}

// observed is what the engines say of themselves.
func (l *loadPlanner) observed(seen *picture) []loads.EngineState {
	away := l.p.away()
	var list []loads.EngineState
	for _, e := range seen.fleet.Endpoints {
		if e.Pool != l.p.pool {
			continue
		}
		list = append(list, loads.EngineState{
			Engine: e.Name, Incarnation: e.Incarnation, Loaded: artifactsOf(e),
			Busy: away[e.Name] || e.Withheld, Unavailable: !e.Known || e.Leaving,
		})
	}
	return list
}

// start claims a slot for each load and then orders it. A load whose order is
// refused gives its slot back through the next round's plan.
func (l *loadPlanner) start(ctx context.Context, view loads.View, starts []loads.Start, now time.Duration) {
	for _, s := range starts {
		err := l.budget.Claim(ctx, view.Slots[s.Slot], writeID(), s.Load)
		if err != nil {
			countClaim(err)
			continue
		}
		l.running[s.Slot] = loads.Running{Load: s.Load, Slot: s.Slot, StartedAt: now, Phase: loads.Ordered}
		artifact := s.Load.Artifact
		if err := l.p.executor.Submit(order.Change{Engine: s.Load.Engine, Kind: engine.LoadOrder, Artifact: &artifact}); err != nil {
			klog.V(1).Infof("controller: load of %v on %s refused: %v", artifact, s.Load.Engine, err)
			countLoad("order-refused")
			continue
		}
		countLoad(string(loads.Wanted))
		klog.Infof("controller: engine %s loads %v", s.Load.Engine, artifact)
	}
}

func countClaim(err error) {
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		countLoad("slot-taken")
		return
	}
	countLoad("claim-failed")
}

// end undoes failed loads and gives slots back.
func (l *loadPlanner) end(ctx context.Context, view loads.View, ends []loads.End) {
	for _, e := range ends {
		countLoad(string(e.Reason))
		r := e.Running
		if e.Unload {
			artifact := r.Load.Artifact
			if err := l.p.executor.Submit(order.Change{Engine: r.Load.Engine, Kind: engine.Unload, Artifact: &artifact}); err != nil {
				klog.V(1).Infof("controller: load of %v on %s not undone yet: %v", artifact, r.Load.Engine, err)
			}
		}
		if !e.Release {
			continue
		}
		if err := l.budget.Release(ctx, view.Slots[r.Slot]); err != nil {
			countLoad("release-failed")
			continue
		}
		delete(l.running, r.Slot)
		klog.Infof("controller: load of %v on %s ended: %s", r.Load.Artifact, r.Load.Engine, e.Reason)
	}
}

// wish tells other zones of the most wanted load that has no slot.
func (l *loadPlanner) wish(ctx context.Context, held []loads.Deferred) {
	weight := 0.0
	for _, h := range held {
		if h.Reason == loads.NoSlot || h.Reason == loads.Outranked {
			weight = max(weight, h.Load.Weight)
		}
	}
	fresh := clock.Since(l.wishedAt) < loads.RenewInterval
	if weight == l.wished && (fresh || weight == 0) {
		return
	}
	if err := l.budget.PostDemand(ctx, writeID(), weight); err != nil {
		countLoad("wish-failed")
		return
	}
	l.wished, l.wishedAt = weight, clock.Now()
}

func countLoad(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_loads_total{reason=%q}`, reason)).Inc()
}
