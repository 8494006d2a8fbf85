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

// change is an order under way.
type change struct {
	to engine.Role
	// born is the start of the engine that was ordered. A later one knows of no order.
	born  int64
	since time.Time
}

// Changing returns the engines that were ordered to change and have not done so.
// That holds also after the lease was lost: the engines change all the same.
func (k *Controller) Changing() []string {
	k.settle()
	k.mu.Lock()
	defer k.mu.Unlock()
	ids := make([]string, 0, len(k.changing))
	for id := range k.changing {
		ids = append(ids, id)
	}
	return ids
}

// settle forgets changes that were carried out, whose engine is gone, or that
// take too long.
func (k *Controller) settle() {
	s, now := k.cfg.Directory.Snapshot(), k.cfg.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, c := range k.changing {
		e := s.Endpoint(id)
		switch {
		case e == nil, e.Role == c.to, e.StartedAt != c.born:
			klog.InfoS("rolechange: change settled", "endpoint", id, "role", c.to, "took", now.Sub(c.since), "gone", e == nil)
			delete(k.changing, id)
		case now.Sub(c.since) > changeTimeout:
			klog.InfoS("rolechange: change not seen in time, to be looked at anew", "endpoint", id, "role", c.to)
			delete(k.changing, id)
		}
	}
}

// order reads an engine's state and sends it one order.
func (k *Controller) order(ctx context.Context, l *lease.Lease, e *directory.Endpoint, to engine.Role) {
	asking, cancel := clock.WithTimeout(ctx, callTimeout)
	state, err := k.cfg.Engines.State(asking, e)
	cancel()
	if err != nil {
		klog.InfoS("rolechange: engine not asked, nothing ordered", "endpoint", e.ID, "err", err)
		k.drop(e.ID)
		return
	}
	if state.StartedAt != e.StartedAt {
		klog.InfoS("rolechange: engine has started again, nothing ordered", "endpoint", e.ID, "registered", e.StartedAt, "born", state.StartedAt)
		k.drop(e.ID)
		return
	}
	if state.OrderInProgress || state.Role == to {
		return // its registration lags, or another order is under way
	}
	err = duties.Act(ctx, l, callTimeout, func(ctx context.Context, fence uint64) error {
		return k.cfg.Engines.ChangeRole(ctx, e, Order{Role: to, Holder: k.cfg.VM, Fence: fence, OrdersAccepted: state.OrdersAccepted})
	})
	klog.InfoS("rolechange: ordered", "endpoint", e.ID, "zone", e.Zone, "from", state.Role, "to", to,
		"fence", l.Fence(), "taken", state.OrdersAccepted, "err", err)
	if certainlyNotTaken(err) {
		k.drop(e.ID)
	}
}

// certainlyNotTaken tells whether an order cannot have been taken: the engine refused it, or it was
// not sent.
func certainlyNotTaken(err error) bool {
	var refused *RefusedError
	var lost *lease.LostError
	var late *duties.TooLateError
	return errors.As(err, &refused) || errors.As(err, &lost) || errors.As(err, &late)
}

func (k *Controller) note(e *directory.Endpoint, to engine.Role) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.changing[e.ID] = change{to: to, born: e.StartedAt, since: k.cfg.Now()}
}

func (k *Controller) drop(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.changing, id)
}
