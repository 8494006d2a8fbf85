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

// world is everything around the controllers: the table, the engines, one entry
// VM and the network, all in virtual time. It notes what the promises are about.
type world struct {
	t       *testing.T
	table   *recorder
	engines map[string]*fakeengine.Engine
	fencing map[string]Fencing
	entry   *fakeorder.Withholder
	network *fakeorder.Network
	fakeorder.Removals
	off   guard
	pause func(p *process, at place)
	// restoreFails tells whether a restore does not reach the entry VM.
	restoreFails func() bool

	chats atomic.Int64
	mu    sync.Mutex
	all   []*process
}

const (
	checkedEngine = "checked"
	ignoredEngine = "ignored"
)

func newWorld(t *testing.T) *world {
	w := &world{
		t:       t,
		table:   &recorder{Table: memtable.New()},
		engines: map[string]*fakeengine.Engine{},
		fencing: map[string]Fencing{checkedEngine: Checked, ignoredEngine: Ignored},
		entry:   fakeorder.NewWithholder(),
		network: fakeorder.NewNetwork(),
	}
	for name, fencing := range w.fencing {
		w.engines[name] = fakeengine.New(fakeengine.Options{
			Incarnation: name,
			Role:        engine.Mixed,
			CheckFence:  fencing == Checked,
			TokenGap:    50 * time.Millisecond,
			OrderTime:   5 * time.Second,
		})
	}
	t.Cleanup(w.close)
	return w
}

// close ends all that runs, so that the bubble can end.
func (w *world) close() {
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

func (w *world) processes() []*process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*process(nil), w.all...)
}

// Target implements Targets for a process behind its line.
func (p *process) Target(name string) (Target, bool) {
	e, ok := p.w.engines[name]
	vm := "vm-" + name
	return Target{Name: name, VM: vm, Engine: p.Engine(e), Fencing: p.w.fencing[name]}, ok
}

// process is one controller process.
type process struct {
	w        *world
	self     lease.Identity
	gate     *Gate
	answers  *Responder
	executor *Executor
	stop     context.CancelFunc
	done     chan struct{}

	fakeprocess.Process
}

func (w *world) start(vm, id string) *process {
	ctx, stop := context.WithCancel(context.Background())
	p := &process{
		w:    w,
		self: lease.Identity{VM: vm, Process: id, Address: vm + ":1"},
		gate: NewGate(),
		stop: stop,
		done: make(chan struct{}),
	}
	p.answers = NewResponder(p.gate, p.self, Timing{})
	line := &fakeorder.Client{Process: &p.Process, Withholder: w.entry, Network: w.network, RestoreFails: w.restoreFails}
	svc := p.Table(w.table)
	holder := lease.NewHolder(svc, lease.Config{Pool: "chat", Zone: "a", Identity: p.self})
	p.executor = NewExecutor(Config{
		Journal:       NewJournal(svc),
		Gate:          p.gate,
		Targets:       p,
		Withholder:    line,
		Confirmer:     line,
		Removals:      w,
		EngineRemoved: w.Removed,
		OnStaleFence:  holder.RaiseFloor,
	}, 4)
	p.executor.faults = faults{off: w.off, pause: func(at place) {
		if w.pause != nil {
			w.pause(p, at)
		}
		_ = p.Wait()
	}}
	w.network.Bind(p.self.Address, p.answers)
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
	p.w.network.SetUnresponsive(p.self.Address, p.Paused())
}

func (p *process) wake() {
	p.w.network.SetUnresponsive(p.self.Address, false)
	p.Wake()
}

func (p *process) kill() {
	if p.Dead() {
		return
	}
	p.w.network.Bind(p.self.Address, nil)
	p.Kill()
	p.stop()
}

// chat starts a stream of a few seconds, unless the engine is withheld.
func (w *world) chat(name string) {
	attempt := fmt.Sprintf("attempt-%d", w.chats.Add(1))
	w.entry.Stream(name, w.engines[name], attempt)
}

// recorder is the table service with faults, noting each state of the journal's rows.
type recorder struct {
	*memtable.Table

	mu      sync.Mutex
	fault   func() tableFault
	history []journalState
}

// tableFault is what happens to one commit.
type tableFault int

const (
	tableFine tableFault = iota
	loseAnswer
	loseWrite
	applyLate
)

// journalState is a row as it stood from a time on.
type journalState struct {
	at    time.Time
	entry Entry
}

// Scan returns one row at a time, as a service may.
func (r *recorder) Scan(ctx context.Context, name, prefix, after string, _ int) ([]table.Row, error) {
	return r.Table.Scan(ctx, name, prefix, after, 1)
}

func (r *recorder) Commit(ctx context.Context, txn table.Txn) ([]table.Version, error) {
	fault := tableFine
	if r.fault != nil {
		fault = r.fault()
	}
	lost := &table.UnknownError{Cause: fakeprocess.DeadError{}}
	switch fault {
	case loseWrite:
		return nil, lost
	case applyLate:
		time.AfterFunc(700*time.Millisecond, func() { _, _ = r.apply(context.Background(), txn) })
		return nil, lost
	case loseAnswer:
		_, _ = r.apply(ctx, txn)
		return nil, lost
	}
	return r.apply(ctx, txn)
}

func (r *recorder) apply(ctx context.Context, txn table.Txn) ([]table.Version, error) {
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

// openAt tells whether the engine's row held the order, open, at a time. A row that changed at that very moment counts with both its states.
func (r *recorder) openAt(name, id string, at time.Time) bool {
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

// violations returns what breaks the promises in all that happened so far.
func (w *world) violations() []string {
	var found []string
	began := map[string]bool{}
	for name, e := range w.engines {
		for _, o := range e.Orders() {
			if !o.Began {
				continue
			}
			began[o.Order.ID] = true
			if !w.table.openAt(name, o.Order.ID, o.At) {
				found = append(found, fmt.Sprintf("order %s took effect on %s at %v while it was not open", o.Order.ID, name, o.At))
			}
		}
		for _, a := range e.Attempts() {
			if a.CutBy != "" {
				found = append(found, fmt.Sprintf("order %s cut a stream on %s", a.CutBy, name))
			}
		}
	}
	w.table.mu.Lock()
	defer w.table.mu.Unlock()
	open := map[string]string{}
	for _, s := range w.table.history {
		id := s.entry.Order.ID
		if was := open[s.entry.Engine]; was != "" && was != id {
			found = append(found, fmt.Sprintf("order %s was opened over open order %s", id, was))
		}
		open[s.entry.Engine] = ""
		if s.entry.IsOpen() {
			open[s.entry.Engine] = id
		}
		if s.entry.Outcome == NotRun && began[id] {
			found = append(found, fmt.Sprintf("order %s was closed as not run, and ran", id))
		}
	}
	return found
}
