package order

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/engine/fakeengine"
	"github.com/springweir/springweir/internal/fakeprocess"
	"github.com/springweir/springweir/lease"
	"github.com/springweir/springweir/order/fakeorder"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// testbed is the environment of the controllers: the table, the engines, one entry VM and the
// network, all in virtual time. It records what the checks of the guarantees need.
type testbed struct {
	t       *testing.T
	table   *tableRecorder
	engines map[string]*fakeengine.Engine
	fencing map[string]Fencing
	entry   *fakeorder.Withholder
	network *fakeorder.Network
	fakeorder.Removals
	disabledGuard guard
	pause         func(p *process, at pausePoint)
	// restoreFails reports whether a restore fails to reach the entry VM.
	restoreFails func() bool

	streams atomic.Int64
	mu      sync.Mutex
	all     []*process
}

const (
	checkedEngine = "checked"
	ignoredEngine = "ignored"
)

func newTestbed(t *testing.T) *testbed {
	w := &testbed{
		t:       t,
		table:   &tableRecorder{Table: memtable.New()},
		engines: map[string]*fakeengine.Engine{},
		fencing: map[string]Fencing{checkedEngine: Checked, ignoredEngine: Ignored},
		entry:   fakeorder.NewWithholder(),
		network: fakeorder.NewNetwork(),
	}
	for name, fencing := range w.fencing {
		w.engines[name] = fakeengine.New(fakeengine.Options{
			Incarnation:   name,
			Role:          engine.Mixed,
			CheckFence:    fencing == Checked,
			TokenInterval: 50 * time.Millisecond,
			OrderDuration: 5 * time.Second,
		})
	}
	t.Cleanup(w.close)
	return w
}

// close stops all processes and engines, so that the bubble can end.
func (w *testbed) close() {
	for _, p := range w.processes() {
		p.kill()
		<-p.done
	}
	for _, e := range w.engines {
		e.Thaw()
		e.Crash()
	}
	time.Sleep(time.Minute)
}

func (w *testbed) processes() []*process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*process(nil), w.all...)
}

// Target implements Targets for a process, whose own pauses also apply to its calls to the
// engine.
func (p *process) Target(name string) (Target, bool) {
	e, ok := p.w.engines[name]
	vm := "vm-" + name
	return Target{Name: name, VM: vm, Engine: p.WrapEngine(e), Fencing: p.w.fencing[name]}, ok
}

// process is one controller process.
type process struct {
	w         *testbed
	identity  lease.Identity
	gate      *Gate
	responder *Responder
	executor  *Executor
	stop      context.CancelFunc
	done      chan struct{}

	fakeprocess.Process
}

func (w *testbed) start(vm, id string) *process {
	ctx, stop := context.WithCancel(context.Background())
	p := &process{
		w:        w,
		identity: lease.Identity{VM: vm, Process: id, Address: vm + ":1"},
		gate:     NewGate(),
		stop:     stop,
		done:     make(chan struct{}),
	}
	p.responder = NewResponder(p.gate, p.identity, Timing{})
	client := &fakeorder.Client{Process: &p.Process, Withholder: w.entry, Network: w.network, RestoreFails: w.restoreFails}
	svc := p.WrapTable(w.table)
	holder := lease.NewHolder(svc, lease.Config{Pool: "chat", Zone: "a", Identity: p.identity})
	p.executor = NewExecutor(Config{
		Journal:       NewJournal(svc),
		Gate:          p.gate,
		Targets:       p,
		Withholder:    client,
		Confirmer:     client,
		Removals:      w,
		EngineRemoved: w.Removed,
		OnStaleFence:  holder.RaiseFloor,
	}, 4)
	p.executor.faults = faults{disabledGuard: w.disabledGuard, pause: func(at pausePoint) {
		if w.pause != nil {
			w.pause(p, at)
		}
		_ = p.Wait()
	}}
	w.network.Bind(p.identity.Address, p.responder)
	w.mu.Lock()
	w.all = append(w.all, p)
	w.mu.Unlock()
	go func() {
		defer close(p.done)
		holder.Run(ctx, func(ctx context.Context, l *lease.Lease) { _ = p.executor.Run(ctx, l) })
	}()
	return p
}

