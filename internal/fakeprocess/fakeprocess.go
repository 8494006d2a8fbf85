// Package fakeprocess simulates a process that tests can pause and kill. Its calls go
// through wrappers that block before and after each call while the process is paused,
// and fail after it was killed. It works in a synctest bubble.
package fakeprocess

import (
	"context"
	"sync"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/table"
)

// resumeDelay is the minimum time from sending an order to its deadline. It allows an order
// to be sent although its own deadline passed while the process was paused.
const resumeDelay = time.Second

// KilledError is a call by a process that was killed.
type KilledError struct{}

// Error implements error.
func (KilledError) Error() string { return "process was killed" }

// Reason implements failure.Coded.
func (KilledError) Reason() failure.Reason { return failure.Internal }

// Process is a simulated process. The zero value is running. It is safe for concurrent use.
type Process struct {
	mu     sync.Mutex
	paused chan struct{}
	killed bool
}

// Pause blocks the process until Resume.
func (p *Process) Pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused == nil && !p.killed {
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

// Kill ends the process. Calls in flight continue.
func (p *Process) Kill() {
	p.mu.Lock()
	p.killed = true
	p.mu.Unlock()
	p.Resume()
}

// Killed reports whether the process was killed.
func (p *Process) Killed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

// Paused reports whether the process is paused.
func (p *Process) Paused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused != nil
}

// Wait blocks while the process is paused. It returns KilledError after Kill.
func (p *Process) Wait() error {
	for {
		p.mu.Lock()
		paused, dead := p.paused, p.killed
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

// WrapTable returns svc as called by the process.
func (p *Process) WrapTable(svc table.Service) table.Service { return &processTable{p: p, svc: svc} }

type processTable struct {
	p   *Process
	svc table.Service
}

// Get implements table.Service.
func (t *processTable) Get(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	if err := t.p.Wait(); err != nil {
		return nil, &table.UnavailableError{Cause: err}
	}
	rows, err := t.svc.Get(ctx, keys...)
	_ = t.p.Wait()
	return rows, err
}

// Scan implements table.Service.
func (t *processTable) Scan(ctx context.Context, name, prefix, after string, limit int) ([]table.Row, error) {
	if err := t.p.Wait(); err != nil {
		return nil, &table.UnavailableError{Cause: err}
	}
	rows, err := t.svc.Scan(ctx, name, prefix, after, limit)
	_ = t.p.Wait()
	return rows, err
}

// Commit implements table.Service.
func (t *processTable) Commit(ctx context.Context, txn table.Txn) ([]table.Version, error) {
	if err := t.p.Wait(); err != nil {
		return nil, &table.UnavailableError{Cause: err}
	}
	versions, err := t.svc.Commit(ctx, txn)
	_ = t.p.Wait()
	return versions, err
}

// WrapEngine returns e as called by the process.
func (p *Process) WrapEngine(e engine.Engine) engine.Engine { return &processEngine{Engine: e, p: p} }

type processEngine struct {
	engine.Engine
	p *Process
}

// State implements engine.Engine.
func (e *processEngine) State(ctx context.Context) (engine.State, error) {
	if err := e.p.Wait(); err != nil {
		return engine.State{}, &engine.UnreachableError{Cause: err}
	}
	st, err := e.Engine.State(ctx)
	_ = e.p.Wait()
	return st, err
}

// Order implements engine.Engine. An order that was about to be sent when the
// process was paused is sent on resumption even if its context or deadline has ended,
// which is the worst case for a paused process.
func (e *processEngine) Order(ctx context.Context, o engine.Order, deadline time.Time) (engine.OrderState, error) {
	if err := e.p.Wait(); err != nil {
		return engine.OrderState{}, &engine.UnreachableError{Cause: err}
	}
	late := time.Now().Add(resumeDelay)
	if deadline.Before(late) {
		deadline = late
	}
	st, err := e.Engine.Order(context.WithoutCancel(ctx), o, deadline)
	_ = e.p.Wait()
	return st, err
}
