package order

import (
	"context"
	"crypto/rand"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/lease"
)

// DefaultWorkers is how many engines an executor changes at once. A worker
// mostly waits: for streams to finish, for the engine, or for a confirmation.
const DefaultWorkers = 32

// retryDelay is how long an engine rests after a step that failed.
const retryDelay = time.Second

// slot is the work on one engine.
type slot struct {
	// change is the next change, or nil.
	change *Change
	// id is the order id of the last change, or empty.
	id string
	// resolve is set while the engine's row may need work; it comes first.
	resolve bool
	// running is set while a worker is on it; queued while it waits for one.
	running, queued bool
	last            Outcome
	err             error
}

// EngineStatus is what an executor knows of one engine.
type EngineStatus struct {
	Engine string
	// Change is the change under way or waiting, or nil.
	Change *Change
	// Resolving is set while an open order of the journal comes first.
	Resolving bool
	// LastOutcome is how the last change ended; empty while it hasn't, and for one that
	// was never journaled.
	LastOutcome Outcome
	// Err is why the last step failed, or nil.
	Err error
}

// Executor carries out planners' changes under a lease: one at a time for each
// engine, several engines at once by a pool of workers over a shared table. It
// is safe for concurrent use. mu guards the table and is held during no call;
// see the package comment for the lock order.
type Executor struct {
	cfg     Config
	workers int
	faults  faults

	mu    sync.Mutex
	slots map[string]*slot
	// ready has the name of each queued slot; nil while this process does not lead.
	ready chan string
}

// maxEngines bounds the engines that one executor works on.
const maxEngines = 4096

// NewExecutor returns an executor that changes up to workers engines at once;
// zero takes DefaultWorkers.
func NewExecutor(cfg Config, workers int) *Executor {
	if workers == 0 {
		workers = DefaultWorkers
	}
	return &Executor{cfg: cfg, workers: workers, slots: make(map[string]*slot)}
}

// Submit asks for a change. It fails with *RefusedError if this process does
// not lead or the engine has a change already; the planner plans anew then.
func (x *Executor) Submit(c Change) error {
	err := x.submit(c)
	if err != nil {
		countError(err)
	}
	return err
}

func (x *Executor) submit(c Change) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ready == nil {
		return &RefusedError{Engine: c.Engine, Code: ReasonNotLeading}
	}
	s := x.slots[c.Engine]
	if s == nil && len(x.slots) == maxEngines {
		return &RefusedError{Engine: c.Engine, Code: ReasonPending}
	}
	if s == nil {
		s = &slot{}
		x.slots[c.Engine] = s
	}
	if s.change != nil || s.resolve || s.running {
		return &RefusedError{Engine: c.Engine, Code: ReasonPending}
	}
	s.change = &c
	s.id = rand.Text()
	s.last = ""
	x.queueLocked(c.Engine, s)
	return nil
}

// Status returns the engines worked on in this tenure, by name.
func (x *Executor) Status() []EngineStatus {
	x.mu.Lock()
	defer x.mu.Unlock()
	all := make([]EngineStatus, 0, len(x.slots))
	for name, s := range x.slots {
		all = append(all, EngineStatus{Engine: name, Change: s.change, Resolving: s.resolve, LastOutcome: s.last, Err: s.err})
	}
	slices.SortFunc(all, func(a, b EngineStatus) int { return strings.Compare(a.Engine, b.Engine) })
	return all
}

// Idle tells whether nobody can want an engine withheld: this tenure has read
// the whole journal and has no work on the engine, and the engine's row, read
// now, holds no open order of any pool. Before that, an order that a predecessor
// sent may still arrive, and letting streams back would get them cut.
func (x *Executor) Idle(ctx context.Context, engineName string) (bool, error) {
	if !x.unused(engineName) {
		return false, nil
	}
	entry, err := x.cfg.Journal.Read(ctx, engineName)
	if err != nil {
		return false, err
	}
	return !entry.IsOpen() && x.unused(engineName), nil
}

// unused tells whether the journal has been read and no work is on the engine.
func (x *Executor) unused(engineName string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.slots[engineName]
	return x.ready != nil && (s == nil || s.change == nil && !s.resolve && !s.running)
}

