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

// DefaultWorkers is the default number of engines that an executor changes at once. A worker
// spends most of its time waiting: for streams to finish, for the engine, or for a
// confirmation.
const DefaultWorkers = 32

// retryDelay is the delay before an engine is retried after a failed step.
const retryDelay = time.Second

// task is the pending and running work on one engine.
type task struct {
	// change is the next change, or nil.
	change *Change
	// id is the order ID of the last change, or empty.
	id string
	// resolve is set while the engine's journal row may need work, which is done before change.
	resolve bool
	// running is set while a worker processes the task; queued while it waits for a worker.
	running, queued bool
	lastOutcome     Outcome
	err             error
}

// EngineStatus is an executor's state for one engine.
type EngineStatus struct {
	Engine string
	// Change is the running or waiting change, or nil.
	Change *Change
	// Resolving is set while an open order of the journal is resolved first.
	Resolving bool
	// LastOutcome is the outcome of the last change. It is empty while the change is in
	// progress, and for a change that was never written to the journal.
	LastOutcome Outcome
	// Err is the error of the last step, or nil.
	Err error
}

// Executor executes planned changes under a lease: one at a time for each engine, and several
// engines at once with a pool of workers. It is safe for concurrent use. mu guards the tasks
// and is not held during any call; see the package comment for the lock order.
type Executor struct {
	cfg     Config
	workers int
	faults  faults

	mu    sync.Mutex
	tasks map[string]*task
	// ready holds the engine name of each queued task. It is nil while this process holds no
	// lease.
	ready chan string
}

// maxEngines bounds the engines with a task in one executor.
const maxEngines = 4096

// NewExecutor returns an executor that changes up to workers engines at once; zero means
// DefaultWorkers.
func NewExecutor(cfg Config, workers int) *Executor {
	if workers == 0 {
		workers = DefaultWorkers
	}
	return &Executor{cfg: cfg, workers: workers, tasks: make(map[string]*task)}
}

// Submit queues a change. It returns *RefusedError if this process does not hold the lease or
// the engine already has a change; the planner then plans again.
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
	s := x.tasks[c.Engine]
	if s == nil && len(x.tasks) == maxEngines {
		return &RefusedError{Engine: c.Engine, Code: ReasonPending}
	}
	if s == nil {
		s = &task{}
		x.tasks[c.Engine] = s
	}
	if s.change != nil || s.resolve || s.running {
		return &RefusedError{Engine: c.Engine, Code: ReasonPending}
	}
	s.change = &c
	s.id = rand.Text()
	s.lastOutcome = ""
	x.queueLocked(c.Engine, s)
	return nil
}

// Status returns the state of every engine that has had work in this tenure, sorted by name.
func (x *Executor) Status() []EngineStatus {
	x.mu.Lock()
	defer x.mu.Unlock()
	all := make([]EngineStatus, 0, len(x.tasks))
	for name, s := range x.tasks {
		all = append(all, EngineStatus{Engine: name, Change: s.change, Resolving: s.resolve, LastOutcome: s.lastOutcome, Err: s.err})
	}
	slices.SortFunc(all, func(a, b EngineStatus) int { return strings.Compare(a.Engine, b.Engine) })
	return all
}

// Idle reports whether no order can require the engine to be withheld: this tenure has read the
// whole journal and has no work on the engine, and the engine's row, read now, holds no open
// order of any pool. Until then an order sent by a predecessor may still arrive, and would cut
// streams that were admitted again.
func (x *Executor) Idle(ctx context.Context, engineName string) (bool, error) {
	if !x.hasNoWork(engineName) {
		return false, nil
	}
	entry, err := x.cfg.Journal.Read(ctx, engineName)
	if err != nil {
		return false, err
	}
	return !entry.IsOpen() && x.hasNoWork(engineName), nil
}

// hasNoWork reports whether the journal has been read and the engine has no pending or running
// work.
func (x *Executor) hasNoWork(engineName string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.tasks[engineName]
	return x.ready != nil && (s == nil || s.change == nil && !s.resolve && !s.running)
}

