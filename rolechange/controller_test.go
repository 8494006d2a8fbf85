package rolechange

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/duties"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/lease"
	"github.com/springweir/springweir/routes"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// fakeEngines implements Engines. It accepts any order with the right number of accepted orders.
type fakeEngines struct {
	mu       sync.Mutex
	dir      *directory.Directory
	roles    map[string]engine.Role
	accepted map[string]uint64
	// software holds the software versions of the engines.
	software map[string]string
	orders   []receivedOrder
	// refuse makes the engines refuse all orders, and loseResponse loses the responses to accepted
	// orders.
	refuse       bool
	loseResponse bool
	// changeTime is how long a role change takes.
	changeTime time.Duration
	// startedAt is the start time in the reported state.
	startedAt int64
}

// receivedOrder is an order that reached an engine.
type receivedOrder struct {
	engine string
	order  Order
	at     time.Time
}

var errLost = errors.New("no response")

func newFakeEngines(n int, dir *directory.Directory) *fakeEngines {
	f := &fakeEngines{dir: dir, roles: map[string]engine.Role{}, accepted: map[string]uint64{}, software: map[string]string{}, changeTime: time.Second}
	for i := range n {
		f.add(fmt.Sprint("e", i), fmt.Sprint("z", i%3), engine.Decode)
	}
	return f
}

func (f *fakeEngines) add(id, zone string, role engine.Role) {
	f.mu.Lock()
	f.roles[id] = role
	software := f.software[id]
	f.mu.Unlock()
	f.dir.Put(directory.Registration{ID: id, Service: "llm", SoftwareVersion: software, Zone: zone, Role: role, Slots: 8})
}

func (f *fakeEngines) State(_ context.Context, e *directory.Endpoint) (State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return State{Role: f.roles[e.ID], StartedAt: f.startedAt, OrdersAccepted: f.accepted[e.ID]}, nil
}

func (f *fakeEngines) ChangeRole(_ context.Context, e *directory.Endpoint, o Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, receivedOrder{e.ID, o, time.Now()})
	if f.refuse || o.OrdersAccepted != f.accepted[e.ID] {
		return &RefusedError{Status: 409}
	}
	f.accepted[e.ID]++
	f.roles[e.ID] = o.Role
	zone := f.dir.Snapshot().Endpoint(e.ID).Zone
	time.AfterFunc(f.changeTime, func() { f.add(e.ID, zone, o.Role) })
	if f.loseResponse {
		return errLost
	}
	return nil
}

func (f *fakeEngines) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.orders)
}

// testEnv is a fleet of engines and the VMs that contend for the lease to control their roles.
type testEnv struct {
	t        *testing.T
	rows     table.Service
	dir      *directory.Directory
	fleet    *fakeEngines
	pressure Pressure
}

func newTestEnv(t *testing.T, engines int) *testEnv {
	env := &testEnv{t: t, rows: memtable.New(), dir: directory.New(nil)}
	env.fleet = newFakeEngines(engines, env.dir)
	return env
}

// candidate is a VM that contends for the lease.
type candidate struct {
	*Controller
	runner *duties.Runner
}

func (env *testEnv) newCandidate(vm string, rank int) candidate {
	config := &routes.Config{Services: []routes.Service{{Name: "llm", Engine: &routes.Engine{Slots: 8}}, {Name: "plain"}}}
	var c *Controller
	c = New(Config{
		VM: vm, Directory: env.dir, Engines: env.fleet,
		Services: func() *routes.Config { return config },
		Balance:  DefaultBalance(),
		Pressure: func(*routes.Service) Pressure { return env.pressure },
		// The data path calls Changing with its own lock held, so the controller must not call
		// InFlight with its lock held.
		InFlight:         func(string) int { return len(c.Changing()) },
		PropagationDelay: func() time.Duration { return 100 * time.Millisecond },
	})
	return candidate{c, duties.NewRunner(duties.Config{
		Rows: env.rows, HandoverDelay: 3 * time.Second, Rank: func() int { return rank },
		Self: lease.Identity{VM: vm, Process: "boot-" + vm, Address: "127.0.0.1:1"},
	}, c)}
}

// run runs a candidate until stop is called.
func (env *testEnv) run(c candidate) (stop func()) {
	ctx, cancel := context.WithCancel(env.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.runner.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// The initial share is ordered before any work, evenly across the availability zones.
func TestInitialShareIsOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 12)
		c := env.newCandidate("a", 0)
		stop := env.run(c)
		time.Sleep(20 * time.Second)
		stop()
		zones := map[string]int{}
		for _, o := range env.fleet.orders {
			if o.order.Role != engine.Prefill || o.order.Holder != "a" || o.order.Fence != 1 {
				t.Errorf("unexpected order %+v", o)
			}
			zones[env.dir.Snapshot().Endpoint(o.engine).Zone]++
		}
		if len(env.fleet.orders) != 7 || zones["z0"] > 3 || zones["z1"] > 3 || zones["z2"] > 3 {
			t.Errorf("%d orders, by zone %v; want 7 for 12 engines, evenly", len(env.fleet.orders), zones)
		}
		if left := c.Changing(); len(left) != 0 {
			t.Errorf("still changing: %v", left)
		}
	})
}

// testTable is a table that a VM can be partitioned from.
type testTable struct {
	table.Service
	mu          sync.Mutex
	partitioned bool
}

