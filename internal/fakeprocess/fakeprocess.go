// Package fakeprocess is a process that tests can pause and kill. What it does to
// the outside goes through lines that hold it up while it is paused, before and
// after each call, and fail once it is dead. It works in a synctest bubble.
package fakeprocess

import (
	"context"
	"sync"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/table"
)

// wakeDelay is how late after its deadline an order may leave that was about to
// be sent when the process was paused.
const wakeDelay = time.Second

// KilledError is a call by a process that was killed.
type KilledError struct{}

// Error implements error.
func (KilledError) Error() string { return "process is dead" }

// Reason implements failure.Coded.
func (KilledError) Reason() failure.Reason { return failure.Internal }

// Process is alive until Kill. The zero value runs. It is safe for concurrent use.
type Process struct {
	mu     sync.Mutex
	paused chan struct{}
	dead   bool
}

// Pause makes the process stand still until Resume.
func (p *Process) Pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused == nil && !p.dead {
		p.paused = make(chan struct{})
	}
}

// Resume ends Pause.
func (p *Process) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused != nil {
		close(p.paused)
		p.paused = nil
	}
}

// Kill ends the process. Calls that it has sent go on without it.
func (p *Process) Kill() {
	p.mu.Lock()
	p.dead = true
	p.mu.Unlock()
	p.Resume()
}

// Killed tells whether the process was killed.
func (p *Process) Killed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

// Paused tells whether the process stands still.
func (p *Process) Paused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused != nil
}

// Wait returns once the process is not paused. The error is KilledError.
func (p *Process) Wait() error {
	for {
		p.mu.Lock()
		paused, dead := p.paused, p.dead
		p.mu.Unlock()
		if dead {
			return KilledError{}
		}
		if paused == nil {
			return nil
		}
		<-paused
	}
}

// WrapTable returns the process's way to svc.
func (p *Process) WrapTable(svc table.Service) table.Service { return &tableLine{p: p, svc: svc} }

type tableLine struct {
	p   *Process
	svc table.Service
}

// Get implements table.Service.
func (l *tableLine) Get(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	if err := l.p.Wait(); err != nil {
		return nil, &table.UnavailableError{Cause: err}
	}
	rows, err := l.svc.Get(ctx, keys...)
	_ = l.p.Wait()
	return rows, err
}

// Scan implements table.Service.
func (l *tableLine) Scan(ctx context.Context, name, prefix, after string, limit int) ([]table.Row, error) {
	if err := l.p.Wait(); err != nil {
		return nil, &table.UnavailableError{Cause: err}
	}
	rows, err := l.svc.Scan(ctx, name, prefix, after, limit)
	_ = l.p.Wait()
	return rows, err
}

// Commit implements table.Service.
func (l *tableLine) Commit(ctx context.Context, txn table.Txn) ([]table.Version, error) {
	if err := l.p.Wait(); err != nil {
		return nil, &table.UnavailableError{Cause: err}
	}
	versions, err := l.svc.Commit(ctx, txn)
	_ = l.p.Wait()
	return versions, err
}

// WrapEngine returns the process's way to e.
func (p *Process) WrapEngine(e engine.Engine) engine.Engine { return &engineLine{Engine: e, p: p} }

type engineLine struct {
	engine.Engine
	p *Process
}

// State implements engine.Engine.
func (l *engineLine) State(ctx context.Context) (engine.State, error) {
	if err := l.p.Wait(); err != nil {
		return engine.State{}, &engine.UnreachableError{Cause: err}
	}
	st, err := l.Engine.State(ctx)
	_ = l.p.Wait()
	return st, err
}

// Order implements engine.Engine. An order that was about to be sent when the
// process was paused leaves when it wakes, whatever its context and deadline say:
// the worst that a wake-up may do.
func (l *engineLine) Order(ctx context.Context, o engine.Order, deadline time.Time) (engine.OrderState, error) {
	if err := l.p.Wait(); err != nil {
		return engine.OrderState{}, &engine.UnreachableError{Cause: err}
	}
	late := time.Now().Add(wakeDelay)
	if deadline.Before(late) {
		deadline = late
	}
	st, err := l.Engine.Order(context.WithoutCancel(ctx), o, deadline)
	_ = l.p.Wait()
	return st, err
}
