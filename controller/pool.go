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
	// planInterval is between two rounds of the planners.
	planInterval = 2 * time.Second
	// confirmTimeout bounds one question to another controller.
	confirmTimeout = time.Second
)

// withholder adapts withhold.Controller to order.Withholder. The roster's own
// revisions serve as epochs there, and its writes are checked against the
// lease, so a predecessor that wakes up restores nothing.
type withholder struct{ *withhold.Controller }

// Withhold implements order.Withholder.
func (w withholder) Withhold(ctx context.Context, engineName string, _ uint64) error {
	return w.Controller.Withhold(ctx, engineName)
}

// Restore implements order.Withholder.
func (w withholder) Restore(ctx context.Context, engineName string, _ uint64) error {
	return w.Controller.Restore(ctx, engineName)
}

// confirmer asks other controllers whether they dropped their authority.
type confirmer struct{ c *Controller }

// ConfirmDropped implements order.Confirmer.
func (f confirmer) ConfirmDropped(ctx context.Context, address string, req *controllerpb.ConfirmDroppedRequest) (*controllerpb.ConfirmDroppedResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	client := peer.ControllerAt(address, f.c.transport)
	return client.ConfirmDropped(ctx, req)
}

// leadPool orders changes of one pool's engines in this zone, for one tenure.
func (c *Controller) leadPool(ctx context.Context, holder *lease.Holder, l *lease.Lease) {
	klog.Infof("controller: acts for pool %s in zone %s", l.Pool(), l.Zone())
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
	c.leading.Store(l.Pool(), p)
	defer c.leading.Delete(l.Pool())
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := executor.Run(ctx, l); err != nil && ctx.Err() == nil {
			klog.Errorf("controller: orders of pool %s ended: %v", l.Pool(), err)
		}
	})
	wg.Go(func() { p.run(ctx) })
	wg.Wait()
}

// poolPlanner plans the roles and loads of one pool in this zone.
type poolPlanner struct {
	c        *Controller
	pool     string
	lease    *lease.Lease
	executor *order.Executor
	withhold *withhold.Controller
	history  roles.History
	loads    *loadPlanner
	// demand is what the zone's entries last said, when asked at asked.
	demand demand
	asked  time.Time
}

func (p *poolPlanner) run(ctx context.Context) {
	loop.Every(ctx, planInterval, func() { p.round(ctx) })
}

// round plans once. Without a tree or a picture of the zone nothing is planned.
func (p *poolPlanner) round(ctx context.Context) {
	tree := p.c.trees.tree()
	if tree == nil {
		return
	}
	pool, found := tree.Pool(p.pool)
	if !found {
		return
	}
	set := pool.ForZone(p.c.process.Zone)
	seen, err := p.c.picture(ctx)
	if err != nil {
		klog.V(1).Infof("controller: no picture of zone %s: %v", p.c.process.Zone, err)
		return
	}
	p.restoreUnwanted(ctx, seen.roster)
	fresh := p.askDemand(ctx, seen.roster)
	p.replaceEngines(ctx, tree, seen)
	p.loads.round(ctx, tree, pool, seen, p.demand.artifacts)
	if set.Roles.Planning && fresh {
		p.planRoles(set, seen, p.demand.roles)
	}
}

// askDemand asks for the demand if it is due, and tells whether it did. Roles
// are planned only on a demand just asked for; loads, which take minutes, go by
// the last one.
func (p *poolPlanner) askDemand(ctx context.Context, roster contact.Roster) bool {
	// Rounds come a little early or late, so half of one is taken off.
	if clock.Since(p.asked) < demandEvery(len(roster.VMs))-planInterval/2 {
		return false
	}
	p.asked = clock.Now()
	p.demand = p.c.demand(ctx, roster, p.pool)
	return true
}

// restoreUnwanted ends withholdings that a predecessor left behind and that
// nobody can want any more. An engine counts as wanted until the executor has
// read the journal and the engine's row shows no open order; letting streams
// back before would get them cut by the order. The table is read only if the
// roster that the entry holds has one of the pool's engines withheld.
func (p *poolPlanner) restoreUnwanted(ctx context.Context, held contact.Roster) {
	if !slices.ContainsFunc(held.Withheld, func(w contact.Withheld) bool { return p.mine(w.Endpoint) }) {
		return
	}
	err := p.withhold.RestoreUnwanted(ctx, func(endpoint string) bool {
		if !p.mine(endpoint) {
			return true
		}
		idle, err := p.executor.Idle(ctx, endpoint)
		return err != nil || !idle
	})
	if err != nil {
		klog.V(1).Infof("controller: withheld endpoints of pool %s not restored: %v", p.pool, err)
	}
}

func (p *poolPlanner) mine(endpoint string) bool {
	e, found := p.c.trees.tree().Endpoint(endpoint)
	return found && e.Pool == p.pool
}

// planRoles asks the role planner and hands its changes to the executor.
func (p *poolPlanner) planRoles(set settings.PoolSettings, seen *picture, asked roles.Demand) {
	now := p.c.now()
	snap := roles.Snapshot{
		Engines: seen.engines(p.pool, p.away()),
		Demand:  asked,
	}
	if _, err := p.lease.Authority(); err != nil {
		snap.PlatformLost = true
	}
	s := tuning.Roles(set.Roles)
	decision, history := roles.Plan(snap, now, s, p.history)
	made := p.submit(decision.Changes)
	p.history = history.Record(now, s, made)
	p.c.decisions.note(p.pool, p.c.process.Zone, decision, len(made))
}

// away are the engines with a change under way.
func (p *poolPlanner) away() map[string]bool {
	away := map[string]bool{}
	for _, st := range p.executor.Status() {
		if st.Change != nil || st.Resolving {
			away[st.Engine] = true
		}
	}
	return away
}

// submit hands changes over and returns those that were taken.
func (p *poolPlanner) submit(changes []roles.Change) []roles.Change {
	var made []roles.Change
	for _, change := range changes {
		err := p.executor.Submit(order.Change{Engine: change.Engine, Kind: engine.ChangeRole, Role: change.To})
		var refused *order.RefusedError
		switch {
		case err == nil:
			klog.Infof("controller: engine %s moves from %s to %s", change.Engine, change.From, change.To)
			made = append(made, change)
		case errors.As(err, &refused):
			klog.V(1).Infof("controller: change of %s refused: %v", change.Engine, err)
		}
	}
	return made
}

var _ contact.Authority = (*lease.Lease)(nil)
