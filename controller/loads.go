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

// loadPlanner plans which artifacts the engines of one pool and zone load from the weight store. It
// is not safe for concurrent use; only the goroutine of its poolPlanner uses it.
type loadPlanner struct {
	p       *poolPlanner
	history loads.History
	// running holds the running loads of this lease tenure, by slot number.
	running map[int]loads.Running
	// sizes caches the artifacts' sizes in bytes, as described by the store.
	sizes    map[weightstore.Artifact]int64
	budget   *loads.Budget
	limits   weightstore.Limits
	limitsAt time.Time
	renewed  time.Time
	// postedWeight is the demand last posted to other zones, at postedAt.
	postedWeight float64
	postedAt     time.Time
}

func newLoadPlanner(p *poolPlanner) *loadPlanner {
	return &loadPlanner{p: p, running: map[int]loads.Running{}, sizes: map[weightstore.Artifact]int64{}}
}

// plan runs one planning round. rates are the requests per second by artifact. If the store's
// limits or the budget cannot be read, no load is started.
func (l *loadPlanner) plan(ctx context.Context, tree *settings.Tree, pool settings.Pool, zone *zoneSnapshot, rates map[weightstore.Artifact]float64) {
	desired := l.desiredLoads(ctx, tree, pool, zone, rates)
	if len(desired) == 0 && len(l.running) == 0 && l.budget != nil && clock.Since(l.renewed) < loads.RenewInterval {
		return
	}
	if err := l.readLimits(ctx, tree); err != nil {
		klog.V(1).Infof("controller: reading the limits of the weight store failed: %v", err)
		return
	}
	now := l.p.c.now()
	view, err := l.budget.Read(ctx, now)
	if err != nil {
		klog.V(1).Infof("controller: reading the load budget failed: %v", err)
		return
	}
	l.reconcileSlots(ctx, view, zone, now)
	decision, history := loads.Plan(loads.Snapshot{
		Desired:         desired,
		Running:         l.runningLoads(),
		Engines:         l.engineStates(zone),
		FreeSlots:       view.FreeSlots(),
		CompetingDemand: view.CompetingDemand,
		SlotRate:        loads.SlotRate(l.limits),
	}, now, loads.Defaults(), l.history)
	l.history = history
	l.endLoads(ctx, view, decision.Ends)
	l.startLoads(ctx, view, decision.Starts, now)
	l.postDemand(ctx, decision.Deferred)
}

// runningLoads returns the running loads by slot number. Those whose order failed have phase
// Failed.
func (l *loadPlanner) runningLoads() []loads.Running {
	failed := map[string]bool{}
	for _, st := range l.p.executor.Status() {
		failed[st.Engine] = st.Change == nil && !st.Resolving && st.LastOutcome == order.Failed
	}
	running := make([]loads.Running, 0, len(l.running))
	for _, r := range l.running {
		if failed[r.Load.Engine] {
			r.Phase = loads.Failed
		}
		running = append(running, r)
	}
	slices.SortFunc(running, func(a, b loads.Running) int { return a.Slot - b.Slot })
	return running
}

// engineStates returns the reported states of the pool's engines.
func (l *loadPlanner) engineStates(zone *zoneSnapshot) []loads.EngineState {
	changing := l.p.enginesChanging()
	var list []loads.EngineState
	for _, e := range zone.fleet.Endpoints {
		if e.Pool != l.p.pool {
			continue
		}
		list = append(list, loads.EngineState{
			Engine: e.Name, Incarnation: e.Incarnation, Loaded: artifactsOf(e),
			Busy: changing[e.Name] || e.Withheld, Unavailable: !e.Known || e.Leaving,
		})
	}
	return list
}

// startLoads claims a slot for each load and then submits its order. The slot of a load whose order
// is refused is released by the next round's plan.
func (l *loadPlanner) startLoads(ctx context.Context, view loads.View, starts []loads.Start, now time.Duration) {
	for _, s := range starts {
		err := l.budget.Claim(ctx, view.Slots[s.Slot], writeID(), s.Load)
		if err != nil {
			countClaimFailure(err)
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
		klog.Infof("controller: ordered engine %s to load %v", s.Load.Engine, artifact)
	}
}

func countClaimFailure(err error) {
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		countLoad("slot-taken")
		return
	}
	countLoad("claim-failed")
}

// endLoads unloads the artifacts of failed loads and releases slots.
func (l *loadPlanner) endLoads(ctx context.Context, view loads.View, ends []loads.End) {
	for _, e := range ends {
		countLoad(string(e.Reason))
		r := e.Running
		if e.Unload {
			artifact := r.Load.Artifact
			if err := l.p.executor.Submit(order.Change{Engine: r.Load.Engine, Kind: engine.Unload, Artifact: &artifact}); err != nil {
				klog.V(1).Infof("controller: undoing the load of %v on %s refused: %v", artifact, r.Load.Engine, err)
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

// postDemand posts the highest weight among the loads deferred for lack of a slot to the other
// zones. An unchanged weight is posted again only when it is due for renewal.
func (l *loadPlanner) postDemand(ctx context.Context, deferred []loads.Deferred) {
	weight := 0.0
	for _, h := range deferred {
		if h.Reason == loads.NoSlot || h.Reason == loads.Outranked {
			weight = max(weight, h.Load.Weight)
		}
	}
	fresh := clock.Since(l.postedAt) < loads.RenewInterval
	if weight == l.postedWeight && (fresh || weight == 0) {
		return
	}
	if err := l.budget.PostDemand(ctx, writeID(), weight); err != nil {
		countLoad("wish-failed")
		return
	}
	l.postedWeight, l.postedAt = weight, clock.Now()
}

func countLoad(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_loads_total{reason=%q}`, reason)).Inc()
}
