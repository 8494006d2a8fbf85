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

// fleet is a set of engines that take orders and check nothing but their number.
type fleet struct {
	mu      sync.Mutex
	dir     *directory.Directory
	roles   map[string]engine.Role
	taken   map[string]uint64
	orders  []ordered
	refuse  bool
	lose    bool
	switchT time.Duration
	// born is the start that the engines' accounts name.
	born int64
}

// ordered is an order that reached an engine.
type ordered struct {
	engine string
	order  Order
	at     time.Time
}

var errLost = errors.New("no answer")

func newFleet(n int, dir *directory.Directory) *fleet {
	f := &fleet{dir: dir, roles: map[string]engine.Role{}, taken: map[string]uint64{}, switchT: time.Second}
	for i := range n {
		f.add(fmt.Sprint("e", i), fmt.Sprint("z", i%3), engine.Decode)
	}
	return f
}

func (f *fleet) add(id, zone string, role engine.Role) {
	f.mu.Lock()
	f.roles[id] = role
	f.mu.Unlock()
	f.dir.Put(directory.Registration{ID: id, Service: "llm", Zone: zone, Role: role, Slots: 8})
}

func (f *fleet) State(_ context.Context, e *directory.Endpoint) (State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return State{Role: f.roles[e.ID], StartedAt: f.born, OrdersAccepted: f.taken[e.ID]}, nil
}

func (f *fleet) ChangeRole(_ context.Context, e *directory.Endpoint, o Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, ordered{e.ID, o, time.Now()})
	if f.refuse || o.OrdersAccepted != f.taken[e.ID] {
		return &RefusedError{Status: 409}
	}
	f.taken[e.ID]++
	f.roles[e.ID] = o.Role
	zone := f.dir.Snapshot().Endpoint(e.ID).Zone
	time.AfterFunc(f.switchT, func() { f.add(e.ID, zone, o.Role) })
	if f.lose {
		return errLost
	}
	return nil
}

func (f *fleet) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.orders)
}

// world is a fleet with VMs that keep its roles.
type world struct {
	t        *testing.T
	rows     table.Service
	dir      *directory.Directory
	fleet    *fleet
	pressure Pressure
}

func newWorld(t *testing.T, engines int) *world {
	w := &world{t: t, rows: memtable.New(), dir: directory.New(nil)}
	w.fleet = newFleet(engines, w.dir)
	return w
}

// contender is a VM that contends for the lease, to keep the roles.
type contender struct {
	*Controller
	contends *duties.Keeper
}

func (w *world) keeper(vm string, rank int) contender {
	config := &routes.Config{Services: []routes.Service{{Name: "llm", Engine: &routes.Engine{Slots: 8}}, {Name: "plain"}}}
	var k *Controller
	k = New(Config{
		VM: vm, Directory: w.dir, Engines: w.fleet,
		Services: func() *routes.Config { return config },
		Balance:  DefaultBalance(),
		Pressure: func(*routes.Service) Pressure { return w.pressure },
		// A decision on the data path asks for the engines that are changing while
		// it holds its own lock, so this must not be called under the keeper's.
		InFlight:         func(string) int { return len(k.Changing()) },
		PropagationDelay: func() time.Duration { return 100 * time.Millisecond },
	})
	return contender{k, duties.NewKeeper(duties.Config{
		Rows: w.rows, Apart: 3 * time.Second, Rank: func() int { return rank },
		Self: lease.Identity{VM: vm, Process: "boot-" + vm, Address: "127.0.0.1:1"},
	}, k)}
}

// run runs a keeper until the function returned is called.
func (w *world) run(k contender) (stop func()) {
	ctx, cancel := context.WithCancel(w.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.contends.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

func TestSharePrefillsBeforeAnyWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 12)
		k := w.keeper("a", 0)
		stop := w.run(k)
		time.Sleep(20 * time.Second)
		stop()
		zones := map[string]int{}
		for _, o := range w.fleet.orders {
			if o.order.Role != engine.Prefill || o.order.Holder != "a" || o.order.Fence != 1 {
				t.Errorf("ordered %+v", o)
			}
			zones[w.dir.Snapshot().Endpoint(o.engine).Zone]++
		}
		if len(w.fleet.orders) != 7 || zones["z0"] > 3 || zones["z1"] > 3 || zones["z2"] > 3 {
			t.Errorf("%d orders, by zone %v; want 7 of 12, evenly", len(w.fleet.orders), zones)
		}
		if left := k.Changing(); len(left) != 0 {
			t.Errorf("still changing: %v", left)
		}
	})
}

// cuttable is a table that a VM may be cut off from.
type cuttable struct {
	table.Service
	mu  sync.Mutex
	cut bool
}

func (c *cuttable) set(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

func (c *cuttable) err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut {
		return &table.UnavailableError{Cause: errLost}
	}
	return nil
}