// Run executes changes under l until ctx ends. It first resolves the open orders of
// predecessors: it accepts no change before the whole journal has been read, and none for an
// engine before that engine's open order has been resolved. If a planned stop ends ctx while
// the lease is still held, Run marks the open orders as dropped, so that the successor need not
// ask for confirmation.
func (x *Executor) Run(ctx context.Context, l *lease.Lease) error {
	sender := NewSender(x.cfg, l)
	sender.faults = x.faults
	entries, err := x.loadEntries(ctx, sender)
	if err != nil {
		return err
	}
	if x.faults.disabled(guardResolve) {
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
	x.markOpenDropped(context.WithoutCancel(ctx), sender)
	return err
}

// loadEntries lists the entries that need work, and retries until the table responds.
func (x *Executor) loadEntries(ctx context.Context, sender *Sender) ([]Entry, error) {
	for {
		entries, err := x.cfg.Journal.List(ctx, sender.lease.Pool(), sender.lease.Zone())
		if err == nil {
			return entries, nil
		}
		countError(err)
		klog.Warningf("order: reading the journal failed: %v", err)
		if !loop.Sleep(ctx, retryDelay) {
			return nil, contextError(ctx, "")
		}
	}
}

func (x *Executor) start(entries []Entry) chan string {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.tasks = make(map[string]*task)
	x.ready = make(chan string, maxEngines)
	for _, e := range entries {
		s := &task{resolve: true}
		x.tasks[e.Engine] = s
		x.queueLocked(e.Engine, s)
	}
	return x.ready
}

func (x *Executor) stop() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ready = nil
}

// queueLocked passes a task to the workers. The caller holds x.mu. It never blocks, because a
// task is queued at most once and there are at most maxEngines tasks.
func (x *Executor) queueLocked(name string, s *task) {
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
			x.runTask(ctx, sender, name)
		}
	}
}

// runTask works on one engine for at most one time slice. Unfinished work stays in the journal
// and is resolved by a later run of the task.
func (x *Executor) runTask(ctx context.Context, sender *Sender, name string) {
	id, change, resolve := x.beginTask(name)
	slice, cancel := context.WithTimeout(ctx, sender.timing.TimeSlice)
	defer cancel()
	var result Result
	var err error
	if resolve {
		result, err = sender.Resolve(slice, name)
	} else {
		result, err = sender.Execute(slice, id, *change)
	}
	x.finishTask(ctx, name, result, err)
}

func (x *Executor) beginTask(name string) (string, *Change, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.tasks[name]
	s.queued = false
	s.running = true
	return s.id, s.change, s.resolve
}

// finishTask records the result of runTask. After a failure the engine's row is resolved first,
// since it may hold an open order. A change that was never written to the journal is not
// retried and has no outcome; its planner plans again.
func (x *Executor) finishTask(ctx context.Context, name string, result Result, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.tasks[name]
	s.running = false
	s.err = err
	s.change = nil
	if err == nil && (s.id == "" || s.id == result.OrderID) {
		s.lastOutcome = result.Outcome
	}
	if err == nil {
		s.resolve = false
		return
	}
	countError(err)
	klog.Warningf("order: engine %s: %v", name, err)
	s.resolve = !x.faults.disabled(guardResolve)
	if ctx.Err() != nil || !s.resolve {
		return
	}
	time.AfterFunc(retryDelay, func() { x.requeue(name, s) })
}

// requeue queues s again unless it belongs to an earlier tenure.
func (x *Executor) requeue(name string, s *task) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.tasks[name] == s {
		x.queueLocked(name, s)
	}
}

// markOpenDropped marks this process's open orders as dropped while the lease is still held. By
// then no worker sends any more, and the gate refuses later sends.
func (x *Executor) markOpenDropped(ctx context.Context, sender *Sender) {
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
			klog.Warningf("order: marking the order of engine %s as dropped failed: %v", st.Engine, err)
		}
	}
}
