package rolechange

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/duties"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/lease"
)

// pendingChange is a role change that was chosen and is not known to be complete.
type pendingChange struct {
	to engine.Role
	// startedAt identifies the incarnation that the order is for. A later incarnation has not
	// received it.
	startedAt int64
	since     time.Time
}

// Changing returns the IDs of the engines with a pending change. These remain pending after the
// loss of the lease, since the engines carry out their orders nevertheless.
func (c *Controller) Changing() []string {
	c.resolve()
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]string, 0, len(c.changing))
	for id := range c.changing {
		ids = append(ids, id)
	}
	return ids
}

// resolve removes pending changes that are complete, whose engine was deregistered or has
// restarted, or that have exceeded changeTimeout.
func (c *Controller) resolve() {
	s, now := c.cfg.Directory.Snapshot(), c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, p := range c.changing {
		e := s.Endpoint(id)
		switch {
		case e == nil, e.Role == p.to, e.StartedAt != p.startedAt:
			klog.InfoS("rolechange: change resolved", "endpoint", id, "role", p.to, "took", now.Sub(p.since), "gone", e == nil)
			delete(c.changing, id)
		case now.Sub(p.since) > changeTimeout:
			klog.InfoS("rolechange: change timed out, will be evaluated again", "endpoint", id, "role", p.to)
			delete(c.changing, id)
		}
	}
}

// order reads the state of an engine and sends it one order.
func (c *Controller) order(ctx context.Context, l *lease.Lease, e *directory.Endpoint, to engine.Role) {
	stateCtx, cancel := clock.WithTimeout(ctx, callTimeout)
	state, err := c.cfg.Engines.State(stateCtx, e)
	cancel()
	if err != nil {
		klog.InfoS("rolechange: state of the engine not read, no order sent", "endpoint", e.ID, "err", err)
		c.removeChange(e.ID)
		return
	}
	if state.StartedAt != e.StartedAt {
		klog.InfoS("rolechange: engine has restarted, no order sent", "endpoint", e.ID, "registered", e.StartedAt, "born", state.StartedAt)
		c.removeChange(e.ID)
		return
	}
	if state.OrderInProgress || state.Role == to {
		return // the registration lags, or another order is in progress
	}
	err = duties.Call(ctx, l, callTimeout, func(ctx context.Context, fence uint64) error {
		return c.cfg.Engines.ChangeRole(ctx, e, Order{Role: to, Holder: c.cfg.VM, Fence: fence, OrdersAccepted: state.OrdersAccepted})
	})
	if certainlyNotAccepted(err) {
		klog.InfoS("rolechange: order not accepted", "endpoint", e.ID, "zone", e.Zone, "to", to, "fence", l.Fence(), "err", err)
		c.removeChange(e.ID)
		return
	}
	klog.InfoS("rolechange: ordered", "endpoint", e.ID, "zone", e.Zone, "from", state.Role, "to", to,
		"fence", l.Fence(), "taken", state.OrdersAccepted, "err", err)
}

// certainlyNotAccepted reports whether the engine cannot have accepted an order, because it refused
// the order or the order was not sent.
func certainlyNotAccepted(err error) bool {
	var refused *RefusedError
	var lost *lease.LostError
	var late *duties.LeaseTooShortError
	return errors.As(err, &refused) || errors.As(err, &lost) || errors.As(err, &late)
}

func (c *Controller) addChange(e *directory.Endpoint, to engine.Role) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changing[e.ID] = pendingChange{to: to, startedAt: e.StartedAt, since: c.cfg.Now()}
}

func (c *Controller) removeChange(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.changing, id)
}