func (c *cuttable) Get(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	if err := c.err(); err != nil {
		return nil, err
	}
	return c.Service.Get(ctx, keys...)
}

func (c *cuttable) Commit(ctx context.Context, txn table.Txn) ([]table.Version, error) {
	if err := c.err(); err != nil {
		return nil, err
	}
	return c.Service.Commit(ctx, txn)
}

// Whoever holds the lease and however it is lost, orders of two holders never come
// within the time that engines need between them, and fences only rise.
func TestHoldersKeepApart(t *testing.T) {
	for _, tc := range []struct {
		name string
		lose func(first *cuttable, stop func())
	}{
		{"planned stop", func(_ *cuttable, stop func()) { stop() }},
		{"cut off from the table", func(first *cuttable, _ func()) { first.set(true) }},
		{"cut off for a moment", func(first *cuttable, _ func()) { first.set(true); time.Sleep(5 * time.Second); first.set(false) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 6)
				rows := &cuttable{Service: w.rows}
				w.rows = rows
				first := w.keeper("a", 0)
				w.rows = rows.Service
				second := w.keeper("b", 1)
				stop := w.run(first)
				time.Sleep(5 * time.Second)
				stopSecond := w.run(second)
				// Both sides always have something to order.
				go func() {
					for i := range 40 {
						time.Sleep(time.Second)
						w.fleet.add(fmt.Sprint("new", i), fmt.Sprint("z", i%3), engine.Decode)
					}
				}()
				time.Sleep(5 * time.Second)
				tc.lose(rows, stop)
				time.Sleep(45 * time.Second)
				stop()
				stopSecond()
				holders := map[string]int{}
				for i, o := range w.fleet.orders {
					holders[o.order.Holder]++
					if i == 0 || w.fleet.orders[i-1].order.Holder == o.order.Holder {
						continue
					}
					before := w.fleet.orders[i-1]
					if gap := o.at.Sub(before.at); gap < 3*time.Second {
						t.Errorf("%s ordered %v after %s", o.order.Holder, gap, before.order.Holder)
					}
					if o.order.Fence <= before.order.Fence {
						t.Errorf("fence %d follows %d", o.order.Fence, before.order.Fence)
					}
				}
				if holders["a"] == 0 || tc.name != "cut off for a moment" && holders["b"] == 0 {
					t.Errorf("orders by holder: %v", holders)
				}
			})
		})
	}
}

// An engine that was ordered is told of as changing until it has changed, also when
// its author loses the lease meanwhile.
func TestChangingOutlastsTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		w.fleet.switchT = 8 * time.Second
		k := w.keeper("a", 0)
		stop := w.run(k)
		time.Sleep(7 * time.Second)
		stop()
		if n := len(k.Changing()); n != 1 || w.fleet.count() != 1 {
			t.Errorf("%d engines told of as changing after %d orders", n, w.fleet.count())
		}
		time.Sleep(10 * time.Second)
		if left := k.Changing(); len(left) != 0 {
			t.Errorf("still told of: %v", left)
		}
	})
}

// An order without an answer, or refused, is not sent again blindly: the engine's
// own state decides.
func TestOrderWithoutAnswer(t *testing.T) {
	for _, tc := range []struct {
		name         string
		lose, refuse bool
		most         int
	}{
		{"answer lost", true, false, 1},
		{"refused", false, true, 60},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 2)
				w.fleet.lose, w.fleet.refuse = tc.lose, tc.refuse
				stop := w.run(w.keeper("a", 0))
				time.Sleep(20 * time.Second)
				stop()
				if n := w.fleet.count(); n == 0 || n > tc.most {
					t.Errorf("%d orders, want 1 to %d", n, tc.most)
				}
			})
		})
	}
}

// An engine that starts again under its ID knows of no order, and what its registration
// says may be of the start before: it is asked, and ordered only if both agree.
func TestRestartedEngineIsOrderedAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		k := w.keeper("vm", 0)
		e := func(born int64) *directory.Endpoint {
			w.dir.Put(directory.Registration{ID: "e0", StartedAt: born, Service: "llm", Zone: "z0", Role: engine.Decode, Slots: 8})
			return w.dir.Snapshot().Endpoint("e0")
		}
		k.note(e(1), engine.Prefill)
		if len(k.Changing()) != 1 {
			t.Fatal("the change is not known")
		}
		e(2)
		if got := k.Changing(); len(got) != 0 {
			t.Errorf("the new start is taken to be changing: %v", got)
		}
		w.fleet.born = 3 // the row of this start is not written yet
		k.note(e(2), engine.Prefill)
		k.order(t.Context(), nil, e(2), engine.Prefill)
		if w.fleet.count() != 0 || len(k.Changing()) != 0 {
			t.Errorf("%d orders to an engine whose row is of an earlier start, changing %v", w.fleet.count(), k.Changing())
		}
	})
}
