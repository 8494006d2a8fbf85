package controller

import (
	"context"
	"sync"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/internal/network"
	"github.com/springweir/springweir/order"
	"github.com/springweir/springweir/settings"
)

// targets looks up the engines of the settings tree and caches their clients. It implements
// order.Targets and withhold.Endpoints and is safe for concurrent use; no other lock is acquired
// while mu is held.
type targets struct {
	trees   *treeFollower
	network network.Network

	mu      sync.Mutex
	clients map[string]client
}

// client is a client of one engine at one address.
type client struct {
	address string
	engine  engine.Engine
}

func newTargets(t *treeFollower, n network.Network) *targets {
	return &targets{trees: t, network: n, clients: map[string]client{}}
}

// Target implements order.Targets.
func (t *targets) Target(name string) (order.Target, bool) {
	tree := t.trees.tree()
	if tree == nil {
		return order.Target{}, false
	}
	e, found := tree.Endpoint(name)
	if !found || !e.IsEngine() {
		return order.Target{}, false
	}
	return order.Target{Name: name, VM: e.VM, Engine: t.client(e), Fencing: order.Fencing(e.Fencing)}, true
}

// client returns the client of an engine, and replaces it if the engine's address has changed.
func (t *targets) client(e settings.Endpoint) engine.Engine {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, found := t.clients[e.Name]
	if !found || c.address != e.Address {
		c = client{address: e.Address, engine: engine.NewClient(engine.Options{Address: e.Address, Dial: t.network.Dial})}
		t.clients[e.Name] = c
	}
	return c.engine
}

// Streams implements withhold.Endpoints. It queries an engine for its number of streams. Services
// do not report one, so that theirs is zero.
func (t *targets) Streams(ctx context.Context, endpoint string) (int, error) {
	target, found := t.Target(endpoint)
	if !found {
		return 0, nil
	}
	state, err := target.Engine.State(ctx)
	if err != nil {
		return 0, err
	}
	return state.Streams, nil
}
