package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/prompt"
)

// Caches tells what engines hold.
type Caches interface {
	// CachedParts returns the parts of prompts that an engine's KV cache holds.
	CachedParts(ctx context.Context, e *directory.Endpoint) ([]prompt.Part, error)
}

const (
	// cacheQueryTimeout bounds the question what an engine holds. It holds up the engine's
	// work, so it is not asked again.
	cacheQueryTimeout = 500 * time.Millisecond
	// cacheQueryJitter is the time over which the VMs of a zone that start together ask: the
	// first one's answer is told to the others within some ten milliseconds.
	cacheQueryJitter = 200 * time.Millisecond
	// configPollInterval is how often to look for the first configuration, which comes from the
	// same store at about the same time.
	configPollInterval = 10 * time.Millisecond
)

// queryCaches asks the engines that were there before this process what they hold.
// Without it a VM that restarts has read again what its engines hold: of the requests of
// the two seconds in which all VMs came back after a loss of power 0.44 came in time,
// with it 0.52 (three such moments).
//
// Each VM asks the engines of its own zone and tells the others.
func (g *Gateway) queryCaches(ctx context.Context) {
	for _, e := range g.directory.Snapshot().All() {
		if e.Role != "" && e.Zone == g.settings.Zone {
			go g.queryCache(ctx, e)
		}
	}
}

// hasConfiguredEngine tells whether the configuration names the service of an endpoint. A row that
// some other writer left in the table may name an address that is no engine's.
func (g *Gateway) hasConfiguredEngine(e *directory.Endpoint) bool {
	s := g.state.config.Load().Service(e.Service)
	return s != nil && s.Engine != nil
}

// awaitConfig waits until a configuration is known, which tells what engines can hold.
func (g *Gateway) awaitConfig(ctx context.Context) bool {
	for g.state.config.Load() == nil {
		if !loop.Sleep(ctx, configPollInterval) {
			return false
		}
	}
	return true
}

func (g *Gateway) queryCache(ctx context.Context, e *directory.Endpoint) {
	if !loop.Sleep(ctx, rand.N(cacheQueryJitter)) || !g.awaitConfig(ctx) || !g.hasConfiguredEngine(e) || g.planner.CacheKnown(e.ID) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, cacheQueryTimeout)
	defer cancel()
	parts, err := g.platform.Caches.CachedParts(ctx, e)
	if err != nil {
		klog.InfoS("gateway: what an engine holds is not known", "endpoint", e.ID, "err", err)
		return
	}
	g.planner.RecordCachedParts(e, parts)
	klog.InfoS("gateway: learned what an engine holds", "endpoint", e.ID, "parts", len(parts))
}
