package controller

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/lease"
	"github.com/springweir/springweir/order"
	"github.com/springweir/springweir/peer"
	"github.com/springweir/springweir/peer/controllerpb"
	"github.com/springweir/springweir/roles"
	"github.com/springweir/springweir/settings"
	"github.com/springweir/springweir/settings/tuning"
	"github.com/springweir/springweir/withhold"
)

const (
	// planInterval is the interval between planning rounds.
	planInterval = 2 * time.Second
	// confirmTimeout bounds one query to another controller.
	confirmTimeout = time.Second
)

// withholder adapts withhold.Controller to order.Withholder. It ignores the epoch: the withhold
// protocol uses the roster's revisions as epochs, and its writes are checked against the lease, so
// that a predecessor that resumes after a pause cannot restore anything.
type withholder struct{ *withhold.Controller }

// Withhold implements order.Withholder.
func (w withholder) Withhold(ctx context.Context, engineName string, _ uint64) error {
	return w.Controller.Withhold(ctx, engineName)
}

// Restore implements order.Withholder.
func (w withholder) Restore(ctx context.Context, engineName string, _ uint64) error {
	return w.Controller.Restore(ctx, engineName)
}

// confirmer queries other controllers for whether they have dropped their authority.
type confirmer struct{ c *Controller }

// ConfirmDropped implements order.Confirmer.
func (f confirmer) ConfirmDropped(ctx context.Context, address string, req *controllerpb.ConfirmDroppedRequest) (*controllerpb.ConfirmDroppedResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	client := peer.ControllerAt(address, f.c.transport)
	return client.ConfirmDropped(ctx, req)
}

// leadPool plans and orders changes of one pool's engines in this zone while the pool's lease is
// held.
func (c *Controller) leadPool(ctx context.Context, holder *lease.Holder, l *lease.Lease) {
	klog.Infof("controller: leading pool %s in zone %s", l.Pool(), l.Zone())
	w := withhold.NewController(l.Zone(), c.platform.Rows, c.peers, c.targets, l, writeID)
	executor := order.NewExecutor(order.Config{
		Journal:       c.journal,
		Gate:          c.gate,
		Targets:       c.targets,
		Withholder:    withholder{w},
		Confirmer:     confirmer{c},
		Removals:      c.departed,
		EngineRemoved: c.members.Removed,
		OnStaleFence:  holder.RaiseFloor,
	}, 0)
	p := &poolPlanner{
		c: c, pool: l.Pool(), lease: l, executor: executor, withhold: w,
		history: roles.NewHistory(c.now()),
	}
	p.loads = newLoadPlanner(p)
	c.poolPlanners.Store(l.Pool(), p)
	defer c.poolPlanners.Delete(l.Pool())
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := executor.Run(ctx, l); err != nil && ctx.Err() == nil {
			klog.Errorf("controller: order executor of pool %s stopped: %v", l.Pool(), err)
		}
	})
	wg.Go(func() { p.run(ctx) })
	wg.Wait()
}

// poolPlanner plans the roles, loads and replacements of one pool's engines in this zone.
type poolPlanner struct {
	c        *Controller
	pool     string
	lease    *lease.Lease
	executor *order.Executor
	withhold *withhold.Controller
	history  roles.History
	loads    *loadPlanner
	// demand is the result of the latest demand query, which started at demandAt.
	demand   zoneDemand
	demandAt time.Time
}

func (p *poolPlanner) run(ctx context.Context) {
	loop.Every(ctx, planInterval, func() { p.planOnce(ctx) })
}

// planOnce runs one planning round. Nothing is planned without a settings tree or if the state of
// the zone cannot be read.
func (p *poolPlanner) planOnce(ctx context.Context) {
	tree := p.c.trees.tree()
	if tree == nil {
		return
	}
	pool, found := tree.Pool(p.pool)
	if !found {
		return
	}
	poolSettings := pool.ForZone(p.c.process.Zone)
	zone, err := p.c.readZone(ctx)
	if err != nil {
		klog.V(1).Infof("controller: reading the state of zone %s failed: %v", p.c.process.Zone, err)
		return
	}
	p.restoreOrphaned(ctx, zone.roster)
	fresh := p.refreshDemand(ctx, zone.roster)
	p.replaceEngines(ctx, tree, zone)
	p.loads.plan(ctx, tree, pool, zone, p.demand.artifacts)
	if poolSettings.Roles.Planning && fresh {
		p.planRoles(poolSettings, zone, p.demand.roles)
	}
}

