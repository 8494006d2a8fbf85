package scaling

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/duties"
	"github.com/springweir/springweir/lease"
	"github.com/springweir/springweir/routes"
	"github.com/springweir/springweir/table/memtable"
)

const (
	testBoot   = 4 * time.Second
	testNotice = 2200 * time.Millisecond
	perZone    = 19
	testBase   = 3 * perZone
	testMax    = 38
	// manyTimes is how many times as large a larger fleet is, and tooMany one whose numbers stay.
	manyTimes = 3
	tooMany   = 18
)

// market starts and ends endpoints as it is ordered, and takes revocable ones away.
type market struct {
	t   *testing.T
	dir *directory.Directory
	// most is how many endpoints a zone may have.
	most int

	mu sync.Mutex
	// list are the endpoints that serve or are about to, by zone and kind.
	list map[zoneKey][]string
	// dry are the zones that have no revocable endpoints to give.
	dry map[string]bool
	// serving counts those that serve, and paid sums up what was paid, in seconds of ordinary ones.
	serving map[string]bool
	paid    float64
	orders  []Order
	fails   bool
	names   int
}

func newMarket(t *testing.T) *market { return newMarketOf(t, perZone, testMax) }

func newMarketOf(t *testing.T, each, most int) *market {
	m := &market{t: t, most: most, dir: directory.New(nil), list: map[zoneKey][]string{}, dry: map[string]bool{}, serving: map[string]bool{}}
	for z := range 3 {
		key := zoneKey{"llm", fmt.Sprint("z", z), false}
		for range each {
			m.register(key, m.name(key))
		}
	}
	return m
}

// name gives the next endpoint of a kind its name, and lists it.
func (m *market) name(key zoneKey) string {
	m.names++
	id := fmt.Sprint("e", m.names)
	m.list[key] = append(m.list[key], id)
	return id
}

func (m *market) register(key zoneKey, id string) {
	m.serving[id] = true
	m.dir.Put(directory.Registration{ID: id, Service: key.service, Zone: key.zone, Revocable: key.revocable})
}

func (m *market) Scale(_ context.Context, o Order) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fails {
		return context.DeadlineExceeded
	}
	m.orders = append(m.orders, o)
	key := zoneKey{o.Service, o.Zone, o.Revocable}
	other := zoneKey{o.Service, o.Zone, !o.Revocable}
	number := max(0, min(o.Target, m.most-len(m.list[other])))
	if o.Revocable && m.dry[o.Zone] && number > len(m.list[key]) {
		return &NoCapacityError{Service: o.Service, Zone: o.Zone}
	}
	for len(m.list[key]) < number {
		id := m.name(key)
		time.AfterFunc(testBoot, func() { m.started(key, id) })
	}
	for len(m.list[key]) > number {
		m.end(key, 0)
	}
	return nil
}

// started registers an endpoint that is still wanted.
func (m *market) started(key zoneKey, id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, listed := range m.list[key] {
		if listed == id {
			m.register(key, id)
		}
	}
}

// end takes the last endpoint of a kind away after a notice. The caller holds mu.
func (m *market) end(key zoneKey, notice time.Duration) {
	list := m.list[key]
	id := list[len(list)-1]
	m.list[key] = list[:len(list)-1]
	if !m.serving[id] {
		return
	}
	m.dir.Put(directory.Registration{ID: id, Service: key.service, Zone: key.zone, Revocable: key.revocable, Draining: true})
	time.AfterFunc(notice, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.serving, id)
		m.dir.Remove(id)
	})
}

// reclaim takes the revocable endpoints of a zone away, which is dry from then on.
func (m *market) reclaim(zone string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dry[zone] = true
	for key := (zoneKey{"llm", zone, true}); len(m.list[key]) > 0; {
		m.end(key, testNotice)
	}
}

func (m *market) wet(zone string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dry[zone] = false
}

// fail sets whether orders are lost.
func (m *market) fail(fails bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fails = fails
}