func (p *testTable) set(partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned = partitioned
}

func (p *testTable) err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.partitioned {
		return &table.UnavailableError{Cause: errLost}
	}
	return nil
}

func (p *testTable) Get(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	if err := p.err(); err != nil {
		return nil, err
	}
	return p.Service.Get(ctx, keys...)
}

func (p *testTable) Commit(ctx context.Context, txn table.Txn) ([]table.Version, error) {
	if err := p.err(); err != nil {
		return nil, err
	}
	return p.Service.Commit(ctx, txn)
}

// Orders of two lease holders are at least the required interval apart and their fencing tokens
// increase, regardless of how the first holder loses the lease.
func TestOrdersOfHoldersAreSeparated(t *testing.T) {
	for _, tc := range []struct {
		name      string
		loseLease func(first *testTable, stop func())
	}{
		{"planned stop", func(_ *testTable, stop func()) { stop() }},
		{"cut off from the table", func(first *testTable, _ func()) { first.set(true) }},
		{"cut off for a moment", func(first *testTable, _ func()) { first.set(true); time.Sleep(5 * time.Second); first.set(false) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 6)
				rows := &testTable{Service: env.rows}
				env.rows = rows
				first := env.newCandidate("a", 0)
				env.rows = rows.Service
				second := env.newCandidate("b", 1)
				stop := env.run(first)
				time.Sleep(5 * time.Second)
				stopSecond := env.run(second)
				// New engines give both holders something to order at any time.
				go func() {
					for i := range 40 {
						time.Sleep(time.Second)
						env.fleet.add(fmt.Sprint("new", i), fmt.Sprint("z", i%3), engine.Decode)
					}
				}()
				time.Sleep(5 * time.Second)
				tc.loseLease(rows, stop)
				time.Sleep(45 * time.Second)
				stop()
				stopSecond()
				holders := map[string]int{}
				for i, o := range env.fleet.orders {
					holders[o.order.Holder]++
					if i == 0 || env.fleet.orders[i-1].order.Holder == o.order.Holder {
						continue
					}
					previous := env.fleet.orders[i-1]
					if gap := o.at.Sub(previous.at); gap < 3*time.Second {
						t.Errorf("%s sent an order %v after %s", o.order.Holder, gap, previous.order.Holder)
					}
					if o.order.Fence <= previous.order.Fence {
						t.Errorf("fencing token %d follows %d", o.order.Fence, previous.order.Fence)
					}
				}
				if holders["a"] == 0 || tc.name != "cut off for a moment" && holders["b"] == 0 {
					t.Errorf("orders by holder: %v", holders)
				}
			})
		})
	}
}

// An engine is reported as changing until its role has changed, even if the VM that sent the order
// loses the lease meanwhile.
func TestChangingOutlastsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2)
		env.fleet.changeTime = 8 * time.Second
		c := env.newCandidate("a", 0)
		stop := env.run(c)
		time.Sleep(7 * time.Second)
		stop()
		if n := len(c.Changing()); n != 1 || env.fleet.count() != 1 {
			t.Errorf("%d engines reported as changing after %d orders, want one of each", n, env.fleet.count())
		}
		time.Sleep(10 * time.Second)
		if left := c.Changing(); len(left) != 0 {
			t.Errorf("still changing: %v", left)
		}
	})
}

// An order that was refused or received no response is sent again only if the state of the engine
// requires it.
func TestOrderWithoutResponse(t *testing.T) {
	for _, tc := range []struct {
		name                 string
		loseResponse, refuse bool
		maxOrders            int
	}{
		{"response lost", true, false, 1},
		{"refused", false, true, 60},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 2)
				env.fleet.loseResponse, env.fleet.refuse = tc.loseResponse, tc.refuse
				stop := env.run(env.newCandidate("a", 0))
				time.Sleep(20 * time.Second)
				stop()
				if n := env.fleet.count(); n == 0 || n > tc.maxOrders {
					t.Errorf("%d orders, want 1 to %d", n, tc.maxOrders)
				}
			})
		})
	}
}

// An engine that restarts under the same ID has received no order, and its registration may be that
// of the previous incarnation. An order is sent only if the reported state and the registration are
// of the same incarnation.
func TestOrdersToRestartedEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		c := env.newCandidate("vm", 0)
		e := func(startedAt int64) *directory.Endpoint {
			env.dir.Put(directory.Registration{ID: "e0", StartedAt: startedAt, Service: "llm", Zone: "z0", Role: engine.Decode, Slots: 8})
			return env.dir.Snapshot().Endpoint("e0")
		}
		c.addChange(e(1), engine.Prefill)
		if len(c.Changing()) != 1 {
			t.Fatal("the pending change is not reported")
		}
		e(2)
		if got := c.Changing(); len(got) != 0 {
			t.Errorf("the new incarnation is reported as changing: %v", got)
		}
		env.fleet.startedAt = 3 // the row of this incarnation is not written yet
		c.addChange(e(2), engine.Prefill)
		c.order(t.Context(), nil, e(2), engine.Prefill)
		if env.fleet.count() != 0 || len(c.Changing()) != 0 {
			t.Errorf("%d orders to an engine whose row is of an earlier incarnation, changing %v", env.fleet.count(), c.Changing())
		}
	})
}