func (p *process) freeze() {
	p.Pause()
	p.w.network.SetUnresponsive(p.identity.Address, p.Paused())
}

func (p *process) wake() {
	p.w.network.SetUnresponsive(p.identity.Address, false)
	p.Resume()
}

func (p *process) kill() {
	if p.Killed() {
		return
	}
	p.w.network.Bind(p.identity.Address, nil)
	p.Kill()
	p.stop()
}

// startStream starts a stream that lasts a few seconds, unless the engine is withheld.
func (w *testbed) startStream(name string) {
	attempt := fmt.Sprintf("attempt-%d", w.streams.Add(1))
	w.entry.Stream(name, w.engines[name], attempt)
}

// tableRecorder is the table service with injected faults. It records each state of the
// journal's rows.
type tableRecorder struct {
	*memtable.Table

	mu      sync.Mutex
	fault   func() tableFault
	history []journalState
}

// tableFault is the fault injected into one commit.
type tableFault int

const (
	noFault tableFault = iota
	loseResponse
	loseWrite
	applyLate
)

// journalState is a journal entry and the time at which it was written.
type journalState struct {
	at    time.Time
	entry Entry
}

// Scan returns one row at a time, which the table service permits.
func (r *tableRecorder) Scan(ctx context.Context, name, prefix, after string, _ int) ([]table.Row, error) {
	return r.Table.Scan(ctx, name, prefix, after, 1)
}

func (r *tableRecorder) Commit(ctx context.Context, txn table.Txn) ([]table.Version, error) {
	fault := noFault
	if r.fault != nil {
		fault = r.fault()
	}
	lost := &table.UnknownError{Cause: fakeprocess.KilledError{}}
	switch fault {
	case loseWrite:
		return nil, lost
	case applyLate:
		time.AfterFunc(700*time.Millisecond, func() { _, _ = r.apply(context.Background(), txn) })
		return nil, lost
	case loseResponse:
		_, _ = r.apply(ctx, txn)
		return nil, lost
	}
	return r.apply(ctx, txn)
}

func (r *tableRecorder) apply(ctx context.Context, txn table.Txn) ([]table.Version, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	versions, err := r.Table.Commit(ctx, txn)
	if err != nil {
		return nil, err
	}
	for i, w := range txn.Writes {
		if w.Key.Table != TableName {
			continue
		}
		e, err := decode(table.Row{Key: w.Key, Version: versions[i], Value: w.Value})
		if err != nil {
			panic(err)
		}
		r.history = append(r.history, journalState{at: time.Now(), entry: e})
	}
	return versions, nil
}

// openAt reports whether the engine's row held the order, open, at a time. For a row that
// changed at exactly that time, both states count.
func (r *tableRecorder) openAt(name, id string, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	open := false
	for _, s := range r.history {
		if s.entry.Engine != name || s.at.After(at) {
			continue
		}
		if s.at.Equal(at) && open {
			continue
		}
		open = s.entry.IsOpen() && s.entry.Order.ID == id
	}
	return open
}

// violations returns all violations of the guarantees so far.
func (w *testbed) violations() []string {
	var found []string
	executed := map[string]bool{}
	for name, e := range w.engines {
		for _, o := range e.Orders() {
			if !o.Started {
				continue
			}
			executed[o.Order.ID] = true
			if !w.table.openAt(name, o.Order.ID, o.ReceivedAt) {
				found = append(found, fmt.Sprintf("order %s took effect on %s at %v while its journal row was not open", o.Order.ID, name, o.ReceivedAt))
			}
		}
		for _, a := range e.Attempts() {
			if a.InterruptedBy != "" {
				found = append(found, fmt.Sprintf("order %s cut a stream on %s", a.InterruptedBy, name))
			}
		}
	}
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	open := map[string]string{}
	for _, s := range w.table.history {
		id := s.entry.Order.ID
		if previous := open[s.entry.Engine]; previous != "" && previous != id {
			found = append(found, fmt.Sprintf("order %s was opened over open order %s", id, previous))
		}
		open[s.entry.Engine] = ""
		if s.entry.IsOpen() {
			open[s.entry.Engine] = id
		}
		if s.entry.Outcome == NotRun && executed[id] {
			found = append(found, fmt.Sprintf("order %s was closed as not run but was executed", id))
		}
	}
	return found
}