// refreshDemand queries the demand if it is due, and reports whether it did. Roles are planned only
// with newly queried demand; loads, which take minutes, are planned with the latest one.
func (p *poolPlanner) refreshDemand(ctx context.Context, roster contact.Roster) bool {
	// Half a round is subtracted because rounds are not exactly periodic.
	if clock.Since(p.demandAt) < demandInterval(len(roster.VMs))-planInterval/2 {
		return false
	}
	p.demandAt = clock.Now()
	p.demand = p.c.queryDemand(ctx, roster, p.pool)
	return true
}

// restoreOrphaned restores engines that a predecessor left withheld and that no order needs
// withheld. An engine stays withheld until the executor has read the journal and the engine's row
// shows no open order; if entries sent streams to it earlier, the order would interrupt them. The
// table is read only if one of the pool's engines is withheld in the entry's roster.
func (p *poolPlanner) restoreOrphaned(ctx context.Context, roster contact.Roster) {
	if !slices.ContainsFunc(roster.Withheld, func(w contact.Withheld) bool { return p.inPool(w.Endpoint) }) {
		return
	}
	err := p.withhold.RestoreUnwanted(ctx, func(endpoint string) bool {
		if !p.inPool(endpoint) {
			return true
		}
		idle, err := p.executor.Idle(ctx, endpoint)
		return err != nil || !idle
	})
	if err != nil {
		klog.V(1).Infof("controller: restoring withheld endpoints of pool %s failed: %v", p.pool, err)
	}
}

// inPool reports whether the endpoint is an engine of the planner's pool.
func (p *poolPlanner) inPool(endpoint string) bool {
	e, found := p.c.trees.tree().Endpoint(endpoint)
	return found && e.Pool == p.pool
}

// planRoles runs the role planner and submits its changes to the executor.
func (p *poolPlanner) planRoles(poolSettings settings.PoolSettings, zone *zoneSnapshot, demand roles.Demand) {
	now := p.c.now()
	snap := roles.Snapshot{
		Engines: zone.engines(p.pool, p.enginesChanging()),
		Demand:  demand,
	}
	if _, err := p.lease.Authority(); err != nil {
		snap.PlatformLost = true
	}
	s := tuning.Roles(poolSettings.Roles)
	decision, history := roles.Plan(snap, now, s, p.history)
	accepted := p.submit(decision.Changes)
	p.history = history.Record(now, s, accepted)
	p.c.decisions.add(p.pool, p.c.process.Zone, decision, len(accepted))
}

// enginesChanging returns the names of the engines with a change in progress.
func (p *poolPlanner) enginesChanging() map[string]bool {
	changing := map[string]bool{}
	for _, st := range p.executor.Status() {
		if st.Change != nil || st.Resolving {
			changing[st.Engine] = true
		}
	}
	return changing
}

// submit submits changes to the executor and returns those that it accepted.
func (p *poolPlanner) submit(changes []roles.Change) []roles.Change {
	var accepted []roles.Change
	for _, change := range changes {
		err := p.executor.Submit(order.Change{Engine: change.Engine, Kind: engine.ChangeRole, Role: change.To})
		var refused *order.RefusedError
		switch {
		case err == nil:
			klog.Infof("controller: changing the role of engine %s from %s to %s", change.Engine, change.From, change.To)
			accepted = append(accepted, change)
		case errors.As(err, &refused):
			klog.V(1).Infof("controller: change of %s refused: %v", change.Engine, err)
		}
	}
	return accepted
}

var _ contact.Authority = (*lease.Lease)(nil)
