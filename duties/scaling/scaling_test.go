package scaling

import (
	"context"
	crand "crypto/rand"
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
	testBoot       = 4 * time.Second
	testStopNotice = 2200 * time.Millisecond
	zoneBase       = 19
	testBase       = 3 * zoneBase
	zoneMaximum    = 38
	// largerFactor scales the fleet of the test of stepwise changes, and unmanagedFactor one whose
	// base exceeds maxManagedBase.
	largerFactor    = 3
	unmanagedFactor = 18
)

// fakePlatform starts and stops endpoints as ordered, and reclaims revocable ones.
type fakePlatform struct {
	t   *testing.T
	dir *directory.Directory
	// zoneMax is the maximum number of endpoints of a zone.
	zoneMax int

	mu sync.Mutex
	// endpoints lists the serving and starting endpoints by zone and kind.
	endpoints map[zoneKey][]string
	// exhausted holds the zones in which no revocable endpoints are available.
	exhausted map[string]bool
	// serving holds the serving endpoints, and cost the accumulated price, in seconds of an
	// ordinary endpoint.
	serving    map[string]bool
	cost       float64
	orders     []Order
	ordersFail bool
	lastName   int
}

func newPlatform(t *testing.T) *fakePlatform { return newPlatformOf(t, zoneBase, zoneMaximum) }

func newPlatformOf(t *testing.T, perZone, zoneMax int) *fakePlatform {
	p := &fakePlatform{t: t, zoneMax: zoneMax, dir: directory.New(nil), endpoints: map[zoneKey][]string{}, exhausted: map[string]bool{}, serving: map[string]bool{}}
	for zone := range 3 {
		key := zoneKey{"llm", fmt.Sprint("z", zone), false}
		for range perZone {
			p.register(key, p.newEndpoint(key))
		}
	}
	return p
}

// newEndpoint adds an endpoint of a kind to the list and returns its name.
func (p *fakePlatform) newEndpoint(key zoneKey) string {
	p.lastName++
	id := fmt.Sprint("e", p.lastName)
	p.endpoints[key] = append(p.endpoints[key], id)
	return id
}

func (p *fakePlatform) register(key zoneKey, id string) {
	p.serving[id] = true
	p.dir.Put(directory.Registration{ID: id, Service: key.service, Zone: key.zone, Revocable: key.revocable})
}

func (p *fakePlatform) Scale(_ context.Context, o Order) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ordersFail {
		return context.DeadlineExceeded
	}
	p.orders = append(p.orders, o)
	key := zoneKey{o.Service, o.Zone, o.Revocable}
	otherKind := zoneKey{o.Service, o.Zone, !o.Revocable}
	target := max(0, min(o.Target, p.zoneMax-len(p.endpoints[otherKind])))
	if o.Revocable && p.exhausted[o.Zone] && target > len(p.endpoints[key]) {
		return &NoCapacityError{Service: o.Service, Zone: o.Zone}
	}
	for len(p.endpoints[key]) < target {
		id := p.newEndpoint(key)
		time.AfterFunc(testBoot, func() { p.registerStarted(key, id) })
	}
	for len(p.endpoints[key]) > target {
		p.stop(key, 0)
	}
	return nil
}

// registerStarted registers an endpoint that has started, unless it was stopped meanwhile.
func (p *fakePlatform) registerStarted(key zoneKey, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, listed := range p.endpoints[key] {
		if listed == id {
			p.register(key, id)
		}
	}
}

// stop removes the last endpoint of a kind and deregisters it after the notice. The caller holds
// mu.
func (p *fakePlatform) stop(key zoneKey, notice time.Duration) {
	endpoints := p.endpoints[key]
	id := endpoints[len(endpoints)-1]
	p.endpoints[key] = endpoints[:len(endpoints)-1]
	if !p.serving[id] {
		return
	}
	p.dir.Put(directory.Registration{ID: id, Service: key.service, Zone: key.zone, Revocable: key.revocable, Draining: true})
	time.AfterFunc(notice, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.serving, id)
		p.dir.Remove(id)
	})
}

