package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/internal/loop"
)

// Source is what a Poller reads of one engine; engine.Engine is one.
// Implementations are safe for concurrent use.
type Source interface {
	// State reads the engine's state and its load report.
	State(ctx context.Context) (engine.State, error)
	// Events reads cache events from sequence since; zero asks for everything.
	Events(ctx context.Context, since uint64) (engine.CacheEvents, error)
}

// PollScope is what a node asks an engine in a round.
type PollScope uint8

// The questions.
const (
	// PollNothing leaves the engine alone.
	PollNothing PollScope = iota
	// PollState asks for the state and the load report.
	PollState
	// PollStateAndCache asks for the cache events as well.
	PollStateAndCache
)

// PollerConfig holds the choices of a Poller.
type PollerConfig struct {
	// Interval is the time between two polls of an engine.
	Interval time.Duration
	// Timeout bounds one poll.
	Timeout time.Duration
	// Workers is the number of polls at once.
	Workers int
}

var (
	pollsDone   = metrics.NewCounter("springweir_fleet_polls_total")
	pollsFailed = metrics.NewCounter("springweir_fleet_poll_failures_total")
)

// Poller reads the engines that are this node's to poll into a Store, with a
// pool of workers. An engine that does not answer holds up one worker for at
// most Timeout and is not asked again meanwhile.
//
// Lock order: Poller.mu is never held with another lock.
type Poller struct {
	cfg   PollerConfig
	store *Store
	now   func() time.Duration
	// open returns the source of an endpoint.
	open func(e *Endpoint) Source
	// mine tells what this node asks an endpoint (see package peer/share).
	mine func(e *Endpoint) PollScope
	// heard gets each report, to be shared with peers. It may be nil.
	heard func(Report)

	mu      sync.Mutex
	polling map[string]bool
}

// NewPoller returns a poller that reads into store.
func NewPoller(cfg PollerConfig, store *Store, now func() time.Duration, open func(*Endpoint) Source, mine func(*Endpoint) PollScope, heard func(Report)) *Poller {
	if heard == nil {
		heard = func(Report) {}
	}
	return &Poller{cfg: cfg, store: store, now: now, open: open, mine: mine, heard: heard, polling: make(map[string]bool)}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	todo := make(chan poll)
	for range p.cfg.Workers {
		group.Go(func() error {
			for one := range todo {
				p.poll(ctx, one)
			}
			return nil
		})
	}
	group.Go(func() error {
		defer close(todo)
		p.schedule(ctx, todo)
		return nil
	})
	return group.Wait()
}

// schedule hands out each engine once in an interval, evenly spread over it.
func (p *Poller) schedule(ctx context.Context, todo chan<- poll) {
	for ctx.Err() == nil {
		round := time.NewTimer(p.cfg.Interval)
		due := p.due()
		pause := p.cfg.Interval / time.Duration(len(due)+1)
		for _, one := range due {
			if !p.begin(one.endpoint.Name) {
				continue
			}
			select {
			case todo <- one:
			case <-ctx.Done():
				p.end(one.endpoint.Name)
				return
			}
			loop.Sleep(ctx, pause)
		}
		p.store.PublishPrefixes()
		select {
		case <-round.C:
		case <-ctx.Done():
			round.Stop()
		}
	}
}

// poll is one endpoint to be asked.
type poll struct {
	endpoint *Endpoint
	question PollScope
}

func (p *Poller) due() []poll {
	var due []poll
	for _, e := range p.store.Snapshot().Endpoints() {
		if e.Kind != Engine {
			continue
		}
		if q := p.mine(e); q != PollNothing {
			due = append(due, poll{endpoint: e, question: q})
		}
	}
	return due
}

func (p *Poller) begin(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.polling[name] {
		return false
	}
	p.polling[name] = true
	return true
}

func (p *Poller) end(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.polling, name)
}

func (p *Poller) poll(ctx context.Context, one poll) {
	e := one.endpoint
	defer p.end(e.Name)
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	if err := p.read(ctx, e, one.question); err != nil {
		pollsFailed.Inc()
		klog.V(2).Infof("fleet: poll of %s failed: %v", e.Name, err)
		return
	}
	pollsDone.Inc()
}

func (p *Poller) read(ctx context.Context, e *Endpoint, q PollScope) error {
	source := p.open(e)
	// The state is taken as measured when the question left, so that a slow
	// answer never looks fresher than it is.
	asked := p.now()
	state, err := source.State(ctx)
	if err != nil {
		return err
	}
	r := Report{
		Endpoint:   e.Name,
		State:      state,
		MeasuredAt: asked - time.Duration(state.Load.AgeMillis)*time.Millisecond,
	}
	p.store.ApplyReports(p.now(), r)
	p.heard(r)
	if q == PollState {
		return nil
	}
	since := p.store.EventsSince(e.Name)
	batch, err := source.Events(ctx, since)
	if err != nil {
		return err
	}
	p.store.ApplyEvents(e.Name, since, batch)
	return nil
}