// Run works under l until ctx ends. Open orders of predecessors come first: no
// change is taken before the whole journal has been read, and none for an
// engine before its open order has been resolved. When a planned stop ends ctx
// with the lease still held, Run marks the open orders as dropped, so that the
// successor need not ask.
func (x *Executor) Run(ctx context.Context, l *lease.Lease) error {
	sender := NewSender(x.cfg, l)
	sender.faults = x.faults
	entries, err := x.takeover(ctx, sender)
	if err != nil {
		return err
	}
	if x.faults.broken(guardResolve) {
		entries = nil
	}
	ready := x.start(entries)
	var group errgroup.Group
	for range x.workers {
		group.Go(func() error {
			x.work(ctx, sender, ready)
			return nil
		})
	}
	err = group.Wait()
	x.stop()
	x.dropOpen(context.WithoutCancel(ctx), sender)
	return err
}

// takeover reads which engines need work, until the table answers.
func (x *Executor) takeover(ctx context.Context, sender *Sender) ([]Entry, error) {
	for {
		entries, err := x.cfg.Journal.List(ctx, sender.lease.Pool(), sender.lease.Zone())
		if err == nil {
			return entries, nil
		}
		countError(err)
		klog.Warningf("order: journal not read: %v", err)
		if !loop.Sleep(ctx, retryDelay) {
			return nil, ended(ctx, "")
		}
	}
}

func (x *Executor) start(entries []Entry) chan string {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.slots = make(map[string]*slot)
	x.ready = make(chan string, maxEngines)
	for _, e := range entries {
		s := &slot{resolve: true}
		x.slots[e.Engine] = s
		x.queueLocked(e.Engine, s)
	}
	return x.ready
}

func (x *Executor) stop() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ready = nil
}

// queueLocked hands a slot to the workers. It never blocks: a slot is queued
// once at a time, and there are at most maxEngines.
func (x *Executor) queueLocked(name string, s *slot) {
	if s.queued || s.running || x.ready == nil {
		return
	}
	s.queued = true
	x.ready <- name
}

func (x *Executor) work(ctx context.Context, sender *Sender, ready <-chan string) {
	for {
		select {
		case <-ctx.Done():
			return
		case name := <-ready:
			x.turn(ctx, sender, name)
		}
	}
}

// turn gives one engine a worker for at most one slice of time. What is left
// undone then stands in the journal, and its next turn resolves it.
func (x *Executor) turn(ctx context.Context, sender *Sender, name string) {
	id, change, resolve := x.begin(name)
	slice, cancel := context.WithTimeout(ctx, sender.timing.Slice)
	defer cancel()
	var result Result
	var err error
	if resolve {
		result, err = sender.Resolve(slice, name)
	} else {
		result, err = sender.Execute(slice, id, *change)
	}
	x.finish(ctx, name, result, err)
}

func (x *Executor) begin(name string) (string, *Change, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.slots[name]
	s.queued = false
	s.running = true
	return s.id, s.change, s.resolve
}

// finish notes how a turn ended. After a failure the engine's row is resolved
// before anything else, since it may hold an open order. A change that never
// came to be journaled is not tried again and has no outcome: its planner plans anew.
func (x *Executor) finish(ctx context.Context, name string, result Result, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.slots[name]
	s.running = false
	s.err = err
	s.change = nil
	if err == nil && (s.id == "" || s.id == result.OrderID) {
		s.last = result.Outcome
	}
	if err == nil {
		s.resolve = false
		return
	}
	countError(err)
	klog.Warningf("order: %s: %v", name, err)
	s.resolve = !x.faults.broken(guardResolve)
	if ctx.Err() != nil || !s.resolve {
		return
	}
	time.AfterFunc(retryDelay, func() { x.requeue(name, s) })
}

// requeue queues s again unless a new tenure has replaced it.
func (x *Executor) requeue(name string, s *slot) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.slots[name] == s {
		x.queueLocked(name, s)
	}
}

// dropOpen marks this process's open orders as dropped while the lease is still
// held. Nothing is sent any more when it is called, and the gate keeps it so.
func (x *Executor) dropOpen(ctx context.Context, sender *Sender) {
	l := sender.lease
	a, err := l.Authority()
	if err != nil {
		return
	}
	x.cfg.Gate.forbid(scope{l.Pool(), l.Zone()}, l.Fence())
	call, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	for _, st := range x.Status() {
		if !st.Resolving {
			continue
		}
		if err := sender.drop(call, st.Engine); err != nil {
			countError(err)
			klog.Warningf("order: %s not dropped: %v", st.Engine, err)
		}
	}
}
