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
	// newsTime is how long news takes between VMs, and crashTime how long an endpoint bears
	// a request that crashes it.
	newsTime  = 20 * time.Millisecond
	crashTime = 90 * time.Millisecond
	// lookTime is how long a look at an endpoint takes.
	lookTime = 2 * time.Millisecond
)

// region are VMs that tell each other of crashes and share a store, and the endpoints before
// them, in virtual time.
type region struct {
	t     *testing.T
	store *memtable.Table

	// mu guards the fields below, and those of the VMs. It is not held while a guard is called.
	mu   sync.Mutex
	vms  map[string]*vm
	gone map[string]bool
	// atWork are the runs at each endpoint, by request.
	atWork map[*directory.Endpoint]map[*running]bool
	next   int
	// bodies are those that crash endpoints.
	poison map[string]bool
	lost   int
}

// running is one run.
type running struct{ ended chan relay.RunOutcome }

// vm is one VM's guard.
type vm struct {
	*Guard
	name  string
	cut   bool
	dead  bool
	clock time.Duration
	stop  context.CancelFunc
}

func newRegion(t *testing.T, vms int) *region {
	r := &region{
		t: t, store: memtable.New(), vms: map[string]*vm{}, gone: map[string]bool{},
		atWork: map[*directory.Endpoint]map[*running]bool{}, poison: map[string]bool{},
	}
	for i := range vms {
		r.start(fmt.Sprint("vm", i))
	}
	return r
}

// start starts a VM.
func (r *region) start(name string) *vm {
	ctx, stop := context.WithCancel(r.t.Context())
	v := &vm{name: name, stop: stop}
	v.Guard = NewGuard(Config{
		Down: func(_ context.Context, e *directory.Endpoint) bool {
			time.Sleep(lookTime)
			return r.isGone(e)
		},
		Broadcast:        func(n loadshare.Announcement) { r.tell(v, n) },
		PropagationDelay: func() time.Duration { return 2 * newsTime },
		Directory:        directory.New(nil), Rows: r.store, Feed: r.store,
		Now: func() time.Time { return time.Now().Add(v.clock) },
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vms[name] = v
	go v.Run(ctx)
	return v
}

func (r *region) isGone(e *directory.Endpoint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gone[e.ID]
}

// all returns the VMs by name.
func (r *region) all() []*vm {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*vm
	for _, name := range slices.Sorted(maps.Keys(r.vms)) {
		list = append(list, r.vms[name])
	}
	return list
}

// kill ends a VM at once.
func (r *region) kill(v *vm) {
	v.stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	v.dead = true
	delete(r.vms, v.name)
}

// tell takes news to the VMs; what was sent arrives although its sender dies.
func (r *region) tell(from *vm, n loadshare.Announcement) {
	r.mu.Lock()
	sent := !from.cut && !from.dead
	r.mu.Unlock()
	if !sent {
		return
	}
	time.AfterFunc(newsTime, func() {
		for _, v := range r.all() {
			if v != from && !v.cut {
				v.Receive(n)
			}
		}
	})
}

func (r *region) end() {
	for _, v := range r.all() {
		v.stop()
	}
}

// endpoints makes n endpoints.
func (r *region) endpoints(n int) []*directory.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*directory.Endpoint
	for range n {
		r.next++
		e := endpoint(fmt.Sprint("e", r.next))
		r.atWork[e] = map[*running]bool{}
		list = append(list, e)
	}
	return list
}

// crash ends an endpoint with all that is at work there.
func (r *region) crash(e *directory.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone[e.ID] {
		return
	}
	r.gone[e.ID] = true
	r.lost++
	for run := range r.atWork[e] {
		run.ended <- relay.RunInterrupted
	}
	clear(r.atWork[e])
}

// run runs a request at an endpoint through a VM, and tells how that ended.
func (r *region) run(v *vm, request *relay.Request, e *directory.Endpoint, work time.Duration) relay.RunOutcome {
	run := &running{ended: make(chan relay.RunOutcome, 1)}
	r.mu.Lock()
	r.atWork[e][run] = true
	if r.poison[string(request.Body)] {
		time.AfterFunc(crashTime, func() { r.crash(e) })
		work = time.Hour
	}
	r.mu.Unlock()
	began := time.Now()
	outcome := relay.RunCompleted
	select {
	case outcome = <-run.ended:
	case <-time.After(work):
	}
	r.mu.Lock()
	delete(r.atWork[e], run)
	dead := v.dead
	r.mu.Unlock()
	if !dead {
		v.Ended(request, e, relay.RunEnd{Outcome: outcome, Streaming: time.Since(began) > work/4})
	}
	return outcome
}

// refused tells whether a VM refuses a request for good.
func refused(v *vm, request *relay.Request) bool {
	failed := v.Check(request)
	return failed != nil && failed.Code == failure.CrashesEndpoints
}

// harmful makes a body crash endpoints.
func (r *region) harmful(body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.poison[body] = true
}

// convict has a request crash three endpoints through a VM.
func (r *region) convict(v *vm, request *relay.Request) {
	r.harmful(string(request.Body))
	for _, e := range r.endpoints(crashesToConvict) {
		r.run(v, request, e, time.Second)
	}
}

// Every VM refuses the request within the time allowed, whichever fault comes as it is learnt.
func TestEveryVMInTouchKnows(t *testing.T) {
	// allowed is the shortest time within which the platform asks that VMs in touch know.
	const allowed = 3 * time.Second
	for _, tc := range []struct {
		name  string
		fault func(r *region, request *relay.Request)
	}{
		{"none", func(r *region, q *relay.Request) { r.convict(r.vms["vm0"], q) }},
		{"the VM dies right after the third crash", func(r *region, q *relay.Request) {
			r.convict(r.vms["vm0"], q)
			time.Sleep(newsTime)
			r.kill(r.vms["vm0"])
		}},
		{"another VM was cut off from the others", func(r *region, q *relay.Request) {
			r.vms["vm1"].cut = true
			r.convict(r.vms["vm0"], q)
		}},
		{"the VM itself is cut off from the others", func(r *region, q *relay.Request) {
			r.vms["vm0"].cut = true
			r.convict(r.vms["vm0"], q)
		}},
		{"a VM starts after it", func(r *region, q *relay.Request) {
			r.convict(r.vms["vm0"], q)
			r.start("vm9")
		}},
		{"all VMs are killed after it", func(r *region, q *relay.Request) {
			r.convict(r.vms["vm0"], q)
			time.Sleep(time.Second)
			for _, v := range r.all() {
				r.kill(v)
				r.start(v.name)
			}
		}},
		{"the store is away, and back later", func(r *region, q *relay.Request) {
			r.store.SetDown(true)
			r.convict(r.vms["vm0"], q)
			time.Sleep(5 * time.Second)
			r.start("vm9")
			r.store.SetDown(false)
		}},
		{"each crash is seen by another VM", func(r *region, q *relay.Request) {
			r.harmful(string(q.Body))
			for i, e := range r.endpoints(crashesToConvict) {
				r.run(r.vms[fmt.Sprint("vm", i)], q, e, time.Second)
			}
		}},
		{"a VM is suspended meanwhile", func(r *region, q *relay.Request) {
			r.vms["vm2"].cut = true
			r.convict(r.vms["vm0"], q)
			r.vms["vm2"].clock += 30 * time.Second
			r.vms["vm2"].cut = false
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRegion(t, 4)
				defer r.end()
				time.Sleep(time.Second)
				q := request("1.2.3.4", "id", "poison")
				tc.fault(r, q)
				time.Sleep(allowed)
				again := request("5.6.7.8", "another id", "poison")
				for name, v := range r.vms {
					if !refused(v, again) {
						t.Errorf("%s does not refuse it", name)
					}
					if failed := v.Check(request("1.2.3.4", "id", "another body")); failed != nil {
						t.Errorf("%s refuses another body of the same caller: %v", name, failed)
					}
				}
			})
		})
	}
}

