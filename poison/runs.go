package poison

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/relay"
)

const (
	// probeTimeout bounds the look whether an endpoint still takes connections. One that
	// does not answer is silent, which proves no crash.
	probeTimeout = 200 * time.Millisecond
	// memory is how long a run that ended badly is kept as one that its endpoint may crash
	// under: its connection may break before the others' do, and an engine may still be at
	// work on a request that this VM has given up on.
	memory = 2 * time.Second
	// lookWait is how long a run that broke off waits for the look at its endpoint, so that it
	// is not placed anew before it is known what it did: some round trips. Without it a request
	// whose third endpoint has crashed reached a fourth.
	lookWait = 20 * time.Millisecond
	// maxEnded bounds the runs kept for one endpoint: more than its slots and its queue hold.
	maxEnded = 256
)

// Suspect is a request that was at work on an endpoint when that crashed.
type Suspect struct {
	Key Key
	// Origin is where it came from.
	Origin Origin
	// Request is its id, for the log.
	Request string
	// Streaming tells that it had given events before, there or elsewhere. One that crashes
	// its endpoint mostly does so as it begins, so such a request is less suspect.
	Streaming bool
}

// Crash is an endpoint that crashed, as one VM saw it.
type Crash struct {
	// ID names the start of the endpoint that ended.
	ID uint64
	// Suspects are the VM's own requests that were at work there.
	Suspects []Suspect
}

// RunsConfig is what Runs works with.
type RunsConfig struct {
	// Down tells whether nobody listens at an endpoint's address any more. An endpoint that
	// does not answer is not down.
	Down func(ctx context.Context, e *directory.Endpoint) bool
	// Crashed takes each crash, and, with the same ID, suspects of it found later.
	Crashed func(Crash)
	// Now is the clock; nil is the VM's.
	Now func() time.Time
}

// Runs follows this VM's runs at endpoints. When the connection of one breaks, it looks
// whether the endpoint still takes connections: a connection may be reset, and a caller may
// leave, without any harm to the endpoint.
//
// It is safe for concurrent use; mu is a leaf.
type Runs struct {
	cfg RunsConfig

	mu   sync.Mutex
	byID map[string]*site
}

// site is what is known of one start of an endpoint.
type site struct {
	// look is closed once the look that is under way is over, and nil if none is.
	look chan struct{}
	// downAt is when a look, here or on another VM, found the endpoint gone.
	downAt time.Time
	// ended are the runs that ended badly, oldest first.
	ended []endedRun
}

// endedRun is a run without a whole answer. One that broke off and one that was given up
// count alike once the endpoint is known to have crashed.
type endedRun struct {
	request   *relay.Request
	streaming bool
	at        time.Time
}

// NewRuns returns a Runs that knows nothing yet.
func NewRuns(cfg RunsConfig) *Runs {
	cfg.Now = clock.OrSystem(cfg.Now)
	return &Runs{cfg: cfg, byID: map[string]*site{}}
}

// CrashID names the end of one start of an endpoint, alike on all VMs.
func CrashID(e *directory.Endpoint) uint64 { return xxhash.Sum64String(e.Incarnation()) }

// Ended takes in the end of a run. If the run broke off, it returns once it is known whether
// its endpoint crashed, or after lookWait.
func (r *Runs) Ended(request *relay.Request, e *directory.Endpoint, end relay.RunEnd) {
	if end.Outcome == relay.RunCompleted || end.Outcome == relay.RunRefused {
		return
	}
	now := r.cfg.Now()
	run := endedRun{request: request, streaming: end.Streaming, at: now}
	r.mu.Lock()
	s := r.site(e, now)
	if s.down(now) {
		r.mu.Unlock()
		r.report(e, []endedRun{run})
		return
	}
	s.ended = append(s.ended, run)
	s.ended = s.ended[max(0, len(s.ended)-maxEnded):]
	if end.Outcome == relay.RunInterrupted && s.look == nil {
		s.look = make(chan struct{})
		go r.probe(e, s.look)
	}
	look := s.look
	r.mu.Unlock()
	if end.Outcome == relay.RunInterrupted {
		await(look)
	}
}

// await waits for the end of a look, but not for long.
func await(look <-chan struct{}) {
	timer := time.NewTimer(lookWait)
	defer timer.Stop()
	select {
	case <-look:
	case <-timer.C:
	}
}

// down tells whether the endpoint was found gone lately. Later it may have come back under
// the same name.
func (s *site) down(now time.Time) bool {
	return !s.downAt.IsZero() && now.Sub(s.downAt) <= memory
}

// Learned takes in that an endpoint has crashed, as another VM found.
func (r *Runs) Learned(e *directory.Endpoint) { r.fell(e) }

// probe looks whether an endpoint is down.
func (r *Runs) probe(e *directory.Endpoint, look chan struct{}) {
	defer close(look)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if r.cfg.Down(ctx, e) {
		r.fell(e)
		return
	}
	klog.InfoS("poison: a run broke off, its endpoint still takes connections or is silent", "endpoint", e.ID, "crash", CrashID(e))
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.byID[e.Incarnation()]; s != nil {
		s.look = nil
	}
}

// fell notes that an endpoint is down, and reports who was at work there.
func (r *Runs) fell(e *directory.Endpoint) {
	now := r.cfg.Now()
	r.mu.Lock()
	s := r.site(e, now)
	s.look, s.downAt = nil, now
	runs := s.ended
	s.ended = nil
	r.mu.Unlock()
	if len(runs) > 0 {
		r.report(e, runs)
	}
}

// report tells of suspects. Keys are only worked out here: a hash of each request's body
// would be a cost on all requests for the sake of a few.
func (r *Runs) report(e *directory.Endpoint, runs []endedRun) {
	crash := Crash{ID: CrashID(e)}
	for _, run := range runs {
		crash.Suspects = append(crash.Suspects, Suspect{Key: KeyOf(run.request), Origin: OriginOf(run.request), Request: run.request.ID, Streaming: run.streaming})
	}
	crashesSeen.Inc()
	klog.InfoS("poison: endpoint crashed", "endpoint", e.ID, "born", e.StartedAt, "service", e.Service, "crash", crash.ID, "suspects", describe(crash.Suspects))
	r.cfg.Crashed(crash)
}

// site returns what is known of an endpoint's start. The caller holds mu.
func (r *Runs) site(e *directory.Endpoint, now time.Time) *site {
	s := r.byID[e.Incarnation()]
	if s == nil {
		s = &site{}
		r.byID[e.Incarnation()] = s
	}
	for len(s.ended) > 0 && now.Sub(s.ended[0].at) > memory {
		s.ended = s.ended[1:]
	}
	return s
}

// Keep forgets endpoints that are no longer registered.
func (r *Runs) Keep(s *directory.Snapshot) {
	known := map[string]bool{}
	for _, e := range s.All() {
		known[e.Incarnation()] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.byID {
		if !known[id] {
			delete(r.byID, id)
		}
	}
}