// reclaim removes the revocable endpoints of a zone and marks the zone as exhausted.
func (p *fakePlatform) reclaim(zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exhausted[zone] = true
	for key := (zoneKey{"llm", zone, true}); len(p.endpoints[key]) > 0; {
		p.stop(key, testStopNotice)
	}
}

// lose removes all endpoints of a zone, of both kinds and without notice.
func (p *fakePlatform) lose(zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, revocable := range []bool{false, true} {
		key := zoneKey{"llm", zone, revocable}
		for _, id := range p.endpoints[key] {
			delete(p.serving, id)
			p.dir.Remove(id)
		}
		p.endpoints[key] = nil
	}
}

func (p *fakePlatform) restock(zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exhausted[zone] = false
}

// setOrdersFail sets whether orders fail.
func (p *fakePlatform) setOrdersFail(fails bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ordersFail = fails
}

// orderCount returns the number of orders accepted so far.
func (p *fakePlatform) orderCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.orders)
}

// watch calls observe every 100 ms with the number of serving endpoints, adds up the cost, and
// checks the maxima of the zones.
func (p *fakePlatform) watch(ctx context.Context, price float64, observe func(serving int)) {
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		p.mu.Lock()
		serving := len(p.serving)
		for key, endpoints := range p.endpoints {
			relativePrice := 1.0
			if key.revocable {
				relativePrice = price
			}
			p.cost += relativePrice * float64(len(endpoints)) / 10
			if total := len(endpoints) + len(p.endpoints[zoneKey{key.service, key.zone, !key.revocable}]); total > p.zoneMax {
				p.t.Errorf("%d endpoints in %s, more than the maximum", total, key.zone)
			}
		}
		p.mu.Unlock()
		observe(serving)
	}
}

func testService(zoneMax int) *routes.Config {
	return &routes.Config{Services: []routes.Service{{Name: "llm", Scale: &routes.Scale{
		Min: 1, Max: zoneMax, BootDuration: testBoot, RevocablePrice: 0.15,
		ZonePrices: map[string]float64{"z0": 0.85, "z1": 1.2, "z2": 1},
	}}}}
}

// runContender runs a VM that contends for the lease, until ctx ends.
func runContender(ctx context.Context, p *fakePlatform, rows *memtable.Table, vm string, rank int) {
	config := testService(p.zoneMax)
	scaler := New(Config{VM: vm, Rows: rows, Directory: p.dir, Platform: p, Services: func() *routes.Config { return config }})
	duties.NewRunner(duties.Config{
		Rows: rows, HandoverDelay: 3 * time.Second, Rank: func() int { return rank },
		SingleProcess: true,
		Self:          lease.Identity{VM: vm, Process: crand.Text(), Address: "127.0.0.1:1"},
	}, scaler).Run(ctx)
}

// simulate runs two VMs against a platform for a number of seconds. onSecond is called at the start
// of each second.
func simulate(t *testing.T, p *fakePlatform, rows *memtable.Table, seconds int, onSecond func(second int), observe func(at time.Duration, serving int)) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i := range 2 {
		running.Go(func() { runContender(ctx, p, rows, fmt.Sprint("vm", i), i) })
	}
	started := time.Now()
	running.Go(func() { p.watch(ctx, 0.15, func(n int) { observe(time.Since(started), n) }) })
	for second := range seconds {
		onSecond(second)
		time.Sleep(time.Second)
	}
	cancel()
	running.Wait()
}

// While revocable endpoints are available everywhere, the service costs a fraction of the base, has
// more endpoints than before, and keeps at least the base while one zone after another reclaims
// them.
func TestRevocableEndpointsReplaceOrdinaryDespiteReclaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform(t)
		lowest, highest := testBase, 0
		simulate(t, p, memtable.New(), 120, func(second int) {
			switch second {
			case 30, 70:
				p.reclaim("z0")
			case 45, 85:
				p.restock("z0")
			case 55:
				p.reclaim("z2")
			case 65:
				p.restock("z2")
			}
		}, func(_ time.Duration, n int) { lowest, highest = min(lowest, n), max(highest, n) })
		if lowest < testBase {
			t.Errorf("%d endpoints served, want %d at all times", lowest, testBase)
		}
		if highest <= testBase {
			t.Errorf("never more than %d endpoints served", highest)
		}
		if fraction := p.cost / (120 * testBase); fraction > 0.6 {
			t.Errorf("cost is %.2f of the cost of the base, want at most 0.6", fraction)
		}
	})
}