// ordered is the number of orders so far.
func (m *market) ordered() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.orders)
}

// watch calls see every 100 ms with the number that serves, and sums up what is paid.
func (m *market) watch(ctx context.Context, price float64, see func(serving int)) {
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		m.mu.Lock()
		n := len(m.serving)
		for key, list := range m.list {
			part := 1.0
			if key.revocable {
				part = price
			}
			m.paid += part * float64(len(list)) / 10
			if total := len(list) + len(m.list[zoneKey{key.service, key.zone, !key.revocable}]); total > m.most {
				m.t.Errorf("%d endpoints in %s, more than may be", total, key.zone)
			}
		}
		m.mu.Unlock()
		see(n)
	}
}

func testService(most int) *routes.Config {
	return &routes.Config{Services: []routes.Service{{Name: "llm", Scale: &routes.Scale{
		Min: 1, Max: most, BootDuration: testBoot, RevocablePrice: 0.15,
		ZonePrices: map[string]float64{"z0": 0.85, "z1": 1.2, "z2": 1},
	}}}}
}

// contend runs a VM that contends for the duty, until ctx ends.
func contend(ctx context.Context, m *market, rows *memtable.Table, vm string, rank int) {
	config := testService(m.most)
	s := New(Config{VM: vm, Rows: rows, Directory: m.dir, Platform: m, Services: func() *routes.Config { return config }})
	duties.NewRunner(duties.Config{
		Rows: rows, HandoverDelay: 3 * time.Second, Rank: func() int { return rank },
		Self: lease.Identity{VM: vm, Process: "boot-" + vm, Address: "127.0.0.1:1"},
	}, s).Run(ctx)
}

// play runs two VMs on a market for a time. act is called once at each second.
func play(t *testing.T, m *market, rows *memtable.Table, seconds int, act func(second int), see func(at time.Duration, serving int)) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i := range 2 {
		running.Go(func() { contend(ctx, m, rows, fmt.Sprint("vm", i), i) })
	}
	begin := time.Now()
	running.Go(func() { m.watch(ctx, 0.15, func(n int) { see(time.Since(begin), n) }) })
	for s := range seconds {
		act(s)
		time.Sleep(time.Second)
	}
	cancel()
	running.Wait()
}

// With revocable endpoints to be had everywhere, the service costs a part, has more endpoints than
// before, and keeps at least the base while zone after zone takes them away.
func TestRevocableEndpointsReplaceOthersAndZonesTakeThemAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMarket(t)
		least, most := testBase, 0
		play(t, m, memtable.New(), 120, func(second int) {
			switch second {
			case 30, 70:
				m.reclaim("z0")
			case 45, 85:
				m.wet("z0")
			case 55:
				m.reclaim("z2")
			case 65:
				m.wet("z2")
			}
		}, func(_ time.Duration, n int) { least, most = min(least, n), max(most, n) })
		if least < testBase {
			t.Errorf("%d endpoints served, want %d at all times", least, testBase)
		}
		if most <= testBase {
			t.Errorf("never more than %d endpoints served", most)
		}
		if part := m.paid / (120 * testBase); part > 0.6 {
			t.Errorf("paid %.2f of what the base would have cost, want at most 0.6", part)
		}
	})
}

// While no zone takes any away, the service costs little.
func TestRevocableEndpointsCostLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, rows := newMarket(t), memtable.New()
		play(t, m, rows, 60, func(int) {}, func(time.Duration, int) {})
		before := m.paid
		play(t, m, rows, 60, func(int) {}, func(time.Duration, int) {})
		if part := (m.paid - before) / (60 * testBase); part > 0.36 {
			t.Errorf("paid %.2f of what the base would have cost, want at most 0.36", part)
		}
	})
}