// A verdict holds for its term on all VMs, its row goes, and the next crash brings it back.
func TestVerdictEndsOnAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t, 3)
		defer r.end()
		q := request("1.2.3.4", "id", "poison")
		r.convict(r.vms["vm0"], q)
		time.Sleep(firstTerm + 2*servedPeriod + followWait)
		rows, _, err := r.store.List(t.Context(), Table)
		if err != nil || len(rows) != 0 {
			t.Errorf("%d rows are left after the term, %v", len(rows), err)
		}
		for name, v := range r.vms {
			if refused(v, q) {
				t.Errorf("%s refuses it after its term", name)
			}
		}
		r.run(r.vms["vm1"], q, r.endpoints(1)[0], time.Second)
		time.Sleep(time.Second)
		for name, v := range r.vms {
			if !refused(v, q) {
				t.Errorf("%s does not refuse it after the next crash", name)
			}
		}
	})
}

// Rows that hold no verdict convict nobody, and those beside them hold.
func TestMalformedRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t, 1)
		defer r.end()
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
		if !ledger.Refuses(Subject{Key: good}) || len(ledger.verdicts) != 1 {
			t.Errorf("%d verdicts hold, the good one: %v", len(ledger.verdicts), ledger.Refuses(Subject{Key: good}))
		}
		var malformed *RowError
		if _, err := decodeVerdict(table.Row{Key: table.Key{Row: "x"}}); !errors.As(err, &malformed) {
			t.Errorf("a malformed row gives %v", err)
		}
	})
}
