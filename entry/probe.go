package entry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/health"
	"github.com/springweir/springweir/internal/loop"
)

const (
	// probeInterval is the interval at which half-open endpoints are searched for.
	probeInterval = time.Second
	// probeTimeout bounds one connection attempt, probeWorkers the number of concurrent
	// ones.
	probeTimeout = time.Second
	probeWorkers = 8
)

// prober recovers ejected endpoints whose calls must not be repeated. Such a call cannot
// serve as a trial: if the endpoint still fails, the call may be lost. The prober opens a
// connection instead, which is weaker evidence but executes nothing.
type prober struct {
	common    *common
	upstreams *upstreams
}

// run probes until ctx ends.
func (p *prober) run(ctx context.Context) {
	loop.Every(ctx, probeInterval, func() { p.probeAll(ctx) })
}

func (p *prober) probeAll(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(probeWorkers)
	for _, e := range p.common.store.Snapshot().Endpoints() {
		if !p.shouldProbe(e) {
			continue
		}
		g.Go(func() error {
			p.probe(ctx, e)
			return nil
		})
	}
	_ = g.Wait() // the probes return no error
}

// shouldProbe reports whether the trial of an endpoint is made by the prober.
func (p *prober) shouldProbe(e *fleet.Endpoint) bool {
	if e.Kind != fleet.Service || !e.Available() || !e.Health.HalfOpen(p.common.now()) {
		return false
	}
	service, found := p.common.cat.Service(e.Service)
	return found && !service.Repeatable
}

func (p *prober) probe(ctx context.Context, e *fleet.Endpoint) {
	feed := p.upstreams.healthOf(serviceUpstream(e.Service))
	if feed == nil {
		return
	}
	ticket, ok := feed.begin(p.common.now(), e.Name)
	if !ok {
		return
	}
	feed.end(p.common.now(), ticket, p.connect(ctx, e.Address))
}

func (p *prober) connect(ctx context.Context, address string) health.Result {
	dialCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := p.common.clients.network.Connect(dialCtx, address)
	switch {
	case ctx.Err() != nil:
		return health.Abandoned
	case err != nil:
		return health.Failed
	}
	_ = conn.Close()
	return health.Succeeded
}