// Two zones that take theirs away one shortly after the other leave what the insurance bought.
func TestTwoZonesTakeRevocableEndpointsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMarket(t)
		least := testBase
		play(t, m, memtable.New(), 60, func(second int) {
			switch second {
			case 30:
				m.reclaim("z0")
			case 40:
				m.reclaim("z1")
			}
		}, func(_ time.Duration, n int) { least = min(least, n) })
		if least < testBase {
			t.Errorf("%d endpoints served, want %d at all times", least, testBase)
		}
	})
}

// All at once can't be insured: what they made up for is ordered at once, and serves once it started.
func TestAllRevocableEndpointsGoAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMarket(t)
		var below time.Duration
		play(t, m, memtable.New(), 60, func(second int) {
			if second == 30 {
				for _, z := range []string{"z0", "z1", "z2"} {
					m.reclaim(z)
				}
			}
		}, func(_ time.Duration, n int) {
			if n < testBase {
				below += 100 * time.Millisecond
			}
		})
		if most := testBoot - testNotice + 2*period + 200*time.Millisecond; below > most {
			t.Errorf("fewer than the base served for %v, want at most %v", below, most)
		}
	})
}

// Whatever zones do, orders of one tenure carry its fence, the limits hold, and once all is quiet the
// numbers come to rest.
func TestNumbersComeToRest(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 1))
				m, rows := newMarket(t), memtable.New()
				var atRest int
				play(t, m, rows, 120, func(second int) {
					zone := fmt.Sprint("z", rng.IntN(3))
					switch {
					case second == 80:
						rows.SetDown(false)
						m.fail(false)
						for z := range 3 {
							m.wet(fmt.Sprint("z", z))
						}
					case second == 105:
						atRest = m.ordered()
					case second > 80:
					case rng.IntN(6) == 0:
						m.reclaim(zone)
					case rng.IntN(6) == 0:
						m.wet(zone)
					case rng.IntN(12) == 0:
						rows.SetDown(true)
					case rng.IntN(6) == 0:
						rows.SetDown(false)
					case rng.IntN(8) == 0:
						m.fail(rng.IntN(2) == 0)
					}
				}, func(time.Duration, int) {})
				fence := uint64(0)
				for _, o := range m.orders {
					if o.Fence < fence {
						t.Fatalf("order under fence %d after fence %d", o.Fence, fence)
					}
					fence = o.Fence
				}
				if n := len(m.orders) - atRest; n > 0 {
					t.Errorf("%d orders after 25 s of rest", n)
				}
				if n := len(m.serving); n < testBase {
					t.Errorf("%d endpoints serve in the end, want at least %d", n, testBase)
				}
			})
		})
	}
}

// In a larger fleet few endpoints come or leave at a time by orders, so that all VMs hear of each in
// time; the service comes to cost less all the same, and never has fewer than at first.
func TestNumbersOfALargerFleetMoveInSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const base = manyTimes * testBase
		m := newMarketOf(t, manyTimes*perZone, manyTimes*testMax)
		before, least := base, base
		play(t, m, memtable.New(), 120, func(int) {}, func(_ time.Duration, n int) {
			least = min(least, n)
			// Three zones, of which one may have its next step in the same moment.
			if gone := before - n; gone > 3*maxLeaving {
				t.Errorf("%d endpoints left within 100 ms", gone)
			}
			if came := n - before; came > 3*maxComing {
				t.Errorf("%d endpoints came within 100 ms", came)
			}
			before = n
		})
		if least < base {
			t.Errorf("%d endpoints served, want %d at all times", least, base)
		}
		if part := m.paid / (120 * base); part > 0.95 {
			t.Errorf("paid %.2f of what the base would have cost, want at most 0.95", part)
		}
	})
}

// The numbers of a fleet of a thousand stay as they are.
func TestNumbersOfALargeFleetStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMarketOf(t, tooMany*perZone, tooMany*testMax)
		play(t, m, memtable.New(), 60, func(int) {}, func(time.Duration, int) {})
		if n := m.ordered(); n > 0 {
			t.Errorf("%d orders", n)
		}
	})
}
