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

// Source reads the state of one engine for a Poller; engine.Engine implements it. Implementations
// must be safe for concurrent use.
type Source interface {
	// State reads the engine's state and its load report.
	State(ctx context.Context) (engine.State, error)
	// Events reads cache events from sequence since. Zero requests all of them.
	Events(ctx context.Context, since uint64) (engine.CacheEvents, error)
}

// PollScope is what a poll reads from an engine.
type PollScope uint8

// Scopes of a poll.
const (
	// PollNothing skips the engine.
	PollNothing PollScope = iota
	// PollState reads the state and the load report.
	PollState
	// PollStateAndCache also reads the cache events.
	PollStateAndCache
)

// PollerConfig configures a Poller.
type PollerConfig struct {
	// Interval is the time between two polls of an engine.
	Interval time.Duration
	// Timeout bounds the duration of a poll.
	Timeout time.Duration
	// Workers is the number of concurrent polls.
	Workers int
}

var (
	pollsDone   = metrics.NewCounter("springweir_fleet_polls_total")
	pollsFailed = metrics.NewCounter("springweir_fleet_poll_failures_total")
)

// Poller reads the engines assigned to this node into a Store, with a pool of workers. An engine
// that does not respond occupies one worker for at most Timeout and is not polled again in the
// meantime.
//
// Lock order: no other lock is taken under Poller.mu.
type Poller struct {
	cfg   PollerConfig
	store *Store
	now   func() time.Duration
	// sourceOf returns the source of an endpoint.
	sourceOf func(e *Endpoint) Source
	// scopeOf returns what this node polls of an endpoint (see package peer/share).
	scopeOf func(e *Endpoint) PollScope
	// onReport receives each report, to be shared with peers.
	onReport func(Report)

	mu      sync.Mutex
	polling map[string]bool
}

// NewPoller returns a poller that reads into store. onReport may be nil.
func NewPoller(cfg PollerConfig, store *Store, now func() time.Duration, sourceOf func(*Endpoint) Source, scopeOf func(*Endpoint) PollScope, onReport func(Report)) *Poller {
	if onReport == nil {
		onReport = func(Report) {}
	}
	return &Poller{cfg: cfg, store: store, now: now, sourceOf: sourceOf, scopeOf: scopeOf, onReport: onReport, polling: make(map[string]bool)}
}

// Run polls until ctx is done.
func (p *Poller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	tasks := make(chan pollTask)
	for range p.cfg.Workers {
		group.Go(func() error {
			for task := range tasks {
				p.poll(ctx, task)
			}
			return nil
		})
	}
	group.Go(func() error {
		defer close(tasks)
		p.schedule(ctx, tasks)
		return nil
	})
	return group.Wait()
}

// schedule queues each engine once per interval, evenly spread over the interval.
func (p *Poller) schedule(ctx context.Context, tasks chan<- pollTask) {
	for ctx.Err() == nil {
		round := time.NewTimer(p.cfg.Interval)
		due := p.due()
		pause := p.cfg.Interval / time.Duration(len(due)+1)
		for _, task := range due {
			if !p.tryStart(task.endpoint.Name) {
				continue
			}
			select {
			case tasks <- task:
			case <-ctx.Done():
				p.finish(task.endpoint.Name)
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

// pollTask is one endpoint to poll.
type pollTask struct {
	endpoint *Endpoint
	scope    PollScope
}

// due returns the engines to poll in this interval.
func (p *Poller) due() []pollTask {
	var due []pollTask
	for _, e := range p.store.Snapshot().Endpoints() {
		if e.Kind != Engine {
			continue
		}
		if scope := p.scopeOf(e); scope != PollNothing {
			due = append(due, pollTask{endpoint: e, scope: scope})
		}
	}
	return due
}

// tryStart marks an endpoint as being polled, and reports whether it was not already.
func (p *Poller) tryStart(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.polling[name] {
		return false
	}
	p.polling[name] = true
	return true
}

func (p *Poller) finish(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.polling, name)
}

func (p *Poller) poll(ctx context.Context, task pollTask) {
	e := task.endpoint
	defer p.finish(e.Name)
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	if err := p.read(ctx, e, task.scope); err != nil {
		pollsFailed.Inc()
		klog.V(2).Infof("fleet: poll of %s failed: %v", e.Name, err)
		return
	}
	pollsDone.Inc()
}

func (p *Poller) read(ctx context.Context, e *Endpoint, scope PollScope) error {
	source := p.sourceOf(e)
	// The state counts as measured when the request was sent, so that a slow response never appears
	// more recent than it is.
	sentAt := p.now()
	state, err := source.State(ctx)
	if err != nil {
		return err
	}
	r := Report{
		Endpoint:   e.Name,
		State:      state,
		MeasuredAt: sentAt - time.Duration(state.Load.AgeMillis)*time.Millisecond,
	}
	p.store.ApplyReports(p.now(), r)
	p.onReport(r)
	if scope == PollState {
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