// While no zone reclaims endpoints, the service costs little.
func TestRevocableEndpointsReduceCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows := newPlatform(t), memtable.New()
		simulate(t, p, rows, 60, func(int) {}, func(time.Duration, int) {})
		costBefore := p.cost
		simulate(t, p, rows, 60, func(int) {}, func(time.Duration, int) {})
		if fraction := (p.cost - costBefore) / (60 * testBase); fraction > 0.36 {
			t.Errorf("cost is %.2f of the cost of the base, want at most 0.36", fraction)
		}
	})
}

// When two zones reclaim their endpoints within ten seconds, the reserve still leaves the base.
func TestTwoZonesReclaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform(t)
		lowest := testBase
		simulate(t, p, memtable.New(), 60, func(second int) {
			switch second {
			case 30:
				p.reclaim("z0")
			case 40:
				p.reclaim("z1")
			}
		}, func(_ time.Duration, n int) { lowest = min(lowest, n) })
		if lowest < testBase {
			t.Errorf("%d endpoints served, want %d at all times", lowest, testBase)
		}
	})
}

// The loss of all revocable endpoints at once cannot be covered by a reserve: replacements are
// ordered at once and serve as soon as they have started.
func TestAllZonesReclaimAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform(t)
		var below time.Duration
		simulate(t, p, memtable.New(), 60, func(second int) {
			if second == 30 {
				for _, z := range []string{"z0", "z1", "z2"} {
					p.reclaim(z)
				}
			}
		}, func(_ time.Duration, n int) {
			if n < testBase {
				below += 100 * time.Millisecond
			}
		})
		if limit := testBoot - testStopNotice + 2*reconcileInterval + 200*time.Millisecond; below > limit {
			t.Errorf("fewer than the base served for %v, want at most %v", below, limit)
		}
	})
}

// Guards against a service that is lost for good: nothing was ordered in a zone without any endpoint, in no zone once all
// were lost.
func TestLostZonesAreRestored(t *testing.T) {
	for _, lost := range [][]string{{"z1"}, {"z0", "z1", "z2"}} {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, rows := newPlatform(t), memtable.New()
				simulate(t, p, rows, 30, func(int) {}, func(time.Duration, int) {})
				for _, zone := range lost {
					p.lose(zone)
				}
				var below time.Duration
				simulate(t, p, rows, 40, func(int) {}, func(_ time.Duration, n int) {
					if n < testBase {
						below += 100 * time.Millisecond
					}
				})
				p.mu.Lock()
				defer p.mu.Unlock()
				for _, zone := range lost {
					if n := len(p.endpoints[zoneKey{"llm", zone, true}]) + len(p.endpoints[zoneKey{"llm", zone, false}]); n == 0 {
						t.Errorf("nothing was ordered in %s", zone)
					}
				}
				if below > 15*time.Second {
					t.Errorf("fewer than the base served for %v", below)
				}
			})
		})
	}
}

// Guards against a service that stays lost long after all VMs are back: nothing was ordered until the lease of a dead
// process had ended and the time between calls of two VMs was over.
func TestLostServiceIsRestoredOnceAllVMsAreBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, rows := newPlatform(t), memtable.New()
		simulate(t, p, rows, 30, func(second int) { rows.SetDown(second == 29) }, func(time.Duration, int) {})
		for zone := range 3 {
			p.lose(fmt.Sprint("z", zone))
		}
		time.Sleep(4 * time.Second)
		rows.SetDown(false)
		var below time.Duration
		simulate(t, p, rows, 40, func(int) {}, func(_ time.Duration, n int) {
			if n < testBase {
				below += 100 * time.Millisecond
			}
		})
		if limit := emptyZoneDelay + testBoot + 2500*time.Millisecond; below > limit {
			t.Errorf("fewer than the base served for %v, want at most %v", below, limit)
		}
	})
}

