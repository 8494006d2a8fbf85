package e2e

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/order"
)

// The pools of the role tests. The engines of checkedPool check fencing tokens, those of
// ignoredPool ignore them.
const (
	checkedPool = "checked"
	ignoredPool = "ignored"
)

// TestControllerKilledAndPaused replaces an engine of each pool with springweirctl, for which the
// replacement must change its role. During the change it kills the controller that holds the
// leases, and during a second replacement it pauses the next holder beyond its lease. The
// successors must finish the orders, no engine may receive conflicting orders, the resumed
// controller must have no effect, and no stream may be interrupted.
func TestControllerKilledAndPaused(t *testing.T) {
	s := newSite(t)
	const pool = "[pool %q]\nmodels = %s\nrole-planning = no\n"
	s.pools = fmt.Sprintf(pool, checkedPool, "chat") + fmt.Sprintf(pool, ignoredPool, "second")
	a, b := s.addVM("vm1", "a"), s.addVM("vm2", "a")
	for i, role := range []string{"mixed", "decode", "prefill"} {
		s.addEngine(fmt.Sprint(checkedPool, i), "a", checkedPool, role, "checked", "--role-change", roleChange)
		s.addEngine(fmt.Sprint(ignoredPool, i), "a", ignoredPool, role, "ignored", "--role-change", roleChange, "--load", "second@1")
	}
	s.startAll()
	second := func() request { return request{model: "second", prompt: promptOf(40)} }
	l := s.startLoad(8, s.vms, s.newStream, second)
	s.handOver(b, a)

	orders := s.replace(0, 1)
	a.controller.end()
	s.awaitLeaseHolder(b)
	s.awaitOrderClosed(orders[checkedPool])
	s.checkOrderStaysOpen(orders[ignoredPool])
	s.startController(a) // the new incarnation proves that the killed process has exited
	s.awaitOrderClosed(orders[ignoredPool])
	s.awaitReplaced(b, 0)

	orders = s.replace(1, 2)
	b.controller.signal(t, syscall.SIGSTOP)
	s.awaitLeaseHolder(a)
	s.awaitOrderClosed(orders[checkedPool])
	s.checkOrderStaysOpen(orders[ignoredPool])
	b.controller.signal(t, syscall.SIGCONT)
	s.awaitOrderClosed(orders[ignoredPool])
	s.awaitReplaced(a, 1)

	s.check(l.stop(), complete)
	for _, e := range s.endpoints {
		s.checkOrders(e)
	}
}

// roleChange is longer than a lease, so that a successor finds the change in progress.
const roleChange = "15s"

// replace replaces engine number old of each pool by engine number by, and waits until both
// replacements are changing their roles.
func (s *site) replace(old, by int) map[string]openOrder {
	s.t.Helper()
	for _, pool := range []string{checkedPool, ignoredPool} {
		s.mustCtl("replace", fmt.Sprint(pool, old), fmt.Sprint(pool, by), "--author", "e2e", "--wait", waitTimeout.String())
	}
	return s.awaitOrders()
}

// awaitReplaced waits until engine number old of each pool drains.
func (s *site) awaitReplaced(v *vm, old int) {
	s.t.Helper()
	await(s.t, fmt.Sprintf("the drain of engines %d", old), func() bool {
		n := 0
		for _, e := range s.status(v).Endpoints {
			if e.Leaving && (e.Name == fmt.Sprint(checkedPool, old) || e.Name == fmt.Sprint(ignoredPool, old)) {
				n++
			}
		}
		return n == 2
	})
}

// handOver restarts the controller of from, so that the controller of to holds all leases.
func (s *site) handOver(from, to *vm) {
	s.t.Helper()
	from.controller.signal(s.t, syscall.SIGTERM)
	from.controller.awaitExit(s.t)
	s.awaitLeaseHolder(to)
	s.startController(from)
}

// awaitHolder waits until a VM's controller holds the leases of both pools.
func (s *site) awaitLeaseHolder(v *vm) {
	s.t.Helper()
	await(s.t, v.name+" holds the leases", func() bool {
		return s.leaseHolder(v, checkedPool) == v.name && s.leaseHolder(v, ignoredPool) == v.name
	})
}

// openOrder is an order in progress at an engine.
type openOrder struct {
	e  *endpoint
	id string
}

// awaitOrders waits until an engine of each pool is changing its role.
func (s *site) awaitOrders() map[string]openOrder {
	s.t.Helper()
	found := map[string]openOrder{}
	await(s.t, "a change of role in both pools", func() bool {
		clear(found)
		for _, e := range s.endpoints {
			var st engine.State
			if get(e.address, engine.StatePath, &st) == nil && st.Order != nil && st.Order.Phase == engine.OrderRunning {
				found[e.pool] = openOrder{e, st.Order.ID}
			}
		}
		return len(found) == 2
	})
	return found
}

func (s *site) journaled(o openOrder) order.Entry {
	s.t.Helper()
	entry, err := order.NewJournal(s.table).Read(context.Background(), o.e.name)
	if err != nil {
		s.t.Fatal(err)
	}
	return entry
}

// awaitOrderClosed waits until the journal records the end of an order, and checks that the
// engine received the order.
func (s *site) awaitOrderClosed(o openOrder) {
	s.t.Helper()
	await(s.t, "the end of an order for "+o.e.name, func() bool {
		entry := s.journaled(o)
		return entry.Order.ID != o.id || !entry.IsOpen()
	})
	for _, r := range s.history(o.e).Orders {
		if r.Order.ID == o.id {
			return
		}
	}
	s.t.Errorf("%s has not received order %s", o.e.name, o.id)
}

// checkOrderStaysOpen checks that a successor doesn't close an order or issue another one to an
// engine that ignores fencing tokens while a copy of the order from the unresponsive predecessor
// could still arrive. It checks 3 s after the engine has completed the order.
func (s *site) checkOrderStaysOpen(o openOrder) {
	s.t.Helper()
	await(s.t, "the engine has completed the order", func() bool {
		var st engine.State
		return get(o.e.address, engine.StatePath, &st) == nil && st.Order.Phase == engine.OrderDone
	})
	time.Sleep(3 * time.Second)
	if entry := s.journaled(o); entry.Order.ID != o.id || !entry.IsOpen() {
		s.t.Errorf("order %s for %s was closed unconfirmed; now %s", o.id, o.e.name, entry.Order.ID)
	}
}

// checkOrders checks the orders that an engine recorded: no order arrived while another was
// running, none arrived again after a later one, and none of an earlier lease term took effect
// after one of a later term.
func (s *site) checkOrders(e *endpoint) {
	s.t.Helper()
	seen := map[string]bool{}
	var current engine.Order
	var maxFence uint64
	for i, r := range s.history(e).Orders {
		s.t.Logf("%s: order %s fence %d role %s refused %q", e.name, r.Order.ID, r.Order.Fence, r.Order.Role, r.Refused)
		if r.Refused == failure.EngineBusy {
			s.t.Errorf("%s: order %d arrived while another was running", e.name, i)
		}
		if r.Refused != "" {
			continue
		}
		if r.Order.ID != current.ID {
			if seen[r.Order.ID] {
				s.t.Errorf("%s: order %d arrived again after another", e.name, i)
			}
			if r.Order.Fence < maxFence {
				s.t.Errorf("%s: order %d of an earlier lease term took effect", e.name, i)
			}
		}
		seen[r.Order.ID] = true
		current = r.Order
		maxFence = max(maxFence, r.Order.Fence)
	}
}
