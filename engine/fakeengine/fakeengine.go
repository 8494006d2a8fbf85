// Package fakeengine is an in-memory engine.Engine for tests in virtual time.
// It can crash, freeze, answer late or as another attempt, and be hit by orders
// that arrive late or at a crash point. It records every attempt and order with
// its effect, so that a checker can ask afterwards what ran.
package fakeengine

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/standin/enginemodel"
	"github.com/springweir/springweir/weightstore"
)

// Options describe a fake. Zero times mean at once.
type Options struct {
	// Incarnation names the first incarnation; Restart counts from it.
	Incarnation string
	Role        engine.Role
	Loaded      []weightstore.Artifact
	// CheckFence refuses orders with an old fencing number.
	CheckFence bool
	// FirstTokenDelay and TokenInterval are the times before the first and each later token.
	FirstTokenDelay time.Duration
	TokenInterval   time.Duration
	// OrderDuration is how long an order takes.
	OrderDuration time.Duration
}

// Engine is the fake. It is safe for concurrent use. Lock order: mu is the only
// lock, and nothing waits while it is held.
type Engine struct {
	opts Options

	mu          sync.Mutex
	started     int
	life        *life
	role        engine.Role
	loaded      []weightstore.Artifact
	leaving     bool
	unreachable bool
	frozen      chan struct{}
	load        engine.Load
	cache       map[uint64]bool
	events      []engine.CacheEvent
	script      func(engine.GenerateRequest) Behaviour
	orderScript func(engine.Order) OrderBehaviour
	streams     map[string]*stream
	attempts    []*AttemptRecord
	orders      []*OrderRecord
}

// life is one incarnation. Closing ended crashes it.
type life struct {
	book  enginemodel.OrderBook
	ended chan struct{}
	over  bool
}

var _ engine.Engine = (*Engine)(nil)

// New returns a running fake.
func New(o Options) *Engine {
	e := &Engine{
		opts:    o,
		role:    o.Role,
		loaded:  o.Loaded,
		cache:   make(map[uint64]bool),
		streams: make(map[string]*stream),
	}
	e.begin()
	return e
}

// begin starts an incarnation. The caller holds mu, or is New.
func (e *Engine) begin() {
	e.started++
	name := e.opts.Incarnation
	if e.started > 1 {
		name = fmt.Sprintf("%s+%d", name, e.started-1)
	}
	e.life = &life{
		book:  enginemodel.OrderBook{Incarnation: name, CheckFence: e.opts.CheckFence},
		ended: make(chan struct{}),
	}
}

// Crash ends the incarnation with all its streams and its order. Until Restart
// the engine is unreachable.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	if !e.life.over {
		e.life.over = true
		close(e.life.ended)
	}
	clear(e.cache)
	e.events = nil
	clear(e.streams)
}

// Restart crashes the engine if it runs, and starts a new incarnation as it is
// configured: with the role and artifacts of Options, whatever orders changed.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
	e.role, e.loaded = e.opts.Role, e.opts.Loaded
	e.leaving = false
	e.begin()
}

// Freeze makes the engine take calls and answer nothing until Thaw.
func (e *Engine) Freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen == nil {
		e.frozen = make(chan struct{})
	}
}

// Thaw ends Freeze.
func (e *Engine) Thaw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen != nil {
		close(e.frozen)
		e.frozen = nil
	}
}

// SetLeaving changes State.Leaving. A leaving engine refuses new attempts.
func (e *Engine) SetLeaving(on bool) { e.set(func() { e.leaving = on }) }

// SetUnreachable makes new calls fail before anything is sent.
func (e *Engine) SetUnreachable(on bool) { e.set(func() { e.unreachable = on }) }

// SetLoad changes the load report.
func (e *Engine) SetLoad(l engine.Load) { e.set(func() { e.load = l }) }

// Script sets what happens to later attempts; nil makes them succeed.
func (e *Engine) Script(f func(engine.GenerateRequest) Behaviour) { e.set(func() { e.script = f }) }

// ScriptOrders sets what happens to later orders; nil makes them succeed.
func (e *Engine) ScriptOrders(f func(engine.Order) OrderBehaviour) {
	e.set(func() { e.orderScript = f })
}

func (e *Engine) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

// Store adds a block to the prefix cache, Evict removes it. Each is an event.
func (e *Engine) Store(hash uint64) { e.cacheEvent(hash, true) }

// Evict removes a block from the prefix cache.
func (e *Engine) Evict(hash uint64) { e.cacheEvent(hash, false) }

func (e *Engine) cacheEvent(hash uint64, stored bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache[hash] = stored
	seq := uint64(len(e.events) + 1)
	e.events = append(e.events, engine.CacheEvent{Sequence: seq, Hash: hash, Stored: stored})
}

// enter is the start of every call: it fails when the engine can't be reached
// and waits while it is frozen.
func (e *Engine) enter(ctx context.Context) (*life, error) {
	e.mu.Lock()
	l, frozen, gone := e.life, e.frozen, e.unreachable || e.life.over
	e.mu.Unlock()
	if ctx.Err() != nil {
		return nil, &engine.UnreachableError{Cause: ctx.Err()}
	}
	if gone {
		return nil, &engine.UnreachableError{Cause: &downError{}}
	}
	if frozen == nil {
		return l, nil
	}
	select {
	case <-frozen:
		return l, nil
	case <-l.ended:
		return nil, &engine.UnreachableError{Sent: true, Cause: &downError{}}
	case <-ctx.Done():
		return nil, &engine.UnreachableError{Sent: true, Cause: ctx.Err()}
	}
}

// downError is a call to an engine that does not run or is cut off.
type downError struct{}

func (*downError) Error() string { return "fake engine is down" }

// Reason implements failure.Coded.
func (*downError) Reason() failure.Reason { return failure.EndpointUnreachable }

// State implements engine.Engine.
func (e *Engine) State(ctx context.Context) (engine.State, error) {
	l, err := e.enter(ctx)
	if err != nil {
		return engine.State{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.State{
		Incarnation:  l.book.Incarnation,
		Role:         e.role,
		Loaded:       slices.Clone(e.loaded),
		Streams:      len(e.streams),
		Leaving:      e.leaving,
		Order:        l.book.State(),
		Load:         e.load,
		HighestFence: l.book.Highest(),
	}, nil
}

// Events implements engine.Engine. Sequence zero gets a snapshot.
func (e *Engine) Events(ctx context.Context, since uint64) (engine.CacheEvents, error) {
	l, err := e.enter(ctx)
	if err != nil {
		return engine.CacheEvents{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	out := engine.CacheEvents{Incarnation: l.book.Incarnation, Next: uint64(len(e.events) + 1)}
	if since > 0 {
		out.Events = slices.Clone(e.events[min(since-1, uint64(len(e.events))):])
		return out, nil
	}
	out.Snapshot = make([]uint64, 0, len(e.cache))
	for hash, stored := range e.cache {
		if stored {
			out.Snapshot = append(out.Snapshot, hash)
		}
	}
	slices.Sort(out.Snapshot)
	return out, nil
}