// Guards against a lost service for which endpoints are ordered and cancelled in turns: ordinary ones were cancelled before
// they served once revocable ones could be ordered, which may be reclaimed before they serve.
func TestStartingEndpointsOfALostServiceAreNotCancelled(t *testing.T) {
	zones := []string{"z0", "z1", "z2"}
	synctest.Test(t, func(t *testing.T) {
		p, rows := newPlatform(t), memtable.New()
		simulate(t, p, rows, 30, func(int) {}, func(time.Duration, int) {})
		var lost time.Duration
		simulate(t, p, rows, 40, func(second int) {
			for _, zone := range zones {
				switch {
				case second == 0:
					p.reclaim(zone)
					p.lose(zone)
				case second > 20:
				case second%4 == 1:
					p.restock(zone)
				case second%4 == 3: // what was ordered meanwhile is reclaimed before it serves
					p.reclaim(zone)
				}
			}
		}, func(_ time.Duration, n int) {
			if n < testBase/2 {
				lost += 100 * time.Millisecond
			}
		})
		if limit := emptyZoneDelay + testBoot + 3*time.Second; lost > limit {
			t.Errorf("less than half of the base served for %v, want at most %v", lost, limit)
		}
	})
}

// Whatever zones and store do, fencing tokens of orders never decrease, the zones' maxima hold, and
// the counts stabilise once faults end.
func TestCountsConverge(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 1))
				p, rows := newPlatform(t), memtable.New()
				var stableOrders int
				simulate(t, p, rows, 120, func(second int) {
					zone := fmt.Sprint("z", rng.IntN(3))
					switch {
					case second == 80:
						rows.SetDown(false)
						p.setOrdersFail(false)
						for z := range 3 {
							p.restock(fmt.Sprint("z", z))
						}
					case second == 105:
						stableOrders = p.orderCount()
					case second > 80:
					case rng.IntN(6) == 0:
						p.reclaim(zone)
					case rng.IntN(6) == 0:
						p.restock(zone)
					case rng.IntN(12) == 0:
						rows.SetDown(true)
					case rng.IntN(6) == 0:
						rows.SetDown(false)
					case rng.IntN(8) == 0:
						p.setOrdersFail(rng.IntN(2) == 0)
					}
				}, func(time.Duration, int) {})
				fence := uint64(0)
				for _, o := range p.orders {
					if o.Fence < fence {
						t.Fatalf("order with fencing token %d after %d", o.Fence, fence)
					}
					fence = o.Fence
				}
				if n := len(p.orders) - stableOrders; n > 0 {
					t.Errorf("%d orders later than 25 s after the last fault", n)
				}
				if n := len(p.serving); n < testBase {
					t.Errorf("%d endpoints serving at the end, want at least %d", n, testBase)
				}
			})
		})
	}
}

// In a larger fleet only a few endpoints start or stop at a time by orders, so that all VMs learn
// of each in time. The service still becomes cheaper and never has fewer endpoints than at first.
func TestLargerFleetChangesInSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const base = largerFactor * testBase
		p := newPlatformOf(t, largerFactor*zoneBase, largerFactor*zoneMaximum)
		before, lowest := base, base
		simulate(t, p, memtable.New(), 120, func(int) {}, func(_ time.Duration, n int) {
			lowest = min(lowest, n)
			// There are three zones, and any of them may take its next step at the same moment.
			if stopped := before - n; stopped > 3*maxStopStep {
				t.Errorf("%d endpoints stopped within 100 ms", stopped)
			}
			if started := n - before; started > 3*maxStartStep {
				t.Errorf("%d endpoints started within 100 ms", started)
			}
			before = n
		})
		if lowest < base {
			t.Errorf("%d endpoints served, want %d at all times", lowest, base)
		}
		if fraction := p.cost / (120 * base); fraction > 0.95 {
			t.Errorf("cost is %.2f of the cost of the base, want at most 0.95", fraction)
		}
	})
}

// The endpoint counts of a fleet of a thousand are left unchanged.
func TestLargeFleetIsUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatformOf(t, unmanagedFactor*zoneBase, unmanagedFactor*zoneMaximum)
		simulate(t, p, memtable.New(), 60, func(int) {}, func(time.Duration, int) {})
		if n := p.orderCount(); n > 0 {
			t.Errorf("%d orders, want none", n)
		}
	})
}
