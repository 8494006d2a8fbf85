package poison

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/relay"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

const (
	// broadcastDelay is how long an announcement takes between VMs, and crashDelay how long an
	// endpoint runs a poison request before it crashes.
	broadcastDelay = 20 * time.Millisecond
	crashDelay     = 90 * time.Millisecond
	// probeTime is how long a probe of an endpoint takes.
	probeTime = 2 * time.Millisecond
)

// testRegion simulates VMs that announce crashes to each other and share a store, and the endpoints
// behind them, in virtual time.
type testRegion struct {
	t     *testing.T
	store *memtable.Table

	// mu guards the fields below and those of the VMs. It is not held during calls to a guard.
	mu   sync.Mutex
	vms  map[string]*testVM
	down map[string]bool
	// inFlight holds the runs on each endpoint.
	inFlight map[*directory.Endpoint]map[*activeRun]bool
	nextID   int
	// poison holds the request bodies that crash endpoints.
	poison map[string]bool
	// crashed counts the endpoints that crashed.
	crashed int
}

// activeRun is a run in progress.
type activeRun struct{ ended chan relay.RunOutcome }

// testVM is a VM with its guard.
type testVM struct {
	*Guard
	name        string
	partitioned bool
	dead        bool
	clockOffset time.Duration
	stop        context.CancelFunc
}

func newTestRegion(t *testing.T, vms int) *testRegion {
	r := &testRegion{
		t: t, store: memtable.New(), vms: map[string]*testVM{}, down: map[string]bool{},
		inFlight: map[*directory.Endpoint]map[*activeRun]bool{}, poison: map[string]bool{},
	}
	for i := range vms {
		r.start(fmt.Sprint("vm", i))
	}
	return r
}

