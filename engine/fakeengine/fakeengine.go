// Package fakeengine is an in-memory engine.Engine for tests in virtual time.
// It can crash, freeze, respond late or for another attempt, and receive orders
// late or at a crash point. It records every attempt and order with its effect, so
// that tests can check afterwards what ran.
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

// Options configures a fake. Zero durations mean no delay.
type Options struct {
	// Incarnation names the first incarnation; Restart appends "+1", "+2" and so on.
	Incarnation string
	Role        engine.Role
	Loaded      []weightstore.Artifact
	// CheckFence makes the engine refuse orders with a stale fencing token.
	CheckFence bool
	// FirstTokenDelay and TokenInterval are the delays before the first and each
	// later token.
	FirstTokenDelay time.Duration
	TokenInterval   time.Duration
	// OrderDuration is the execution time of an order.
	OrderDuration time.Duration
}

// Engine is the fake. It is safe for concurrent use. mu is the only lock and is
// never held while waiting.
type Engine struct {
	opts Options

	mu           sync.Mutex
	incarnations int
	incarnation  *incarnation
	role         engine.Role
	loaded       []weightstore.Artifact
	leaving      bool
	unreachable  bool
	frozen       chan struct{}
	load         engine.Load
	cache        map[uint64]bool
	events       []engine.CacheEvent
	script       func(engine.GenerateRequest) Behaviour
	orderScript  func(engine.Order) OrderBehaviour
	streams      map[string]*stream
	attempts     []*AttemptRecord
	orders       []*OrderRecord
}

// incarnation is one run of the engine, from its start to its crash. crashed is
// closed, and isCrashed set, when it ends; mu of Engine guards isCrashed and orderBook.
type incarnation struct {
	orderBook enginemodel.OrderBook
	crashed   chan struct{}
	isCrashed bool
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
	e.startIncarnation()
	return e
}

// startIncarnation starts the next incarnation. The caller holds mu, except in New.
func (e *Engine) startIncarnation() {
	e.incarnations++
	name := e.opts.Incarnation
	if e.incarnations > 1 {
		name = fmt.Sprintf("%s+%d", name, e.incarnations-1)
	}
	e.incarnation = &incarnation{
		orderBook: enginemodel.OrderBook{Incarnation: name, CheckFence: e.opts.CheckFence},
		crashed:   make(chan struct{}),
	}
}

// Crash ends the incarnation with all its streams and its order. The engine is
// unreachable until Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	if !e.incarnation.isCrashed {
		e.incarnation.isCrashed = true
		close(e.incarnation.crashed)
	}
	clear(e.cache)
	e.events = nil
	clear(e.streams)
}

// Restart crashes the engine if it is running and starts a new incarnation with the
// role and artifacts of Options, discarding the changes made by orders.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
	e.role, e.loaded = e.opts.Role, e.opts.Loaded
	e.leaving = false
	e.startIncarnation()
}

// Freeze makes the engine accept calls without responding until Thaw.
func (e *Engine) Freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen == nil {
		e.frozen = make(chan struct{})
	}
}

// Thaw undoes Freeze.
func (e *Engine) Thaw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen != nil {
		close(e.frozen)
		e.frozen = nil
	}
}

// SetLeaving sets State.Leaving. A leaving engine refuses new attempts.
func (e *Engine) SetLeaving(on bool) { e.set(func() { e.leaving = on }) }

// SetUnreachable sets whether new calls fail before anything is sent.
func (e *Engine) SetUnreachable(on bool) { e.set(func() { e.unreachable = on }) }

// SetLoad sets the load report.
func (e *Engine) SetLoad(l engine.Load) { e.set(func() { e.load = l }) }

// Script sets the behaviour of later attempts; nil makes them succeed.
func (e *Engine) Script(f func(engine.GenerateRequest) Behaviour) { e.set(func() { e.script = f }) }

// ScriptOrders sets the behaviour of later orders; nil makes them succeed.
func (e *Engine) ScriptOrders(f func(engine.Order) OrderBehaviour) {
	e.set(func() { e.orderScript = f })
}

// set runs change with mu held.
func (e *Engine) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

// Store adds a block to the prefix cache and emits a cache event.
func (e *Engine) Store(hash uint64) { e.cacheEvent(hash, true) }

// Evict removes a block from the prefix cache and emits a cache event.
func (e *Engine) Evict(hash uint64) { e.cacheEvent(hash, false) }

func (e *Engine) cacheEvent(hash uint64, stored bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache[hash] = stored
	seq := uint64(len(e.events) + 1)
	e.events = append(e.events, engine.CacheEvent{Sequence: seq, Hash: hash, Stored: stored})
}

// awaitReady begins every call: it fails if the engine is unreachable and waits
// while it is frozen.
func (e *Engine) awaitReady(ctx context.Context) (*incarnation, error) {
	e.mu.Lock()
	inc, frozen, down := e.incarnation, e.frozen, e.unreachable || e.incarnation.isCrashed
	e.mu.Unlock()
	if ctx.Err() != nil {
		return nil, &engine.UnreachableError{Cause: ctx.Err()}
	}
	if down {
		return nil, &engine.UnreachableError{Cause: &downError{}}
	}
	if frozen == nil {
		return inc, nil
	}
	select {
	case <-frozen:
		return inc, nil
	case <-inc.crashed:
		return nil, &engine.UnreachableError{Sent: true, Cause: &downError{}}
	case <-ctx.Done():
		return nil, &engine.UnreachableError{Sent: true, Cause: ctx.Err()}
	}
}

// downError reports a call to an engine that is crashed or unreachable.
type downError struct{}

func (*downError) Error() string { return "fake engine is down" }

// Reason implements failure.Coded.
func (*downError) Reason() failure.Reason { return failure.EndpointUnreachable }

// State implements engine.Engine.
func (e *Engine) State(ctx context.Context) (engine.State, error) {
	inc, err := e.awaitReady(ctx)
	if err != nil {
		return engine.State{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.State{
		Incarnation:  inc.orderBook.Incarnation,
		Role:         e.role,
		Loaded:       slices.Clone(e.loaded),
		Streams:      len(e.streams),
		Leaving:      e.leaving,
		Order:        inc.orderBook.State(),
		Load:         e.load,
		HighestFence: inc.orderBook.Highest(),
	}, nil
}

// Events implements engine.Engine. Sequence zero returns a snapshot.
func (e *Engine) Events(ctx context.Context, since uint64) (engine.CacheEvents, error) {
	inc, err := e.awaitReady(ctx)
	if err != nil {
		return engine.CacheEvents{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	out := engine.CacheEvents{Incarnation: inc.orderBook.Incarnation, Next: uint64(len(e.events) + 1)}
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