// start starts a VM.
func (r *testRegion) start(name string) *testVM {
	ctx, stop := context.WithCancel(r.t.Context())
	v := &testVM{name: name, stop: stop}
	v.Guard = NewGuard(Config{
		Down: func(_ context.Context, e *directory.Endpoint, _ func()) bool {
			time.Sleep(probeTime)
			return r.isDown(e)
		},
		Broadcast:        func(n loadshare.Announcement) { r.broadcast(v, n) },
		PropagationDelay: func() time.Duration { return 2 * broadcastDelay },
		Directory:        directory.New(nil), Rows: r.store, Feed: r.store,
		Now: func() time.Time { return time.Now().Add(v.clockOffset) },
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vms[name] = v
	go v.Run(ctx)
	return v
}

func (r *testRegion) isDown(e *directory.Endpoint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down[e.ID]
}

// all returns the VMs, sorted by name.
func (r *testRegion) all() []*testVM {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*testVM
	for _, name := range slices.Sorted(maps.Keys(r.vms)) {
		list = append(list, r.vms[name])
	}
	return list
}

// kill stops a VM immediately.
func (r *testRegion) kill(v *testVM) {
	v.stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	v.dead = true
	delete(r.vms, v.name)
}

// broadcast delivers an announcement to the other VMs, even if the sender dies meanwhile.
func (r *testRegion) broadcast(from *testVM, n loadshare.Announcement) {
	r.mu.Lock()
	sent := !from.partitioned && !from.dead
	r.mu.Unlock()
	if !sent {
		return
	}
	time.AfterFunc(broadcastDelay, func() {
		for _, v := range r.all() {
			if v != from && !v.partitioned {
				v.Receive(n)
			}
		}
	})
}

func (r *testRegion) stopAll() {
	for _, v := range r.all() {
		v.stop()
	}
}

// endpoints creates n endpoints.
func (r *testRegion) endpoints(n int) []*directory.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*directory.Endpoint
	for range n {
		r.nextID++
		e := endpoint(fmt.Sprint("e", r.nextID))
		r.inFlight[e] = map[*activeRun]bool{}
		list = append(list, e)
	}
	return list
}

// crash takes an endpoint down and interrupts its runs.
func (r *testRegion) crash(e *directory.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down[e.ID] {
		return
	}
	r.down[e.ID] = true
	r.crashed++
	for run := range r.inFlight[e] {
		run.ended <- relay.RunInterrupted
	}
	clear(r.inFlight[e])
}

// run runs a request on an endpoint through a VM and returns the outcome.
func (r *testRegion) run(v *testVM, request *relay.Request, e *directory.Endpoint, work time.Duration) relay.RunOutcome {
	run := &activeRun{ended: make(chan relay.RunOutcome, 1)}
	r.mu.Lock()
	r.inFlight[e][run] = true
	if r.poison[string(request.Body)] {
		time.AfterFunc(crashDelay, func() { r.crash(e) })
		work = time.Hour
	}
	r.mu.Unlock()
	started := time.Now()
	outcome := relay.RunCompleted
	select {
	case outcome = <-run.ended:
	case <-time.After(work):
	}
	r.mu.Lock()
	delete(r.inFlight[e], run)
	dead := v.dead
	r.mu.Unlock()
	if answered := time.Since(started) > work/4; !dead {
		if answered {
			v.Answered(request)
		}
		v.Ended(request, e, relay.RunEnd{Outcome: outcome, Streaming: answered, Answered: answered})()
	}
	return outcome
}

// quarantines reports whether a VM refuses a request as quarantined.
func quarantines(v *testVM, request *relay.Request) bool {
	_, failed := v.Check(request)
	return failed != nil && failed.Code == failure.CrashesEndpoints
}

// addPoison marks a request body as one that crashes endpoints.
func (r *testRegion) addPoison(body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.poison[body] = true
}

// crashToThreshold has a request crash as many endpoints through a VM as its quarantine requires.
func (r *testRegion) crashToThreshold(v *testVM, request *relay.Request) {
	r.addPoison(string(request.Body))
	for _, e := range r.endpoints(quarantineThreshold) {
		r.run(v, request, e, time.Second)
	}
}

// A quarantine reaches every VM that is reachable within the time allowed, whichever fault occurs
// while it spreads.
func TestQuarantineReachesEveryVM(t *testing.T) {
	// allowed is the shortest time within which the platform requires reachable VMs to be informed.
	const allowed = 3 * time.Second
	for _, tc := range []struct {
		name  string
		fault func(r *testRegion, request *relay.Request)
	}{
		{"none", func(r *testRegion, q *relay.Request) { r.crashToThreshold(r.vms["vm0"], q) }},
		{"the VM dies right after the third crash", func(r *testRegion, q *relay.Request) {
			r.crashToThreshold(r.vms["vm0"], q)
			time.Sleep(broadcastDelay)
			r.kill(r.vms["vm0"])
		}},
		{"another VM is partitioned", func(r *testRegion, q *relay.Request) {
			r.vms["vm1"].partitioned = true
			r.crashToThreshold(r.vms["vm0"], q)
		}},
		{"the VM itself is partitioned", func(r *testRegion, q *relay.Request) {
			r.vms["vm0"].partitioned = true
			r.crashToThreshold(r.vms["vm0"], q)
		}},
		{"a VM starts afterwards", func(r *testRegion, q *relay.Request) {
			r.crashToThreshold(r.vms["vm0"], q)
			r.start("vm9")
		}},
		{"all VMs are restarted afterwards", func(r *testRegion, q *relay.Request) {
			r.crashToThreshold(r.vms["vm0"], q)
			time.Sleep(time.Second)
			for _, v := range r.all() {
				r.kill(v)
				r.start(v.name)
			}
		}},
		{"the store is unavailable for five seconds", func(r *testRegion, q *relay.Request) {
			r.store.SetDown(true)
			r.crashToThreshold(r.vms["vm0"], q)
			time.Sleep(5 * time.Second)
			r.start("vm9")
			r.store.SetDown(false)
		}},
		{"each crash is observed by a different VM", func(r *testRegion, q *relay.Request) {
			r.addPoison(string(q.Body))
			for i, e := range r.endpoints(quarantineThreshold) {
				r.run(r.vms[fmt.Sprint("vm", i)], q, e, time.Second)
			}
		}},
		{"a VM is suspended meanwhile", func(r *testRegion, q *relay.Request) {
			r.vms["vm2"].partitioned = true
			r.crashToThreshold(r.vms["vm0"], q)
			r.vms["vm2"].clockOffset += 30 * time.Second
			r.vms["vm2"].partitioned = false
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRegion(t, 4)
				defer r.stopAll()
				time.Sleep(time.Second)
				q := request("1.2.3.4", "id", "poison")
				tc.fault(r, q)
				time.Sleep(allowed)
				again := request("5.6.7.8", "another id", "poison")
				for name, v := range r.vms {
					if !quarantines(v, again) {
						t.Errorf("%s does not refuse the request", name)
					}
					if _, failed := v.Check(request("1.2.3.4", "id", "another body")); failed != nil {
						t.Errorf("%s refuses a request of the same caller with another body: %v", name, failed)
					}
				}
			})
		})
	}
}

// A quarantine ends on all VMs after its term and its row is removed. The next crash starts another
// quarantine.
func TestQuarantineEndsOnAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRegion(t, 3)
		defer r.stopAll()
		q := request("1.2.3.4", "id", "poison")
		r.crashToThreshold(r.vms["vm0"], q)
		time.Sleep(initialTerm + 2*releaseInterval + followWait)
		rows, _, err := r.store.List(t.Context(), Table)
		if err != nil || len(rows) != 0 {
			t.Errorf("%d rows remain after the term, %v", len(rows), err)
		}
		for name, v := range r.vms {
			if quarantines(v, q) {
				t.Errorf("%s refuses the request after its term", name)
			}
		}
		r.run(r.vms["vm1"], q, r.endpoints(1)[0], time.Second)
		time.Sleep(time.Second)
		for name, v := range r.vms {
			if !quarantines(v, q) {
				t.Errorf("%s does not refuse the request after the next crash", name)
			}
		}
	})
}

// Malformed rows are skipped, and valid rows of the same table are applied.
func TestMalformedRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRegion(t, 1)
		defer r.stopAll()
		good := key("good")
		for name, value := range map[string]string{
			good.String():               `{"crashes":3,"term-s":600}`,
			"no key":                    `{"crashes":3,"term-s":600}`,
			key("a").String():           `{"crashes":"three"}`,
			key("b").String():           `{"crashes":3,"term-s":-1}`,
			key("c").String():           `{"crashes":3,"term-s":1e300}`,
			key("d").String():           "\x00",
			key("e").String() + "@0":    `{"crashes":3,"term-s":600}`,
			key("f").String() + "@1234": `{"crashes":0,"term-s":600}`,
		} {
			if _, err := r.store.Commit(t.Context(), table.Txn{Writes: []table.Write{{Key: table.Key{Table: Table, Row: name}, Value: []byte(value)}}}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		ledger := r.vms["vm0"].ledger
		if !ledger.IsQuarantined(Subject{Key: good}) || len(ledger.entries) != 1 {
			t.Errorf("%d entries, want 1; the valid one is present: %v", len(ledger.entries), ledger.IsQuarantined(Subject{Key: good}))
		}
		var malformed *RowError
		if _, err := decodeEntry(table.Row{Key: table.Key{Row: "x"}}); !errors.As(err, &malformed) {
			t.Errorf("decodeEntry of a malformed row: %v, want a RowError", err)
		}
	})
}

// Guards against a VM that takes crashes to be spontaneous because the requests that were at work there have come
// again at other VMs only: it would hold a request that has crashed an endpoint for innocent.
func TestRepetitionAtOtherVMIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRegion(t, 3)
		defer r.stopAll()
		r.addPoison("first")
		r.addPoison("second")
		endpoints := r.endpoints(2)
		r.run(r.vms["vm0"], request("1.2.3.4", "a", "first"), endpoints[0], time.Second)
		time.Sleep(100 * time.Millisecond)
		if s, _ := r.vms["vm0"].Check(request("1.2.3.4", "a again", "first")); s.Crashes != 1 {
			t.Fatalf("suspicion %+v against the repetition of a suspect", s)
		}
		time.Sleep(2 * repeatWait)
		r.run(r.vms["vm1"], request("1.2.3.4", "b", "second"), endpoints[1], time.Second)
		time.Sleep(100 * time.Millisecond)
		for name, v := range r.vms {
			if s, _ := v.Check(request("1.2.3.4", "b again", "second")); s.Crashes != 1 || s.Bystander {
				t.Errorf("%s: suspicion %+v against a request that has crashed an endpoint", name, s)
			}
		}
	})
}
